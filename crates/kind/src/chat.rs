//! Reads what routing needs from a chat request, without building its tree.
//!
//! Bodies are megabytes where a whole recipe book is rewritten, and each passes through an entry.
//! The visitors here walk the text once: they keep the model, the few numbers, and hashes of the
//! prompt's blocks, and allocate nothing for the messages themselves.

use crate::hash::{HASH_START, mix_bits};
use compact_str::CompactString;
use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use std::fmt;

/// Bytes of prompt text in one block, as the engines count their prefix cache.
pub const BLOCK_BYTES: usize = 64;
/// Bytes of prompt text in one token, as the engines count.
pub const TOKEN_BYTES: usize = 4;
/// Tokens in one block.
pub const BLOCK_TOKENS: u64 = (BLOCK_BYTES / TOKEN_BYTES) as u64;
/// Tokens generated when a request names no limit.
pub const DEFAULT_TOKENS: u32 = 64;

/// What routing needs of a chat request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChatHead {
    /// The model, which names a service.
    pub model: CompactString,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// The most tokens to generate.
    pub max_tokens: Option<u32>,
    /// Hashes of the prompt's blocks, each over the whole prefix up to its end.
    pub blocks: Vec<u64>,
    /// Prompt text, in bytes.
    pub prompt_bytes: u64,
    /// Hash of the whole prompt.
    pub prompt_hash: u64,
}

impl ChatHead {
    /// Prompt tokens, as the engines count.
    pub fn prompt_tokens(&self) -> u64 {
        self.prompt_bytes.div_ceil(TOKEN_BYTES as u64)
    }

    /// Tokens the request may generate.
    pub fn wanted_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_TOKENS)
    }
}

/// Hashes prompt text block by block, eight bytes at a step: byte by byte it took most of the time
/// of reading a request.
#[derive(Debug)]
pub struct PromptHasher {
    state: u64,
    block: [u8; BLOCK_BYTES],
    filled: usize,
    bytes: u64,
    blocks: Vec<u64>,
}

impl Default for PromptHasher {
    fn default() -> Self {
        PromptHasher {
            state: HASH_START,
            block: [0; BLOCK_BYTES],
            filled: 0,
            bytes: 0,
            blocks: Vec::new(),
        }
    }
}

const WORD: usize = 8;

fn hash_word(state: u64, word: [u8; WORD]) -> u64 {
    const FACTOR: u64 = 0x9fb2_1c65_1e98_df25;
    (state ^ u64::from_le_bytes(word)).wrapping_mul(FACTOR).rotate_left(29)
}

fn hash_block(state: u64, block: &[u8]) -> u64 {
    let words = block.chunks_exact(WORD);
    let tail = words.remainder();
    let state = words.fold(state, |state, chunk| {
        let mut word = [0; WORD];
        word.copy_from_slice(chunk);
        hash_word(state, word)
    });
    if tail.is_empty() {
        return state;
    }
    let mut word = [0; WORD];
    word[..tail.len()].copy_from_slice(tail);
    hash_word(state, word)
}

impl PromptHasher {
    /// Adds `text` to the prompt.
    pub fn add(&mut self, text: &str) {
        let mut rest = text.as_bytes();
        self.bytes += rest.len() as u64;
        while !rest.is_empty() {
            if self.filled == 0 && rest.len() >= BLOCK_BYTES {
                let (block, later) = rest.split_at(BLOCK_BYTES);
                self.close_block(block);
                rest = later;
                continue;
            }
            let room = BLOCK_BYTES - self.filled;
            let (now, later) = rest.split_at(room.min(rest.len()));
            self.block[self.filled..self.filled + now.len()].copy_from_slice(now);
            self.filled += now.len();
            if self.filled == BLOCK_BYTES {
                let block = self.block;
                self.close_block(&block);
                self.filled = 0;
            }
            rest = later;
        }
    }

    fn close_block(&mut self, block: &[u8]) {
        self.state = hash_block(self.state, block);
        self.blocks.push(mix_bits(self.state));
    }

    /// The block hashes, the length in bytes and the hash of all.
    pub fn finish(self) -> (Vec<u64>, u64, u64) {
        let tail = hash_block(self.state, &self.block[..self.filled]);
        (self.blocks, self.bytes, mix_bits(tail ^ self.bytes))
    }
}

/// Reads the head of a chat request.
///
/// # Errors
/// What is wrong with the text, with line and column.
pub fn read_chat_head(body: &[u8]) -> Result<ChatHead, serde_json::Error> {
    let mut reader = serde_json::Deserializer::from_slice(body);
    let head = reader.deserialize_map(HeadVisitor)?;
    reader.end()?;
    Ok(head)
}

struct HeadVisitor;

impl<'de> Visitor<'de> for HeadVisitor {
    type Value = ChatHead;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a chat request")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<ChatHead, A::Error> {
        let mut head = ChatHead::default();
        let mut hasher = PromptHasher::default();
        let mut has_messages = false;
        while let Some(field) = map.next_key::<std::borrow::Cow<'de, str>>()? {
            match field.as_ref() {
                "model" => head.model = map.next_value()?,
                "stream" => head.stream = map.next_value::<Option<bool>>()?.unwrap_or(false),
                "max_tokens" | "max_completion_tokens" => head.max_tokens = map.next_value()?,
                "messages" => {
                    map.next_value_seed(MessagesSeed(&mut hasher))?;
                    has_messages = true;
                }
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        if head.model.is_empty() {
            return Err(serde::de::Error::missing_field("model"));
        }
        if !has_messages {
            return Err(serde::de::Error::missing_field("messages"));
        }
        (head.blocks, head.prompt_bytes, head.prompt_hash) = hasher.finish();
        Ok(head)
    }
}

struct MessagesSeed<'a>(&'a mut PromptHasher);

impl<'de> DeserializeSeed<'de> for MessagesSeed<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, source: D) -> Result<(), D::Error> {
        source.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for MessagesSeed<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of messages")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        while seq.next_element_seed(MessageSeed(&mut *self.0))?.is_some() {}
        Ok(())
    }
}

struct MessageSeed<'a>(&'a mut PromptHasher);

impl<'de> DeserializeSeed<'de> for MessageSeed<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, source: D) -> Result<(), D::Error> {
        source.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for MessageSeed<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a message")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some(field) = map.next_key::<std::borrow::Cow<'de, str>>()? {
            match field.as_ref() {
                "content" | "text" => map.next_value_seed(ContentSeed(&mut *self.0))?,
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(())
    }
}

/// Message content: text, nothing, or a list of parts with text.
struct ContentSeed<'a>(&'a mut PromptHasher);

impl<'de> DeserializeSeed<'de> for ContentSeed<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, source: D) -> Result<(), D::Error> {
        source.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ContentSeed<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("text or a list of parts")
    }

    fn visit_str<E>(self, text: &str) -> Result<(), E> {
        self.0.add(text);
        Ok(())
    }

    fn visit_unit<E>(self) -> Result<(), E> {
        Ok(())
    }

    fn visit_none<E>(self) -> Result<(), E> {
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        while seq.next_element_seed(MessageSeed(&mut *self.0))?.is_some() {}
        Ok(())
    }
}
