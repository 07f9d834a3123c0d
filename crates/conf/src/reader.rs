//! Reads one settings file and places every fault.

use quick_error::quick_error;
use serde::de::DeserializeOwned;
use std::path::{Path, PathBuf};

quick_error! {
    /// Why a settings file was refused. All carry result code 4001.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file cannot be read.
        Unreadable(path: PathBuf, cause: std::io::Error) {
            display("4001 {}: cannot be read: {}", path.display(), cause)
        }
        /// The text is not JSON with comments, or a field is unknown, missing or of another type.
        Syntax(path: PathBuf, line: usize, text: String) {
            display("4001 {}:{}: {}", path.display(), line, text)
        }
        /// A value breaks a rule.
        Value(path: PathBuf, line: usize, field: &'static str, text: String) {
            display("4001 {}:{}: field `{}`: {}", path.display(), line, field, text)
        }
    }
}

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// A value that breaks a rule: the field and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldFault {
    /// The field's name as the file writes it.
    pub field: &'static str,
    /// What is wrong, and what would be right.
    pub text: String,
}

/// Settings that check their own values.
pub trait FieldCheck {
    /// The first fault, if there is one.
    ///
    /// # Errors
    /// The field and the rule it breaks.
    fn check(&self) -> std::result::Result<(), FieldFault>;
}

/// Reads and checks the settings in `path`.
///
/// # Errors
/// The file, line and field of the first fault.
pub fn read_settings<T: DeserializeOwned + FieldCheck>(path: &Path) -> Result<T> {
    let text = std::fs::read_to_string(path)
        .map_err(|cause| SettingsError::Unreadable(path.to_path_buf(), cause))?;
    parse_settings(path, &text)
}

/// Reads and checks settings from `text`; `path` is only named in faults.
///
/// # Errors
/// As [`read_settings`].
pub fn parse_settings<T: DeserializeOwned + FieldCheck>(path: &Path, text: &str) -> Result<T> {
    let settings: T = serde_jsonc::from_str(text).map_err(|fault| {
        SettingsError::Syntax(path.to_path_buf(), fault.line(), fault.to_string())
    })?;
    settings.check().map_err(|fault| {
        let line = line_of_field(text, fault.field);
        SettingsError::Value(path.to_path_buf(), line, fault.field, fault.text)
    })?;
    Ok(settings)
}

/// The line on which `field` is written; 1 if it was left out and its default is at fault.
fn line_of_field(text: &str, field: &str) -> usize {
    let quoted = format!("\"{field}\"");
    text.lines().position(|line| line.contains(&quoted)).map_or(1, |at| at + 1)
}

/// Fails unless `holds`.
///
/// # Errors
/// The fault of `field`, with `text`.
pub fn require(
    holds: bool,
    field: &'static str,
    text: &str,
) -> std::result::Result<(), FieldFault> {
    if holds { Ok(()) } else { Err(FieldFault { field, text: text.to_owned() }) }
}
