//! Joining the pieces of several attempts into one answer.

/// What to do with a piece of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkVerdict {
    /// Show it, without its first `skip` tokens (they were shown before).
    Deliver {
        /// Tokens of the piece that overlap what was shown.
        skip: u64,
    },
    /// Drop it: it belongs to an older attempt, or all of it was shown.
    Drop,
    /// Tokens are missing between `from` and the piece; fetch them first.
    Gap {
        /// The first missing token.
        from: u64,
    },
}

/// Keeps the shown text a prefix of the final text.
///
/// A cut stream that is resumed elsewhere leaves late frames of the old attempt on the way. Shown,
/// they would double or cross tokens in the caller's answer. A frame therefore carries its attempt
/// and offset: only the newest attempt is shown, an overlap is cut, a gap is fetched.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerSplice {
    attempt: u32,
    delivered: u64,
    whole: bool,
}

impl AnswerSplice {
    /// Starts a newer attempt; frames of older ones are dropped from now on.
    pub fn begin_attempt(&mut self, attempt: u32) {
        self.attempt = self.attempt.max(attempt);
    }

    /// Judges a piece of `tokens` tokens that starts at token `start`.
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

    /// Takes a finish marker of `attempt` that closes an answer of `total` tokens. Whole only if
    /// every token was shown.
    pub fn finish(&mut self, attempt: u32, total: u64) -> bool {
        if attempt == self.attempt && total == self.delivered {
            self.whole = true;
        }
        self.whole
    }

    /// Tokens shown.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Whether the answer is whole.
    pub fn is_whole(&self) -> bool {
        self.whole
    }
}
