//! The states of a request and the steps between them.

use crate::splice::{AnswerSplice, PieceVerdict};
use oleander_kind::{ClockTime, InstanceId, RequestId, ResultCode};
use std::marker::PhantomData;

/// What a request is, as far as its life depends on it.
#[derive(Clone, Debug)]
pub struct FlowSpec {
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
    pub most_attempts: u32,
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
    Doubtful(ResultCode),
}

/// How a cut stream goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutPlan {
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
    spec: FlowSpec,
    facts: AttemptFacts,
    splice: AnswerSplice,
    attempts: u32,
    fruitless: u32,
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
        plan: CutPlan,
    },
    /// Answer the caller.
    Ended(EndState),
}

impl<S> RequestFlow<S> {
    /// What the request is.
    pub fn spec(&self) -> &FlowSpec {
        &self.spec
    }

    /// The facts recorded so far.
    pub fn facts(&self) -> AttemptFacts {
        self.facts
    }

    /// Tokens shown so far.
    pub fn shown(&self) -> u64 {
        self.splice.shown()
    }

    /// The endpoint of the newest attempt.
    pub fn endpoint(&self) -> Option<&InstanceId> {
        self.endpoint.as_ref()
    }

    /// The number of the newest attempt, from 1.
    pub fn attempt(&self) -> u32 {
        self.attempts
    }

    fn turn<T>(self) -> RequestFlow<T> {
        RequestFlow {
            spec: self.spec,
            facts: self.facts,
            splice: self.splice,
            attempts: self.attempts,
            fruitless: self.fruitless,
            resumes: self.resumes,
            endpoint: self.endpoint,
            state: PhantomData,
        }
    }

    /// The true ending for a request that goes no further because of `code`. A code that says
    /// "not run" is replaced once the facts no longer bear it out: a caller that believed it would
    /// repeat a batch code that was already printed.
    fn ending(&self, code: ResultCode) -> EndState {
        let untouched = !self.facts.may_have_left && !self.facts.may_have_run;
        match (code.guarantees_not_run(), untouched) {
            (true, true) => EndState::Refused(code),
            (true, false) if code == ResultCode::DeadlineNotRun => {
                EndState::Doubtful(ResultCode::DeadlinePassed)
            }
            (true, false) => EndState::Doubtful(ResultCode::Uncertain),
            (false, true) if code == ResultCode::DeadlinePassed => {
                EndState::Refused(ResultCode::DeadlineNotRun)
            }
            (false, _) => EndState::Doubtful(code),
        }
    }
}

impl RequestFlow<Received> {
    /// A request as it was read.
    pub fn new(spec: FlowSpec) -> Self {
        RequestFlow {
            spec,
            facts: AttemptFacts::default(),
            splice: AnswerSplice::default(),
            attempts: 0,
            fruitless: 0,
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
        Ok(self.turn::<Admitted>())
    }

    /// Takes over a request that another process admitted: it may have run, and `shown` tokens may
    /// have reached the caller.
    pub fn adopt(self, endpoint: InstanceId, shown: u64) -> RequestFlow<Admitted> {
        let mut flow = self.turn::<Admitted>();
        flow.facts.may_have_left = true;
        flow.facts.may_have_run = true;
        flow.attempts = 1;
        flow.endpoint = Some(endpoint);
        flow.splice.begin_attempt(1);
        flow.splice.judge(1, 0, shown);
        flow
    }
}

impl RequestFlow<Admitted> {
    /// Chooses an endpoint for the next attempt.
    pub fn place(mut self, endpoint: InstanceId) -> RequestFlow<Placed> {
        self.attempts += 1;
        self.fruitless += 1;
        self.splice.begin_attempt(self.attempts);
        self.endpoint = Some(endpoint);
        self.turn::<Placed>()
    }

    /// Gives up before a further attempt.
    pub fn give_up(self, code: ResultCode) -> EndState {
        self.ending(code)
    }
}

impl RequestFlow<Placed> {
    /// The connection stands and the write begins: from here on a byte may have left.
    ///
    /// This is recorded before the write is handed to the socket, not after it succeeded. A write
    /// that fails half way has still let bytes out, and an endpoint may act on them.
    pub fn write_begins(mut self) -> RequestFlow<Running> {
        self.facts.may_have_left = true;
        self.turn::<Running>()
    }

    /// The connection could not be made. No byte left, so any request may try again.
    pub fn connect_failed(self, now: ClockTime) -> NextStep {
        self.turn::<Running>().retry_or_end(now, ResultCode::NoEndpoint, CutPlan::RerunElsewhere)
    }
}

impl RequestFlow<Running> {
    /// The endpoint said itself that it refused before running. Its bytes no longer count, unless
    /// an earlier attempt left a doubt.
    pub fn refused_by_endpoint(mut self, now: ClockTime) -> NextStep {
        self.facts.may_have_left = self.facts.may_have_run;
        self.retry_or_end(now, ResultCode::BudgetSpent, CutPlan::RerunElsewhere)
    }

    /// A piece of the answer arrived.
    pub fn piece(&mut self, start: u64, tokens: u64) -> PieceVerdict {
        self.facts.may_have_run = true;
        let verdict = self.splice.judge(self.attempts, start, tokens);
        if matches!(verdict, PieceVerdict::Show { .. }) {
            self.fruitless = 0;
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
    pub fn cut(mut self, now: ClockTime, endpoint_lives: bool) -> NextStep {
        self.facts.may_have_run = true;
        if self.spec.resumable && endpoint_lives && self.resumes == 0 {
            self.resumes += 1;
            return self.retry_or_end(now, ResultCode::Uncertain, CutPlan::ResumeSame);
        }
        self.resumes = 0;
        self.retry_or_end(now, ResultCode::Uncertain, CutPlan::RerunElsewhere)
    }

    /// The caller went away, or its deadline passed.
    pub fn stop(self, code: ResultCode) -> EndState {
        if self.facts.whole {
            return EndState::Complete;
        }
        self.ending(code)
    }

    fn retry_or_end(self, now: ClockTime, code: ResultCode, plan: CutPlan) -> NextStep {
        if self.facts.whole {
            return NextStep::Ended(EndState::Complete);
        }
        if now >= self.spec.deadline {
            let ending = self.ending(ResultCode::DeadlinePassed);
            return NextStep::Ended(ending);
        }
        // The rule that keeps a batch code from being issued twice: past a doubt, only a request
        // that may run twice is sent again.
        let doubtful = self.facts.may_have_left || self.facts.may_have_run;
        if doubtful && !self.spec.idempotent {
            return NextStep::Ended(EndState::Doubtful(ResultCode::Uncertain));
        }
        if self.fruitless >= self.spec.most_attempts {
            let ending = self.ending(code);
            return NextStep::Ended(ending);
        }
        NextStep::Again { flow: self.turn::<Admitted>(), plan }
    }
}
