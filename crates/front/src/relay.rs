//! Relays requests to peers, if this process does not reach the endpoints of their service, or if these are
//! brittle and others have the permits.
//!
//! The peer serves a relayed request as it serves one of its own callers: it checks key and route, charges
//! the account, and keeps to its limits and its retry budget. This process returns what it charged. A
//! relayed request is marked, and no process relays it again.

use crate::answer::AnswerStage;
use crate::answering::EarlyAnswer;
use crate::attempt::{CONNECT_TIMEOUT, IDLE_FRACTION, IDLE_TIMEOUT, MAX_IDLE_LINKS};
use crate::dispatch;
use crate::drive::{AttemptOutcome, CallContext, CallOutcome, CutCause, EndpointAnswer, call_salt};
use crate::events::event;
use crate::node::FrontNode;
use crate::origins::StreamBinding;
use crate::{limits, paths, stream, whole};
use actix_http::{RequestHead, ResponseHead, Version};
use compact_str::CompactString;
use oleander_call::{AnswerHead, AttemptEnd, CallHead, RelayHeaders};
use oleander_kind::hash::stable_hash;
use oleander_kind::{ClockTime, InstanceId, ResultCode, ServiceName, TimeSpan};
use oleander_mesh::{RelayRequest, choose_peer};
use oleander_outlet::{IdleLink, LinkError, LinkPool, SentLink, SocketBounds};
use oleander_place::{
    AnswerGrade, EndpointKey, HealthRecord, PathFault, PathState, PlacementChoice, has_free_room,
};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::{Instant, timeout_at};

/// Peers to which one request is relayed at most.
const MAX_PEERS: usize = 3;
/// Attempts that fail before a byte was sent, after which a request goes to a peer.
const UNSENT_BEFORE_RELAY: u32 = 2;

/// This process's relayed requests and connections at its peers.
#[derive(Default)]
pub struct PeerRelays {
    peers: HashMap<InstanceId, PeerState>,
    pool: LinkPool,
}

#[derive(Debug, Default)]
struct PeerState {
    in_flight: u32,
    health: HealthRecord,
}

impl PeerRelays {
    /// Drops connections that cannot be used any more, and peers that `is_member` denies.
    pub fn sweep(&mut self, is_member: impl Fn(&InstanceId) -> bool) {
        self.peers.retain(|id, peer| peer.in_flight > 0 || is_member(id));
        self.pool.sweep(is_member);
    }

    /// The peers used so far, the requests relayed to each now, and whether it could not be reached.
    pub fn peers(&self, now: ClockTime) -> impl Iterator<Item = (&InstanceId, u32, bool)> {
        let peers = self.peers.iter();
        peers.map(move |(id, peer)| (id, peer.in_flight, peer.health.is_backing_off(now)))
    }

    fn in_flight(&self, id: &InstanceId) -> u32 {
        self.peers.get(id).map_or(0, |peer| peer.in_flight)
    }
}

/// Counts a relayed request at its peer until it is dropped.
struct RelayGuard(Rc<FrontNode>, InstanceId);

impl RelayGuard {
    fn begin(node: &Rc<FrontNode>, id: &InstanceId) -> Self {
        node.relays.borrow_mut().peers.entry(id.clone()).or_default().in_flight += 1;
        RelayGuard(node.clone(), id.clone())
    }
}

impl Drop for RelayGuard {
    fn drop(&mut self) {
        if let Some(peer) = self.0.relays.borrow_mut().peers.get_mut(&self.1) {
            peer.in_flight = peer.in_flight.saturating_sub(1);
        }
    }
}

/// How relaying a request to one peer ended.
enum RelayOutcome {
    /// The answer of an endpoint, or how the attempt ended without one.
    Attempted(AttemptOutcome),
    /// The peer refused the request.
    Refused(PeerRefusal),
}

/// A peer's refusal of a relayed request.
#[derive(Clone, Copy, Debug)]
struct PeerRefusal {
    code: ResultCode,
    /// The Retry-After time, if any.
    retry: Option<TimeSpan>,
    /// The endpoints that refused it before.
    sent: u32,
}

/// Where a request goes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextHop {
    /// To an endpoint.
    Endpoint,
    /// To a peer.
    Peer,
    /// It is lost: neither this process nor a peer is known to reach an endpoint.
    Nowhere,
}

