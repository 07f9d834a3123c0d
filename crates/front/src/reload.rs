//! Reloads the settings file while the process runs.

use crate::events::event;
use crate::node::FrontNode;
use actix_rt::signal::unix::{SignalKind, signal};
use oleander_conf::{FrontSettings, read_settings};
use oleander_kind::TimeSpan;
use std::path::PathBuf;
use std::rc::Rc;

/// Interval between reads of the file, which may change without a signal.
const POLL_PERIOD: TimeSpan = TimeSpan::secs(5);

/// Follows the settings file until the task is aborted. A hang-up signal means that it changed; the
/// system's default action would end the process and cut its requests.
pub async fn follow_settings(node: Rc<FrontNode>, path: PathBuf) {
    let mut hang_up = match signal(SignalKind::hangup()) {
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
