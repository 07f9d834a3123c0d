//! The table of members and the probes that keep it, as a pure state machine.

use compact_str::CompactString;
use oleander_kind::hash::mix_bits;
use oleander_kind::{ClockTime, DomainName, InstanceId, TimeSpan};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How a member stands. Of two news with one incarnation the later stage wins.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum MemberStage {
    /// It answers.
    #[default]
    Alive,
    /// It did not answer; it may be slow, paused, cut off or dead.
    Suspect,
    /// It said that it is leaving: it finishes what it has and gets nothing new.
    Leaving,
    /// It is gone.
    Dead,
}

/// What is known of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its instance.
    pub id: InstanceId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where its peers connect.
    pub address: CompactString,
    /// Raised by the member itself, to outdo older news of it. A new life starts higher.
    pub incarnation: u64,
    /// Its stage.
    pub stage: MemberStage,
}

/// A piece of news that is passed on.
pub type NewsItem = MemberRecord;

/// A probe or its answer, with news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeMessage {
    /// Matches an answer to its probe.
    pub number: u64,
    /// The bundle generation in force at the sender.
    pub generation: u64,
    /// News, at most [`MemberSettings::most_news`].
    pub news: Vec<NewsItem>,
}

/// Periods and bounds.
#[derive(Clone, Copy, Debug)]
pub struct MemberSettings {
    /// A probe not answered within this time is tried through others.
    pub direct_limit: TimeSpan,
    /// A member not reached within this time, directly or through others, is suspected.
    pub indirect_limit: TimeSpan,
    /// A suspect that nobody heard of for this long is dead, if the list does not show it.
    pub suspect_limit: TimeSpan,
    /// The same, if the list still shows it or nobody could read the list.
    pub listed_limit: TimeSpan,
    /// A leaving member is forgotten after this time.
    pub forget_limit: TimeSpan,
    /// A dead member is forgotten after this time. Until then it is probed like the others, so that
    /// regions that lost each other for minutes find each other again.
    pub bury_limit: TimeSpan,
    /// Others asked to probe in our place.
    pub helpers: usize,
    /// The most news in one message.
    pub most_news: usize,
    /// How often a piece of news is passed on, times the base-2 logarithm of the members. Who
    /// misses it learns it when it probes, or is probed by, the member itself.
    pub repeats: u32,
}

impl Default for MemberSettings {
    fn default() -> Self {
        MemberSettings {
            direct_limit: TimeSpan(500),
            indirect_limit: TimeSpan(1000),
            suspect_limit: TimeSpan(5000),
            listed_limit: TimeSpan(30_000),
            forget_limit: TimeSpan(120_000),
            bury_limit: TimeSpan::secs(3600),
            helpers: 2,
            most_news: 8,
            repeats: 1,
        }
    }
}

/// What the table wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberAction {
    /// Send a probe to `to`.
    Probe {
        /// The member.
        to: InstanceId,
        /// The message.
        message: ProbeMessage,
    },
    /// Ask `helper` to probe `target`.
    AskHelper {
        /// Who is asked.
        helper: InstanceId,
        /// Who is to be probed.
        target: InstanceId,
        /// The number to answer with.
        number: u64,
    },
}

#[derive(Clone, Debug)]
struct MemberEntry {
    record: MemberRecord,
    changed_at: ClockTime,
    sent: u32,
}

#[derive(Clone, Debug)]
struct OpenProbe {
    target: InstanceId,
    sent_at: ClockTime,
    helped: bool,
}

/// The table of one process.
#[derive(Debug)]
pub struct MemberTable {
    settings: MemberSettings,
    me: MemberRecord,
    members: BTreeMap<InstanceId, MemberEntry>,
    order: Vec<InstanceId>,
    next_number: u64,
    open: BTreeMap<u64, OpenProbe>,
    fresh: BTreeSet<InstanceId>,
    listed: Option<BTreeSet<InstanceId>>,
}

impl MemberTable {
    /// A table that knows only `me`.
    pub fn new(me: MemberRecord, settings: MemberSettings) -> Self {
        let fresh = BTreeSet::from([me.id.clone()]);
        MemberTable {
            settings,
            me,
            members: BTreeMap::new(),
            order: Vec::new(),
            next_number: 0,
            open: BTreeMap::new(),
            fresh,
            listed: None,
        }
    }

    /// This process.
    pub fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// A member by its instance.
    pub fn get(&self, id: &InstanceId) -> Option<&MemberRecord> {
        if *id == self.me.id {
            return Some(&self.me);
        }
        self.members.get(id).map(|entry| &entry.record)
    }

    /// Everybody known, this process included.
    pub fn all(&self) -> impl Iterator<Item = &MemberRecord> {
        std::iter::once(&self.me).chain(self.members.values().map(|entry| &entry.record))
    }

