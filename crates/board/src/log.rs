//! Logging as JSON lines on standard output, with result codes by number and name.

use oleander_kind::ResultCode;
use slog::{Drain, Logger, o};

/// Capacity of the queue to the log writer, in lines. When it is full, the library drops and counts further lines.
const QUEUE_LINES: usize = 4096;

/// Creates a logger that writes JSON lines to standard output, each with the process and instance name.
pub fn json_logger(process: &'static str, instance: &str) -> Logger {
    let drain = slog_json::Json::default(std::io::stdout()).fuse();
    let drain = slog_async::Async::new(drain).chan_size(QUEUE_LINES).build().fuse();
    Logger::root(drain, o!("process" => process, "instance" => instance.to_owned()))
}

/// Logs the result code of a request.
pub fn log_code(log: &Logger, request: &str, code: ResultCode, detail: &str) {
    slog::info!(log, "{}", code.text();
        "code" => code.number(), "name" => code.name(), "request" => request, "detail" => detail);
}
