//! The member table and the probes that maintain it, as a pure state machine.

use compact_str::CompactString;
use oleander_kind::hash::mix_bits;
use oleander_kind::{ClockTime, DomainName, InstanceId, TimeSpan};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The state of a member. For equal incarnations the later stage wins.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum MemberStage {
    /// The member answers.
    #[default]
    Alive,
    /// The member did not answer; it may be slow, paused, isolated or dead.
    Suspect,
    /// The member announced that it is leaving: it finishes its requests and gets no new ones.
    Leaving,
    /// The member is considered failed.
    Dead,
}

/// What is known of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its instance.
    pub id: InstanceId,
    /// Its failure domain.
    pub domain: DomainName,
    /// The address for peers.
    pub address: CompactString,
    /// Incremented by the member itself to override older records of it. A restarted process starts
    /// with a higher value.
    pub incarnation: u64,
    /// Its stage.
    pub stage: MemberStage,
}

/// A member record that is spread by gossip.
pub type GossipItem = MemberRecord;

/// A probe or its answer, with gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeMessage {
    /// Matches an answer to its probe.
    pub number: u64,
    /// The bundle generation in force at the sender.
    pub generation: u64,
    /// Gossip, at most [`MemberSettings::max_gossip`] items.
    pub news: Vec<GossipItem>,
}

/// Timeouts and limits of probes, suspicion and gossip.
#[derive(Clone, Copy, Debug)]
pub struct MemberSettings {
    /// A probe that is not answered within this time is repeated through other members.
    pub direct_timeout: TimeSpan,
    /// A member that is not reached within this time, directly or indirectly, is suspected.
    pub indirect_timeout: TimeSpan,
    /// A suspect that is not heard of for this long is declared dead if the list does not show it.
    pub suspect_timeout: TimeSpan,
    /// A suspect that the list still shows is declared dead after this time without news of it; so
    /// is any suspect if the list could not be read.
    pub listed_timeout: TimeSpan,
    /// A leaving member is removed after this time.
    pub leaving_retention: TimeSpan,
    /// A dead member is removed after this time. Until then it is probed like the others, so that
    /// regions that were isolated from each other for minutes find each other again.
    pub dead_retention: TimeSpan,
    /// The number of members asked for an indirect probe.
    pub helpers: usize,
    /// The most gossip items per message.
    pub max_gossip: usize,
    /// How many times an item is sent, as a multiple of the base-2 logarithm of the number of
    /// members. A member that misses the item learns of it from a probe to or from the affected
    /// member itself.
    pub repeats: u32,
}

impl Default for MemberSettings {
    fn default() -> Self {
        MemberSettings {
            direct_timeout: TimeSpan(500),
            indirect_timeout: TimeSpan(1000),
            suspect_timeout: TimeSpan(5000),
            listed_timeout: TimeSpan(30_000),
            leaving_retention: TimeSpan(120_000),
            dead_retention: TimeSpan::secs(3600),
            helpers: 2,
            max_gossip: 8,
            repeats: 1,
        }
    }
}

/// An action requested by the table.
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
    ProbeVia {
        /// The member that is asked.
        helper: InstanceId,
        /// The member to be probed.
        target: InstanceId,
        /// The number of the probe, for the answer.
        number: u64,
    },
}

#[derive(Clone, Debug)]
struct MemberEntry {
    record: MemberRecord,
    changed_at: ClockTime,
    times_sent: u32,
}

#[derive(Clone, Debug)]
struct OpenProbe {
    target: InstanceId,
    sent_at: ClockTime,
    is_indirect: bool,
}

/// The member table of one process.
#[derive(Debug)]
pub struct MemberTable {
    settings: MemberSettings,
    me: MemberRecord,
    members: BTreeMap<InstanceId, MemberEntry>,
    order: Vec<InstanceId>,
    next_number: u64,
    open: BTreeMap<u64, OpenProbe>,
    pending_gossip: BTreeSet<InstanceId>,
    listed: Option<BTreeSet<InstanceId>>,
}

impl MemberTable {
    /// A table that contains only `me`.
    pub fn new(me: MemberRecord, settings: MemberSettings) -> Self {
        let pending_gossip = BTreeSet::from([me.id.clone()]);
        MemberTable {
            settings,
            me,
            members: BTreeMap::new(),
            order: Vec::new(),
            next_number: 0,
            open: BTreeMap::new(),
            pending_gossip,
            listed: None,
        }
    }

    /// This process.
    pub fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// The member with this instance.
    pub fn get(&self, id: &InstanceId) -> Option<&MemberRecord> {
        if *id == self.me.id {
            return Some(&self.me);
        }
        self.members.get(id).map(|entry| &entry.record)
    }

