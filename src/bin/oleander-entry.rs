//! An entry: admits, routes, resumes and hands over requests.

use oleandertack::board::json_logger;
use oleandertack::conf::EntrySettings;
use oleandertack::edge::start_entry;
use oleandertack::start::{read_or_exit, wait_stop};
use std::process::ExitCode;

fn main() -> ExitCode {
    let (settings, _) = match read_or_exit::<EntrySettings>("oleander-entry", &[]) {
        Ok(read) => read,
        Err(code) => return code,
    };
    let log = json_logger("oleander-entry", settings.instance.as_str());
    actix_rt::System::new().block_on(async move {
        match start_entry(settings, log).await {
            Ok(process) => {
                wait_stop().await;
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
