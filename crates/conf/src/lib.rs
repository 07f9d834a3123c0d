//! Settings files in JSON with comments, which are validated completely at the start of a process.
//!
//! Every error names the file, line and field, so that an operator can fix it from the message alone.

pub mod entry;
pub mod fleet;
pub mod front;
pub mod reader;

pub use entry::{EntrySettings, EntryTimes, PeerSetting, RequestBounds};
pub use fleet::FleetSettings;
pub use front::{FrontBounds, FrontSettings};
pub use reader::{FieldCheck, Result, SettingsError, read_settings};
