//! The members as one process knows them, and which of them collects.

use crate::message::MemberCard;
use oleander_kind::hash::{HASH_START, mix_bits, rendezvous_weight, stable_hash};
use oleander_kind::{ClockTime, InstanceId, TimeSpan};
use std::collections::{BTreeMap, HashMap};

/// How long a member that did not answer is passed over at first; doubled each time. A restarted one
/// is used again after seconds, and a dead one costs a few timeouts before it is forgotten.
const SHUNNED: TimeSpan = TimeSpan(2500);
/// A member that nobody has heard of for this long is forgotten; one that comes back says so.
const FORGOTTEN: TimeSpan = TimeSpan(20_000);
/// How long a choice of the collector stays.
const TURN_TIME: TimeSpan = TimeSpan(5000);
/// What the collecting for some eighty processes takes of a link, in Mbit/s, and of a core.
const COLLECT_LINK_MBPS: f64 = 7.8;
const COLLECT_CORES: f64 = 0.03;
/// The key that members are ranked by.
const COLLECTOR_KEY: &[u8] = b"collector";

#[derive(Clone, Debug)]
struct KnownMember {
    card: MemberCard,
    /// When it spoke for itself, or was first named.
    heard_at: ClockTime,
    /// When the collector last named it.
    named_at: ClockTime,
}

/// The members.
#[derive(Clone, Debug)]
pub struct MeshView {
    me: MemberCard,
    members: BTreeMap<InstanceId, KnownMember>,
    shunned: HashMap<InstanceId, ShunnedMember>,
    /// The collector chosen, and the turn in which it was.
    chosen: Option<(InstanceId, u64)>,
}

#[derive(Clone, Copy, Debug)]
struct ShunnedMember {
    since: ClockTime,
    until: ClockTime,
    times: u32,
}

impl MeshView {
    /// A process that knows itself.
    pub fn new(me: MemberCard) -> Self {
        MeshView { me, members: BTreeMap::new(), shunned: HashMap::new(), chosen: None }
    }

    /// Who this process is.
    pub fn me(&self) -> &MemberCard {
        &self.me
    }

    /// Notes that this process is stopping.
    pub fn leave(&mut self) {
        self.me.leaving = true;
        self.me.edition += 1;
    }

    /// Notes whether this process would rather not collect.
    pub fn set_unfit(&mut self, unfit: bool) {
        if self.me.unfit != unfit {
            self.me.unfit = unfit;
            self.me.edition += 1;
        }
    }

    /// Takes a member's card, from itself (`heard`) or by hearsay. The newest edition of the latest
    /// life wins.
    pub fn take(&mut self, card: MemberCard, heard: bool, now: ClockTime) {
        if card.id == self.me.id {
            return;
        }
        let age = |card: &MemberCard| (card.life, card.edition);
        let known = self.members.get_mut(&card.id);
        if let Some(known) = known.filter(|known| age(&known.card) >= age(&card)) {
            if heard && known.card.life == card.life {
                known.heard_at = now;
                self.shunned.remove(&card.id);
            }
            return;
        }
        let newborn = self.members.get(&card.id).is_none_or(|known| known.card.life < card.life);
        if newborn || heard {
            self.shunned.remove(&card.id);
        }
        let heard_at = match self.members.get(&card.id) {
            Some(known) if !heard => known.heard_at,
            _ => now,
        };
        let named_at = self.members.get(&card.id).map_or(heard_at, |known| known.named_at);
        self.members.insert(card.id.clone(), KnownMember { card, heard_at, named_at });
    }

    /// Takes the collector's list of members: those it does not name, and that did not speak for
    /// themselves a moment ago, are gone.
    pub fn adopt(&mut self, cards: Vec<MemberCard>, now: ClockTime) {
        /// Longer than a collector takes to hear of a new member.
        const SPOKE_LATELY: TimeSpan = TimeSpan(3000);
        let named: Vec<InstanceId> = cards.iter().map(|card| card.id.clone()).collect();
        cards.into_iter().for_each(|card| self.take(card, false, now));
        self.members.retain(|id, known| named.contains(id) || now - known.heard_at < SPOKE_LATELY);
        self.confirm(now);
    }

