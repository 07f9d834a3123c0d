//! The members as known to one process, and the choice of the collector among them.

use crate::message::MemberInfo;
use oleander_kind::hash::{HASH_SEED, mix_bits, rendezvous_weight, stable_hash};
use oleander_kind::{ClockTime, InstanceId, ServiceName, TimeSpan};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// How long a member that did not answer is not chosen as the collector, at first; doubled with
/// each failure. A restarted member is used again after seconds, and a dead one costs a few
/// timeouts before it is removed.
const INITIAL_SKIP_TIME: TimeSpan = TimeSpan(2500);
/// A member that nobody has heard of for this long is removed; one that returns announces itself.
const MEMBER_LIFETIME: TimeSpan = TimeSpan(20_000);
/// The length of a collector term.
const TERM_LENGTH: TimeSpan = TimeSpan(5000);
/// The bandwidth, in Mbit/s, and the fraction of a core that collecting for about eighty processes
/// uses.
const COLLECT_LINK_MBPS: f64 = 7.8;
const COLLECT_CORES: f64 = 0.03;
/// The rendezvous key by which members are ranked.
const COLLECTOR_KEY: &[u8] = b"collector";

#[derive(Clone, Debug)]
struct KnownMember {
    member: MemberInfo,
    /// When the member itself was heard, or was first named by another.
    heard_at: ClockTime,
    /// When the collector last named it.
    named_at: ClockTime,
}

/// The membership view of one process.
#[derive(Clone, Debug)]
pub struct MeshView {
    me: MemberInfo,
    members: BTreeMap<InstanceId, KnownMember>,
    unresponsive: HashMap<InstanceId, UnresponsiveMember>,
    /// The collector and the term in which it was chosen.
    chosen: Option<(InstanceId, u64)>,
}

#[derive(Clone, Copy, Debug)]
struct UnresponsiveMember {
    since: ClockTime,
    until: ClockTime,
    times: u32,
}

impl MeshView {
    /// A view that knows only this process.
    pub fn new(me: MemberInfo) -> Self {
        MeshView { me, members: BTreeMap::new(), unresponsive: HashMap::new(), chosen: None }
    }

    /// This process.
    pub fn me(&self) -> &MemberInfo {
        &self.me
    }

    /// Records that this process is stopping.
    pub fn leave(&mut self) {
        self.me.leaving = true;
        self.me.edition += 1;
    }

    /// Records whether this process prefers not to collect.
    pub fn set_unfit(&mut self, unfit: bool) {
        if self.me.unfit != unfit {
            self.me.unfit = unfit;
            self.me.edition += 1;
        }
    }

    /// Sets the address at which peers may relay requests to this process.
    pub fn set_caller_address(&mut self, address: SocketAddr) {
        self.me.caller_address = Some(address);
        self.me.edition += 1;
    }

    /// Records of which services this process reaches no endpoint.
    pub fn set_unreached_services(&mut self, services: Vec<ServiceName>) {
        if self.me.unreached_services != services {
            self.me.unreached_services = services;
            self.me.edition += 1;
        }
    }

    /// Adds or updates a member, as announced by itself (`heard`) or by another process. The latest
    /// edition of the latest incarnation wins.
    pub fn take(&mut self, member: MemberInfo, heard: bool, now: ClockTime) {
        if member.id == self.me.id {
            return;
        }
        let edition = |member: &MemberInfo| (member.life, member.edition);
        let known = self.members.get_mut(&member.id);
        if let Some(known) = known.filter(|known| edition(&known.member) >= edition(&member)) {
            if heard && known.member.life == member.life {
                known.heard_at = now;
                self.unresponsive.remove(&member.id);
            }
            return;
        }
        let is_new_incarnation =
            self.members.get(&member.id).is_none_or(|known| known.member.life < member.life);
        if is_new_incarnation || heard {
            self.unresponsive.remove(&member.id);
        }
        let heard_at = match self.members.get(&member.id) {
            Some(known) if !heard => known.heard_at,
            _ => now,
        };
        let named_at = self.members.get(&member.id).map_or(heard_at, |known| known.named_at);
        self.members.insert(member.id.clone(), KnownMember { member, heard_at, named_at });
    }

