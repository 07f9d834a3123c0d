//! Writes one log line for each finished request, whatever its outcome.

use crate::answer::AnswerWriter;
use crate::drive::{CallContext, CallOutcome, CutCause};
use crate::events::event;
use crate::node::FrontNode;
use compact_str::CompactString;
use oleander_board::StopStage;
use oleander_call::RetryBarrier;
use oleander_kind::{AccountName, InstanceId, ResultCode, TimeSpan};
use oleander_outlet::BodyEnd;
use oleander_place::PlacementChoice;
use oleander_suspect::SuspectFingerprint;
use std::rc::Rc;
use tokio::time::Instant;

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallStage {
    /// The rules: it is judged by them, and may be refused.
    Rules,
    /// The software version that began its stream.
    Origin,
    /// The charge of its account.
    Ledger,
    /// An endpoint.
    Endpoint,
    /// A peer to which it is relayed.
    Peer,
    /// Its caller, who has to take the answer.
    Caller,
}

impl CallStage {
    fn name(self) -> &'static str {
        match self {
            CallStage::Rules => "rules",
            CallStage::Origin => "origin",
            CallStage::Ledger => "ledger",
            CallStage::Endpoint => "endpoint",
            CallStage::Peer => "peer",
            CallStage::Caller => "caller",
        }
    }
}

/// Data of a request for its log line.
pub struct CallTrace {
    /// When its head was read.
    pub(crate) arrived: Instant,
    /// Request id.
    pub(crate) request: CompactString,
    /// Fingerprint of its content; none if the request was refused before it was computed.
    pub(crate) fingerprint: Option<SuspectFingerprint>,
    /// Service that it is routed to.
    pub(crate) service: CompactString,
    /// Its client account, if it has one.
    pub(crate) account: Option<AccountName>,
    /// Its rank; `None` if it was refused before that was known.
    pub(crate) rank: Option<u8>,
    /// Version of the rules that were applied to it.
    pub(crate) rules: u64,
    /// Whether these rules were known to be the newest.
    pub(crate) fresh: bool,
    /// Number of attempts sent.
    pub(crate) sent: u32,
    /// Whether the request may have run at an endpoint.
    pub(crate) may_have_run: bool,
    /// Endpoint of the last attempt.
    pub(crate) endpoint: Option<InstanceId>,
    /// Software version of that endpoint.
    pub(crate) version: Option<CompactString>,
    /// The caller's attempt that began the stream which this one takes up.
    pub(crate) resumes: Option<CompactString>,
    /// Peer to which it was relayed last.
    pub(crate) peer: Option<InstanceId>,
    /// The choice of that endpoint, with the figures it was based on.
    pub(crate) chosen: Option<PlacementChoice>,
    /// Age of the endpoint list at that choice.
    pub(crate) list_age: Option<TimeSpan>,
    /// ID of the last stream event that the caller has received.
    pub(crate) last_event: Option<u64>,
    /// Milliseconds from its arrival to the first part of its answer.
    pub(crate) first_ms: Option<u64>,
    /// Longest pause between two chunks of the stream.
    pub(crate) longest_pause: Option<TimeSpan>,
    /// What showed that the answer of the last endpoint had ended.
    pub(crate) body_end: Option<BodyEnd>,
    /// Bytes of a stream that followed its last complete event.
    pub(crate) rest_bytes: usize,
    /// What kept the request from being sent again after its last attempt.
    pub(crate) barrier: Option<RetryBarrier>,
    /// Why its answer was cut.
    pub(crate) cut_cause: Option<CutCause>,
    /// Milliseconds since the last part of its answer was received.
    pub(crate) silent_ms: Option<u64>,
    /// How long it may take in all, by its caller and its route; `None` if it was refused before that was known.
    pub(crate) max_wait: Option<TimeSpan>,
    /// What it waits for.
    pub(crate) stage: CallStage,
    /// Whether an endpoint or a peer may be running it.
    pub(crate) under_way: bool,
    /// Status of the answer that has begun; 0 before.
    pub(crate) status: u16,
}

impl CallTrace {
    fn new() -> Self {
        CallTrace {
            arrived: Instant::now(),
            request: CompactString::default(),
            fingerprint: None,
            service: CompactString::default(),
            account: None,
            rank: None,
            rules: 0,
            fresh: false,
            sent: 0,
            may_have_run: false,
            endpoint: None,
            version: None,
            resumes: None,
            peer: None,
            chosen: None,
            list_age: None,
            last_event: None,
            first_ms: None,
            longest_pause: None,
            body_end: None,
            rest_bytes: 0,
            barrier: None,
            cut_cause: None,
            silent_ms: None,
            max_wait: None,
            stage: CallStage::Rules,
            under_way: false,
            status: 0,
        }
    }

    /// Rate limit that the chosen endpoint signalled, and the age of that signal.
    fn limit(&self) -> Option<String> {
        let (rate, age) = self.chosen?.limit?;
        Some(format!("{rate}, {} ms", age.0))
    }

