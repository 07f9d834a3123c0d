//! The stand-ins for platform, cloud and endpoints. For tests and the demo only.

use oleandertack::standin::{StandinSettings, StandinSite};
use oleandertack::start::{read_or_exit, runtime_or_exit};
use std::process::ExitCode;

fn main() -> ExitCode {
    let (runtime, mut signals) = match runtime_or_exit("oleander-standin") {
        Ok(started) => started,
        Err(code) => return code,
    };
    let (settings, _) = match read_or_exit::<StandinSettings>("oleander-standin", &[]) {
        Ok(read) => read,
        Err(code) => return code,
    };
    runtime.block_on(async move {
        match StandinSite::listen(settings).await {
            Ok(listening) => {
                signals.stops.wait().await;
                drop(listening);
                ExitCode::SUCCESS
            }
            Err(fault) => {
                eprintln!("oleander-standin: cannot listen: {fault}");
                ExitCode::FAILURE
            }
        }
    })
}
