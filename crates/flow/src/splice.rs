//! Joins the chunks of several attempts into one answer.

/// What to do with a chunk of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkVerdict {
    /// Deliver it without its first `skip` tokens, which were delivered before.
    Deliver {
        /// Number of tokens of the chunk that were delivered before.
        skip: u64,
    },
    /// Drop it: it belongs to an older attempt, or all of it was delivered before.
    Drop,
    /// Tokens are missing between `from` and the chunk and must be fetched first.
    Gap {
        /// Index of the first missing token.
        from: u64,
    },
}

/// Keeps the delivered tokens a prefix of the complete answer.
///
/// After a broken stream is resumed elsewhere, chunks of the old attempt may still arrive. They would
/// duplicate or reorder tokens in the caller's answer. Each chunk therefore carries its attempt and offset:
/// only chunks of the latest attempt are delivered, overlaps are skipped, and gaps are fetched.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerSplice {
    attempt: u32,
    delivered: u64,
    whole: bool,
}

impl AnswerSplice {
    /// Starts a newer attempt; chunks of older ones are dropped from now on.
    pub fn begin_attempt(&mut self, attempt: u32) {
        self.attempt = self.attempt.max(attempt);
    }

    /// Decides what to do with a chunk of `tokens` tokens that starts at token `start`, and counts its tokens as
    /// delivered if it is to be delivered.
    pub fn judge(&mut self, attempt: u32, start: u64, tokens: u64) -> ChunkVerdict {
        let end = start + tokens;
        if self.whole || attempt != self.attempt || end <= self.delivered {
            return ChunkVerdict::Drop;
        }
        if start > self.delivered {
            return ChunkVerdict::Gap { from: self.delivered };
        }
        let skip = self.delivered - start;
        self.delivered = end;
        ChunkVerdict::Deliver { skip }
    }

    /// Handles the finish marker of `attempt` for an answer of `total` tokens. The answer is complete only if
    /// all tokens were delivered.
    pub fn finish(&mut self, attempt: u32, total: u64) -> bool {
        if attempt == self.attempt && total == self.delivered {
            self.whole = true;
        }
        self.whole
    }

    /// Number of tokens delivered.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Whether the answer is complete.
    pub fn is_complete(&self) -> bool {
        self.whole
    }
}
