//! A fleet process: starts, ends and orders endpoints, under a lease.

use oleandertack::board::json_logger;
use oleandertack::conf::FleetSettings;
use oleandertack::fleetd::start_fleet;
use oleandertack::start::{log_hang_ups, read_or_exit, runtime_or_exit};
use std::process::ExitCode;

fn main() -> ExitCode {
    let (runtime, mut signals) = match runtime_or_exit("oleander-fleet") {
        Ok(started) => started,
        Err(code) => return code,
    };
    let (settings, _) = match read_or_exit::<FleetSettings>("oleander-fleet", &[]) {
        Ok(read) => read,
        Err(code) => return code,
    };
    let log = json_logger("oleander-fleet", settings.instance.as_str());
    runtime.block_on(async move {
        actix_rt::spawn(log_hang_ups(signals.hang_ups, log.clone()));
        match start_fleet(settings, log).await {
            Ok(process) => {
                signals.stops.wait().await;
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
