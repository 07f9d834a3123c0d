//! The states of a request and the transitions between them.

use crate::splice::{AnswerSplice, ChunkVerdict};
use oleander_kind::{ClockTime, InstanceId, RequestId, ResultCode};
use std::marker::PhantomData;

/// Properties of a request that decide how it may be retried.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Request id.
    pub id: RequestId,
    /// Whether the request may run twice. Model streams count as idempotent: a rerun continues after the
    /// delivered tokens.
    pub idempotent: bool,
    /// Whether the endpoint can resume a broken stream at an offset.
    pub resumable: bool,
    /// Deadline of the caller, as monotonic time.
    pub deadline: ClockTime,
    /// Most consecutive attempts that deliver no token, including the first. An attempt that delivers a token
    /// resets the count: a stream that makes progress is never given up.
    pub max_attempts: u32,
}

/// Facts recorded over all attempts so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptFacts {
    /// A byte of the request may have been sent to an endpoint that did not refuse the request afterwards.
    pub may_have_left: bool,
    /// An endpoint may have run the request.
    pub may_have_run: bool,
    /// The answer is complete.
    pub whole: bool,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndState {
    /// The complete answer was delivered.
    Complete,
    /// The request did not run, and the code says so.
    Refused(ResultCode),
    /// The request may have run; the code says what is known.
    Uncertain(ResultCode),
}

/// How a request is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPlan {
    /// Resume the stream at the same endpoint after the delivered tokens.
    ResumeSame,
    /// Run the request at another endpoint, with the delivered tokens as the start of the answer.
    RerunElsewhere,
}

/// State: the request was read and nothing is decided.
#[derive(Debug)]
pub struct Received;
/// State: the request is accepted and no attempt is in progress.
#[derive(Debug)]
pub struct Admitted;
/// State: an endpoint is chosen and no byte has been sent to it.
#[derive(Debug)]
pub struct Placed;
/// State: a byte may have been sent to the chosen endpoint.
#[derive(Debug)]
pub struct Running;

/// One request in state `S`.
#[derive(Debug)]
pub struct RequestFlow<S> {
    spec: RequestSpec,
    facts: AttemptFacts,
    splice: AnswerSplice,
    attempts: u32,
    stalled_attempts: u32,
    resumes: u32,
    endpoint: Option<InstanceId>,
    state: PhantomData<S>,
}

/// What follows a failed attempt.
#[derive(Debug)]
pub enum NextStep {
    /// Choose an endpoint and retry, if the retry budget allows it.
    Again {
        /// The request, ready for the choice of an endpoint.
        flow: RequestFlow<Admitted>,
        /// How the request is retried.
        plan: RetryPlan,
    },
    /// Answer the caller with this result.
    Ended(EndState),
}

impl<S> RequestFlow<S> {
    /// Properties of the request.
    pub fn spec(&self) -> &RequestSpec {
        &self.spec
    }

    /// Facts recorded so far.
    pub fn facts(&self) -> AttemptFacts {
        self.facts
    }

    /// Number of tokens delivered to the caller so far.
    pub fn delivered(&self) -> u64 {
        self.splice.delivered()
    }

    /// Endpoint of the latest attempt.
    pub fn endpoint(&self) -> Option<&InstanceId> {
        self.endpoint.as_ref()
    }

    /// Number of the latest attempt, from 1.
    pub fn attempt(&self) -> u32 {
        self.attempts
    }

    fn into_state<T>(self) -> RequestFlow<T> {
        RequestFlow {
            spec: self.spec,
            facts: self.facts,
            splice: self.splice,
            attempts: self.attempts,
            stalled_attempts: self.stalled_attempts,
            resumes: self.resumes,
            endpoint: self.endpoint,
            state: PhantomData,
        }
    }

    /// The end state of a request that is given up because of `code`. A code that says "not run" is replaced
    /// if the request may have run: a caller that relied on it could repeat an unsafe request, such as one for
    /// a batch code that is already printed.
    fn end_state(&self, code: ResultCode) -> EndState {
        let untouched = !self.facts.may_have_left && !self.facts.may_have_run;
        match (code.guarantees_not_run(), untouched) {
            (true, true) => EndState::Refused(code),
            (true, false) if code == ResultCode::DeadlineNotRun => {
                EndState::Uncertain(ResultCode::DeadlinePassed)
            }
            (true, false) => EndState::Uncertain(ResultCode::Uncertain),
            (false, true) if code == ResultCode::DeadlinePassed => {
                EndState::Refused(ResultCode::DeadlineNotRun)
            }
            (false, _) => EndState::Uncertain(code),
        }
    }
}

impl RequestFlow<Received> {
    /// Creates the state of a request that was read.
    pub fn new(spec: RequestSpec) -> Self {
        RequestFlow {
            spec,
            facts: AttemptFacts::default(),
            splice: AnswerSplice::default(),
            attempts: 0,
            stalled_attempts: 0,
            resumes: 0,
            endpoint: None,
            state: PhantomData,
        }
    }

    /// Accepts the request, unless its deadline has passed.
    ///
    /// # Errors
    /// [`ResultCode::DeadlineNotRun`] if `now` is at or past the deadline.
    pub fn admit(self, now: ClockTime) -> Result<RequestFlow<Admitted>, ResultCode> {
        if now >= self.spec.deadline {
            return Err(ResultCode::DeadlineNotRun);
        }
        Ok(self.into_state::<Admitted>())
    }

