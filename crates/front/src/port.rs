//! What the front process asks of a platform's adapter: translation, and nothing else.

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, ResponseHead};
use bytes::Bytes;
use oleander_call::{AnswerMark, AttemptStamp, CallHead, RuleSet};
use oleander_kind::{ClockTime, ResultCode};
use oleander_place::EndpointEntry;
use oleander_plat::FeedObject;
use oleander_release::{OrderEntry, ReleaseState};

/// Translates between the engine's types and the platform's names and formats.
pub trait PlatformDialect {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// The code of the refusal if the head lacks what every request needs.
    fn parse_request(&self, head: &RequestHead) -> Result<CallHead, ResultCode>;

    /// Takes out of a request's headers what concerns one connection only, and what is ours to set:
    /// a caller must not be able to set it.
    fn strip_request(&self, headers: &mut HeaderMap);

    /// Writes what an attempt tells its endpoint.
    fn stamp_request(&self, headers: &mut HeaderMap, stamp: &AttemptStamp);

    /// Reads the head of an endpoint's answer.
    fn parse_answer(&self, head: &ResponseHead) -> AnswerMark;

    /// Takes out of an answer's headers what concerns one connection only.
    fn strip_answer(&self, headers: &mut HeaderMap);

    /// Reads the operators' rules.
    ///
    /// # Errors
    /// What cannot be read.
    fn decode_rules(&self, object: &FeedObject) -> Result<RuleSet, String>;

    /// Reads an endpoint's entry as it was heard at `now`.
    ///
    /// # Errors
    /// What cannot be read.
    fn decode_endpoint(&self, object: &FeedObject, now: ClockTime)
    -> Result<EndpointEntry, String>;

    /// Reads an order of a roll-out.
    ///
    /// # Errors
    /// What cannot be read.
    fn decode_release(&self, object: &FeedObject) -> Result<OrderEntry, String>;

    /// Writes how an order for the version `to` stands.
    ///
    /// # Errors
    /// What cannot be written.
    fn encode_release_state(&self, state: ReleaseState, to: &str) -> Result<Bytes, String>;
}
