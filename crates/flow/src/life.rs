//! The states of a request and the steps between them.

use crate::splice::{AnswerSplice, ChunkVerdict};
use oleander_kind::{ClockTime, InstanceId, RequestId, ResultCode};
use std::marker::PhantomData;

/// What a request is, as far as its life depends on it.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Its id.
    pub id: RequestId,
    /// Whether running it twice does no harm. Model streams count as idempotent: a rerun goes on
    /// from the shown tokens.
    pub idempotent: bool,
    /// Whether the endpoint can resume a cut stream by offset.
    pub resumable: bool,
    /// Monotonic time by which the caller wants the answer.
    pub deadline: ClockTime,
    /// The most attempts in a row that bring no token, the first included. An attempt that shows
    /// something starts the count anew: a stream that gets on is never given up.
    pub max_attempts: u32,
}

/// The recorded facts of all attempts so far, joined: a fact once true stays true.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptFacts {
    /// A byte of the request may have left for an endpoint that did not refuse it since.
    pub may_have_left: bool,
    /// An endpoint may have run it.
    pub may_have_run: bool,
    /// The answer is whole.
    pub whole: bool,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndState {
    /// The whole answer was handed over.
    Complete,
    /// It did not run, and the code says so.
    Refused(ResultCode),
    /// It may have run; the code tells what is known.
    Uncertain(ResultCode),
}

/// How a cut stream goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPlan {
    /// Ask the same endpoint for the stream from the shown offset.
    ResumeSame,
    /// Run elsewhere, with the shown tokens as the start of the answer.
    RerunElsewhere,
}

/// The request was read; nothing is decided.
#[derive(Debug)]
pub struct Received;
/// The request is accepted; no attempt is open.
#[derive(Debug)]
pub struct Admitted;
/// An endpoint is chosen; no byte has left.
#[derive(Debug)]
pub struct Placed;
/// A byte may have left.
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
    /// Choose an endpoint and try again, after the budget allowed it.
    Again {
        /// The request, ready to be placed.
        flow: RequestFlow<Admitted>,
        /// Why another attempt is safe.
        plan: RetryPlan,
    },
    /// Answer the caller.
    Ended(EndState),
}

impl<S> RequestFlow<S> {
    /// What the request is.
    pub fn spec(&self) -> &RequestSpec {
        &self.spec
    }

    /// The facts recorded so far.
    pub fn facts(&self) -> AttemptFacts {
        self.facts
    }

    /// Tokens shown so far.
    pub fn delivered(&self) -> u64 {
        self.splice.delivered()
    }

    /// The endpoint of the newest attempt.
    pub fn endpoint(&self) -> Option<&InstanceId> {
        self.endpoint.as_ref()
    }

    /// The number of the newest attempt, from 1.
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

    /// The true ending for a request that goes no further because of `code`. A code that says
    /// "not run" is replaced once the facts no longer bear it out: a caller that believed it would
    /// repeat a batch code that was already printed.
    fn end_state(&self, code: ResultCode) -> EndState {
        let untouched = !self.facts.may_have_left && !self.facts.may_have_run;
        match (code.says_not_run(), untouched) {
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
    /// A request as it was read.
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

    /// Accepts it, unless its deadline has passed.
    ///
    /// # Errors
    /// [`ResultCode::DeadlineNotRun`] if `now` is at or past the deadline.
    pub fn admit(self, now: ClockTime) -> Result<RequestFlow<Admitted>, ResultCode> {
        if now >= self.spec.deadline {
            return Err(ResultCode::DeadlineNotRun);
        }
        Ok(self.into_state::<Admitted>())
    }

    /// Takes over a request that another process admitted: it may have run, and `delivered` tokens may
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
    /// Chooses an endpoint for the next attempt.
    pub fn place(mut self, endpoint: InstanceId) -> RequestFlow<Placed> {
        self.attempts += 1;
        self.stalled_attempts += 1;
        self.splice.begin_attempt(self.attempts);
        self.endpoint = Some(endpoint);
        self.into_state::<Placed>()
    }

    /// Gives up before a further attempt.
    pub fn give_up(self, code: ResultCode) -> EndState {
        self.end_state(code)
    }
}

impl RequestFlow<Placed> {
    /// The connection stands and the write begins: from here on a byte may have left.
    ///
    /// This is recorded before the write is handed to the socket, not after it succeeded. A write
    /// that fails half way has still let bytes out, and an endpoint may act on them.
    pub fn begin_write(mut self) -> RequestFlow<Running> {
        self.facts.may_have_left = true;
        self.into_state::<Running>()
    }

    /// The connection could not be made. No byte left, so any request may try again.
    pub fn connect_failed(self, now: ClockTime) -> NextStep {
        self.into_state::<Running>().retry_or_end(
            now,
            ResultCode::NoEndpoint,
            RetryPlan::RerunElsewhere,
        )
    }
}

impl RequestFlow<Running> {
    /// The endpoint said itself that it refused before running. Its bytes no longer count, unless
    /// an earlier attempt left a doubt.
    pub fn refused_by_endpoint(mut self, now: ClockTime) -> NextStep {
        self.facts.may_have_left = self.facts.may_have_run;
        self.retry_or_end(now, ResultCode::BudgetSpent, RetryPlan::RerunElsewhere)
    }

    /// A piece of the answer arrived.
    pub fn take_chunk(&mut self, start: u64, tokens: u64) -> ChunkVerdict {
        self.facts.may_have_run = true;
        let verdict = self.splice.judge(self.attempts, start, tokens);
        if matches!(verdict, ChunkVerdict::Deliver { .. }) {
            self.stalled_attempts = 0;
            self.resumes = 0;
        }
        verdict
    }

    /// The finish marker arrived for an answer of `total` tokens. Returns whether it is whole.
    pub fn finish(&mut self, total: u64) -> bool {
        self.facts.may_have_run = true;
        self.facts.whole = self.splice.finish(self.attempts, total);
        self.facts.whole
    }

    /// The connection broke, or the endpoint is about to end, before the answer was whole.
    ///
    /// A stream is first asked for where it stood (no token is computed again); only when that
    /// failed once for this endpoint is it run elsewhere. A non-idempotent request ends in doubt.
    pub fn connection_lost(mut self, now: ClockTime, endpoint_lives: bool) -> NextStep {
        self.facts.may_have_run = true;
        if self.spec.resumable && endpoint_lives && self.resumes == 0 {
            self.resumes += 1;
            return self.retry_or_end(now, ResultCode::Uncertain, RetryPlan::ResumeSame);
        }
        self.resumes = 0;
        self.retry_or_end(now, ResultCode::Uncertain, RetryPlan::RerunElsewhere)
    }

    /// The caller went away, or its deadline passed.
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
        // The rule that keeps a batch code from being issued twice: past a doubt, only a request
        // that may run twice is sent again.
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