    /// Applies the collector's member list: members that it does not name and that were not heard
    /// recently are removed.
    pub fn apply_members(&mut self, members: Vec<MemberInfo>, now: ClockTime) {
        /// Longer than it takes until a collector knows a new member.
        const HEARD_RECENTLY: TimeSpan = TimeSpan(3000);
        let named: Vec<InstanceId> = members.iter().map(|member| member.id.clone()).collect();
        members.into_iter().for_each(|member| self.take(member, false, now));
        self.members
            .retain(|id, known| named.contains(id) || now - known.heard_at < HEARD_RECENTLY);
        self.refresh_members(now);
    }

    /// Records that the collector's list names exactly the known members.
    ///
    /// A process knows most members only from the collector. Without this call each member was
    /// removed 20 s after it was first named, at a different time at each process.
    pub fn refresh_members(&mut self, now: ClockTime) {
        self.members.values_mut().for_each(|known| known.named_at = now);
    }

    /// Records that a member did not answer.
    pub fn mark_unresponsive(&mut self, id: &InstanceId, now: ClockTime) {
        let times = self.unresponsive.get(id).map_or(0, |unresponsive| unresponsive.times);
        let until = now + TimeSpan(INITIAL_SKIP_TIME.0 << times.min(2));
        self.unresponsive
            .insert(id.clone(), UnresponsiveMember { since: now, until, times: times + 1 });
    }

    /// Members that recently failed to answer this process.
    pub fn unreached(&self, now: ClockTime) -> Vec<InstanceId> {
        /// Longer than it takes to be redirected to one of them.
        const RECENT: TimeSpan = TimeSpan(2000);
        let recent =
            self.unresponsive.iter().filter(|(_, unresponsive)| now - unresponsive.since < RECENT);
        recent.map(|(id, _)| id.clone()).collect()
    }

    /// Adopts the collector that another process follows.
    pub fn follow_collector(&mut self, member: MemberInfo, true_now: ClockTime, now: ClockTime) {
        let term = term_at(true_now);
        // A term that was entered early is not left again.
        self.chosen = Some((member.id.clone(), term.max(self.term().min(term + 1))));
        self.take(member, true, now);
    }

    /// Removes members that nobody has heard of for long.
    pub fn sweep(&mut self, now: ClockTime) {
        self.members.retain(|_, known| now - known.heard_at.max(known.named_at) < MEMBER_LIFETIME);
        let members = &self.members;
        self.unresponsive.retain(|id, _| members.contains_key(id));
    }

    /// All members but this process.
    pub fn others(&self) -> impl Iterator<Item = &MemberInfo> {
        self.members.values().map(|known| &known.member)
    }

    /// All members that are not stopping, including this process.
    pub fn members(&self) -> Vec<MemberInfo> {
        let own = std::iter::once(&self.me);
        own.chain(self.others()).filter(|member| !member.leaving).cloned().collect()
    }

    /// The number of members that are not stopping.
    pub fn serving(&self) -> u32 {
        let own = u32::from(!self.me.leaving);
        own + self.others().filter(|member| !member.leaving).count() as u32
    }

    /// The number of processes among which a limit is shared as long as no collector has given
    /// allotments: the known members, or `configured`, the number in the settings, if that is
    /// larger.
    ///
    /// A process that starts knows a few configured peers and soon learns of the rest from them,
    /// but only later from a collector. With the configured peers alone, processes that were all
    /// killed at the same time each admitted the share of a small group, and accounts exceeded
    /// their limits.
    pub fn limit_sharers(&self, configured: u32) -> u32 {
        self.serving().max(configured).max(1)
    }

    /// A hash of the member list.
    pub fn members_hash(&self) -> u64 {
        let own = std::iter::once(&self.me);
        own.chain(self.others()).fold(0, |members_hash, member| {
            let edition = u64::from(member.edition);
            members_hash
                ^ mix_bits(member.id.stable_hash() ^ mix_bits(member.life ^ mix_bits(edition)))
        })
    }

    /// Chooses the collector: the member of highest priority (fit, then capacity, then name) that
    /// is not stopping and did not recently fail to answer. Processes with the same members choose
    /// the same one.
    ///
    /// The choice holds for a term, which begins at the same true time everywhere, unless the
    /// chosen member drops out. Otherwise each restart of a member of high rank would move the
    /// collector twice, and in between two collectors would each give out a part of every account's
    /// limit.
    pub fn choose_collector(&mut self, true_now: ClockTime, now: ClockTime) -> MemberInfo {
        self.choose_in_term(term_at(true_now), now)
    }

    /// The term in which the collector was last chosen; 0 if none was.
    pub fn term(&self) -> u64 {
        self.chosen.as_ref().map_or(0, |(_, term)| *term)
    }

