//! Signals to the programs.

use nix::libc::O_NONBLOCK;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const FRONT: &str = env!("CARGO_BIN_EXE_oleander-front");
const ENTRY: &str = env!("CARGO_BIN_EXE_oleander-entry");
const FLEET: &str = env!("CARGO_BIN_EXE_oleander-fleet");
const STANDIN: &str = env!("CARGO_BIN_EXE_oleander-standin");

/// Much longer than a start, a stop or a log line takes.
const LIMIT: Duration = Duration::from_secs(20);

/// Waits until `look` finds something.
fn wait_for<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + LIMIT;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < until, "{what}: not within {LIMIT:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Free addresses for a process.
fn free_addresses() -> [SocketAddr; 4] {
    let listeners = [0; 4].map(|port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)));
    listeners.map(|listener| listener.and_then(|one| one.local_addr()).expect("a port"))
}

fn front_text([listen, ready, peer, admin]: [SocketAddr; 4], bounds: &str) -> String {
    format!(
        r#"{{"instance": "front", "domain": "north", "listen": "{listen}", "ready": "{ready}",
        "peer": "{peer}", "admin": "{admin}", "seeds": [], "store": "127.0.0.1:1", "bounds": {{{bounds}}}}}"#
    )
}

/// Settings of a program that is not a front.
fn other_text(program: &str, [listen, admin, peer, _]: [SocketAddr; 4]) -> String {
    let common = format!(
        r#""instance": "one", "domain": "north", "admin": "{admin}", "platform": "http://127.0.0.1:1",
        "list": "http://127.0.0.1:1/list", "root_keys": ["{}"]"#,
        "a".repeat(64)
    );
    match program {
        ENTRY => format!(r#"{{{common}, "listen": "{listen}", "peer": "{peer}"}}"#),
        FLEET => format!(r#"{{{common}, "cloud": "http://127.0.0.1:1"}}"#),
        _ => format!(r#"{{"listen": "{listen}"}}"#),
    }
}

fn write_file(path: &Path, text: &str) {
    std::fs::write(path, text).expect("a file for settings");
}

fn make_pipe(path: &Path) {
    let made = Command::new("mkfifo").arg(path).status().expect("mkfifo runs");
    assert!(made.success(), "a pipe for settings");
}

/// A program that was just started, without a platform.
struct StartedProgram {
    child: Child,
    settings: PathBuf,
    log: PathBuf,
}

impl StartedProgram {
    fn start(program: &str, prepare: impl FnOnce(&Path)) -> Self {
        static STARTS: AtomicUsize = AtomicUsize::new(0);
        let number = STARTS.fetch_add(1, Ordering::Relaxed);
        let path = |kind: &str| {
            let name = format!("oleander-signals-{}-{number}.{kind}", std::process::id());
            std::env::temp_dir().join(name)
        };
        let (settings, log) = (path("json"), path("log"));
        prepare(&settings);
        let child = Command::new(program)
            .arg("--settings")
            .arg(&settings)
            .stdout(File::create(&log).expect("a file for the log"))
            .spawn()
            .expect("it starts");
        StartedProgram { child, settings, log }
    }

    fn start_with(program: &str, text: &str) -> Self {
        Self::start(program, |path| write_file(path, text))
    }

    /// Starts a program that waits for its settings: they come by the pipe.
    fn start_reading(program: &str) -> (Self, File) {
        let started = Self::start(program, make_pipe);
        let pipe = started.open_pipe();
        (started, pipe)
    }

    /// Returns when the program has opened the pipe with its settings.
    fn open_pipe(&self) -> File {
        // Without a reader, this fails instead of waiting for one without end.
        let open = || OpenOptions::new().write(true).custom_flags(O_NONBLOCK).open(&self.settings);
        wait_for("it opens its settings", || open().ok())
    }

    /// Puts other settings in the place of those that are there.
    fn change_settings(&self, prepare: impl FnOnce(&Path)) {
        let part = self.settings.with_extension("part");
        prepare(&part);
        std::fs::rename(part, &self.settings).expect("the settings are changed");
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("it is told");
    }

    fn wait_until_it_logs(&mut self, text: &str) {
        wait_for(text, || {
            let ended = self.child.try_wait().expect("its state is known");
            let log = std::fs::read_to_string(&self.log).expect("a log");
            let is_logged = log.contains(text);
            assert!(is_logged || ended.is_none(), "{text}: {ended:?}");
            is_logged.then_some(())
        });
    }

    fn wait_for_its_end(&mut self) -> ExitStatus {
        wait_for("its end", || self.child.try_wait().expect("its state is known"))
    }

    fn runs(&mut self) -> bool {
        /// Longer than the end by a signal takes.
        const SETTLE_TIME: Duration = Duration::from_millis(200);
        std::thread::sleep(SETTLE_TIME);
        self.child.try_wait().expect("its state is known").is_none()
    }
}

impl Drop for StartedProgram {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
        let _ = std::fs::remove_file(&self.log);
    }
}

fn wait_until_it_listens(address: SocketAddr) {
    wait_for("it listens", || TcpStream::connect(address).ok());
}

/// Guards against processes that end when they are told of changed settings right after their start:
/// they listened before they received the signal.
#[test]
fn a_process_that_listens_may_be_told_of_changed_settings() {
    for number in 0..5 {
        let addresses = free_addresses();
        let mut front = StartedProgram::start_with(FRONT, &front_text(addresses, ""));
        wait_until_it_listens(addresses[0]);

        front.signal(Signal::SIGHUP);

        assert!(front.runs(), "start {number}");
    }
}

/// Guards against processes that end, or keep outdated settings, when they are told of changed settings before they
/// have read the earlier ones.
#[test]
fn a_process_that_reads_its_settings_may_be_told_that_they_changed() {
    let addresses = free_addresses();
    let (mut front, mut pipe) = StartedProgram::start_reading(FRONT);
    let changed = front_text(addresses, r#""retry_slack": 1234"#);
    front.change_settings(|path| write_file(path, &changed));

    front.signal(Signal::SIGHUP);
    pipe.write_all(front_text(addresses, "").as_bytes()).expect("it reads");
    drop(pipe);

    front.wait_until_it_logs(r#""told":true"#);
    front.wait_until_it_logs("retry_slack: 1234");
    assert!(front.runs());
}

/// Guards against hang-ups that are lost while the process reads its settings again.
#[test]
fn a_hang_up_during_a_read_of_the_settings_leads_to_another_read() {
    let addresses = free_addresses();
    let mut front = StartedProgram::start_with(FRONT, &front_text(addresses, ""));
    wait_until_it_listens(addresses[0]);
    front.change_settings(make_pipe);
    // It looks at its settings every few seconds, without a hang-up.
    let mut pipe = front.open_pipe();
    let changed = front_text(addresses, r#""retry_slack": 1234"#);
    front.change_settings(|path| write_file(path, &changed));

    front.signal(Signal::SIGHUP);
    pipe.write_all(front_text(addresses, "").as_bytes()).expect("it reads");
    drop(pipe);

    front.wait_until_it_logs(r#""told":true"#);
    front.wait_until_it_logs("retry_slack: 1234");
}

/// Guards against processes that take the system's default action for a stop signal that comes before they have
/// started: it would end them without their own steps.
#[test]
fn a_process_that_reads_its_settings_stops_in_order_when_asked_to() {
    for signal in [Signal::SIGTERM, Signal::SIGINT] {
        for program in [FRONT, ENTRY, FLEET, STANDIN] {
            let addresses = free_addresses();
            let text = match program {
                FRONT => front_text(addresses, ""),
                _ => other_text(program, addresses),
            };
            let (mut started, mut pipe) = StartedProgram::start_reading(program);

            started.signal(signal);
            pipe.write_all(text.as_bytes()).expect("it reads");
            drop(pipe);

            let status = started.wait_for_its_end();
            assert!(status.success(), "{program}: {status}");
        }
    }
}

/// Guards against hang-ups that end processes which read their settings only when they start.
#[test]
fn a_hang_up_does_not_end_an_entry_or_a_fleet_process() {
    for program in [ENTRY, FLEET] {
        let addresses = free_addresses();
        let (mut started, mut pipe) = StartedProgram::start_reading(program);

        started.signal(Signal::SIGHUP);
        pipe.write_all(other_text(program, addresses).as_bytes()).expect("it reads");
        drop(pipe);

        started.wait_until_it_logs("changed settings take effect at the next start");
        assert!(started.runs(), "{program}");
    }
}

/// Guards against further signals that cut a stop short.
#[test]
fn signals_to_a_process_that_stops_change_nothing() {
    let addresses = free_addresses();
    let mut front = StartedProgram::start_with(FRONT, &front_text(addresses, ""));
    wait_until_it_listens(addresses[0]);
    front.signal(Signal::SIGTERM);
    front.wait_until_it_logs("process_leaving");

    for signal in [Signal::SIGTERM, Signal::SIGHUP, Signal::SIGINT] {
        front.signal(signal);
    }

    let status = front.wait_for_its_end();
    front.wait_until_it_logs("process_stopped");
    assert!(status.success(), "{status}");
}
