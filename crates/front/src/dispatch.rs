//! Sends requests to a service that has fewer places than there are processes through its dispatchers, while
//! its room is short.
//!
//! The decisions are made by the crate `dispatch` and by [`PlaceShare`]. This module tells them what this
//! process knows of the service, holds the requests that wait, and wakes them.

use crate::drive::{CallContext, CallOutcome, call_salt};
use crate::events::event;
use crate::node::FrontNode;
use crate::origins::StreamBinding;
use crate::relay;
use oleander_call::{CallHead, RuleSet};
use oleander_dispatch::{
    AccountShares, AccountTag, AnswerTimes, DispatchCandidate, LineTicket, ReturnSchedule,
    RoomRequest, RoomSample, ShortRoom, WaitLine, choose_dispatchers,
};
use oleander_kind::{ClockTime, InstanceId, ResultCode, ServiceName, TimeSpan};
use oleander_place::{EndpointFact, EndpointKey, PlaceShare, SharedPlaces, count_places};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// The mean time of an answer that is assumed before there was one.
const ASSUMED_ANSWER: TimeSpan = TimeSpan(50);
/// Multiple of the mean time of answers that nearly all of them take at most.
const LONG_ANSWER: u64 = 2;
/// How long a process sends by itself after it reached no dispatcher.
const UNREACHED_TIME: TimeSpan = TimeSpan(1000);
/// Shortest Retry-After time of a request for which no dispatcher was reached: the next one at this process is sent
/// directly, and another process may reach one.
const UNREACHED_RETRY: TimeSpan = TimeSpan(20);

/// The services whose room this process watches.
#[derive(Default)]
pub struct DispatchTable(HashMap<ServiceName, ServiceDispatch>);

/// What this process knows of one service's room.
#[derive(Default)]
struct ServiceDispatch {
    room: ShortRoom,
    /// The dispatchers; empty while room is not short.
    dispatchers: Rc<[InstanceId]>,
    answers: AnswerTimes,
    line: WaitLine,
    waiting: HashMap<LineTicket, oneshot::Sender<HeldPlace>>,
    /// Places that are held by requests which are not sent yet.
    held: u32,
    shares: AccountShares,
    returns: ReturnSchedule,
    /// Until when this process sends by itself.
    direct_until: ClockTime,
}

impl ServiceDispatch {
    fn place_interval(&self, places: SharedPlaces) -> TimeSpan {
        let assumed = TimeSpan((ASSUMED_ANSWER.0 / u64::from(places.total.max(1))).max(1));
        self.answers.place_interval(places.total).unwrap_or(assumed)
    }

    /// How long a request with this objective may wait for a place: until it could not be answered in time any
    /// more, but always half as long as an answer takes, which is no reason to send a caller away. It never waits
    /// for longer than its objective.
    fn patience(&self, objective: TimeSpan) -> TimeSpan {
        let mean = self.answers.mean().unwrap_or(ASSUMED_ANSWER);
        let rest = TimeSpan(objective.0.saturating_sub(mean.0 * LONG_ANSWER));
        rest.max(TimeSpan(mean.0 / 2)).min(objective)
    }

    /// Takes a place for the first request that waits, if one is free.
    fn pop_waiting(
        &mut self,
        places: SharedPlaces,
        now: ClockTime,
    ) -> Option<oneshot::Sender<HeldPlace>> {
        if places.free <= self.held {
            return None;
        }
        let (ticket, request) = self.line.pop()?;
        let sender = self.waiting.remove(&ticket)?;
        self.take_place(request.account, now);
        Some(sender)
    }

    fn take_place(&mut self, account: AccountTag, now: ClockTime) {
        self.held += 1;
        self.shares.note_taken(account, now);
    }
}

/// How this process handles the requests for a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DispatchRole {
    /// It sends them by itself.
    Direct,
    /// It is a dispatcher of the service.
    Dispatcher,
    /// It relays them to a dispatcher.
    Relay,
}

/// A place at an endpoint that a request holds until it is sent.
pub(crate) struct HeldPlace {
    node: Rc<FrontNode>,
    service: ServiceName,
    dispatchers: Rc<[InstanceId]>,
}

impl HeldPlace {
    /// The places of this process, of which it is one.
    pub(crate) fn share(&self) -> PlaceShare<'_> {
        PlaceShare { own: &self.node.settings.instance, dispatchers: &self.dispatchers }
    }
}