/// Why a request is relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RelayCause {
    /// This process does not reach the endpoints.
    Path,
    /// The endpoints are brittle, and this process has no permit for one that has room.
    Room,
    /// The room of the service is short, and the peer dispatches its requests.
    Dispatch,
}

impl RelayCause {
    fn name(self) -> &'static str {
        match self {
            RelayCause::Path => "path",
            RelayCause::Room => "room",
            RelayCause::Dispatch => "dispatch",
        }
    }

    /// Whether another peer may serve a request that one refused.
    fn may_go_on(self, code: ResultCode) -> bool {
        concerns_peer(code) || (self == RelayCause::Room && code == ResultCode::EndpointsFull)
    }
}

/// Whether a refusal says something about the peer alone, so that another one may serve the request.
fn concerns_peer(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::NoEndpoint
            | ResultCode::Draining
            | ResultCode::NoBundle
            | ResultCode::StaleBundle
            | ResultCode::UnknownRoute
            | ResultCode::BadCallerKey
            | ResultCode::BudgetSpent
            | ResultCode::HeaderTooLarge
            | ResultCode::BodyTooLarge
    )
}

/// Whether a request for a service is relayed before anything else is done for it: the path to the service is
/// lost, and a peer says that it reaches it.
pub(crate) fn is_relayed_at_once(
    node: &FrontNode,
    (call, service): (&CallHead, &ServiceName),
    binding: &StreamBinding,
) -> bool {
    let is_bound = *binding != StreamBinding::Free;
    call.relayed_attempts.is_none()
        && paths::path_state(node, service) == PathState::Lost
        && choose_reachable(node, (service, account_salt(node, call)), (&[], is_bound), |_| true)
            .is_some()
}

/// Whether a peer that `may_serve` can be asked.
pub(crate) fn reaches_peer(
    node: &FrontNode,
    (call, service): (&CallHead, &ServiceName),
    may_serve: impl Fn(&InstanceId) -> bool,
) -> bool {
    choose_reachable(node, (service, call_salt(call)), (&[], false), may_serve).is_some()
}

/// Requests of one account go to the same few peers: each peer needs an allotment of its limit.
fn account_salt(node: &FrontNode, call: &CallHead) -> u64 {
    stable_hash(node.settings.instance.stable_hash(), call.key.as_bytes())
}

/// Chooses a peer that reaches the service and was reached by this process, among those that `may_serve`.
fn choose_reachable(
    node: &FrontNode,
    (service, salt): (&ServiceName, u64),
    (tried, is_bound): (&[InstanceId], bool),
    may_serve: impl Fn(&InstanceId) -> bool,
) -> Option<(InstanceId, SocketAddr)> {
    let now = node.clock.now();
    let relays = node.relays.borrow();
    let mesh = node.mesh.borrow();
    let is_down =
        |id: &InstanceId| relays.peers.get(id).is_some_and(|peer| peer.health.is_backing_off(now));
    let members = mesh.view.others();
    let members = members.filter(|member| may_serve(&member.id) && !is_down(&member.id));
    let domain = &node.settings.domain;
    let request = RelayRequest { service, domain, is_bound, tried, salt };
    let (id, address) = choose_peer(members, |id| relays.in_flight(id), &request)?;
    Some((id.clone(), address))
}

impl CallContext<'_, '_> {
    /// Where the request goes next. It goes to a peer if this process does not reach the endpoints, or could
    /// not for this request, and a peer says that it does. Open connections that still work are used.
    pub(crate) fn next_hop(&self) -> NextHop {
        let state = paths::path_state(self.node, &self.service);
        let unsent = self.record.unsent();
        if state == PathState::Open && unsent == 0 {
            return NextHop::Endpoint;
        }
        let choice = self.choose();
        let has_failed = unsent >= UNSENT_BEFORE_RELAY || (unsent > 0 && choice.is_none());
        if state == PathState::Open && !has_failed {
            return NextHop::Endpoint;
        }
        let is_refused = paths::path_fault(self.node, &self.service) == Some(PathFault::Refused);
        let works = |choice: &PlacementChoice| self.has_open_link(choice.key);
        if unsent == 0 && is_refused && choice.as_ref().is_some_and(works) {
            return NextHop::Endpoint;
        }
        let may_relay = self.call.relayed_attempts.is_none() && self.record.may_relay();
        match state {
            _ if may_relay && self.choose_peer(RelayCause::Path, &[]).is_some() => NextHop::Peer,
            PathState::Lost => NextHop::Nowhere,
            PathState::Open | PathState::Doubted => NextHop::Endpoint,
        }
    }

