//! Judges heads of answers beyond what the library's codec does.

use crate::link::{LinkError, Result};

/// Statuses begin with less than this digit (RFC 9110, section 15).
const STATUS_END: u8 = b'6';
/// Length to which text of a head is cut in an error, in bytes.
const MAX_SHOWN_BYTES: usize = 64;

/// Rejects a head with a status beyond 599, or with a field name that holds white space or a control character. Looks at
/// what has arrived of it.
///
/// The codec takes white space behind a name away (RFC 9112, section 5.1). What such a line says was not written by a sound
/// endpoint, and may be the length of the body.
pub(crate) fn check_head(text: &[u8]) -> Result<()> {
    let mut lines = head_lines(text);
    let status = lines.next().and_then(status_of);
    if let Some(status) = status.filter(|status| status.len() == 3 && status[0] >= STATUS_END) {
        return Err(malformed("status", status));
    }
    let is_colon = |byte: &u8| *byte == b':';
    let mut names = lines.filter_map(|line| Some(&line[..line.iter().position(is_colon)?]));
    let is_odd = |name: &&[u8]| name.iter().any(|byte| *byte == b' ' || byte.is_ascii_control());
    names.find(is_odd).map_or(Ok(()), |name| Err(malformed("field name", name)))
}

/// The status line and the fields of a head, as far as it has arrived.
fn head_lines(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = text.split(|byte| *byte == b'\n');
    let lines = lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    // Empty lines may precede the status line.
    lines.skip_while(|line| line.is_empty()).take_while(|line| !line.is_empty())
}

fn status_of(line: &[u8]) -> Option<&[u8]> {
    line.split(|byte| *byte == b' ').nth(1)
}

fn malformed(what: &str, text: &[u8]) -> LinkError {
    let shown = &text[..text.len().min(MAX_SHOWN_BYTES)];
    LinkError::Malformed(format!("{what} {}", shown.escape_ascii()))
}

/// Checks the heads among the bytes that are read from a connection, for clients of which only the library sees them.
#[derive(Debug, Default)]
pub struct HeadWatch {
    /// What was read of the head under way; `None` while a body is read.
    head: Option<Vec<u8>>,
}

impl HeadWatch {
    /// Notes that a request, or more of one, was written: what is read next begins a head.
    pub fn note_written(&mut self) {
        self.head.get_or_insert_default();
    }

    /// Checks bytes that were read.
    ///
    /// # Errors
    /// [`LinkError::Malformed`] as of [`SentLink::read_head`](crate::SentLink::read_head).
    pub fn note_read(&mut self, bytes: &[u8]) -> Result<()> {
        let Some(head) = &mut self.head else { return Ok(()) };
        head.extend_from_slice(bytes);
        check_head(head)?;
        while let Some(end) = head_end(head) {
            let is_interim = head_lines(head).next().and_then(status_of).is_some_and(is_interim);
            if !is_interim {
                self.head = None;
                break;
            }
            head.drain(..end);
            check_head(head)?;
        }
        Ok(())
    }
}

/// Where the body begins that follows a whole head.
fn head_end(text: &[u8]) -> Option<usize> {
    let begin = text.iter().position(|byte| !matches!(byte, b'\r' | b'\n'))?;
    let mut line_begin = begin;
    for at in (begin..text.len()).filter(|at| text[*at] == b'\n') {
        if matches!(&text[line_begin..at], b"" | b"\r") {
            return Some(at + 1);
        }
        line_begin = at + 1;
    }
    None
}

fn is_interim(status: &[u8]) -> bool {
    const SWITCHING_PROTOCOLS: &[u8] = b"101";
    status.starts_with(b"1") && status != SWITCHING_PROTOCOLS
}
