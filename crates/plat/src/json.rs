//! JSON values as they stand in a text, delimited by brackets and quotes alone.
//!
//! A text of the platform may hold what other writers wrote: bytes that are no UTF-8, or are no JSON. A decoder of the
//! whole text fails at the first of them. Delimited first and decoded one by one, only the value that holds them is lost.

use bytes::Bytes;
use quick_error::quick_error;
use serde::Deserialize;
use std::fmt::Display;

/// What is kept of the beginning and the end of a long description of a fault, in characters. A decoder repeats the value
/// that it cannot decode, and says where it stands after it.
const KEPT_CHARS: usize = 80;

quick_error! {
    /// Why a value cannot be decoded.
    #[derive(Debug)]
    pub enum JsonFault {
        /// The text is no value, or its brackets and quotes do not tell where the value ends.
        Undelimited {
            display("no value can be delimited")
        }
        /// The value is no text.
        NoText(cause: std::str::Utf8Error) {
            display("{}", cause)
        }
        /// The value is no JSON, or none of the expected type.
        Undecodable(cause: serde_json::Error) {
            display("{}", fault_text(cause))
        }
        /// The object lacks a field.
        Missing(field: &'static str) {
            display("no field `{}`", field)
        }
    }
}

/// The result of reading a value.
pub type Result<T> = std::result::Result<T, JsonFault>;

/// Describes a fault in a text of bounded length.
pub fn fault_text(fault: &dyn Display) -> String {
    let text = fault.to_string();
    let cut = |at: Option<(usize, char)>| at.map(|(at, _)| at);
    let begin = cut(text.char_indices().nth(KEPT_CHARS));
    let end = cut(text.char_indices().nth_back(KEPT_CHARS - 1));
    match begin.zip(end).filter(|(begin, end)| begin < end) {
        Some((begin, end)) => format!("{}...{}", &text[..begin], &text[end..]),
        None => text,
    }
}

/// A value as it stands in a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JsonSlice<'a>(&'a [u8]);

/// The fields of an object, in the order in which they stand.
#[derive(Clone, Debug)]
pub struct JsonFields<'a>(Vec<(&'a [u8], JsonSlice<'a>)>);

impl<'a> JsonSlice<'a> {
    /// Delimits the only value of `text`.
    ///
    /// # Errors
    /// [`JsonFault::Undelimited`].
    pub fn of(text: &'a [u8]) -> Result<Self> {
        let mut cursor = TextCursor { text, at: 0 };
        let value = cursor.value().filter(|_| cursor.is_at_end());
        value.ok_or(JsonFault::Undelimited)
    }

    /// The value's text.
    pub fn bytes(self) -> &'a [u8] {
        self.0
    }

    /// Decodes the value.
    ///
    /// # Errors
    /// [`JsonFault::NoText`] or [`JsonFault::Undecodable`].
    pub fn decode<T: Deserialize<'a>>(self) -> Result<T> {
        let text = std::str::from_utf8(self.0).map_err(JsonFault::NoText)?;
        serde_json::from_str(text).map_err(JsonFault::Undecodable)
    }

    /// The bytes of a string, which need not be text, or of a number as it stands; empty for anything else.
    pub fn raw_text(self) -> Bytes {
        match self.0.first() {
            Some(b'"') => serde_json::from_slice(self.0).unwrap_or_default(),
            Some(b'{' | b'[') | None => Bytes::new(),
            Some(_) => Bytes::copy_from_slice(self.0.trim_ascii_end()),
        }
    }

    /// Delimits the items of an array.
    ///
    /// # Errors
    /// [`JsonFault::Undelimited`].
    pub fn items(self) -> Result<Vec<JsonSlice<'a>>> {
        self.members((b'[', b']'), TextCursor::value)
    }

    /// Delimits the fields of an object.
    ///
    /// # Errors
    /// [`JsonFault::Undelimited`].
    pub fn fields(self) -> Result<JsonFields<'a>> {
        self.members((b'{', b'}'), TextCursor::field).map(JsonFields)
    }

    fn members<T>(
        self,
        brackets: (u8, u8),
        next: impl Fn(&mut TextCursor<'a>) -> Option<T>,
    ) -> Result<Vec<T>> {
        let mut cursor = TextCursor { text: self.0, at: 0 };
        let members = cursor.members(brackets, next);
        members.filter(|_| cursor.is_at_end()).ok_or(JsonFault::Undelimited)
    }
}