    /// Writes the log line of the request and updates the metrics.
    fn log_outcome(&self, node: &FrontNode, answer: &AnswerWriter<'_>, outcome: &CallOutcome) {
        let total_ms = self.arrived.elapsed().as_millis() as u64;
        let request = self.request.as_str();
        let code = answer.code().map_or(0, ResultCode::number);
        node.meter.count_request(&self.service, code, total_ms as f64);
        if let Some(end) = self.body_end {
            node.meter.count_body_end(&self.service, end.name());
        }
        if let Some(ms) = self.first_ms {
            node.meter.record_first_ms(&self.service, ms as f64);
        }
        let endpoint = self.endpoint.as_ref().map(|id| id.as_str());
        let peer = self.peer.as_ref().map(|id| id.as_str());
        let account = self.account.as_ref().map(|name| name.as_str());
        let fingerprint = self.fingerprint.map(|fingerprint| fingerprint.to_string());
        match (outcome, answer.code()) {
            (Err(fault), _) => event!(node, RequestCut;
                "request" => request, "print" => fingerprint, "service" => self.service.as_str(),
                "why" => fault.to_string(), "cause" => self.cut_cause.map(CutCause::name),
                "barred" => self.barrier.map(RetryBarrier::name), "silent_ms" => self.silent_ms,
                "status" => answer.status(), "sent" => self.sent,
                "endpoint" => endpoint, "peer" => peer, "last_event" => self.last_event, "total_ms" => total_ms,
                "limit_ms" => self.max_wait.map(|max_wait| max_wait.0),
                "version" => self.version.as_deref(), "resumes" => self.resumes.as_deref(),
                "rules" => self.rules,
                "stage" => (self.stage == CallStage::Caller).then(|| self.stage.name())),
            (Ok(()), Some(code)) => event!(node, RequestRefused;
                "request" => request, "print" => fingerprint, "service" => self.service.as_str(),
                "account" => account, "rank" => self.rank,
                "code" => code.number(), "name" => code.name(), "status" => code.status(),
                "sent" => self.sent, "may_have_run" => self.may_have_run,
                "endpoint" => endpoint, "peer" => peer, "total_ms" => total_ms, "rules" => self.rules,
                "version" => self.version.as_deref(), "resumes" => self.resumes.as_deref(),
                "fresh" => self.fresh, "ahead" => self.chosen.map(|choice| choice.tokens_ahead),
                "running" => self.chosen.map(|choice| choice.running), "limit" => self.limit()),
            (Ok(()), None) => event!(node, RequestDone;
                "request" => request, "print" => fingerprint, "service" => self.service.as_str(),
                "account" => account, "rank" => self.rank,
                "status" => answer.status(), "sent" => self.sent, "endpoint" => endpoint,
                "peer" => peer, "first_ms" => self.first_ms, "pause_ms" => self.longest_pause.map(|longest_pause| longest_pause.0),
                "total_ms" => total_ms, "rules" => self.rules,
                "version" => self.version.as_deref(), "resumes" => self.resumes.as_deref(),
                "body_end" => self.body_end.map(BodyEnd::name), "rest" => self.rest_bytes,
                "ahead" => self.chosen.map(|choice| choice.tokens_ahead),
                "unread" => self.chosen.map(|choice| choice.unread),
                "list_ms" => self.list_age.map(|age| age.0),
                "running" => self.chosen.map(|choice| choice.running), "limit" => self.limit()),
        }
    }
}

/// Writes the log line also when the caller disconnects, which drops the task of the request.
pub struct TraceGuard {
    node: Rc<FrontNode>,
    /// Data gathered so far.
    pub(crate) trace: CallTrace,
    logged: bool,
}

impl TraceGuard {
    /// Starts the trace of a request that arrives now.
    pub fn new(node: &Rc<FrontNode>) -> Self {
        TraceGuard { node: node.clone(), trace: CallTrace::new(), logged: false }
    }

    /// Logs the outcome of the request.
    pub fn finish(mut self, answer: &AnswerWriter<'_>, outcome: &CallOutcome) {
        self.trace.log_outcome(&self.node, answer, outcome);
        self.logged = true;
    }
}

impl Drop for TraceGuard {
    fn drop(&mut self) {
        if self.logged {
            return;
        }
        let trace = &self.trace;
        let why = match self.node.stop.get() {
            StopStage::Stopped => "the process ended",
            StopStage::Serving | StopStage::Unready | StopStage::Draining => {
                "the caller disconnected"
            }
        };
        event!(self.node, RequestCut;
            "request" => trace.request.as_str(),
            "print" => trace.fingerprint.map(|fingerprint| fingerprint.to_string()),
            "service" => trace.service.as_str(), "why" => why, "status" => trace.status,
            "sent" => trace.sent, "stage" => trace.stage.name(), "under_way" => trace.under_way,
            "endpoint" => trace.endpoint.as_ref().map(|id| id.as_str()),
            "peer" => trace.peer.as_ref().map(|id| id.as_str()), "last_event" => trace.last_event,
            "total_ms" => trace.arrived.elapsed().as_millis() as u64,
            "limit_ms" => trace.max_wait.map(|max_wait| max_wait.0),
            "version" => trace.version.as_deref(), "resumes" => trace.resumes.as_deref(),
            "rules" => trace.rules);
    }
}

/// Fills the trace also when the task of the request is dropped.
impl Drop for CallContext<'_, '_> {
    fn drop(&mut self) {
        let Some(trace) = self.trace.take() else { return };
        self.note_trace(trace);
        let runs_at_endpoint = self.current.is_some() && self.sent_at.is_some();
        trace.sent = trace.sent.max(self.record.sent() + u32::from(runs_at_endpoint));
        trace.under_way = runs_at_endpoint || self.peer_in_flight;
        trace.status = self.answer.status();
        trace.stage = match self.peer {
            _ if self.answer.is_writing() => CallStage::Caller,
            _ if self.current.is_some() => CallStage::Endpoint,
            Some(_) => CallStage::Peer,
            None => CallStage::Ledger,
        };
    }
}