    fn has_open_link(&self, key: EndpointKey) -> bool {
        let board = self.node.endpoints.borrow();
        let fact = board.get(key);
        fact.is_some_and(|fact| self.node.pool.borrow().has_open(&fact.entry.instance))
    }

    /// Whether another process may have a permit for a brittle endpoint that has room.
    pub(crate) fn may_use_sender(&self) -> bool {
        self.call.relayed_attempts.is_none()
            && self.record.may_relay()
            && has_free_room(&self.node.endpoints.borrow(), &self.placement_request())
            && self.choose_peer(RelayCause::Room, &[]).is_some()
    }

    fn choose_peer(
        &self,
        cause: RelayCause,
        tried: &[InstanceId],
    ) -> Option<(InstanceId, SocketAddr)> {
        let is_bound = match self.binding {
            StreamBinding::Free => false,
            StreamBinding::To(_) => true,
            StreamBinding::Unknown => return None,
        };
        let senders = self.node.room_senders.borrow();
        let may_serve = |id: &InstanceId| match cause {
            RelayCause::Path => true,
            RelayCause::Room => senders.contains(&self.service, id),
            RelayCause::Dispatch => dispatch::is_dispatcher(self.node, &self.service, id),
        };
        let salt = match cause {
            RelayCause::Path | RelayCause::Room => account_salt(self.node, &self.call),
            RelayCause::Dispatch => call_salt(&self.call),
        };
        let service = (&self.service, salt);
        choose_reachable(self.node, service, (tried, is_bound), may_serve)
    }

    /// Relays the request to peers, because this process does not reach the endpoints.
    pub(crate) async fn serve_by_peers(&mut self) -> CallOutcome {
        match self.relay_in_turn(RelayCause::Path).await {
            Some(outcome) => outcome,
            None => self.give_up(ResultCode::NoEndpoint).await,
        }
    }

    /// Relays the request to a dispatcher of its service.
    pub(crate) async fn serve_by_dispatchers(&mut self) -> CallOutcome {
        match self.relay_in_turn(RelayCause::Dispatch).await {
            Some(outcome) => outcome,
            None => self.refuse_undispatched().await,
        }
    }

    /// Relays the request to senders of a brittle service. If none has room for it, its caller may come back in
    /// `retry_in`.
    pub(crate) async fn serve_by_senders(&mut self, retry_in: TimeSpan) -> CallOutcome {
        match self.relay_in_turn(RelayCause::Room).await {
            Some(outcome) => outcome,
            None if self.may_refuse() => {
                self.answer.refuse(ResultCode::EndpointsFull, Some(retry_in)).await
            }
            None => self.give_up(ResultCode::EndpointsFull).await,
        }
    }

    /// Relays the request to one peer after another until one serves or refuses it; `None` if none did.
    async fn relay_in_turn(&mut self, cause: RelayCause) -> Option<CallOutcome> {
        self.begin_relaying();
        let mut tried = Vec::new();
        while tried.len() < MAX_PEERS
            && let Some((id, address)) = self.choose_peer(cause, &tried)
        {
            tried.push(id.clone());
            let began = Instant::now();
            let attempts = self.record.relayable();
            self.peer = Some(id.clone());
            let outcome = self.relay((&id, address), attempts).await;
            self.peer_in_flight = false;
            self.log_relay(&id, cause, &outcome);
            match outcome {
                RelayOutcome::Attempted(AttemptOutcome::Delivered) => return Some(Ok(())),
                RelayOutcome::Attempted(AttemptOutcome::CallerGone) => {
                    return Some(self.cut(CutCause::Caller));
                }
                RelayOutcome::Attempted(AttemptOutcome::Ended(end, Some(received))) => {
                    self.record.note_relayed(end, attempts);
                    return Some(self.forward_failure(received).await);
                }
                RelayOutcome::Attempted(AttemptOutcome::Ended(end, None)) => {
                    self.record.note_relayed(end, attempts);
                    let again = self.record.may_relay()
                        && (!end.may_have_run() || self.node.spend_retry(&self.service));
                    if !again {
                        return Some(self.give_up(ResultCode::Uncertain).await);
                    }
                }
                RelayOutcome::Refused(refusal)
                    if cause.may_go_on(refusal.code)
                        || self.may_ask_other_dispatcher(refusal, (began, tried.len())) =>
                {
                    self.record.note_refused_at_peer(refusal.sent);
                    let is_unsent = self.record.sent() == 0;
                    let may_repeat =
                        || self.record.may_relay() && self.node.spend_retry(&self.service);
                    if !(is_unsent || may_repeat()) {
                        break;
                    }
                }
                RelayOutcome::Refused(PeerRefusal { code, retry, .. }) => {
                    if !code.guarantees_not_run() {
                        self.record.note_relayed(AttemptEnd::Broken, attempts);
                    }
                    return Some(self.refuse_as_peer(code, retry).await);
                }
            }
        }
        if self.record.sent() == 0 {
            self.note_unserved_demand();
        }
        None
    }

