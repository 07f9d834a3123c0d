//! What the binaries share: arguments, settings, signals.

use actix_rt::signal::unix::{Signal, SignalKind, signal};
use actix_rt::{System, SystemRunner};
use lexopt::Arg;
use oleander_conf::{FieldCheck, read_settings};
use serde::de::DeserializeOwned;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for a wrong command line or wrong settings.
pub const USAGE_EXIT: u8 = 2;

/// What a process was asked for on its command line.
#[derive(Debug, Default)]
pub struct ProcessArguments {
    /// The settings file.
    pub settings: Option<PathBuf>,
    /// Only check the settings.
    pub check: bool,
    /// Further options, by name.
    pub options: Vec<(String, String)>,
}

impl ProcessArguments {
    /// Reads the process' arguments; `options` are names that take a value.
    ///
    /// # Errors
    /// One line that says what is wrong.
    pub fn read(options: &[&str]) -> Result<ProcessArguments, String> {
        let mut arguments = ProcessArguments::default();
        let mut parser = lexopt::Parser::from_env();
        while let Some(argument) = parser.next().map_err(|fault| fault.to_string())? {
            match argument {
                Arg::Long("check") => arguments.check = true,
                Arg::Long("settings") => {
                    let value = parser.value().map_err(|fault| fault.to_string())?;
                    arguments.settings = Some(PathBuf::from(value));
                }
                Arg::Long(name) if options.contains(&name) => {
                    let name = name.to_owned();
                    let value = parser.value().map_err(|fault| fault.to_string())?;
                    arguments.options.push((name, value.to_string_lossy().into_owned()));
                }
                other => return Err(other.unexpected().to_string()),
            }
        }
        Ok(arguments)
    }

    /// The value of an option.
    pub fn option(&self, name: &str) -> Option<&str> {
        let found = self.options.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads arguments and settings; an exit code if the process must not go on.
///
/// # Errors
/// The exit code, after one line on standard error.
pub fn read_or_exit<T: DeserializeOwned + FieldCheck>(
    program: &str,
    options: &[&str],
) -> Result<(T, ProcessArguments), ExitCode> {
    read_or_exit_with(program, options, None)
}

/// As [`read_or_exit`], with the settings file to read if the command line names none.
///
/// # Errors
/// The exit code, after one line on standard error.
pub fn read_or_exit_with<T: DeserializeOwned + FieldCheck>(
    program: &str,
    options: &[&str],
    default_path: Option<PathBuf>,
) -> Result<(T, ProcessArguments), ExitCode> {
    let usage = || {
        eprintln!("usage: {program} --settings FILE [--check]");
        ExitCode::from(USAGE_EXIT)
    };
    let arguments = ProcessArguments::read(options).map_err(|fault| {
        eprintln!("4002 {program}: {fault}");
        usage()
    })?;
    let Some(path) = arguments.settings.clone().or(default_path) else {
        return Err(usage());
    };
    let settings: T = read_settings(&path).map_err(|fault| {
        eprintln!("{fault}");
        ExitCode::from(USAGE_EXIT)
    })?;
    if arguments.check {
        println!("{}: no faults", path.display());
        return Err(ExitCode::SUCCESS);
    }
    Ok((settings, arguments))
}

/// The signals that a process receives from the moment this is made. None of them takes the system's default action
/// from then on, and none that comes before somebody waits for it is lost.
pub struct ProcessSignals {
    /// Tells that the settings file changed.
    pub hang_ups: Signal,
    /// Asks the process to stop.
    pub stops: StopSignals,
}

/// The signals that ask a process to stop.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl ProcessSignals {
    /// Receives signals from now on. Needs a runtime.
    ///
    /// # Errors
    /// The system's.
    pub fn receive() -> io::Result<Self> {
        let stops = StopSignals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        };
        Ok(ProcessSignals { hang_ups: signal(SignalKind::hangup())?, stops })
    }
}

impl StopSignals {
    /// Waits until the process is asked to stop.
    pub async fn wait(&mut self) {
        let terminate = std::pin::pin!(self.terminate.recv());
        let interrupt = std::pin::pin!(self.interrupt.recv());
        futures_util::future::select(terminate, interrupt).await;
    }
}

/// Starts the runtime and receives signals. A program does this first: until then, a signal ends it.
///
/// # Errors
/// The exit code, after one line on standard error.
pub fn runtime_or_exit(program: &str) -> Result<(SystemRunner, ProcessSignals), ExitCode> {
    let runtime = System::new();
    match runtime.block_on(async { ProcessSignals::receive() }) {
        Ok(signals) => Ok((runtime, signals)),
        Err(fault) => {
            eprintln!("{program}: cannot receive signals: {fault}");
            Err(ExitCode::FAILURE)
        }
    }
}

/// Logs hang-ups at a process that reads its settings only when it starts.
pub async fn log_hang_ups(mut hang_ups: Signal, log: slog::Logger) {
    while hang_ups.recv().await.is_some() {
        slog::info!(log, "changed settings take effect at the next start");
    }
}