impl Drop for HeldPlace {
    fn drop(&mut self) {
        if let Some(state) = self.node.dispatch.borrow_mut().0.get_mut(&self.service) {
            state.held = state.held.saturating_sub(1);
        }
        grant_places(&self.node, &self.service);
    }
}

/// Takes a request out of the line when it no longer waits.
struct LineGuard<'a>(&'a FrontNode, &'a ServiceName, LineTicket);

impl Drop for LineGuard<'_> {
    fn drop(&mut self) {
        if let Some(state) = self.0.dispatch.borrow_mut().0.get_mut(self.1) {
            state.line.leave(self.2);
            state.waiting.remove(&self.2);
        }
    }
}

/// Why a request got no place.
struct PlaceRefusal {
    /// When its caller should come back.
    retry: TimeSpan,
    /// How long it waited.
    waited: TimeSpan,
    /// The requests that waited.
    line: usize,
}

/// Updates for each plain service whether its room is short, and its dispatchers.
pub(crate) fn update_dispatch(node: &Rc<FrontNode>) {
    let Some(rules) = node.current_rules().filter(|_| node.settings.dispatch) else { return };
    forget_others(node, &rules);
    let plain = rules.services().iter().filter(|service| service.engine.is_none());
    for name in plain.map(|service| &service.name) {
        if update_service(node, name) {
            release_waiting(node, name);
        }
        grant_places(node, name);
    }
}

/// Forgets services that the rules no longer have, or as engines. What waits for them is sent.
fn forget_others(node: &Rc<FrontNode>, rules: &RuleSet) {
    let table = node.dispatch.borrow();
    let gone = table.0.keys().filter(|name| !is_plain(rules, name));
    let gone: Vec<ServiceName> = gone.cloned().collect();
    drop(table);
    gone.iter().for_each(|service| release_waiting(node, service));
    // Held places and the line's guards count in the state until they are dropped.
    node.dispatch.borrow_mut().0.retain(|name, state| {
        if !is_plain(rules, name) {
            state.dispatchers = Rc::default();
        }
        is_plain(rules, name) || state.held > 0
    });
}

fn is_plain(rules: &RuleSet, service: &ServiceName) -> bool {
    rules.service(service).is_some_and(|service| service.engine.is_none())
}

/// Updates one service; returns whether this process no longer dispatches it.
fn update_service(node: &FrontNode, service: &ServiceName) -> bool {
    let now = node.clock.now();
    let sample = room_sample(node, service);
    let mut table = node.dispatch.borrow_mut();
    let state = table.0.entry(service.clone()).or_default();
    let own = &node.settings.instance;
    let was_own = state.dispatchers.contains(own);
    let is_short = state.room.note(sample, now);
    let dispatchers = match is_short {
        true => service_dispatchers(node, (service, sample.places)),
        false => Vec::new(),
    };
    if *state.dispatchers != *dispatchers {
        let names: Vec<&str> = dispatchers.iter().map(InstanceId::as_str).collect();
        event!(node, DispatchersChosen;
            "service" => service.as_str(), "dispatchers" => names.join(" "), "places" => sample.places,
            "requests" => sample.requests, "processes" => sample.processes, "used" => state.room.used(),
            "answer_ms" => state.answers.mean().map(|mean| mean.0));
        state.dispatchers = dispatchers.into();
    }
    was_own && !state.dispatchers.contains(own)
}

/// The use of a service's room. Endpoints that signal how many requests they take are shared among all
/// processes by these signals, so that there are no places to dispatch.
fn room_sample(node: &FrontNode, service: &ServiceName) -> RoomSample {
    let board = node.endpoints.borrow();
    let facts = board.of_service(service).iter().filter_map(|key| board.get(*key));
    let working: Vec<_> = facts.filter(|fact| fact.takes_work() && fact.serves).collect();
    let signals = |fact: &&EndpointFact| fact.is_brittle() || fact.declared.limit.rate.is_some();
    let processes = node.process_count();
    if working.iter().any(signals) {
        return RoomSample { places: 0, requests: 0, processes };
    }
    let places = working.iter().map(|fact| fact.entry.slots).sum();
    let requests = working.iter().map(|fact| fact.requests()).sum();
    RoomSample { places, requests, processes }
}

fn service_dispatchers(
    node: &FrontNode,
    (service, places): (&ServiceName, u32),
) -> Vec<InstanceId> {
    let mesh = node.mesh.borrow();
    let members = std::iter::once(mesh.view.me()).chain(mesh.view.others());
    let able = members.filter(|member| {
        !member.leaving
            && member.caller_address.is_some()
            && !member.unreached_services.contains(service)
    });
    let candidates =
        able.map(|member| DispatchCandidate { id: &member.id, capacity: member.capacity });
    choose_dispatchers(candidates, (service.stable_hash(), places))
}

