//! The connection of an attempt, as far as its answer has been read.
//!
//! An attempt that was sent beside a silent one has begun its answer when it takes over. What was read of it until
//! then goes with its connection.

use crate::whole::BUFFER_LIMIT;
use actix_http::ResponseHead;
use oleander_call::{CompleteEvent, EventSplitter, StreamRest, StreamTail, TailVerdict};
use oleander_hold::{AnswerClaim, BodyBuffer, BodyChain, CallerHold};
use oleander_outlet::{BodyEnd, BodyLink, BodyPart, LinkError, SentLink};
use quick_error::quick_error;
use std::rc::Rc;
use tokio::time::Instant;

/// Bytes of an answer for which there has to be room before more is read.
const READ_AHEAD: usize = 4 << 10;

/// The body of a complete answer, and its room.
pub struct KeptBody {
    /// The bytes.
    pub bytes: BodyChain,
    _room: Option<AnswerClaim>,
}

/// The connection of an attempt that was sent.
pub(crate) struct AttemptLink {
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
    read: BodyBuffer,
    room: Option<AnswerClaim>,
    splitter: EventSplitter,
    events: Vec<CompleteEvent>,
}

/// The next part of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamPart {
    /// Complete events that the caller does not have.
    Events,
    /// The end, what showed it, and what it means.
    End(BodyEnd, TailVerdict),
}

quick_error! {
    /// What broke an answer.
    #[derive(Debug)]
    pub enum AnswerFault {
        /// Its connection failed.
        Link(fault: LinkError) {
            from()
            display("{}", fault)
        }
        /// An event does not end within its limit.
        EventTooLong {
            display("an event is too long")
        }
        /// An answer that is no stream does not end within its limit.
        AnswerTooLong {
            display("the answer is too long")
        }
        /// The endpoint is known to have started again.
        Restarted {
            display("the endpoint has started again")
        }
    }
}

impl AttemptLink {
    /// The connection of a request that is sent now.
    pub(crate) fn new(sent: SentLink, reused: bool) -> Self {
        AttemptLink { state: LinkState::Sent(sent), reused, sent_at: Instant::now() }
    }

    /// Whether a byte of the request may have been sent.
    pub(crate) fn may_have_sent(&self) -> bool {
        match &self.state {
            LinkState::Sent(sent) => sent.may_have_sent(),
            LinkState::Answering(_) | LinkState::Taken => true,
        }
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
        let (read, splitter) = (BodyBuffer::default(), EventSplitter::default());
        EarlyAnswer { head, body, read, room: None, splitter, events: Vec::new() }
    }

    /// The head, the connection for the rest of the body, and what was read of an answer that is no stream, with its
    /// room.
    pub(crate) fn into_parts(self) -> (ResponseHead, BodyLink, KeptBody) {
        let kept = KeptBody { bytes: self.read.finish(), _room: self.room };
        (self.head, self.body, kept)
    }

    /// Waits for events that the caller does not have, of which `last_event` is the last, or for the end of the stream.
    /// `goes_on` tells whether the caller had events of the stream before this answer. Can be dropped and called again.
    ///
    /// # Errors
    /// What broke the stream.
    pub(crate) async fn next_part(
        &mut self,
        last_event: Option<u64>,
        goes_on: bool,
    ) -> Result<StreamPart, AnswerFault> {
        while self.events.is_empty() {
            match self.body.next().await? {
                BodyPart::Bytes(bytes) => {
                    self.splitter.push(&bytes);
                    self.take_complete(last_event)?;
                }
                BodyPart::End(end) => {
                    let is_stated = end == BodyEnd::Stated;
                    let tail = StreamTail::after(&self.splitter, is_stated, goes_on);
                    return Ok(StreamPart::End(end, tail.verdict()));
                }
            }
        }
        Ok(StreamPart::Events)
    }

    /// Removes the events that were received.
    pub(crate) fn take_events(&mut self) -> Vec<CompleteEvent> {
        std::mem::take(&mut self.events)
    }

    /// Removes what follows the last complete event.
    pub(crate) fn take_rest(&mut self) -> StreamRest {
        self.splitter.take_rest()
    }

    fn take_complete(&mut self, last_event: Option<u64>) -> Result<(), AnswerFault> {
        let mut last = last_event;
        while let Some(event) = self.splitter.next_event().map_err(|_| AnswerFault::EventTooLong)? {
            if event.is_after(last) {
                last = event.id.or(last);
                self.events.push(event);
            }
        }
        Ok(())
    }

    /// Reads an answer that is no stream to its end, as far as callers leave room, and returns what showed it. Can be
    /// dropped and called again.
    ///
    /// # Errors
    /// What broke the answer.
    pub(crate) async fn read_whole(
        &mut self,
        hold: &Rc<CallerHold>,
    ) -> Result<BodyEnd, AnswerFault> {
        while self.read.len() <= BUFFER_LIMIT {
            let room = self.room.get_or_insert_with(|| AnswerClaim::new(hold));
            room.grow(self.read.held_with(READ_AHEAD)).await;
            match self.body.next().await? {
                BodyPart::Bytes(bytes) => self.read.push(&bytes),
                BodyPart::End(end) => return Ok(end),
            }
        }
        Err(AnswerFault::AnswerTooLong)
    }
}