    /// Notes that the collector names just the members that are known.
    ///
    /// A process hears of most members from the collector alone. Without this it forgot each one
    /// 20 s after it was first named, at another moment than the other processes did.
    pub fn confirm(&mut self, now: ClockTime) {
        self.members.values_mut().for_each(|known| known.named_at = now);
    }

    /// Notes that a member did not answer.
    pub fn shun(&mut self, id: &InstanceId, now: ClockTime) {
        let times = self.shunned.get(id).map_or(0, |shunned| shunned.times);
        let until = now + TimeSpan(SHUNNED.0 << times.min(2));
        self.shunned.insert(id.clone(), ShunnedMember { since: now, until, times: times + 1 });
    }

    /// Members that did not answer a moment ago.
    pub fn unreached(&self, now: ClockTime) -> Vec<InstanceId> {
        /// Longer than it takes to be sent back to one of them.
        const MOMENT: TimeSpan = TimeSpan(2000);
        let lately = self.shunned.iter().filter(|(_, shunned)| now - shunned.since < MOMENT);
        lately.map(|(id, _)| id.clone()).collect()
    }

    /// Takes a collector that another process goes by.
    pub fn follow(&mut self, card: MemberCard, true_now: ClockTime, now: ClockTime) {
        let turn = turn_at(true_now);
        self.chosen = Some((card.id.clone(), turn.max(self.turn().min(turn + 1))));
        self.take(card, true, now);
    }

    /// Forgets members that nobody has heard of for long.
    pub fn sweep(&mut self, now: ClockTime) {
        self.members.retain(|_, known| now - known.heard_at.max(known.named_at) < FORGOTTEN);
        let members = &self.members;
        self.shunned.retain(|id, _| members.contains_key(id));
    }

    /// All members but this process.
    pub fn others(&self) -> impl Iterator<Item = &MemberCard> {
        self.members.values().map(|known| &known.card)
    }

    /// All members that are not stopping, this process included.
    pub fn cards(&self) -> Vec<MemberCard> {
        let own = std::iter::once(&self.me);
        own.chain(self.others()).filter(|card| !card.leaving).cloned().collect()
    }

    /// How many members are not stopping.
    pub fn serving(&self) -> u32 {
        let own = u32::from(!self.me.leaving);
        own + self.others().filter(|card| !card.leaving).count() as u32
    }

    /// Among how many processes a limit is shared while no collector tells: the members known, or as
    /// many as the settings name if that is more.
    ///
    /// A process that begins names a few others and hears of the rest from them soon, but from a collector
    /// later. Counting the named ones alone, processes that were all killed at once each let in the part of a
    /// small group, and accounts passed their limits.
    pub fn sharers(&self, named: u32) -> u32 {
        self.serving().max(named).max(1)
    }

    /// A mark that differs if the members do.
    pub fn mark(&self) -> u64 {
        let own = std::iter::once(&self.me);
        own.chain(self.others()).fold(0, |mark, card| {
            let edition = u64::from(card.edition);
            mark ^ mix_bits(card.id.stable_hash() ^ mix_bits(card.life ^ mix_bits(edition)))
        })
    }

    /// Chooses the member that collects: the first by standing (fit, strong, then by name) that is not
    /// stopping and did not fail to answer a moment ago. Processes that see the same members agree.
    ///
    /// The choice stays for a turn, which begins at the same true time everywhere, unless the member
    /// chosen drops out. Otherwise each restart of a member of high rank would move the collecting
    /// twice, and in between two collectors would each give out a part of every account's limit.
    pub fn choose_collector(&mut self, true_now: ClockTime, now: ClockTime) -> MemberCard {
        self.choose_in_turn(turn_at(true_now), now)
    }

    /// The turn in which the collector was chosen last; 0 if none was.
    pub fn turn(&self) -> u64 {
        self.chosen.as_ref().map_or(0, |(_, turn)| *turn)
    }