    /// Whether another dispatcher may have a place for a request that the first one refused at once: it does not
    /// know of places that are free at others. With two, hardly any place stays free while requests are refused.
    fn may_ask_other_dispatcher(
        &self,
        refusal: PeerRefusal,
        (began, asked): (Instant, usize),
    ) -> bool {
        /// The part of the objective within which a refusal is one on arrival.
        const ON_ARRIVAL: u32 = 8;
        refusal.code == ResultCode::Overloaded
            && refusal.sent == 0
            && asked == 1
            && began.elapsed() < self.route().objective.duration() / ON_ARRIVAL
    }

    /// Leaves the accounting of the request to the peer: its charge, what it earned for retries, its usage
    /// and its figures.
    fn begin_relaying(&mut self) {
        if let Some(charge) = self.charge.take().filter(|_| !self.record.may_have_run()) {
            limits::refund_quota(self.node, &charge);
        }
        if std::mem::take(&mut self.has_earned) {
            self.node.return_earned_retry(&self.service);
        }
        self.usage_recorded = true;
        self.chosen = None;
        self.endpoint = None;
        self.version = None;
    }

    /// Passes on a failure that an endpoint reported to the peer.
    async fn forward_failure(&mut self, received: EndpointAnswer) -> CallOutcome {
        if self.answer.stage() != AnswerStage::Waiting {
            return self.cut(CutCause::Peers);
        }
        self.answer.write_received(received).await
    }

    /// Passes on the peer's refusal.
    async fn refuse_as_peer(&mut self, code: ResultCode, retry: Option<TimeSpan>) -> CallOutcome {
        let is_waiting = self.answer.stage() == AnswerStage::Waiting;
        if !is_waiting || (self.record.may_have_run() && code.guarantees_not_run()) {
            return self.give_up(code).await;
        }
        self.answer.refuse(code, retry).await
    }

    async fn relay(
        &mut self,
        (id, address): (&InstanceId, SocketAddr),
        attempts: u32,
    ) -> RelayOutcome {
        let _guard = RelayGuard::begin(self.node, id);
        (self.body_end, self.rest_bytes, self.fault) = (None, 0, None);
        let ended = |end| RelayOutcome::Attempted(AttemptOutcome::Ended(end, None));
        let mut sent = match self.send_to_peer(id, address, attempts).await {
            Ok(sent) => sent,
            Err(fault) => {
                self.grade_peer(id, AnswerGrade::Dead);
                event!(self.node, AttemptFault;
                    "request" => self.call.id.as_str(), "peer" => id.as_str(),
                    "fault" => fault.to_string());
                return ended(AttemptEnd::NotSent);
            }
        };
        self.peer_in_flight = true;
        let head = match timeout_at(self.deadline, sent.read_head()).await {
            Ok(Ok(head)) => head,
            Ok(Err(fault)) => {
                event!(self.node, AttemptFault;
                    "request" => self.call.id.as_str(), "peer" => id.as_str(),
                    "fault" => fault.to_string());
                let unsent = !sent.may_have_sent();
                return ended(if unsent { AttemptEnd::NotSent } else { AttemptEnd::Broken });
            }
            Err(_) => return ended(AttemptEnd::TimedOut),
        };
        self.grade_peer(id, AnswerGrade::Good);
        self.handle_peer_answer(id, sent, head).await
    }

