//! The endpoints known to this process, with the state that placement decisions use.

use crate::brittle::{BrittleRecord, BrittleSignal, RoomShare, RoomUse, RoomWindow};
use crate::health::HealthRecord;
use crate::signal::{EndpointSignals, RateSignal, SignalCache};
use compact_str::CompactString;
use oleander_judge::BadTrait;
use oleander_kind::endpoint::{EndpointStage, InstanceMarket};
use oleander_kind::{
    ArenaKey, ClockTime, DomainName, InstanceId, ItemArena, RequestRate, ServiceName, TimeSpan,
};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// The key of an endpoint on the board.
pub type EndpointKey = ArenaKey<EndpointFact>;

/// An endpoint as the platform's endpoint list describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// The instance name.
    pub instance: InstanceId,
    /// When this incarnation began, in Unix milliseconds by its own clock; 0 if it does not say.
    /// The larger of two is the later incarnation.
    pub life: u64,
    /// The service it belongs to.
    pub service: ServiceName,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// The number of requests it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub stage: EndpointStage,
    /// Whether it is reclaimable or on demand.
    pub market: InstanceMarket,
    /// When a leaving instance ends, on this process's steady clock.
    pub ends_at: Option<ClockTime>,
    /// The software version it runs.
    pub release: CompactString,
    /// The revision of the entry in the platform's store.
    pub revision: u64,
}

/// The work in progress at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkLoad {
    /// Requests sent and not completely answered.
    pub requests: u32,
    /// Tokens of the prompts that were sent and have produced no first event yet.
    pub unread_tokens: u64,
}

/// The state of one endpoint, as this process knows it.
#[derive(Clone, Debug)]
pub struct EndpointFact {
    /// Its entry in the endpoint list.
    pub entry: EndpointEntry,
    /// This process's work there.
    pub own: WorkLoad,
    /// The other processes' work there, as last reported. If this process does not receive reports
    /// on it, the mean of their work at the endpoints of its service.
    pub others: WorkLoad,
    /// This process's place among those that send to it, if it is brittle; `None` before it is known.
    pub room_share: Option<RoomShare>,
    /// The permits that it had there before its share changed, and until when it has no more: until then others may
    /// use those that it gained.
    pub former_permits: Option<(u32, ClockTime)>,
    /// Whether this process receives reports on the other processes' work there.
    pub has_load_reports: bool,
    /// Whether it takes requests as an endpoint of a serving version.
    pub serves: bool,
    /// Whether it takes requests as an endpoint of a version that is being rolled out.
    pub is_tried: bool,
    /// Its recent answers and failures.
    pub health: HealthRecord,
    /// The trait in which it answers worse than the others of its service, by the observations of
    /// all processes, and the time until which that holds unless it is confirmed. Such an endpoint
    /// is used if there is no other, and gets a few requests that find out whether it has
    /// recovered.
    pub aside: Option<(BadTrait, ClockTime)>,
    /// Until when it may still run requests that this process gave up, if it is brittle.
    pub given_up: Vec<ClockTime>,
    /// The signals that it sent about itself.
    pub declared: EndpointSignals,
    /// Whether it left the endpoint list at a time when the store may have lost its entry by
    /// mistake. Such an endpoint is used only if there is no other.
    pub doubted: bool,
}

impl EndpointFact {
    /// The requests of all processes there.
    pub fn requests(&self) -> u32 {
        self.own.requests + self.others.requests
    }

    /// The prompt tokens of all processes that wait to be read there.
    pub fn unread_tokens(&self) -> u64 {
        self.own.unread_tokens + self.others.unread_tokens
    }

    /// The trait in which it answers worse than the others; `None` if it is not set aside.
    pub fn bad_trait(&self, now: ClockTime) -> Option<BadTrait> {
        self.aside.filter(|(_, until)| now < *until).map(|(bad_trait, _)| bad_trait)
    }

    /// Whether it could be reached when it was last tried, and its entry is certain.
    pub fn is_reachable(&self, now: ClockTime) -> bool {
        !self.health.is_backing_off(now) && !self.doubted
    }

    /// Whether nothing speaks against it: it also answers as well as the others of its service.
    pub fn is_trusted(&self, now: ClockTime) -> bool {
        self.is_reachable(now) && self.bad_trait(now).is_none()
    }

    /// Whether it has places left by the last reports, so that it would run one more request at once.
    pub fn has_free_place(&self) -> bool {
        self.requests() < self.entry.slots
    }

    /// Whether it declared that it is brittle.
    pub fn is_brittle(&self) -> bool {
        self.declared.brittle.refusals.is_some()
    }