impl<'a> JsonFields<'a> {
    /// The value of a field; the first one, if the object has several of the name.
    pub fn find(&self, name: &str) -> Option<JsonSlice<'a>> {
        let found = self.0.iter().find(|(key, _)| unquoted(key) == Some(name.as_bytes()));
        found.map(|(_, value)| *value)
    }

    /// The value of a field that the object must have.
    ///
    /// # Errors
    /// [`JsonFault::Missing`].
    pub fn get(&self, name: &'static str) -> Result<JsonSlice<'a>> {
        self.find(name).ok_or(JsonFault::Missing(name))
    }
}

fn unquoted(text: &[u8]) -> Option<&[u8]> {
    text.strip_prefix(b"\"")?.strip_suffix(b"\"")
}

/// Walks through a text, value by value.
struct TextCursor<'a> {
    text: &'a [u8],
    at: usize,
}

impl<'a> TextCursor<'a> {
    /// The next byte that is no white space.
    fn peek(&mut self) -> Option<u8> {
        while self.text.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        self.text.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> bool {
        let is_next = self.peek() == Some(byte);
        self.at += usize::from(is_next);
        is_next
    }

    fn is_at_end(&mut self) -> bool {
        self.peek().is_none()
    }

    fn members<T>(
        &mut self,
        (open, close): (u8, u8),
        next: impl Fn(&mut Self) -> Option<T>,
    ) -> Option<Vec<T>> {
        let mut members = Vec::new();
        if !self.take(open) {
            return None;
        }
        if self.take(close) {
            return Some(members);
        }
        loop {
            members.push(next(self)?);
            if self.take(close) {
                return Some(members);
            }
            if !self.take(b',') {
                return None;
            }
        }
    }

    fn field(&mut self) -> Option<(&'a [u8], JsonSlice<'a>)> {
        let name = self.value()?.0;
        self.take(b':').then_some(())?;
        Some((name, self.value()?))
    }

    /// Takes the next value.
    fn value(&mut self) -> Option<JsonSlice<'a>> {
        let first = self.peek()?;
        let begin = self.at;
        match first {
            b'"' => self.skip_string()?,
            b'{' | b'[' => self.skip_nested()?,
            b'}' | b']' | b',' | b':' => return None,
            _ => self.skip_plain(),
        }
        Some(JsonSlice(&self.text[begin..self.at]))
    }

    fn skip_string(&mut self) -> Option<()> {
        self.at += 1;
        loop {
            match self.text.get(self.at)? {
                b'"' => break,
                b'\\' => self.at += 2,
                _ => self.at += 1,
            }
        }
        self.at += 1;
        Some(())
    }

    /// Skips an object or an array. Whether its brackets fit together shows when it is decoded.
    fn skip_nested(&mut self) -> Option<()> {
        let mut depth = 0_usize;
        loop {
            match self.text.get(self.at)? {
                b'"' => {
                    self.skip_string()?;
                    continue;
                }
                b'{' | b'[' => depth += 1,
                b'}' | b']' => depth -= 1,
                _ => {}
            }
            self.at += 1;
            if depth == 0 {
                return Some(());
            }
        }
    }

    /// Skips a number, `true`, `false`, `null`, or what stands in their place.
    fn skip_plain(&mut self) {
        let is_end = |byte: &u8| matches!(byte, b'}' | b']' | b',' | b':');
        let rest = &self.text[self.at..];
        self.at += rest.iter().position(is_end).unwrap_or(rest.len());
    }
}
