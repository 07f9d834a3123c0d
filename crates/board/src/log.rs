//! Logs: JSON lines on standard output, with result codes by number and name.

use oleander_kind::ResultCode;
use slog::{Drain, Logger, o};

/// Lines kept while the writer is behind; more are dropped and counted by the library.
const LINES_KEPT: usize = 4096;

/// A logger that writes JSON lines to standard output and names the process in each.
pub fn json_logger(process: &'static str, instance: &str) -> Logger {
    let drain = slog_json::Json::default(std::io::stdout()).fuse();
    let drain = slog_async::Async::new(drain).chan_size(LINES_KEPT).build().fuse();
    Logger::root(drain, o!("process" => process, "instance" => instance.to_owned()))
}

/// Logs a numbered result of a request.
pub fn log_code(log: &Logger, request: &str, code: ResultCode, detail: &str) {
    slog::info!(log, "{}", code.text();
        "code" => code.number(), "name" => code.name(), "request" => request, "detail" => detail);
}