    /// Whether it may have fallen over: it is brittle and refused a request a moment ago. What it ran then
    /// broke, whatever it was.
    pub fn may_have_fallen(&self, now: ClockTime) -> bool {
        /// From the refusals that make an endpoint fall over until what it ran is known to be broken.
        const FALL_TIME: TimeSpan = TimeSpan(2000);
        self.is_brittle() && self.declared.room.has_refused(FALL_TIME, now)
    }

    /// The requests that it runs at once, as far as that is known.
    pub fn running_at_once(&self) -> u32 {
        let slots = self.entry.slots;
        self.room_share.map_or(slots, |share| share.running_at_once(slots))
    }

    /// The requests there, if it is brittle.
    pub fn room_use(&self, now: ClockTime) -> Option<RoomUse> {
        if !self.is_brittle() {
            return None;
        }
        let window = self.declared.room.current(self.running_at_once(), now);
        let given_up = self.given_up.iter().filter(|until| now < **until).count() as u32;
        let (own, others) = (self.own.requests + given_up, self.others.requests);
        let share = self.room_share;
        let former = self.former_permits.filter(|(_, until)| now < *until);
        let former_permits = former.map(|(permits, _)| permits);
        Some(RoomUse { own, others, window, share, former_permits })
    }

    /// Records that this process gave up a request there: its caller left, or its time was over.
    pub fn note_given_up(&mut self, now: ClockTime) {
        /// Most endpoints have dropped a request so long after its connection was closed.
        const DROP_TIME: TimeSpan = TimeSpan(500);
        if self.is_brittle() {
            self.given_up.retain(|until| now < *until);
            self.given_up.push(now + DROP_TIME);
        }
    }

    /// Updates this process's place among those that send to it.
    pub fn set_room_share(&mut self, share: RoomShare, now: ClockTime) {
        /// Time after which all processes know of a change: two reports and two digests.
        const SETTLE_TIME: TimeSpan = TimeSpan(1000);
        let place = |share: RoomShare| (share.rank, share.senders);
        let has_changed = self.room_share.is_some_and(|known| place(known) != place(share));
        if has_changed && let Some(room_use) = self.room_use(now) {
            self.former_permits = Some((room_use.permits(), now + SETTLE_TIME));
        }
        self.room_share = Some(share);
    }

    /// How long this process has to wait until it may send a request to it because it is brittle.
    pub fn room_wait(&self, now: ClockTime) -> TimeSpan {
        /// Within this time, reports tell of requests that have ended.
        const REPORT_TIME: TimeSpan = TimeSpan(250);
        let Some(room_use) = self.room_use(now) else { return TimeSpan(0) };
        let room_wait = if room_use.has_room() { TimeSpan(0) } else { REPORT_TIME };
        room_wait.max(self.declared.room.pause_left(now))
    }

    /// Whether it takes new requests, by the list and by its own leaving signal, since the list may
    /// lag behind that.
    pub fn takes_work(&self) -> bool {
        self.entry.stage == EndpointStage::Live && !self.declared.leaves
    }
}

/// The number of ended incarnations to remember: more than can still have attempts in flight while
/// they are reported as ended.
const MAX_ENDED: usize = 256;

/// All endpoints known to this process.
#[derive(Default)]
pub struct EndpointBoard {
    facts: ItemArena<EndpointFact>,
    by_instance: HashMap<InstanceId, EndpointKey>,
    by_service: BTreeMap<ServiceName, Vec<EndpointKey>>,
    ended: VecDeque<EndpointKey>,
    unlisted: SignalCache,
    /// Listed endpoints with a signal that all processes must know: they are few, and read for each
    /// report.
    speaking: Vec<EndpointKey>,
    /// By service, what brittle endpoints declared that left the list.
    brittle_gone: BTreeMap<ServiceName, BrittleRecord>,
}

/// A change of what an endpoint declares about being brittle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrittleChange {
    /// The refusals a second that it declared or was presumed to survive before.
    pub before: Option<u32>,
    /// Other endpoints of its service, presumed to be brittle from now on.
    pub presumed: Vec<EndpointKey>,
}