    /// Enters the term of a process that asks this one to collect, if it is the next one.
    ///
    /// Terms begin at the same true time, which processes know to about 10 ms. A process that was
    /// asked just before its own clock reached the term still followed the previous collector and
    /// redirected the askers there for the whole term; a moment later it collected alone. Both
    /// collectors gave out every account's limit, the lease went to the one without counts, and a
    /// window's usage was not reported. A term further ahead comes from a wrong clock.
    pub fn enter_term(&mut self, term: u64, true_now: ClockTime, now: ClockTime) {
        if term > self.term() && term <= term_at(true_now) + 1 {
            self.choose_in_term(term, now);
        }
    }

    /// Keeps the collector of the last term, which is another process and answers.
    ///
    /// The current collector decides itself when to move to one of higher priority: it hands over
    /// its state and redirects the others. If each process chose for itself, some would find the
    /// member of highest priority unresponsive and choose the next one, while that member
    /// redirected others back. Two ledgers would share every limit, each having recorded everything
    /// spent before, and every account would be refused for a term.
    pub fn keep_collector(&mut self, true_now: ClockTime) {
        let term = term_at(true_now).max(self.term());
        let other = self.chosen.as_mut().filter(|(id, _)| *id != self.me.id);
        if let Some((_, chosen_in)) = other {
            *chosen_in = term;
        }
    }

    fn choose_in_term(&mut self, term: u64, now: ClockTime) -> MemberInfo {
        // A term that was entered early is not left again.
        let term = term.max(self.term().min(term + 1));
        let kept = self.chosen.as_ref().filter(|(_, chosen_in)| *chosen_in == term);
        let kept = kept.and_then(|(id, _)| {
            self.candidates(now).find(|member| member.id == *id && !member.unfit).cloned()
        });
        let member = kept.unwrap_or_else(|| self.best_candidate(now).clone());
        self.chosen = Some((member.id.clone(), term));
        member
    }

    fn best_candidate(&self, now: ClockTime) -> &MemberInfo {
        self.candidates(now).max_by_key(|member| priority(member)).unwrap_or(&self.me)
    }

    /// Whether this process is among the first `count` members by priority.
    pub fn is_among_first(&self, count: usize, now: ClockTime) -> bool {
        let own = priority(&self.me);
        self.candidates(now).filter(|member| priority(member) > own).count() < count
    }

    fn candidates(&self, now: ClockTime) -> impl Iterator<Item = &MemberInfo> {
        let own = std::iter::once(&self.me);
        own.chain(self.others()).filter(move |member| {
            !member.leaving
                && self
                    .unresponsive
                    .get(&member.id)
                    .is_none_or(|unresponsive| unresponsive.until <= now)
        })
    }

    /// The collector that was last chosen.
    pub fn chosen(&self) -> Option<&InstanceId> {
        self.chosen.as_ref().map(|(id, _)| id)
    }

    /// Whether this process is the collector it chose.
    pub fn collects(&self) -> bool {
        self.chosen.as_ref().is_some_and(|(id, _)| *id == self.me.id)
    }
}

/// The term that every process had entered shortly before `true_now`, as far as clocks agree.
pub fn settled_term(true_now: ClockTime) -> u64 {
    /// Two reporting periods.
    const SETTLE_TIME: TimeSpan = TimeSpan(500);
    term_at(true_now - SETTLE_TIME)
}

fn term_at(true_now: ClockTime) -> u64 {
    true_now.0 / TERM_LENGTH.0
}

/// The capacity of an instance to collect: how many times its scarcer resource covers what
/// collecting for about eighty processes takes, as a power of two.
///
/// Links differ twentyfold between instances. On a small one, digests and callers saturate the
/// link: reports are not answered in time, and their senders choose another collector and query the
/// store themselves. Rounding to powers of two ranks similar instances by name, so that a restart
/// moves the collector no more often than among equals.
pub fn collector_capacity(link_mbps: f64, cores: f64) -> u32 {
    let times = (link_mbps / COLLECT_LINK_MBPS).min(cores / COLLECT_CORES);
    times.max(1.0).log2() as u32
}

/// The order in which members are chosen: fit ones first, then by capacity, then by name.
fn priority(member: &MemberInfo) -> (bool, u32, u64) {
    (!member.unfit, member.capacity, rank(member))
}

fn rank(member: &MemberInfo) -> u64 {
    rendezvous_weight(stable_hash(HASH_SEED, COLLECTOR_KEY), member.id.stable_hash())
}
