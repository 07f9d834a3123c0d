//! A fleet process: starts, ends and orders endpoints, under a lease.

use oleandertack::board::json_logger;
use oleandertack::conf::FleetSettings;
use oleandertack::fleetd::start_fleet;
use oleandertack::start::{read_or_exit, wait_stop};
use std::process::ExitCode;

fn main() -> ExitCode {
    let (settings, _) = match read_or_exit::<FleetSettings>("oleander-fleet", &[]) {
        Ok(read) => read,
        Err(code) => return code,
    };
    let log = json_logger("oleander-fleet", settings.instance.as_str());
    actix_rt::System::new().block_on(async move {
        match start_fleet(settings, log).await {
            Ok(process) => {
                wait_stop().await;
                process.stop().await;
                ExitCode::SUCCESS
            }
            Err(fault) => {
                eprintln!("oleander-fleet: cannot listen: {fault}");
                ExitCode::FAILURE
            }
        }
    })
}