/// Whether a request is relayed to a dispatcher before anything else is done for it.
pub(crate) fn is_dispatched_elsewhere(
    node: &FrontNode,
    (call, service): (&CallHead, &ServiceName),
    binding: &StreamBinding,
) -> bool {
    *binding == StreamBinding::Free && role(node, (call, service)) == DispatchRole::Relay
}

fn role(node: &FrontNode, (call, service): (&CallHead, &ServiceName)) -> DispatchRole {
    let table = node.dispatch.borrow();
    let Some(state) = table.0.get(service).filter(|state| !state.dispatchers.is_empty()) else {
        return DispatchRole::Direct;
    };
    if state.dispatchers.contains(&node.settings.instance) {
        return DispatchRole::Dispatcher;
    }
    // A process that relayed it knows other members. It is not relayed again.
    if call.relayed_attempts.is_some() || node.clock.now() < state.direct_until {
        return DispatchRole::Direct;
    }
    match relay::reaches_peer(node, (call, service), |id| state.dispatchers.contains(id)) {
        true => DispatchRole::Relay,
        false => DispatchRole::Direct,
    }
}

/// Whether a process dispatches a service.
pub(crate) fn is_dispatcher(node: &FrontNode, service: &ServiceName, id: &InstanceId) -> bool {
    node.dispatch.borrow().0.get(service).is_some_and(|state| state.dispatchers.contains(id))
}

/// Records how long an endpoint took for a request, and gives its place to the next one.
pub(crate) fn note_ended(node: &Rc<FrontNode>, key: EndpointKey, took: Option<TimeSpan>) {
    let service = node.endpoints.borrow().get(key).map(|fact| fact.entry.service.clone());
    let Some(service) = service else { return };
    if let Some(state) = node.dispatch.borrow_mut().0.get_mut(&service)
        && let Some(took) = took
    {
        state.answers.note(took, node.clock.now());
    }
    grant_places(node, &service);
}

/// Wakes requests that wait for a place as long as some are free.
fn grant_places(node: &Rc<FrontNode>, service: &ServiceName) {
    loop {
        let granted = {
            let mut table = node.dispatch.borrow_mut();
            let Some(state) = table.0.get_mut(service).filter(|state| !state.line.is_empty())
            else {
                return;
            };
            let places = own_places(node, (service, &state.dispatchers));
            let dispatchers = state.dispatchers.clone();
            state.pop_waiting(places, node.clock.now()).map(|sender| (sender, dispatchers))
        };
        let Some((sender, dispatchers)) = granted else { return };
        let place = HeldPlace { node: node.clone(), service: service.clone(), dispatchers };
        // If the request no longer waits, the place is free again as soon as it is dropped.
        drop(sender.send(place));
    }
}

/// Lets all requests that wait be sent: this process no longer dispatches the service.
fn release_waiting(node: &Rc<FrontNode>, service: &ServiceName) {
    let senders: Vec<oneshot::Sender<HeldPlace>> = {
        let mut table = node.dispatch.borrow_mut();
        let Some(state) = table.0.get_mut(service) else { return };
        state.line.clear();
        let senders: Vec<_> = state.waiting.drain().map(|(_, sender)| sender).collect();
        state.held += senders.len() as u32;
        senders
    };
    for sender in senders {
        let dispatchers = Rc::default();
        let place = HeldPlace { node: node.clone(), service: service.clone(), dispatchers };
        drop(sender.send(place));
    }
}

fn own_places(
    node: &FrontNode,
    (service, dispatchers): (&ServiceName, &[InstanceId]),
) -> SharedPlaces {
    let share = PlaceShare { own: &node.settings.instance, dispatchers };
    let times = (node.clock.now(), node.clock.lease_now());
    count_places(&node.endpoints.borrow(), (service, &share), times)
}