impl EndpointBoard {
    /// Adds or updates an entry; returns the key of the instance's latest incarnation. A leaving
    /// endpoint stays leaving: no later update of the same incarnation can make it take requests
    /// again.
    ///
    /// An instance may restart under its name. Nothing known of the former incarnation holds for
    /// the new one: it gets a key of its own, so that work, health, prompt parts and attempts under
    /// the former key never affect it. Updates of an incarnation that arrive after a later one is
    /// known are ignored.
    pub fn put(&mut self, entry: EndpointEntry) -> EndpointKey {
        if let Some(key) = self.key(&entry.instance)
            && let Some(fact) = self.facts.get_mut(key)
        {
            if entry.life < fact.entry.life {
                return key;
            }
            if entry.life > fact.entry.life {
                self.end_incarnation(key);
                return self.insert(entry);
            }
            if entry.service != fact.entry.service {
                self.remove(&entry.instance);
                return self.insert(entry);
            }
            let leaving = fact.entry.stage == EndpointStage::Leaving;
            let ends_at = entry.ends_at.or(fact.entry.ends_at);
            let stage = if leaving { EndpointStage::Leaving } else { entry.stage };
            fact.entry = EndpointEntry { stage, ends_at, ..entry };
            fact.doubted = false;
            return key;
        }
        self.insert(entry)
    }

    fn end_incarnation(&mut self, key: EndpointKey) {
        let Some(instance) = self.get(key).map(|fact| fact.entry.instance.clone()) else { return };
        self.remove(&instance);
        self.ended.push_back(key);
        if self.ended.len() > MAX_ENDED {
            self.ended.pop_front();
        }
    }

    /// Records the leaving signal of an incarnation of `instance`; returns whether that is new.
    pub fn note_leaving(&mut self, instance: &InstanceId, incarnation: u64) -> bool {
        let key = self.by_instance.get(instance);
        let fact = key.and_then(|key| self.facts.get_mut(*key));
        let declared = match fact.filter(|fact| fact.entry.life == incarnation) {
            Some(fact) => &mut fact.declared,
            None => self.unlisted.of(instance, incarnation),
        };
        let is_news = !std::mem::replace(&mut declared.leaves, true);
        if let Some(key) = self.key(instance) {
            self.note_signals(key);
        }
        is_news
    }

    /// Records the rate limit that an endpoint declared, or that it declared none. If that changes
    /// its limit, returns the former one.
    pub fn note_limit(
        &mut self,
        key: EndpointKey,
        signal: RateSignal,
    ) -> Option<Option<RequestRate>> {
        let declared = &mut self.facts.get_mut(key)?.declared;
        let was_never_limited = signal.rate.is_none() && declared.limit.rate.is_none();
        if was_never_limited || !signal.replaces(&declared.limit) {
            return None;
        }
        let before = std::mem::replace(&mut declared.limit, signal).rate;
        if signal.rate.is_none() {
            declared.bucket.end();
        }
        self.note_signals(key);
        (before != signal.rate).then_some(before)
    }

    /// Records whether an endpoint declared that it is brittle. If it is the first of its service to do so, the
    /// others are presumed to be brittle until they declare something. Returns what that changes, if anything.
    pub fn note_brittle(
        &mut self,
        key: EndpointKey,
        signal: BrittleSignal,
    ) -> Option<BrittleChange> {
        let declared = &mut self.facts.get_mut(key)?.declared;
        let was_never = signal.refusals.is_none() && declared.brittle.refusals.is_none();
        if was_never || !signal.replaces(&declared.brittle) {
            return None;
        }
        let before = std::mem::replace(&mut declared.brittle, signal);
        if signal.refusals.is_none() {
            declared.room = RoomWindow::default();
        }
        self.note_signals(key);
        let is_news = before.is_presumed || before.refusals != signal.refusals;
        is_news.then(|| BrittleChange {
            before: before.refusals,
            presumed: match before.refusals {
                None => self.presume_others(key, signal),
                Some(_) => Vec::new(),
            },
        })
    }

    /// Presumes that the other endpoints of a service are as brittle as `key`, unless they declared something
    /// since.
    fn presume_others(&mut self, key: EndpointKey, signal: BrittleSignal) -> Vec<EndpointKey> {
        let Some(service) = self.get(key).map(|fact| fact.entry.service.clone()) else {
            return Vec::new();
        };
        let others = self.of_service(&service).iter().copied().filter(|other| *other != key);
        let mut others: Vec<EndpointKey> = others.collect();
        others.retain(|other| {
            let known = self.facts.get_mut(*other).map(|fact| &mut fact.declared.brittle);
            let known =
                known.filter(|known| known.refusals.is_none() && known.asked_at < signal.asked_at);
            known.is_some_and(|known| {
                *known = BrittleSignal { is_presumed: true, ..signal };
                true
            })
        });
        others
    }

