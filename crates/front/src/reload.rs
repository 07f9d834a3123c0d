//! Reloads the settings file while the process runs.

use crate::events::event;
use crate::node::FrontNode;
use actix_rt::signal::unix::Signal;
use oleander_conf::{FrontSettings, read_settings};
use oleander_kind::TimeSpan;
use std::path::PathBuf;
use std::rc::Rc;

/// Interval between reads of the file, which may change without a signal.
const POLL_PERIOD: TimeSpan = TimeSpan::secs(5);

/// A settings file that is followed.
pub struct SettingsFile {
    /// Where it is.
    pub path: PathBuf,
    /// Tells that it changed, also between the first read of it and the start.
    pub hang_ups: Signal,
}

/// Follows the settings file until the task is aborted. A hang-up signal means that it changed.
pub async fn follow_settings(node: Rc<FrontNode>, mut file: SettingsFile) {
    loop {
        tokio::select! {
            _ = file.hang_ups.recv() => event!(node, SettingsRead; "told" => true),
            () = actix_rt::time::sleep(POLL_PERIOD.duration()) => {}
        }
        match read_settings::<FrontSettings>(&file.path) {
            Ok(settings) => node.apply_settings(settings),
            // The current settings stay in force.
            Err(fault) => {
                event!(node, SettingsFault; "fault" => fault.to_string())
            }
        }
    }
}
