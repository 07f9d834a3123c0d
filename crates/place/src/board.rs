//! What is known of each endpoint.

use crate::health::HealthRecord;
use crate::word::{KeptWords, LimitWord, OwnWords};
use compact_str::CompactString;
use oleander_judge::BadTrait;
use oleander_kind::endpoint::{EndpointStage, InstanceMarket};
use oleander_kind::{
    ArenaKey, ClockTime, DomainName, InstanceId, ItemArena, RequestRate, ServiceName,
};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// The key of an endpoint on the board.
pub type EndpointKey = ArenaKey<EndpointFact>;

/// An endpoint as the platform's list shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// The instance.
    pub instance: InstanceId,
    /// When this life of it began, in Unix milliseconds by its own clock; 0 if it does not say. The
    /// larger of two is the later life.
    pub life: u64,
    /// The service it answers for.
    pub service: ServiceName,
    /// Where it answers.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub stage: EndpointStage,
    /// How it was bought.
    pub market: InstanceMarket,
    /// When a leaving instance ends, on this process's steady clock.
    pub ends_at: Option<ClockTime>,
    /// The software version it runs.
    pub release: CompactString,
    /// The revision of the entry in the platform's store.
    pub revision: u64,
}

/// Work at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkLoad {
    /// Requests sent and not answered to the end.
    pub requests: u32,
    /// Prompt tokens sent that brought no first event yet.
    pub unread_tokens: u64,
}

/// What is known of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointFact {
    /// As the list shows it.
    pub entry: EndpointEntry,
    /// This process's work there.
    pub own: WorkLoad,
    /// The other processes' work there, as last heard; the mean of its service if this process is not told of it.
    pub others: WorkLoad,
    /// Whether this process is told of the others' work there.
    pub is_told: bool,
    /// Whether it takes requests as an endpoint of a version that serves.
    pub serves: bool,
    /// Whether it takes requests as one of a version under the order of a roll-out.
    pub is_tried: bool,
    /// How it has been answering.
    pub health: HealthRecord,
    /// In what it answers worse than the others of its service, by what all processes saw, and until when
    /// that is believed without being told again. It is used if there is no other, and by a few requests
    /// that find out whether it is well again.
    pub aside: Option<(BadTrait, ClockTime)>,
    /// What it said of itself.
    pub said: OwnWords,
    /// Whether the list lost it at a time when the store may have forgotten it by mistake. It is
    /// used only if there is no other.
    pub doubted: bool,
}

impl EndpointFact {
    /// Requests of all processes.
    pub fn requests(&self) -> u32 {
        self.own.requests + self.others.requests
    }

    /// Prompt tokens of all processes that wait to be read.
    pub fn unread_tokens(&self) -> u64 {
        self.own.unread_tokens + self.others.unread_tokens
    }

    /// In what it answers worse than the others; none if it is not set aside.
    pub fn bad_trait(&self, now: ClockTime) -> Option<BadTrait> {
        self.aside.filter(|(_, until)| now < *until).map(|(bad_trait, _)| bad_trait)
    }

    /// Whether it takes new requests: by the list, and by its own word, which the list may lag behind.
    pub fn takes_work(&self) -> bool {
        self.entry.stage == EndpointStage::Live && !self.said.leaves
    }
}

/// Ended lives that are remembered: more than attempts can be under way at while they are told.
const ENDED_KEPT: usize = 256;

/// All endpoints.
#[derive(Default)]
pub struct EndpointBoard {
    facts: ItemArena<EndpointFact>,
    by_instance: HashMap<InstanceId, EndpointKey>,
    by_service: BTreeMap<ServiceName, Vec<EndpointKey>>,
    ended: VecDeque<EndpointKey>,
    kept: KeptWords,
    /// Listed endpoints that said something all processes are to know: few, and asked for at each report.
    speaking: Vec<EndpointKey>,
}