    /// Those that take work: alive or suspected, not leaving. A suspect stays responsible until
    /// it is dead: taking its keys away at the first lost packet would move them to and fro.
    pub fn takers(&self) -> impl Iterator<Item = &MemberRecord> {
        self.all()
            .filter(|member| matches!(member.stage, MemberStage::Alive | MemberStage::Suspect))
    }

    /// Those believed to answer.
    pub fn alive(&self) -> impl Iterator<Item = &MemberRecord> {
        self.all().filter(|member| member.stage == MemberStage::Alive)
    }

    /// How many take work.
    pub fn taker_count(&self) -> usize {
        self.takers().count()
    }

    /// Adds a member known from settings.
    pub fn join(&mut self, record: MemberRecord, now: ClockTime) {
        if record.id != self.me.id && !self.members.contains_key(&record.id) {
            self.put(record, now);
        }
    }

    /// Notes which of our instances the platform's list shows.
    pub fn take_list(&mut self, shown: Option<BTreeSet<InstanceId>>) {
        self.listed = shown;
    }

    /// This process is leaving; peers learn it with the next messages.
    pub fn leave(&mut self) {
        self.me.stage = MemberStage::Leaving;
        self.me.incarnation += 1;
        self.fresh.insert(self.me.id.clone());
    }

    /// One period: a probe of the next member, and the ageing of suspects.
    pub fn tick(&mut self, generation: u64, now: ClockTime, random: u64) -> Vec<MemberAction> {
        let mut actions = self.age_probes(now, random);
        self.age_suspects(now);
        if let Some(target) = self.next_target(random) {
            let number = self.next_number;
            self.next_number += 1;
            let probe = OpenProbe { target: target.clone(), sent_at: now, helped: false };
            self.open.insert(number, probe);
            self.accuse(&target);
            let message = self.message(number, generation);
            actions.push(MemberAction::Probe { to: target, message });
        }
        actions
    }

    /// Takes a probe from `from` and returns the answer.
    pub fn probed(
        &mut self,
        from: &MemberRecord,
        probe: &ProbeMessage,
        generation: u64,
        now: ClockTime,
    ) -> ProbeMessage {
        self.take_news(std::slice::from_ref(from), now);
        self.take_news(&probe.news, now);
        self.accuse(&from.id);
        self.message(probe.number, generation)
    }

    /// Takes the answer to a probe.
    pub fn answered(&mut self, from: &MemberRecord, answer: &ProbeMessage, now: ClockTime) {
        self.open.remove(&answer.number);
        // It answered, so it is not merely said to be alive: it is.
        self.revive(from, now);
        self.take_news(&answer.news, now);
    }

    /// A helper reached the target of probe `number`.
    pub fn helped(&mut self, number: u64) {
        self.open.remove(&number);
    }

    /// Takes news from a peer.
    pub fn take_news(&mut self, news: &[NewsItem], now: ClockTime) {
        for item in news {
            if item.id == self.me.id {
                self.refute(item);
            } else {
                self.take_item(item, now);
            }
        }
    }

    /// Makes sure that the next message tells `id` that it is held for suspect or dead here. Only it
    /// can outdo that, with a higher incarnation: without being told, both halves of a healed cut
    /// would hold each other for dead for ever, although they talk.
    fn accuse(&mut self, id: &InstanceId) {
        let Some(entry) = self.members.get_mut(id) else { return };
        if matches!(entry.record.stage, MemberStage::Suspect | MemberStage::Dead) {
            entry.sent = 0;
            self.fresh.insert(id.clone());
        }
    }

    /// Somebody believes this process suspect or dead. It outdoes them with a higher incarnation;
    /// otherwise a process that was paused for a moment would be dropped by everybody.
    fn refute(&mut self, item: &NewsItem) {
        if item.incarnation < self.me.incarnation || item.stage == self.me.stage {
            return;
        }
        self.me.incarnation = item.incarnation + 1;
        self.fresh.insert(self.me.id.clone());
    }

    fn take_item(&mut self, item: &NewsItem, now: ClockTime) {
        let Some(entry) = self.members.get(&item.id) else {
            if item.stage != MemberStage::Dead {
                self.put(item.clone(), now);
            }
            return;
        };
        let known = (entry.record.incarnation, entry.record.stage);
        if (item.incarnation, item.stage) > known {
            self.put(item.clone(), now);
        }
    }

    fn revive(&mut self, from: &MemberRecord, now: ClockTime) {
        self.take_news(std::slice::from_ref(from), now);
        let Some(entry) = self.members.get_mut(&from.id) else {
            return;
        };
        let same_life = entry.record.incarnation == from.incarnation;
        if same_life && entry.record.stage == MemberStage::Suspect {
            entry.record.stage = from.stage;
            entry.changed_at = now;
        }
    }

    fn put(&mut self, record: MemberRecord, now: ClockTime) {
        let id = record.id.clone();
        if !self.members.contains_key(&id) {
            self.order.push(id.clone());
        }
        self.members.insert(id.clone(), MemberEntry { record, changed_at: now, sent: 0 });
        self.fresh.insert(id);
    }