impl CallContext<'_, '_> {
    /// Waits for a place at the endpoints of the service, if this process dispatches it.
    ///
    /// # Errors
    /// The outcome of the request, if it gets none in time.
    pub(crate) async fn hold_place(&mut self) -> Result<(), CallOutcome> {
        let is_first = self.record.sent() == 0 && self.binding == StreamBinding::Free;
        if !is_first || role(self.node, (&self.call, &self.service)) != DispatchRole::Dispatcher {
            return Ok(());
        }
        self.held_place = None;
        match self.wait_for_place().await {
            Ok(place) => {
                self.held_place = place;
                Ok(())
            }
            Err(refusal) => {
                self.note_unserved_demand();
                self.node.meter.count_dispatch_refusal(self.service.as_str(), self.rank);
                event!(self.node, PlaceRefused;
                    "request" => self.call.id.as_str(), "service" => self.service.as_str(),
                    "account" => self.account.as_ref().map(|name| name.as_str()), "rank" => self.rank,
                    "waited_ms" => refusal.waited.0, "line" => refusal.line, "retry_ms" => refusal.retry.0);
                Err(self.answer.refuse(ResultCode::Overloaded, Some(refusal.retry)).await)
            }
        }
    }

    /// Waits for a place; there is none to wait for if the service has no endpoint.
    async fn wait_for_place(&self) -> Result<Option<HeldPlace>, PlaceRefusal> {
        let (node, service) = (self.node, &self.service);
        let began = node.clock.now();
        let account = AccountTag::of(self.account.as_ref());
        let (ticket, granted, due) = {
            let mut table = node.dispatch.borrow_mut();
            let state = table.0.entry(service.clone()).or_default();
            let dispatchers = state.dispatchers.clone();
            let places = own_places(node, (service, &dispatchers));
            if places.total == 0 {
                return Ok(None);
            }
            if state.line.is_empty() && places.free > state.held {
                state.take_place(account, began);
                let (node, service) = (node.clone(), service.clone());
                return Ok(Some(HeldPlace { node, service, dispatchers }));
            }
            let interval = state.place_interval(places);
            let due = began + state.patience(self.route().objective).min(self.time_left());
            let request = RoomRequest { rank: self.rank, account, due };
            let line = state.line.len();
            let taken = |account| state.shares.taken(account, began);
            let entered = state.line.enter(request, (began, interval), taken);
            let (ticket, displaced) = entered.map_err(|_| {
                let retry = state.returns.next((began, self.time_left()), interval);
                PlaceRefusal { retry, waited: TimeSpan(0), line }
            })?;
            // Its request is woken by the loss of its sender.
            displaced.and_then(|ticket| state.waiting.remove(&ticket));
            let (sender, granted) = oneshot::channel();
            state.waiting.insert(ticket, sender);
            (ticket, granted, due)
        };
        let _waits = LineGuard(node, service, ticket);
        let place = timeout((due - began).duration(), granted).await;
        let waited = node.clock.now() - began;
        node.meter.record_place_wait(service.as_str(), waited.0 as f64);
        if let Ok(Ok(place)) = place {
            return Ok(Some(place));
        }
        let mut table = node.dispatch.borrow_mut();
        let state = table.0.entry(service.clone()).or_default();
        let places = own_places(node, (service, &state.dispatchers));
        let interval = state.place_interval(places);
        let times = (node.clock.now(), self.time_left());
        let retry = state.returns.next(times, interval);
        Err(PlaceRefusal { retry, waited, line: state.line.len() })
    }

    /// Refuses a request for which no dispatcher was reached; the next ones are sent directly for a while.
    pub(crate) async fn refuse_undispatched(&mut self) -> CallOutcome {
        if !self.may_refuse() {
            return self.give_up(ResultCode::NoEndpoint).await;
        }
        let now = self.node.clock.now();
        if let Some(state) = self.node.dispatch.borrow_mut().0.get_mut(&self.service) {
            state.direct_until = now + UNREACHED_TIME;
        }
        let retry = UNREACHED_RETRY + TimeSpan(call_salt(&self.call) % UNREACHED_RETRY.0);
        self.answer.refuse(ResultCode::NoEndpoint, Some(retry)).await
    }
}

/// The room of each watched service and its dispatchers, for the dump.
pub(crate) fn dump_dispatch(node: &FrontNode) -> Vec<serde_json::Value> {
    let table = node.dispatch.borrow();
    let dump = |(service, state): (&ServiceName, &ServiceDispatch)| {
        let places = own_places(node, (service, &state.dispatchers));
        serde_json::json!({
            "service": service.as_str(),
            "short": state.room.is_short(),
            "used": state.room.used(),
            "dispatchers": state.dispatchers.iter().map(InstanceId::as_str).collect::<Vec<_>>(),
            "places": places.total,
            "free": places.free,
            "held": state.held,
            "waiting": state.line.len(),
            "answer_ms": state.answers.mean().map(|mean| mean.0),
        })
    };
    table.0.iter().map(dump).collect()
}