    /// Takes the turn of a process that asks this one to collect, if it is the next one.
    ///
    /// Turns begin at the same true time, which processes know to some 10 ms. One that is asked just
    /// before its own clock reaches the turn goes by the last collector still, and sent the askers
    /// there for the whole turn; a moment later it collected for itself alone. Each of the two gave out
    /// every account's limit, the lease went to the one without counts, and a window's usage was not
    /// told. A turn further ahead is somebody's wrong clock.
    pub fn enter_turn(&mut self, turn: u64, true_now: ClockTime, now: ClockTime) {
        if turn > self.turn() && turn <= turn_at(true_now) + 1 {
            self.choose_in_turn(turn, now);
        }
    }

    /// Stays with the collector of the last turn, which is another process and answers.
    ///
    /// Whether to go over to one of better standing is its own matter: it hands over what it keeps and sends the
    /// others there. If each chose for itself, some would find the first by standing gone and choose the next one, while
    /// others were sent back by it. Two ledgers would share every limit, each with all that was spent before on
    /// its books, and every account would be refused for a turn.
    pub fn stay(&mut self, true_now: ClockTime) {
        let turn = turn_at(true_now).max(self.turn());
        let other = self.chosen.as_mut().filter(|(id, _)| *id != self.me.id);
        if let Some((_, chosen_in)) = other {
            *chosen_in = turn;
        }
    }

    fn choose_in_turn(&mut self, turn: u64, now: ClockTime) -> MemberCard {
        // A turn that was entered early is not left again.
        let turn = turn.max(self.turn().min(turn + 1));
        let kept = self.chosen.as_ref().filter(|(_, chosen_in)| *chosen_in == turn);
        let kept = kept
            .and_then(|(id, _)| self.open(now).find(|card| card.id == *id && !card.unfit).cloned());
        let card = kept.unwrap_or_else(|| self.first_open(now).clone());
        self.chosen = Some((card.id.clone(), turn));
        card
    }

    fn first_open(&self, now: ClockTime) -> &MemberCard {
        self.open(now).max_by_key(|card| standing(card)).unwrap_or(&self.me)
    }

    /// Whether this process is among the first `count` by standing.
    pub fn is_among_first(&self, count: usize, now: ClockTime) -> bool {
        let own = standing(&self.me);
        self.open(now).filter(|card| standing(card) > own).count() < count
    }

    fn open(&self, now: ClockTime) -> impl Iterator<Item = &MemberCard> {
        let own = std::iter::once(&self.me);
        own.chain(self.others()).filter(move |card| {
            !card.leaving && self.shunned.get(&card.id).is_none_or(|shunned| shunned.until <= now)
        })
    }

    /// The collector that was chosen last.
    pub fn chosen(&self) -> Option<&InstanceId> {
        self.chosen.as_ref().map(|(id, _)| id)
    }

    /// Whether this process is the collector that it chose.
    pub fn collects(&self) -> bool {
        self.chosen.as_ref().is_some_and(|(id, _)| *id == self.me.id)
    }
}

/// The turn that every process was in a moment before `true_now`, as far as clocks agree.
pub fn settled_turn(true_now: ClockTime) -> u64 {
    /// Two periods of reports.
    const MOMENT: TimeSpan = TimeSpan(500);
    turn_at(true_now - MOMENT)
}

fn turn_at(true_now: ClockTime) -> u64 {
    true_now.0 / TURN_TIME.0
}

/// How well an instance can carry the collecting: how often its scarcer resource holds what the
/// collecting for some eighty processes takes, in powers of two.
///
/// Instances differ twentyfold in their links. Digests, and callers besides, fill the link of a small one: reports get
/// no answer in time, their senders choose another collector and ask the store themselves. Powers of two, so that
/// like instances are ranked by their names and a restart moves the collecting no more often than among equals.
pub fn collect_strength(link_mbps: f64, cores: f64) -> u32 {
    let times = (link_mbps / COLLECT_LINK_MBPS).min(cores / COLLECT_CORES);
    times.max(1.0).log2() as u32
}

/// The order in which members are chosen: fit ones, then strong ones, then by name.
fn standing(card: &MemberCard) -> (bool, u32, u64) {
    (!card.unfit, card.strength, rank(card))
}

fn rank(card: &MemberCard) -> u64 {
    rendezvous_weight(stable_hash(HASH_START, COLLECTOR_KEY), card.id.stable_hash())
}