    /// Presumes that an endpoint is as brittle as others of its service, which are listed or left the list lately,
    /// if it has declared nothing. Returns whether it is presumed to be brittle.
    pub fn presume_brittle(&mut self, key: EndpointKey) -> bool {
        let Some(fact) = self.facts.get(key) else { return false };
        let service = &fact.entry.service;
        let mut record = self.brittle_gone.get(service).copied().unwrap_or_default();
        let others = self.speaking().map(|(_, other)| other);
        for other in others.filter(|other| other.entry.service == *service && other.is_brittle()) {
            record.add(other.declared.brittle, other.declared.room);
        }
        let Some((signal, room)) = record.presumption() else { return false };
        let Some(fact) = self.facts.get_mut(key) else { return false };
        let has_declared = fact.declared.brittle != BrittleSignal::default();
        if !has_declared {
            (fact.declared.brittle, fact.declared.room) = (signal, room);
        }
        !has_declared
    }

    /// Forgets, some time after the last brittle endpoint of a service left the list, that they were brittle.
    pub fn expire_brittle(&mut self, now: ClockTime) {
        self.brittle_gone.retain(|_, record| record.expire(now));
    }

    fn note_signals(&mut self, key: EndpointKey) {
        let is_shared = self.facts.get(key).is_some_and(|fact| fact.declared.is_shared());
        if is_shared && !self.speaking.contains(&key) {
            self.speaking.push(key);
        }
    }

    /// Listed endpoints with a signal that all processes must know.
    pub fn speaking(&self) -> impl Iterator<Item = (EndpointKey, &EndpointFact)> {
        self.speaking.iter().filter_map(|key| Some((*key, self.facts.get(*key)?)))
    }

    /// Whether a later incarnation of its instance has replaced `key`: requests sent to it will not
    /// be answered.
    pub fn has_ended(&self, key: EndpointKey) -> bool {
        self.ended.contains(&key)
    }

    fn insert(&mut self, entry: EndpointEntry) -> EndpointKey {
        let (instance, service) = (entry.instance.clone(), entry.service.clone());
        let declared = self.unlisted.take(&instance, entry.life);
        let key = self.facts.insert(EndpointFact {
            entry,
            own: WorkLoad::default(),
            others: WorkLoad::default(),
            room_share: None,
            former_permits: None,
            has_load_reports: true,
            serves: true,
            is_tried: false,
            health: HealthRecord::default(),
            aside: None,
            given_up: Vec::new(),
            declared,
            doubted: false,
        });
        self.note_signals(key);
        self.by_instance.insert(instance, key);
        self.by_service.entry(service).or_default().push(key);
        key
    }

    /// Removes an endpoint from the board.
    pub fn remove(&mut self, instance: &InstanceId) -> Option<EndpointFact> {
        let key = self.by_instance.remove(instance)?;
        let fact = self.facts.remove(key)?;
        self.unlisted.put(&fact);
        self.speaking.retain(|other| *other != key);
        if fact.is_brittle() {
            let record = self.brittle_gone.entry(fact.entry.service.clone()).or_default();
            record.add(fact.declared.brittle, fact.declared.room);
        }
        if let Some(keys) = self.by_service.get_mut(&fact.entry.service) {
            keys.retain(|other| *other != key);
        }
        Some(fact)
    }

    /// The key of an instance.
    pub fn key(&self, instance: &InstanceId) -> Option<EndpointKey> {
        self.by_instance.get(instance).copied()
    }

    /// The state of an endpoint.
    pub fn get(&self, key: EndpointKey) -> Option<&EndpointFact> {
        self.facts.get(key)
    }

    /// The mutable state of an endpoint.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut EndpointFact> {
        self.facts.get_mut(key)
    }

    /// Applies `act` to the state of every endpoint.
    pub fn for_each_mut(&mut self, mut act: impl FnMut(&mut EndpointFact)) {
        for key in self.by_instance.values() {
            if let Some(fact) = self.facts.get_mut(*key) {
                act(fact);
            }
        }
    }

    /// The endpoints of each service.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &[EndpointKey])> {
        self.by_service.iter().map(|(service, keys)| (service, keys.as_slice()))
    }

    /// The endpoints of a service.
    pub fn of_service(&self, service: &ServiceName) -> &[EndpointKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// The prompt tokens waiting at the endpoints of a service that take work, and the number of
    /// these endpoints. Endpoints with a rate limit are left out: they accept no more than that
    /// limit, however short their queue is.
    pub fn queued_tokens(&self, service: &ServiceName) -> (u64, u32) {
        let facts = self.of_service(service).iter().filter_map(|key| self.get(*key));
        let working = facts.filter(|fact| fact.takes_work() && fact.serves);
        let working = working.filter(|fact| fact.declared.limit.rate.is_none());
        working.fold((0, 0), |(queue, count), fact| (queue + fact.unread_tokens(), count + 1))
    }

    /// All endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &EndpointFact)> {
        self.facts.iter()
    }

    /// The number of endpoints.
    pub fn len(&self) -> usize {
        self.facts.len()
    }

    /// Whether the board is empty.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }
}
