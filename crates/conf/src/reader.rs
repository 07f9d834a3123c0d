//! Reads and validates a settings file, and locates errors by line and field.

use quick_error::quick_error;
use serde::de::DeserializeOwned;
use std::path::{Path, PathBuf};

quick_error! {
    /// Why a settings file was rejected. Every message starts with result code 4001.
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
        /// A value violates a rule.
        Value(path: PathBuf, line: usize, field: &'static str, text: String) {
            display("4001 {}:{}: field `{}`: {}", path.display(), line, field, text)
        }
    }
}

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// Violation of a rule by the value of one field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// Name of the field in the settings file.
    pub field: &'static str,
    /// Description of the violation or of the values that are allowed.
    pub text: String,
}

/// Validation of the values of a settings type.
pub trait FieldCheck {
    /// Checks all fields and stops at the first violation.
    ///
    /// # Errors
    /// The field and the rule it breaks.
    fn check(&self) -> std::result::Result<(), FieldError>;
}

/// Reads and validates the settings file at `path`.
///
/// # Errors
/// The file, line and field of the first error.
pub fn read_settings<T: DeserializeOwned + FieldCheck>(path: &Path) -> Result<T> {
    let text = std::fs::read_to_string(path)
        .map_err(|cause| SettingsError::Unreadable(path.to_path_buf(), cause))?;
    parse_settings(path, &text)
}

/// Reads and validates settings from `text`; `path` is used only in error messages.
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

/// Returns the line on which `field` is set, or 1 if it is absent and its default violates a rule.
fn line_of_field(text: &str, field: &str) -> usize {
    let quoted = format!("\"{field}\"");
    text.lines().position(|line| line.contains(&quoted)).map_or(1, |at| at + 1)
}

/// Checks that `holds` is true.
///
/// # Errors
/// A violation by `field` that `text` describes.
pub fn require(
    holds: bool,
    field: &'static str,
    text: &str,
) -> std::result::Result<(), FieldError> {
    if holds { Ok(()) } else { Err(FieldError { field, text: text.to_owned() }) }
}