    async fn send_to_peer(
        &self,
        id: &InstanceId,
        address: SocketAddr,
        attempts: u32,
    ) -> Result<SentLink, LinkError> {
        let kept = self.node.relays.borrow_mut().pool.take(id);
        let link = match kept {
            Some(link) => link,
            None => IdleLink::open(address, CONNECT_TIMEOUT, SocketBounds::default()).await?,
        };
        let mut head = RequestHead::default();
        head.method = self.request.method.clone();
        head.uri = self.request.uri.clone();
        head.version = Version::HTTP_11;
        head.headers = self.request.headers.clone();
        let stamp = RelayHeaders {
            key: self.call.key.clone(),
            left: self.time_left(),
            last_event: self.last_event,
            attempts,
            origin: self.binding.version().map(CompactString::from),
            resumes: self.call.resumes.clone(),
        };
        self.node.dialect.stamp_relay(&mut head.headers, &stamp);
        link.send(&self.node.http, head, self.body.clone())
    }

    async fn handle_peer_answer(
        &mut self,
        id: &InstanceId,
        sent: SentLink,
        head: ResponseHead,
    ) -> RelayOutcome {
        let answer_head = self.node.dialect.parse_answer(&head);
        let mut body = sent.into_body(&head);
        let broken = RelayOutcome::Attempted(AttemptOutcome::Ended(AttemptEnd::Broken, None));
        // Without a mark it is no front process any more, or one that knows no relayed requests.
        let Some(answer) = answer_head.relayed.clone() else { return broken };
        if answer.code > 0 {
            let code = ResultCode::from_number(answer.code).unwrap_or(ResultCode::Uncertain);
            // The body only describes the code.
            if let Err(fault) = body.skip().await {
                event!(self.node, AttemptFault;
                    "request" => self.call.id.as_str(), "peer" => id.as_str(),
                    "fault" => fault.to_string());
            }
            self.keep_peer_link(id, body.into_idle());
            let (retry, sent) = (answer_head.retry_after, answer.sent);
            return RelayOutcome::Refused(PeerRefusal { code, retry, sent });
        }
        if !answer_head.is_sound(&self.call.id) {
            return broken;
        }
        self.version = answer.origin;
        let (outcome, link) = self.forward_peer_answer(body, head, &answer_head).await;
        self.keep_peer_link(id, link);
        RelayOutcome::Attempted(outcome)
    }

    async fn forward_peer_answer(
        &mut self,
        body: oleander_outlet::BodyLink,
        head: ResponseHead,
        answer_head: &AnswerHead,
    ) -> (AttemptOutcome, Option<IdleLink>) {
        let early = EarlyAnswer::new(body, head);
        if self.forwards_events(early.head.status) {
            stream::forward_events(self, early, None).await
        } else {
            whole::forward_whole(self, early, answer_head, None).await
        }
    }

    fn keep_peer_link(&self, id: &InstanceId, link: Option<IdleLink>) {
        let Some(link) = link else { return };
        // The peer closes connections that were idle for longer than callers' may be.
        let idle_limit = self.rules.bounds().idle_timeout.duration().mul_f64(IDLE_FRACTION);
        let keep = idle_limit.min(IDLE_TIMEOUT);
        let pool = &mut self.node.relays.borrow_mut().pool;
        if pool.len() < self.node.holds.idle_links() {
            pool.put(id, link, keep, MAX_IDLE_LINKS);
        }
    }

    fn grade_peer(&self, id: &InstanceId, grade: AnswerGrade) {
        let now = self.node.clock.now();
        if let Some(peer) = self.node.relays.borrow_mut().peers.get_mut(id) {
            peer.health.note(grade, now);
        }
    }

    fn log_relay(&self, id: &InstanceId, cause: RelayCause, outcome: &RelayOutcome) {
        let end = match outcome {
            RelayOutcome::Attempted(AttemptOutcome::Delivered) => "delivered",
            RelayOutcome::Attempted(AttemptOutcome::CallerGone) => "caller_gone",
            RelayOutcome::Attempted(AttemptOutcome::Ended(end, _)) => end.name(),
            RelayOutcome::Refused(refusal) => refusal.code.name(),
        };
        self.node.meter.count_relay(end);
        event!(self.node, RequestRelayed;
            "request" => self.call.id.as_str(), "service" => self.service.as_str(),
            "peer" => id.as_str(), "end" => end, "cause" => cause.name(),
            "path" => format!("{:?}", paths::path_state(self.node, &self.service)));
    }
}