    fn age_probes(&mut self, now: ClockTime, random: u64) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        let numbers: Vec<u64> = self.open.keys().copied().collect();
        for number in numbers {
            let Some(probe) = self.open.get(&number).cloned() else {
                continue;
            };
            let age = now - probe.sent_at;
            if age >= self.settings.indirect_limit {
                self.open.remove(&number);
                self.suspect(&probe.target, now);
            } else if age >= self.settings.direct_limit && !probe.helped {
                if let Some(open) = self.open.get_mut(&number) {
                    open.helped = true;
                }
                let helpers = self.helpers(&probe.target, random);
                actions.extend(helpers.into_iter().map(|helper| MemberAction::AskHelper {
                    helper,
                    target: probe.target.clone(),
                    number,
                }));
            }
        }
        actions
    }

    fn helpers(&self, target: &InstanceId, random: u64) -> Vec<InstanceId> {
        let mut helpers: Vec<InstanceId> = self
            .members
            .values()
            .filter(|entry| entry.record.stage == MemberStage::Alive)
            .filter(|entry| entry.record.id != *target)
            .map(|entry| entry.record.id.clone())
            .collect();
        helpers.sort_by_key(|id| mix_bits(id.stable_hash() ^ random));
        helpers.truncate(self.settings.helpers);
        helpers
    }

    fn suspect(&mut self, id: &InstanceId, now: ClockTime) {
        let Some(entry) = self.members.get_mut(id) else {
            return;
        };
        if entry.record.stage == MemberStage::Alive {
            entry.record.stage = MemberStage::Suspect;
            entry.changed_at = now;
            entry.sent = 0;
            self.fresh.insert(id.clone());
        }
    }

    /// Suspects die, the dead and the left are forgotten.
    ///
    /// Neither the probes nor the list remove anybody alone. Probes fail for everybody when this
    /// process itself is cut off; the list lags and misses the new. A suspect that the list still
    /// shows gets much longer, and a process that suspects most of the others suspects itself
    /// instead: it keeps them all until it reaches somebody again.
    fn age_suspects(&mut self, now: ClockTime) {
        let suspects =
            self.members.values().filter(|e| e.record.stage == MemberStage::Suspect).count();
        let alive = self.members.values().filter(|e| e.record.stage == MemberStage::Alive).count();
        let cut_off = suspects > 0 && alive == 0;
        let listed = self.listed.clone();
        let settings = self.settings;
        let mut gone = Vec::new();
        for (id, entry) in &mut self.members {
            let age = now - entry.changed_at;
            match entry.record.stage {
                MemberStage::Suspect if !cut_off => {
                    let shown = listed.as_ref().is_none_or(|shown| shown.contains(id));
                    let limit = if shown { settings.listed_limit } else { settings.suspect_limit };
                    if age >= limit {
                        entry.record.stage = MemberStage::Dead;
                        entry.changed_at = now;
                        entry.sent = 0;
                        self.fresh.insert(id.clone());
                    }
                }
                MemberStage::Leaving if age >= settings.forget_limit => gone.push(id.clone()),
                MemberStage::Dead if age >= settings.bury_limit => gone.push(id.clone()),
                _ => {}
            }
        }
        for id in gone {
            self.members.remove(&id);
            self.fresh.remove(&id);
            self.order.retain(|other| *other != id);
        }
    }

    /// The next member to probe: each once a round, in an order that changes every round. The dead
    /// are probed too, rarely, so that two halves of a cut find each other again.
    fn next_target(&mut self, random: u64) -> Option<InstanceId> {
        for _ in 0..self.order.len() {
            if (self.next_number as usize).is_multiple_of(self.order.len()) {
                self.order.sort_by_key(|id| mix_bits(id.stable_hash() ^ random));
            }
            let id = self.order[self.next_number as usize % self.order.len()].clone();
            let stage = self.members.get(&id).map(|entry| entry.record.stage);
            if matches!(stage, Some(MemberStage::Leaving)) {
                self.next_number += 1;
                continue;
            }
            return Some(id);
        }
        None
    }

    fn message(&mut self, number: u64, generation: u64) -> ProbeMessage {
        let most = self.settings.most_news;
        let limit = self.settings.repeats * (usize::BITS - self.members.len().leading_zeros() + 1);
        let mut items: Vec<(u32, InstanceId)> = self
            .fresh
            .iter()
            .map(|id| (self.members.get(id).map_or(0, |entry| entry.sent), id.clone()))
            .collect();
        items.sort();
        items.truncate(most);
        let mut news = Vec::with_capacity(items.len());
        for (_, id) in items {
            if id == self.me.id {
                news.push(self.me.clone());
                self.fresh.remove(&id);
                continue;
            }
            let Some(entry) = self.members.get_mut(&id) else {
                continue;
            };
            news.push(entry.record.clone());
            entry.sent += 1;
            if entry.sent >= limit {
                self.fresh.remove(&id);
            }
        }
        ProbeMessage { number, generation, news }
    }
}
