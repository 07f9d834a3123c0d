//! The interface to a platform adapter, which translates between the platform's formats and the types of
//! the front process.

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, ResponseHead};
use bytes::Bytes;
use oleander_call::{
    AnswerHead, AttemptHeaders, CallHead, EndpointIdentity, RelayHeaders, RelayedAnswer, RuleSet,
};
use oleander_kind::{ClockTime, InstanceId, ResultCode};
use oleander_place::EndpointEntry;
use oleander_plat::FeedObject;
use oleander_release::{OrderEntry, ReleaseState};

/// Translates between the types of the front process and the headers and formats of a platform.
pub trait PlatformDialect {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    /// The result code of the refusal if a required header is missing or invalid.
    fn parse_request(&self, head: &RequestHead) -> Result<CallHead, ResultCode>;

    /// Removes hop-by-hop headers from a request, and headers that only the front process may set.
    fn strip_request(&self, headers: &mut HeaderMap);

    /// Sets the headers that carry the data of an attempt to its endpoint.
    fn stamp_request(&self, headers: &mut HeaderMap, stamp: &AttemptHeaders);

    /// Sets the headers of the request by which `instance` is asked who it is.
    fn stamp_identity_request(&self, headers: &mut HeaderMap, instance: &InstanceId);

    /// Parses an endpoint's answer to that request.
    fn parse_identity(&self, head: &ResponseHead, body: &[u8]) -> EndpointIdentity;

    /// Sets the headers of a request that is relayed to a peer.
    fn stamp_relay(&self, headers: &mut HeaderMap, stamp: &RelayHeaders);

    /// Marks the answer to a relayed request.
    fn stamp_relay_answer(&self, headers: &mut HeaderMap, answer: RelayedAnswer);

    /// Parses the head of an endpoint's or peer's answer.
    fn parse_answer(&self, head: &ResponseHead) -> AnswerHead;

    /// Removes hop-by-hop headers from an answer.
    fn strip_answer(&self, headers: &mut HeaderMap);

    /// Decodes the operators' rules.
    ///
    /// # Errors
    /// A description of what cannot be decoded.
    fn decode_rules(&self, object: &FeedObject) -> Result<RuleSet, String>;

    /// Decodes an endpoint's entry that was received at `now`.
    ///
    /// # Errors
    /// A description of what cannot be decoded.
    fn decode_endpoint(&self, object: &FeedObject, now: ClockTime)
    -> Result<EndpointEntry, String>;

    /// Decodes a roll-out order.
    ///
    /// # Errors
    /// A description of what cannot be decoded.
    fn decode_release(&self, object: &FeedObject) -> Result<OrderEntry, String>;

    /// Encodes the state of a roll-out order for the version `to`.
    ///
    /// # Errors
    /// A description of what cannot be encoded.
    fn encode_release_state(&self, state: ReleaseState, to: &str) -> Result<Bytes, String>;
}