    /// Takes over a request that another process admitted: it may have run, and up to `delivered` tokens may
    /// have reached the caller.
    pub fn adopt(self, endpoint: InstanceId, delivered: u64) -> RequestFlow<Admitted> {
        let mut flow = self.into_state::<Admitted>();
        flow.facts.may_have_left = true;
        flow.facts.may_have_run = true;
        flow.attempts = 1;
        flow.endpoint = Some(endpoint);
        flow.splice.begin_attempt(1);
        flow.splice.judge(1, 0, delivered);
        flow
    }
}

impl RequestFlow<Admitted> {
    /// Starts the next attempt at `endpoint`.
    pub fn place(mut self, endpoint: InstanceId) -> RequestFlow<Placed> {
        self.attempts += 1;
        self.stalled_attempts += 1;
        self.splice.begin_attempt(self.attempts);
        self.endpoint = Some(endpoint);
        self.into_state::<Placed>()
    }

    /// Ends the request without a further attempt.
    pub fn give_up(self, code: ResultCode) -> EndState {
        self.end_state(code)
    }
}

impl RequestFlow<Placed> {
    /// The connection is established and the write begins: from now on a byte may have been sent.
    ///
    /// This is recorded before the write and not after it succeeded, because a write that fails midway may
    /// have sent bytes on which the endpoint acts.
    pub fn begin_write(mut self) -> RequestFlow<Running> {
        self.facts.may_have_left = true;
        self.into_state::<Running>()
    }

    /// The connection could not be established. No byte was sent, so that any request may be retried.
    pub fn connect_failed(self, now: ClockTime) -> NextStep {
        self.into_state::<Running>().retry_or_end(
            now,
            ResultCode::NoEndpoint,
            RetryPlan::RerunElsewhere,
        )
    }
}

impl RequestFlow<Running> {
    /// The endpoint answered that it refused the request without running it. The bytes sent to it no longer
    /// count, unless an earlier attempt may have run.
    pub fn refused_by_endpoint(mut self, now: ClockTime) -> NextStep {
        self.facts.may_have_left = self.facts.may_have_run;
        self.retry_or_end(now, ResultCode::BudgetSpent, RetryPlan::RerunElsewhere)
    }

    /// A chunk of `tokens` tokens of the answer arrived, starting at token `start`.
    pub fn take_chunk(&mut self, start: u64, tokens: u64) -> ChunkVerdict {
        self.facts.may_have_run = true;
        let verdict = self.splice.judge(self.attempts, start, tokens);
        if matches!(verdict, ChunkVerdict::Deliver { .. }) {
            self.stalled_attempts = 0;
            self.resumes = 0;
        }
        verdict
    }

    /// The finish marker arrived for an answer of `total` tokens. Returns whether the answer is complete.
    pub fn finish(&mut self, total: u64) -> bool {
        self.facts.may_have_run = true;
        self.facts.whole = self.splice.finish(self.attempts, total);
        self.facts.whole
    }

    /// The request goes on at `endpoint`, which has begun to answer beside the endpoint that did before. Chunks of
    /// that one are dropped from now on.
    pub fn move_to(&mut self, endpoint: InstanceId) {
        self.facts.may_have_run = true;
        self.attempts += 1;
        self.stalled_attempts += 1;
        self.resumes = 0;
        self.splice.begin_attempt(self.attempts);
        self.endpoint = Some(endpoint);
    }

    /// The connection broke before the answer was complete.
    ///
    /// A stream is first resumed at the same endpoint, which computes no token again. If that failed once
    /// for this endpoint, the request runs at another one. A non-idempotent request ends as uncertain.
    pub fn connection_lost(mut self, now: ClockTime, endpoint_lives: bool) -> NextStep {
        self.facts.may_have_run = true;
        if self.spec.resumable && endpoint_lives && self.resumes == 0 {
            self.resumes += 1;
            return self.retry_or_end(now, ResultCode::Uncertain, RetryPlan::ResumeSame);
        }
        self.resumes = 0;
        self.retry_or_end(now, ResultCode::Uncertain, RetryPlan::RerunElsewhere)
    }

    /// The caller disconnected, or its deadline passed.
    pub fn stop(self, code: ResultCode) -> EndState {
        if self.facts.whole {
            return EndState::Complete;
        }
        self.end_state(code)
    }

    fn retry_or_end(self, now: ClockTime, code: ResultCode, plan: RetryPlan) -> NextStep {
        if self.facts.whole {
            return NextStep::Ended(EndState::Complete);
        }
        if now >= self.spec.deadline {
            let end_state = self.end_state(ResultCode::DeadlinePassed);
            return NextStep::Ended(end_state);
        }
        // A request that may have run is retried only if it may run twice. This keeps a batch code from being
        // issued twice.
        let uncertain = self.facts.may_have_left || self.facts.may_have_run;
        if uncertain && !self.spec.idempotent {
            return NextStep::Ended(EndState::Uncertain(ResultCode::Uncertain));
        }
        if self.stalled_attempts >= self.spec.max_attempts {
            let end_state = self.end_state(code);
            return NextStep::Ended(end_state);
        }
        NextStep::Again { flow: self.into_state::<Admitted>(), plan }
    }
}