impl EndpointBoard {
    /// Takes an entry, new or changed; gives the key of the instance's latest life. An endpoint that is
    /// leaving stays so: no later news of the same life can make it take work again.
    ///
    /// An instance may start again under its name. Nothing of the former life holds for the new one:
    /// it gets a key of its own, so that work, health, prompt parts and attempts that go by the former
    /// key never touch it. What is told of a life after a later one is known changes nothing.
    pub fn put(&mut self, entry: EndpointEntry) -> EndpointKey {
        if let Some(key) = self.key(&entry.instance)
            && let Some(fact) = self.facts.get_mut(key)
        {
            if entry.life < fact.entry.life {
                return key;
            }
            if entry.life > fact.entry.life {
                self.end_life(key);
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

    fn end_life(&mut self, key: EndpointKey) {
        let Some(instance) = self.get(key).map(|fact| fact.entry.instance.clone()) else { return };
        self.remove(&instance);
        self.ended.push_back(key);
        if self.ended.len() > ENDED_KEPT {
            self.ended.pop_front();
        }
    }

    /// Notes that the life of `instance` that began at `life` said that it leaves; says whether that is news.
    pub fn note_leaving(&mut self, instance: &InstanceId, life: u64) -> bool {
        let key = self.by_instance.get(instance);
        let fact = key.and_then(|key| self.facts.get_mut(*key));
        let said = match fact.filter(|fact| fact.entry.life == life) {
            Some(fact) => &mut fact.said,
            None => self.kept.of(instance, life),
        };
        let is_news = !std::mem::replace(&mut said.leaves, true);
        if let Some(key) = self.key(instance) {
            self.note_speaking(key);
        }
        is_news
    }

    /// Takes the limit that an endpoint named, or that it names none any more; gives the rate that held before, if that is
    /// another.
    pub fn note_limit(&mut self, key: EndpointKey, word: LimitWord) -> Option<Option<RequestRate>> {
        let said = &mut self.facts.get_mut(key)?.said;
        let was_never_limited = word.rate.is_none() && said.limit.rate.is_none();
        if was_never_limited || !word.replaces(&said.limit) {
            return None;
        }
        let before = std::mem::replace(&mut said.limit, word).rate;
        if word.rate.is_none() {
            said.bucket.end();
        }
        self.note_speaking(key);
        (before != word.rate).then_some(before)
    }

    fn note_speaking(&mut self, key: EndpointKey) {
        let speaks = self.facts.get(key).is_some_and(|fact| fact.said.is_shared());
        if speaks && !self.speaking.contains(&key) {
            self.speaking.push(key);
        }
    }

    /// Listed endpoints that said something all processes are to know.
    pub fn speaking(&self) -> impl Iterator<Item = (EndpointKey, &EndpointFact)> {
        self.speaking.iter().filter_map(|key| Some((*key, self.facts.get(*key)?)))
    }

    /// Whether a later life of its instance has taken the place of `key`: nothing more comes of what
    /// was sent there.
    pub fn has_ended(&self, key: EndpointKey) -> bool {
        self.ended.contains(&key)
    }

    fn insert(&mut self, entry: EndpointEntry) -> EndpointKey {
        let (instance, service) = (entry.instance.clone(), entry.service.clone());
        let said = self.kept.take(&instance, entry.life);
        let key = self.facts.insert(EndpointFact {
            entry,
            own: WorkLoad::default(),
            others: WorkLoad::default(),
            is_told: true,
            serves: true,
            is_tried: false,
            health: HealthRecord::default(),
            aside: None,
            said,
            doubted: false,
        });
        self.note_speaking(key);
        self.by_instance.insert(instance, key);
        self.by_service.entry(service).or_default().push(key);
        key
    }

    /// Takes an endpoint off the board.
    pub fn remove(&mut self, instance: &InstanceId) -> Option<EndpointFact> {
        let key = self.by_instance.remove(instance)?;
        let fact = self.facts.remove(key)?;
        self.kept.put(&fact);
        self.speaking.retain(|other| *other != key);
        if let Some(keys) = self.by_service.get_mut(&fact.entry.service) {
            keys.retain(|other| *other != key);
        }
        Some(fact)
    }

    /// The key of an instance.
    pub fn key(&self, instance: &InstanceId) -> Option<EndpointKey> {
        self.by_instance.get(instance).copied()
    }

    /// What is known of an endpoint.
    pub fn get(&self, key: EndpointKey) -> Option<&EndpointFact> {
        self.facts.get(key)
    }

    /// What is known of an endpoint, for change.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut EndpointFact> {
        self.facts.get_mut(key)
    }

    /// Changes every endpoint's facts.
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

    /// Prompt tokens that wait at the endpoints of a service that take work, and how many these are. Endpoints that named a
    /// limit are left out: they take what they said, however little waits there.
    pub fn queue_of(&self, service: &ServiceName) -> (u64, u32) {
        let facts = self.of_service(service).iter().filter_map(|key| self.get(*key));
        let working = facts.filter(|fact| fact.takes_work() && fact.serves);
        let working = working.filter(|fact| fact.said.limit.rate.is_none());
        working.fold((0, 0), |(queue, count), fact| (queue + fact.unread_tokens(), count + 1))
    }

    /// All endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &EndpointFact)> {
        self.facts.iter()
    }

    /// How many endpoints there are.
    pub fn len(&self) -> usize {
        self.facts.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }
}
