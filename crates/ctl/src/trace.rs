//! `trace`: what several processes' logs say of one request, as one account in time order.

use crate::Result;
use crate::command::CtlError;
use serde_json::{Map, Value};
use std::path::Path;

/// Fields that every line has and that are printed first or not at all.
const COMMON: [&str; 6] = ["msg", "level", "ts", "instance", "process", "request"];

/// One line of a log that names the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceLine {
    /// When it was written, as the process's clock had it.
    pub at: String,
    /// The process.
    pub instance: String,
    /// The event's name.
    pub event: String,
    /// Its other fields.
    pub fields: Vec<(String, String)>,
}

/// The lines of `text` that name request `id`. Whatever stands before a line's JSON is passed over,
/// and so are lines without any.
pub fn lines_of(id: &str, text: &str) -> Vec<TraceLine> {
    text.lines().filter(|line| line.contains(id)).filter_map(|line| read_line(id, line)).collect()
}

fn read_line(id: &str, line: &str) -> Option<TraceLine> {
    let json = &line[line.find('{')?..];
    let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    let text = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_owned);
    if text("request").as_deref() != Some(id) {
        return None;
    }
    let others =
        fields.iter().filter(|(name, value)| !COMMON.contains(&name.as_str()) && !value.is_null());
    Some(TraceLine {
        at: text("ts")?,
        instance: text("instance")?,
        event: text("msg")?,
        fields: others.map(|(name, value)| (name.clone(), plain(value))).collect(),
    })
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

/// The lines of all `texts` in time order. Clocks of processes differ by milliseconds, so lines of
/// different processes that are close together may stand in the wrong order.
pub fn join_lines(id: &str, texts: &[String]) -> Vec<TraceLine> {
    let mut lines: Vec<_> = texts.iter().flat_map(|text| lines_of(id, text)).collect();
    lines.sort_by(|a, b| a.at.cmp(&b.at));
    lines
}

/// Reads the files and prints the account.
///
/// # Errors
/// [`CtlError::File`], or [`CtlError::Usage`] if no line names the request.
pub fn trace(id: &str, files: &[&str]) -> Result<String> {
    let read = |file: &&str| {
        let path = Path::new(file).to_path_buf();
        std::fs::read_to_string(&path).map_err(|cause| CtlError::File(path, cause))
    };
    let texts: Vec<String> = files.iter().map(read).collect::<Result<_>>()?;
    let lines = join_lines(id, &texts);
    if lines.is_empty() {
        return Err(CtlError::Usage(format!("no line names request {id}")));
    }
    let print = |line: &TraceLine| {
        let fields: Vec<_> =
            line.fields.iter().map(|(name, value)| format!("{name}={value}")).collect();
        format!("{} {} {} {}\n", line.at, line.instance, line.event, fields.join(" "))
    };
    Ok(lines.iter().map(print).collect())
}
