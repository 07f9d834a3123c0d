//! Takes changed settings while the process runs.

use crate::node::FrontNode;
use actix_rt::signal::unix::{SignalKind, signal};
use oleander_conf::{FrontSettings, read_settings};
use oleander_kind::TimeSpan;
use std::path::PathBuf;
use std::rc::Rc;

/// Between two looks at the file: it may change without a signal.
const LOOK_PERIOD: TimeSpan = TimeSpan::secs(5);

/// Follows the settings file until the task is ended. A hang-up signal means that it changed; the
/// system's own answer to it would end the process and cut its requests.
pub async fn follow_settings(node: Rc<FrontNode>, path: PathBuf) {
    let mut hang_up = match signal(SignalKind::hangup()) {
        Ok(stream) => stream,
        Err(fault) => {
            slog::error!(node.log, "hang-up signals cannot be taken"; "fault" => fault.to_string());
            return;
        }
    };
    loop {
        tokio::select! {
            _ = hang_up.recv() => slog::info!(node.log, "told to read the settings again"),
            () = actix_rt::time::sleep(LOOK_PERIOD.duration()) => {}
        }
        match read_settings::<FrontSettings>(&path) {
            Ok(settings) => node.take_settings(settings),
            // The old ones stay in force.
            Err(fault) => {
                slog::warn!(node.log, "settings are at fault"; "fault" => fault.to_string())
            }
        }
    }
}
