//! A front process on the users' platform: serves callers, and does control work under a lease.

use oleandertack::board::NodeClock;
use oleandertack::board::json_logger;
use oleandertack::conf::FrontSettings;
use oleandertack::front::{FrontPorts, start_front};
use oleandertack::outlet::{HttpCodec, TcpDialer};
use oleandertack::plat::DutyPort;
use oleandertack::platform::{CloudClient, HttpDialect, SETTINGS_VARIABLE, StoreClient};
use oleandertack::start::{read_or_exit_with, wait_stop};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

fn main() -> ExitCode {
    let default_path: Option<PathBuf> = std::env::var_os(SETTINGS_VARIABLE).map(Into::into);
    let read = read_or_exit_with::<FrontSettings>("oleander-front", &[], default_path.clone());
    let (settings, arguments) = match read {
        Ok(read) => read,
        Err(code) => return code,
    };
    let log = json_logger("oleander-front", settings.instance.as_str());
    actix_rt::System::new().block_on(async move {
        let codec = HttpCodec::default();
        let store = Box::new(StoreClient::new(settings.store, codec.clone()));
        let cloud = settings.cloud.map(|address| {
            let cloud: Rc<dyn DutyPort> = Rc::new(CloudClient::new(address, codec));
            cloud
        });
        let ports = FrontPorts {
            store,
            cloud,
            dialer: Rc::new(TcpDialer { source: settings.source }),
            clock: NodeClock::default(),
        };
        let path = arguments.settings.or(default_path);
        match start_front(settings, log, Box::new(HttpDialect), ports, path).await {
            Ok(process) => {
                wait_stop().await;
                process.stop().await;
                ExitCode::SUCCESS
            }
            Err(fault) => {
                eprintln!("oleander-front: cannot listen: {fault}");
                ExitCode::FAILURE
            }
        }
    })
}
