//! An entry: admits, routes, resumes and hands over requests.

use oleandertack::board::json_logger;
use oleandertack::conf::EntrySettings;
use oleandertack::edge::start_entry;
use oleandertack::start::{log_hang_ups, read_or_exit, runtime_or_exit};
use std::process::ExitCode;

fn main() -> ExitCode {
    let (runtime, mut signals) = match runtime_or_exit("oleander-entry") {
        Ok(started) => started,
        Err(code) => return code,
    };
    let (settings, _) = match read_or_exit::<EntrySettings>("oleander-entry", &[]) {
        Ok(read) => read,
        Err(code) => return code,
    };
    let log = json_logger("oleander-entry", settings.instance.as_str());
    runtime.block_on(async move {
        actix_rt::spawn(log_hang_ups(signals.hang_ups, log.clone()));
        match start_entry(settings, log).await {
            Ok(process) => {
                signals.stops.wait().await;
                process.stop().await;
                ExitCode::SUCCESS
            }
            Err(fault) => {
                eprintln!("oleander-entry: cannot listen: {fault}");
                ExitCode::FAILURE
            }
        }
    })
}
