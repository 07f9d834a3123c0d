//! Reloads the settings file while the process runs.

use crate::events::event;
use crate::node::FrontNode;
use actix_rt::signal::unix::{Signal, SignalKind, signal};
use oleander_conf::{FrontSettings, read_settings};
use oleander_kind::TimeSpan;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;

/// Interval between reads of the file, which may change without a signal.
const POLL_PERIOD: TimeSpan = TimeSpan::secs(5);

/// Receives hang-up signals from now on. The system's default action would end the process and cut
/// its requests.
///
/// # Errors
/// Returns the error of the system.
pub fn hang_up_signals() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Follows the settings file until the task is aborted. A hang-up signal means that it changed.
pub async fn follow_settings(node: Rc<FrontNode>, path: PathBuf, hang_ups: io::Result<Signal>) {
    let mut hang_up = match hang_ups {
        Ok(stream) => stream,
        Err(fault) => {
            event!(node, SettingsFault; "fault" => fault.to_string());
            return;
        }
    };
    loop {
        tokio::select! {
            _ = hang_up.recv() => event!(node, SettingsRead; "told" => true),
            () = actix_rt::time::sleep(POLL_PERIOD.duration()) => {}
        }
        match read_settings::<FrontSettings>(&path) {
            Ok(settings) => node.apply_settings(settings),
            // The current settings stay in force.
            Err(fault) => {
                event!(node, SettingsFault; "fault" => fault.to_string())
            }
        }
    }
}
