//! Extracts the fields that routing needs from a chat completion request without building a JSON
//! tree.
//!
//! Bodies can be megabytes long, for example when a whole recipe book is rewritten, and every body
//! passes through an entry. The visitors in this module parse the text in one pass. They keep the
//! model, a few numbers and the hashes of the prompt's blocks, and allocate nothing for the
//! messages themselves.

use crate::hash::{HASH_SEED, mix_bits};
use compact_str::CompactString;
use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use std::fmt;

/// Bytes of prompt text in one block, the unit of the engines' prefix caches.
pub const BLOCK_BYTES: usize = 64;
/// Bytes of prompt text that the engines count as one token.
pub const TOKEN_BYTES: usize = 4;
/// Prompt tokens in one block.
pub const BLOCK_TOKENS: u64 = (BLOCK_BYTES / TOKEN_BYTES) as u64;
/// Output token limit of a request that does not set one.
pub const DEFAULT_OUTPUT_TOKENS: u32 = 64;

/// The fields of a chat completion request that routing uses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChatHead {
    /// The requested model, which identifies a service.
    pub model: CompactString,
    /// Whether the caller requested a streamed answer.
    pub stream: bool,
    /// Maximum number of tokens to generate, if the request sets it.
    pub max_tokens: Option<u32>,
    /// One hash for each full prompt block, computed over the prefix that ends with the block.
    pub blocks: Vec<u64>,
    /// Length of the prompt text in bytes.
    pub prompt_bytes: u64,
    /// Hash of the whole prompt.
    pub prompt_hash: u64,
}

impl ChatHead {
    /// Returns the number of prompt tokens as the engines count them.
    pub fn prompt_tokens(&self) -> u64 {
        self.prompt_bytes.div_ceil(TOKEN_BYTES as u64)
    }

    /// Returns the maximum number of tokens the request may generate.
    pub fn output_token_limit(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS)
    }
}

/// Hashes prompt text block by block, eight bytes at a time. Hashing byte by byte took most of the
/// time of parsing a request.
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
            state: HASH_SEED,
            block: [0; BLOCK_BYTES],
            filled: 0,
            bytes: 0,
            blocks: Vec::new(),
        }
    }
}

const WORD_BYTES: usize = 8;

fn hash_word(state: u64, word: [u8; WORD_BYTES]) -> u64 {
    const MULTIPLIER: u64 = 0x9fb2_1c65_1e98_df25;
    (state ^ u64::from_le_bytes(word)).wrapping_mul(MULTIPLIER).rotate_left(29)
}

fn hash_block(state: u64, block: &[u8]) -> u64 {
    let words = block.chunks_exact(WORD_BYTES);
    let tail = words.remainder();
    let state = words.fold(state, |state, chunk| {
        let mut word = [0; WORD_BYTES];
        word.copy_from_slice(chunk);
        hash_word(state, word)
    });
    if tail.is_empty() {
        return state;
    }
    let mut word = [0; WORD_BYTES];
    word[..tail.len()].copy_from_slice(tail);
    hash_word(state, word)
}

impl PromptHasher {
    /// Appends `text` to the prompt.
    pub fn add(&mut self, text: &str) {
        let mut rest = text.as_bytes();
        self.bytes += rest.len() as u64;
        while !rest.is_empty() {
            if self.filled == 0 && rest.len() >= BLOCK_BYTES {
                let (block, later) = rest.split_at(BLOCK_BYTES);
                self.finish_block(block);
                rest = later;
                continue;
            }
            let remaining = BLOCK_BYTES - self.filled;
            let (chunk, later) = rest.split_at(remaining.min(rest.len()));
            self.block[self.filled..self.filled + chunk.len()].copy_from_slice(chunk);
            self.filled += chunk.len();
            if self.filled == BLOCK_BYTES {
                let block = self.block;
                self.finish_block(&block);
                self.filled = 0;
            }
            rest = later;
        }
    }

    fn finish_block(&mut self, block: &[u8]) {
        self.state = hash_block(self.state, block);
        self.blocks.push(mix_bits(self.state));
    }

    /// Returns the block hashes, the prompt length in bytes and the hash of the whole prompt.
    pub fn finish(self) -> (Vec<u64>, u64, u64) {
        let tail = hash_block(self.state, &self.block[..self.filled]);
        (self.blocks, self.bytes, mix_bits(tail ^ self.bytes))
    }
}

/// Parses the routing fields of a chat completion request.
///
/// # Errors
/// Returns the JSON error with its line and column if the body is malformed or lacks `model` or
/// `messages`.
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

/// Message content: text, null, or a list of content parts.
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
