//! The stand-ins for platform, cloud and endpoints. For tests and the demo only.

use oleandertack::standin::{StandinSettings, StandinSite};
use oleandertack::start::{read_or_exit, wait_stop};
use std::process::ExitCode;

fn main() -> ExitCode {
    let (settings, _) = match read_or_exit::<StandinSettings>("oleander-standin", &[]) {
        Ok(read) => read,
        Err(code) => return code,
    };
    actix_rt::System::new().block_on(async move {
        match StandinSite::listen(settings).await {
            Ok(listening) => {
                wait_stop().await;
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