    /// All known members, including this process.
    pub fn all(&self) -> impl Iterator<Item = &MemberRecord> {
        std::iter::once(&self.me).chain(self.members.values().map(|entry| &entry.record))
    }

    /// Members that accept work: alive or suspected, not leaving. A suspect owns its keys until it
    /// is dead; otherwise a single lost packet would move its keys back and forth.
    pub fn serving_members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.all()
            .filter(|member| matches!(member.stage, MemberStage::Alive | MemberStage::Suspect))
    }

    /// Members believed to answer.
    pub fn alive(&self) -> impl Iterator<Item = &MemberRecord> {
        self.all().filter(|member| member.stage == MemberStage::Alive)
    }

    /// The number of members that accept work.
    pub fn serving_count(&self) -> usize {
        self.serving_members().count()
    }

    /// Adds a member known from the settings.
    pub fn join(&mut self, record: MemberRecord, now: ClockTime) {
        if record.id != self.me.id && !self.members.contains_key(&record.id) {
            self.insert(record, now);
        }
    }

    /// Sets which instances of entry processes the platform's list shows; `None` if it could not be
    /// read.
    pub fn set_listed(&mut self, shown: Option<BTreeSet<InstanceId>>) {
        self.listed = shown;
    }

    /// Marks this process as leaving; peers learn of it with the next messages.
    pub fn leave(&mut self) {
        self.me.stage = MemberStage::Leaving;
        self.me.incarnation += 1;
        self.pending_gossip.insert(self.me.id.clone());
    }

    /// Runs one period: handles timeouts of probes and suspects, and probes the next member.
    pub fn tick(&mut self, generation: u64, now: ClockTime, random: u64) -> Vec<MemberAction> {
        let mut actions = self.expire_probes(now, random);
        self.expire_suspects(now);
        if let Some(target) = self.next_target(random) {
            let number = self.next_number;
            self.next_number += 1;
            let probe = OpenProbe { target: target.clone(), sent_at: now, is_indirect: false };
            self.open.insert(number, probe);
            self.queue_suspicion(&target);
            let message = self.build_message(number, generation);
            actions.push(MemberAction::Probe { to: target, message });
        }
        actions
    }

    /// Handles a probe from `from` and returns the answer.
    pub fn handle_probe(
        &mut self,
        from: &MemberRecord,
        probe: &ProbeMessage,
        generation: u64,
        now: ClockTime,
    ) -> ProbeMessage {
        self.apply_gossip(std::slice::from_ref(from), now);
        self.apply_gossip(&probe.news, now);
        self.queue_suspicion(&from.id);
        self.build_message(probe.number, generation)
    }

    /// Handles the answer to a probe.
    pub fn handle_answer(&mut self, from: &MemberRecord, answer: &ProbeMessage, now: ClockTime) {
        self.open.remove(&answer.number);
        // The answer itself shows that the member is alive, unlike gossip that says so.
        self.confirm_alive(from, now);
        self.apply_gossip(&answer.news, now);
    }

    /// Handles the report of a helper that it reached the target of probe `number`.
    pub fn handle_helper_answer(&mut self, number: u64) {
        self.open.remove(&number);
    }

    /// Applies gossip from a peer.
    pub fn apply_gossip(&mut self, news: &[GossipItem], now: ClockTime) {
        for item in news {
            if item.id == self.me.id {
                self.refute(item);
            } else {
                self.apply_item(item, now);
            }
        }
    }

    /// Ensures that the next message tells `id` if it is suspected or considered dead here. Only
    /// that member can refute it, with a higher incarnation. Without this, both halves of a healed
    /// partition would consider each other dead forever although they exchange messages.
    fn queue_suspicion(&mut self, id: &InstanceId) {
        let Some(entry) = self.members.get_mut(id) else { return };
        if matches!(entry.record.stage, MemberStage::Suspect | MemberStage::Dead) {
            entry.times_sent = 0;
            self.pending_gossip.insert(id.clone());
        }
    }

    /// Refutes a record that claims this process is suspect or dead, with a higher incarnation.
    /// Otherwise a process that was paused briefly would be removed by all others.
    fn refute(&mut self, item: &GossipItem) {
        if item.incarnation < self.me.incarnation || item.stage == self.me.stage {
            return;
        }
        self.me.incarnation = item.incarnation + 1;
        self.pending_gossip.insert(self.me.id.clone());
    }

    fn apply_item(&mut self, item: &GossipItem, now: ClockTime) {
        let Some(entry) = self.members.get(&item.id) else {
            if item.stage != MemberStage::Dead {
                self.insert(item.clone(), now);
            }
            return;
        };
        let known = (entry.record.incarnation, entry.record.stage);
        if (item.incarnation, item.stage) > known {
            self.insert(item.clone(), now);
        }
    }

    fn confirm_alive(&mut self, from: &MemberRecord, now: ClockTime) {
        self.apply_gossip(std::slice::from_ref(from), now);
        let Some(entry) = self.members.get_mut(&from.id) else {
            return;
        };
        let same_incarnation = entry.record.incarnation == from.incarnation;
        if same_incarnation && entry.record.stage == MemberStage::Suspect {
            entry.record.stage = from.stage;
            entry.changed_at = now;
        }
    }

    fn insert(&mut self, record: MemberRecord, now: ClockTime) {
        let id = record.id.clone();
        if !self.members.contains_key(&id) {
            self.order.push(id.clone());
        }
        self.members.insert(id.clone(), MemberEntry { record, changed_at: now, times_sent: 0 });
        self.pending_gossip.insert(id);
    }

    fn expire_probes(&mut self, now: ClockTime, random: u64) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        let numbers: Vec<u64> = self.open.keys().copied().collect();
        for number in numbers {
            let Some(probe) = self.open.get(&number).cloned() else {
                continue;
            };
            let age = now - probe.sent_at;
            if age >= self.settings.indirect_timeout {
                self.open.remove(&number);
                self.suspect(&probe.target, now);
            } else if age >= self.settings.direct_timeout && !probe.is_indirect {
                if let Some(open) = self.open.get_mut(&number) {
                    open.is_indirect = true;
                }
                let helpers = self.helpers(&probe.target, random);
                actions.extend(helpers.into_iter().map(|helper| MemberAction::ProbeVia {
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
            entry.times_sent = 0;
            self.pending_gossip.insert(id.clone());
        }
    }

    /// Declares suspects dead, and removes dead members and those that left.
    ///
    /// Neither probes nor the list remove a member alone. Probes fail for all members when this
    /// process itself is isolated, and the list lags and lacks new members. A suspect that the list
    /// still shows gets a much longer timeout, and a process with suspects but no member alive
    /// treats itself as isolated: it keeps all members until it reaches one of them again.
    fn expire_suspects(&mut self, now: ClockTime) {
        let suspects =
            self.members.values().filter(|e| e.record.stage == MemberStage::Suspect).count();
        let alive = self.members.values().filter(|e| e.record.stage == MemberStage::Alive).count();
        let is_isolated = suspects > 0 && alive == 0;
        let listed = self.listed.clone();
        let settings = self.settings;
        let mut gone = Vec::new();
        for (id, entry) in &mut self.members {
            let age = now - entry.changed_at;
            match entry.record.stage {
                MemberStage::Suspect if !is_isolated => {
                    let shown = listed.as_ref().is_none_or(|shown| shown.contains(id));
                    let limit =
                        if shown { settings.listed_timeout } else { settings.suspect_timeout };
                    if age >= limit {
                        entry.record.stage = MemberStage::Dead;
                        entry.changed_at = now;
                        entry.times_sent = 0;
                        self.pending_gossip.insert(id.clone());
                    }
                }
                MemberStage::Leaving if age >= settings.leaving_retention => gone.push(id.clone()),
                MemberStage::Dead if age >= settings.dead_retention => gone.push(id.clone()),
                _ => {}
            }
        }
        for id in gone {
            self.members.remove(&id);
            self.pending_gossip.remove(&id);
            self.order.retain(|other| *other != id);
        }
    }

    /// The next member to probe: each once per round, in a new order each round. Dead members are
    /// probed too, rarely, so that two halves of a partition find each other again.
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

    fn build_message(&mut self, number: u64, generation: u64) -> ProbeMessage {
        let most = self.settings.max_gossip;
        let limit = self.settings.repeats * (usize::BITS - self.members.len().leading_zeros() + 1);
        let mut items: Vec<(u32, InstanceId)> = self
            .pending_gossip
            .iter()
            .map(|id| (self.members.get(id).map_or(0, |entry| entry.times_sent), id.clone()))
            .collect();
        items.sort();
        items.truncate(most);
        let mut news = Vec::with_capacity(items.len());
        for (_, id) in items {
            if id == self.me.id {
                news.push(self.me.clone());
                self.pending_gossip.remove(&id);
                continue;
            }
            let Some(entry) = self.members.get_mut(&id) else {
                continue;
            };
            news.push(entry.record.clone());
            entry.times_sent += 1;
            if entry.times_sent >= limit {
                self.pending_gossip.remove(&id);
            }
        }
        ProbeMessage { number, generation, news }
    }
}
