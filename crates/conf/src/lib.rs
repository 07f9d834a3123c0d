//! Settings files: JSON with comments, fully checked before a process does anything.
//!
//! A fault names file, line and field, because the operator who reads it at night has only that.

pub mod entry;
pub mod fleet;
pub mod front;
pub mod reader;

pub use entry::{EntrySettings, EntryTimes, PeerSetting, RequestBounds};
pub use fleet::FleetSettings;
pub use front::{FrontBounds, FrontSettings};
pub use reader::{FieldCheck, Result, SettingsError, read_settings};
