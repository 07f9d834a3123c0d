//! Information taken from the heads of requests and answers.

use compact_str::CompactString;
use oleander_kind::{AccountName, InstanceId, RequestRate, TimeSpan};

/// A part of a prompt, either shared with other requests or unique to this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part; equal parts have equal ids.
    pub id: u64,
    /// The length of the part in tokens.
    pub tokens: u64,
}

/// Prompt tokens and maximum answer tokens of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCount {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Maximum tokens of the answer.
    pub answer: u64,
}

impl TokenCount {
    /// The sum of both.
    pub fn total(self) -> u64 {
        self.prompt.saturating_add(self.answer)
    }
}

/// The head of a request, independent of the caller's dialect.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallHead {
    /// The caller's id of this attempt.
    pub id: CompactString,
    /// The requested host.
    pub host: CompactString,
    /// The path without the query.
    pub path: CompactString,
    /// The API key; empty if none was sent.
    pub key: CompactString,
    /// How long the caller waits, if stated.
    pub max_wait: Option<TimeSpan>,
    /// The last event the caller has received; `None` to start from the beginning.
    pub last_event: Option<u64>,
    /// The id of the caller's attempt that brought the first event of the stream which this one takes up, if
    /// it says so.
    pub resumes: Option<CompactString>,
    /// Token counts, if the request states them.
    pub tokens: Option<TokenCount>,
    /// The parts of the prompt in order; the last is unique to the request.
    pub parts: Vec<PromptPart>,
    /// The caller's estimate of the answer length in tokens.
    pub length_hint: Option<u64>,
    /// Present if a peer relayed the request: the attempts that the peer leaves to this process. A
    /// relayed request is never relayed again.
    pub relayed_attempts: Option<u32>,
    /// The software version at which a relayed stream has to go on, as the peer knows it.
    pub origin: Option<CompactString>,
}

/// Headers that the proxy adds to an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptHeaders {
    /// The intended endpoint; another instance at the same address must refuse the request.
    pub instance: InstanceId,
    /// The client account; `None` on public routes.
    pub account: Option<AccountName>,
    /// Time left until the deadline.
    pub left: TimeSpan,
    /// The last event the caller has received.
    pub last_event: Option<u64>,
    /// Priority at the engine, 0 first; `None` for plain services.
    pub rank: Option<u8>,
}

/// What an endpoint says of itself when it is asked who it is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointIdentity {
    /// Whether it refused the question as meant for another instance.
    pub misdirected: bool,
    /// Its instance, if it names it.
    pub instance: Option<InstanceId>,
    /// Start time of its incarnation in Unix milliseconds, if it tells it.
    pub life: Option<u64>,
}

impl EndpointIdentity {
    /// Whether it says anything of itself, which an answer to another request does not.
    pub fn is_told(&self) -> bool {
        self.instance.is_some() || self.life.is_some()
    }

    /// Whether it may be the incarnation `life` of `instance`, where 0 stands for one that is not known.
    pub fn may_be(&self, instance: &InstanceId, life: u64) -> bool {
        let is_named = self.instance.as_ref().is_none_or(|named| named == instance);
        let is_same_start = self.life.is_none_or(|told| life == 0 || told == life);
        !self.misdirected && is_named && is_same_start
    }
}

/// Headers that a process adds to a request that it relays to a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayHeaders {
    /// The caller's API key.
    pub key: CompactString,
    /// Time left until the deadline.
    pub left: TimeSpan,
    /// The last event the caller has received.
    pub last_event: Option<u64>,
    /// The number of endpoints to which the peer may send the request.
    pub attempts: u32,
    /// The software version at which the stream has to go on, if it has begun.
    pub origin: Option<CompactString>,
    /// The caller's attempt that began the stream which this one takes up.
    pub resumes: Option<CompactString>,
}

/// What a peer says of its answer to a relayed request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayedAnswer {
    /// The code of its refusal, or 0 if it passes on an endpoint's answer.
    pub code: u16,
    /// The endpoints to which it sent the request.
    pub sent: u32,
    /// The software version at which the stream that it passes on began.
    pub origin: Option<CompactString>,
}

/// A value that an endpoint may announce about itself in an answer, such as its rate limit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum EndpointSignal<T> {
    /// The answer does not contain it.
    #[default]
    Absent,
    /// The stated value.
    Present(T),
    /// The value cannot be parsed; holds the truncated text.
    Unreadable(CompactString),
}

/// Information from the head of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The HTTP status.
    pub status: u16,
    /// The id of the request that this answers, if stated.
    pub id: Option<CompactString>,
    /// Whether the endpoint sealed the answer.
    pub sealed: bool,
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// Whether the body has a content encoding, which no endpoint uses.
    pub encoded: bool,
    /// How long the endpoint keeps an idle connection open, if stated.
    pub keep_alive: Option<TimeSpan>,
    /// Whether another instance than the intended one answered. Its statements about itself do not
    /// apply to the intended one.
    pub misdirected: bool,
    /// The requests per second that the endpoint accepts from all processes together.
    pub limit: EndpointSignal<RequestRate>,
    /// Whether the endpoint is shutting down.
    pub leaving: EndpointSignal<bool>,
    /// How long the endpoint, having refused this request, wants no more requests of this process.
    pub backoff: EndpointSignal<TimeSpan>,
    /// The refusals a second for want of room at which the endpoint falls over.
    pub brittle: EndpointSignal<u32>,
    /// Present if a peer answered a relayed request.
    pub relayed: Option<RelayedAnswer>,
    /// When the sender may be asked again, if stated.
    pub retry_after: Option<TimeSpan>,
}

impl AnswerHead {
    /// Whether the status is a success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Whether the answer belongs to request `id`, as far as it states an id.
    pub fn belongs_to(&self, id: &str) -> bool {
        self.id.as_deref().is_none_or(|named| named == id)
    }

    /// Whether the endpoint refused the request for want of room.
    pub fn is_full(&self) -> bool {
        /// HTTP status of such a refusal.
        const UNAVAILABLE: u16 = 503;
        self.not_run && self.status == UNAVAILABLE
    }

    /// Whether the answer to request `id` is a failure after which the request may go on elsewhere.
    pub fn fails(&self, id: &str) -> bool {
        let is_server_error = self.status >= 500;
        self.belongs_to(id) && (self.not_run || is_server_error || !self.is_sound(id))
    }

    /// Whether the answer may be passed to the caller of `id`.
    ///
    /// A corrupted endpoint may send bytes that parse as an answer. To avoid passing on an answer
    /// that nobody produced for this caller, a success must name its request and carry a seal.
    pub fn is_sound(&self, id: &str) -> bool {
        if self.encoded {
            return false;
        }
        !self.is_success() || (self.sealed && self.id.as_deref() == Some(id))
    }
}
