//! What is known of a request and of an answer from their heads.

use compact_str::CompactString;
use oleander_kind::{AccountName, InstanceId, RequestRate, TimeSpan};

/// One part of a prompt, shared with other requests or the request's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Names the part; equal parts have equal ids.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// How many tokens a request reads and may make.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCount {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// The most tokens of the answer.
    pub answer: u64,
}

impl TokenCount {
    /// Both together.
    pub fn total(self) -> u64 {
        self.prompt.saturating_add(self.answer)
    }
}

/// A request's head in the engine's terms.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallHead {
    /// The caller's id of this attempt.
    pub id: CompactString,
    /// The host asked for.
    pub host: CompactString,
    /// The path without its query.
    pub path: CompactString,
    /// The key shown; empty if none.
    pub key: CompactString,
    /// How long the caller waits; none if it did not say.
    pub max_wait: Option<TimeSpan>,
    /// The last event the caller has; none if it asks for all.
    pub last_event: Option<u64>,
    /// Tokens, if the request names them.
    pub tokens: Option<TokenCount>,
    /// The prompt's parts in order; the last is the request's own.
    pub parts: Vec<PromptPart>,
    /// The caller's guess of the answer's length in tokens.
    pub length_hint: Option<u64>,
}

/// What an attempt tells its endpoint besides the caller's own words.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptHeaders {
    /// The endpoint that is meant; another one at its address must refuse.
    pub instance: InstanceId,
    /// The client account; none on public routes.
    pub account: Option<AccountName>,
    /// Time left.
    pub left: TimeSpan,
    /// The last event the caller has.
    pub last_event: Option<u64>,
    /// Rank at the engine, 0 first; none for plain services.
    pub rank: Option<u8>,
}

/// One thing that an endpoint may say of itself in an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum EndpointSignal<T> {
    /// The answer does not say it.
    #[default]
    Absent,
    /// It says this.
    Present(T),
    /// It says something that cannot be understood; the text, cut short.
    Unreadable(CompactString),
}

/// What an answer's head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// The request that it answers; none if it does not say.
    pub id: Option<CompactString>,
    /// Whether the endpoint vouches for it.
    pub sealed: bool,
    /// Whether the endpoint says that it did not run the request.
    pub not_run: bool,
    /// Whether its body is encoded, which no endpoint does.
    pub encoded: bool,
    /// How long the endpoint keeps an idle connection, if it says so.
    pub keep_alive: Option<TimeSpan>,
    /// Whether another instance than the one meant gave it. What it says of itself is not of the one meant.
    pub misdirected: bool,
    /// How many requests a second the endpoint takes from all processes together.
    pub limit: EndpointSignal<RequestRate>,
    /// Whether the endpoint leaves.
    pub leaving: EndpointSignal<bool>,
    /// For how long the endpoint, which turned the request away, wants none from this process.
    pub backoff: EndpointSignal<TimeSpan>,
}

impl AnswerHead {
    /// Whether it is a success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Whether it belongs to request `id`, as far as it says.
    pub fn belongs_to(&self, id: &str) -> bool {
        self.id.as_deref().is_none_or(|named| named == id)
    }

    /// Whether it may be given to the caller of `id`.
    ///
    /// A spoiled endpoint may send bytes that parse as an answer. Passing them on would give a
    /// caller what nobody made for it; a success must therefore name its request and be vouched for.
    pub fn is_sound(&self, id: &str) -> bool {
        if self.encoded {
            return false;
        }
        !self.is_success() || (self.sealed && self.id.as_deref() == Some(id))
    }
}
