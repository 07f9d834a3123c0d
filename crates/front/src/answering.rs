//! The connection of an attempt, as far as its answer has been read.
//!
//! An attempt that was sent beside a silent one has begun its answer when it takes over. What was read of it until
//! then goes with its connection.

use crate::whole::BUFFER_LIMIT;
use actix_http::ResponseHead;
use bytes::{Bytes, BytesMut};
use oleander_call::{AttemptEnd, EventSplitter, StreamTail, TailVerdict};
use oleander_outlet::{BodyEnd, BodyLink, BodyPart, LinkError, SentLink};
use tokio::time::Instant;

/// The connection of an attempt that was sent.
pub(crate) struct StandbyLink {
    /// How far its answer has been read.
    pub state: LinkState,
    /// Whether the connection carried another request before.
    pub reused: bool,
    /// When the request was handed to the connection.
    pub sent_at: Instant,
}

/// How far the answer to an attempt has been read.
pub(crate) enum LinkState {
    /// No head yet.
    Sent(SentLink),
    /// The head is this request's.
    Answering(EarlyAnswer),
    /// The connection is being passed on.
    Taken,
}

/// The beginning of an answer.
pub(crate) struct EarlyAnswer {
    /// The head.
    pub head: ResponseHead,
    /// The connection, for the rest of the body.
    pub body: BodyLink,
    /// What broke it, if anything did.
    pub fault: Option<LinkError>,
    read: BytesMut,
    splitter: EventSplitter,
}

impl StandbyLink {
    /// The connection of a request that is sent now.
    pub(crate) fn new(sent: SentLink, reused: bool) -> Self {
        StandbyLink { state: LinkState::Sent(sent), reused, sent_at: Instant::now() }
    }

    /// Whether a byte of the request may have been sent.
    pub(crate) fn may_have_sent(&self) -> bool {
        match &self.state {
            LinkState::Sent(sent) => sent.may_have_sent(),
            LinkState::Answering(_) | LinkState::Taken => true,
        }
    }

    /// Whether nothing but the end of the connection will show the end of the answer with `head`.
    pub(crate) fn ends_with_connection(&self, head: &ResponseHead) -> bool {
        matches!(&self.state, LinkState::Sent(sent) if sent.ends_with_connection(head))
    }

    /// The head of the answer has been read.
    pub(crate) fn begin_answer(&mut self, head: ResponseHead) {
        if let LinkState::Sent(sent) = std::mem::replace(&mut self.state, LinkState::Taken) {
            self.state = LinkState::Answering(EarlyAnswer::new(sent.into_body(&head), head));
        }
    }
}

impl EarlyAnswer {
    /// An answer of which nothing but the head was read.
    pub(crate) fn new(body: BodyLink, head: ResponseHead) -> Self {
        let (read, splitter) = (BytesMut::new(), EventSplitter::default());
        EarlyAnswer { head, body, fault: None, read, splitter }
    }

    /// The head, the connection for the rest of the body, and what was read of it.
    pub(crate) fn into_parts(self) -> (ResponseHead, BodyLink, Bytes) {
        (self.head, self.body, self.read.freeze())
    }

    /// Reads until there is an event after `last_event`, or the stream has ended as its caller's answer may. Can be
    /// dropped and called again.
    ///
    /// # Errors
    /// How the attempt ended, if it broke before.
    pub(crate) async fn read_beyond(
        &mut self,
        last_event: Option<u64>,
        must_state: bool,
    ) -> Result<(), AttemptEnd> {
        loop {
            match self.body.next().await {
                Ok(BodyPart::Bytes(bytes)) => {
                    self.read.extend_from_slice(&bytes);
                    self.splitter.push(&bytes);
                    if self.has_event_after(last_event)? {
                        return Ok(());
                    }
                }
                Ok(BodyPart::End(end)) => return self.judge_end(end, last_event, must_state),
                Err(fault) => return self.note_fault(fault),
            }
        }
    }

    /// Reads an answer that is no stream to its end. Can be dropped and called again.
    ///
    /// # Errors
    /// How the attempt ended, if the answer broke off or is too long.
    pub(crate) async fn read_whole(&mut self) -> Result<(), AttemptEnd> {
        while self.read.len() <= BUFFER_LIMIT {
            match self.body.next().await {
                Ok(BodyPart::Bytes(bytes)) => self.read.extend_from_slice(&bytes),
                Ok(BodyPart::End(_)) => return Ok(()),
                Err(fault) => return self.note_fault(fault),
            }
        }
        Err(AttemptEnd::Broken)
    }

    fn note_fault(&mut self, fault: LinkError) -> Result<(), AttemptEnd> {
        self.fault = Some(fault);
        Err(AttemptEnd::Broken)
    }

    fn has_event_after(&mut self, last_event: Option<u64>) -> Result<bool, AttemptEnd> {
        while let Some(event) = self.splitter.next_event().map_err(|_| AttemptEnd::Broken)? {
            if event.is_after(last_event) {
                return Ok(true);
            }
        }
        Ok(false)
    }

    fn judge_end(
        &self,
        end: BodyEnd,
        last_event: Option<u64>,
        must_state: bool,
    ) -> Result<(), AttemptEnd> {
        let caller = (last_event.is_some(), must_state);
        match StreamTail::after(&self.splitter, end == BodyEnd::Stated, caller).verdict() {
            TailVerdict::Complete => Ok(()),
            TailVerdict::BrokenOff => Err(AttemptEnd::Broken),
            TailVerdict::Unstated => Err(AttemptEnd::Unstated),
        }
    }
}
