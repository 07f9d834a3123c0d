//! A front process on the users' platform: serves callers, and does control work under a lease.

use oleandertack::board::NodeClock;
use oleandertack::board::json_logger;
use oleandertack::conf::FrontSettings;
use oleandertack::front::{FrontPorts, SettingsFile, start_front};
use oleandertack::outlet::{HttpCodec, TcpDialer};
use oleandertack::plat::DutyPort;
use oleandertack::platform::{CloudClient, HttpDialect, SETTINGS_VARIABLE, StoreClient};
use oleandertack::start::{read_or_exit_with, runtime_or_exit};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

fn main() -> ExitCode {
    let (runtime, mut signals) = match runtime_or_exit("oleander-front") {
        Ok(started) => started,
        Err(code) => return code,
    };
    let default_path: Option<PathBuf> = std::env::var_os(SETTINGS_VARIABLE).map(Into::into);
    let read = read_or_exit_with::<FrontSettings>("oleander-front", &[], default_path.clone());
    let (settings, arguments) = match read {
        Ok(read) => read,
        Err(code) => return code,
    };
    let log = json_logger("oleander-front", settings.instance.as_str());
    runtime.block_on(async move {
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
        let file = path.map(|path| SettingsFile { path, hang_ups: signals.hang_ups });
        match start_front(settings, log, Box::new(HttpDialect), ports, file).await {
            Ok(process) => {
                signals.stops.wait().await;
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
