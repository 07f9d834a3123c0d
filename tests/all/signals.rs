//! Signals to the front program.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A front process that was just started, without a platform.
struct StartedFront {
    child: Child,
    listen: SocketAddr,
    settings: PathBuf,
}

impl StartedFront {
    fn start(number: usize) -> Self {
        let listeners = [0; 4].map(|port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)));
        let [listen, ready, peer, admin] =
            listeners.map(|listener| listener.and_then(|one| one.local_addr()).expect("a port"));
        let text = format!(
            r#"{{"instance": "front", "domain": "north", "listen": "{listen}", "ready": "{ready}",
            "peer": "{peer}", "admin": "{admin}", "seeds": [], "store": "127.0.0.1:1", "bounds": {{}}}}"#
        );
        let name = format!("oleander-signals-{}-{number}.json", std::process::id());
        let settings = std::env::temp_dir().join(name);
        std::fs::write(&settings, text).expect("a file for settings");
        let child = Command::new(env!("CARGO_BIN_EXE_oleander-front"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::null())
            .spawn()
            .expect("it starts");
        StartedFront { child, listen, settings }
    }

    fn wait_until_it_listens(&self) {
        /// Much longer than a start takes.
        const LIMIT: Duration = Duration::from_secs(20);
        let until = Instant::now() + LIMIT;
        while TcpStream::connect(self.listen).is_err() {
            assert!(Instant::now() < until, "it does not listen");
        }
    }

    fn hang_up(&self) {
        kill(Pid::from_raw(self.child.id() as i32), Signal::SIGHUP).expect("it is told");
    }

    fn runs(&mut self) -> bool {
        /// Longer than the end by a signal takes.
        const SETTLE_TIME: Duration = Duration::from_millis(200);
        std::thread::sleep(SETTLE_TIME);
        self.child.try_wait().expect("its state is known").is_none()
    }
}

impl Drop for StartedFront {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Guards against processes that end when they are told of changed settings right after their start:
/// they listened before they received the signal.
#[test]
fn a_process_that_listens_may_be_told_of_changed_settings() {
    for number in 0..5 {
        let mut front = StartedFront::start(number);
        front.wait_until_it_listens();

        front.hang_up();

        assert!(front.runs(), "start {number}");
    }
}
