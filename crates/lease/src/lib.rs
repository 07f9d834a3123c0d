//! Leases over the platform's object API, with fencing tokens.
//!
//! A shard of control work belongs to the process that holds its lease. The fencing token rises
//! with every change of holder and is part of every order, so that an endpoint that checks it can
//! refuse the orders of a holder that was paused and superseded.
//!
//! A store that comes back from an older copy ([`StoreEra`]) may have lost the record of the last
//! holder. Tokens of a later era are therefore higher than all of earlier ones, and a process that
//! does not hold the lease at that moment waits as if another one had just renewed it.

use compact_str::CompactString;
use oleander_kind::{ClockTime, InstanceId, StoreEra, TimeSpan};
use serde::{Deserialize, Serialize};

/// The content of a lease object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// The holder; empty if there is none.
    pub holder: InstanceId,
    /// The incarnation of the holder.
    pub incarnation: u64,
    /// The fencing token.
    pub fence: u64,
    /// Incremented with each renewal, so that others see that the holder is alive.
    pub renewals: u64,
    /// The former holders that may have made calls within the last lease duration; `None` if that is
    /// not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub callers: Option<Vec<FormerCaller>>,
}

/// A former holder that made calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerCaller {
    /// Its name.
    pub holder: InstanceId,
    /// The least time since its last call when the record was written, in milliseconds.
    pub ago: TimeSpan,
}

/// The name of the lease object of shard `shard`.
pub fn lease_name(shard: &str) -> CompactString {
    format!("lease/{shard}").into()
}

/// The next call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// No call now.
    Wait,
    /// Read the object.
    Read,
    /// Write `record` if the object's version is still `version`.
    Write {
        /// The version read; `None` if there is no object.
        version: Option<u64>,
        /// The record.
        record: LeaseRecord,
    },
}

/// The result of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseReply {
    /// The object and its version, as read.
    Read(Option<(u64, LeaseRecord)>),
    /// The write succeeded and made this version.
    Written(u64),
    /// The object had another version.
    Changed,
    /// The call was refused or not sent.
    NotDone,
    /// The write may have been carried out.
    Unknown,
}

#[derive(Clone, Debug)]
struct ObservedLease {
    version: Option<u64>,
    record: LeaseRecord,
    changed_at: ClockTime,
}

#[derive(Clone, Debug)]
struct PendingWrite {
    record: LeaseRecord,
    sent_at: ClockTime,
    /// The known era when it was sent.
    era: StoreEra,
}

/// Manages one lease, as a pure state machine over a monotonic clock.
///
/// Clocks of two processes are never compared. The holder's lease runs from *before* it sent a
/// renewal; another process takes the lease only after it has seen the object unchanged for the
/// lease duration and a margin on its own clock. The old holder's lease therefore always ends
/// before the new one's begins, provided that the clocks run at the same speed within
/// [`CLOCK_MARGIN_PERCENT`].
#[derive(Clone, Debug)]
pub struct LeaseManager {
    me: InstanceId,
    incarnation: u64,
    duration: TimeSpan,
    may_take_over: bool,
    seen: Option<ObservedLease>,
    /// The version that the last write replaced or failed to replace; notices of it are stale.
    last_replaced: Option<u64>,
    pending: Option<PendingWrite>,
    held_until: ClockTime,
    next_at: ClockTime,
    /// The era of the store; `None` before its first answer.
    era: Option<StoreEra>,
    /// Until when another process may hold the lease by a record that the store lost.
    lost_until: ClockTime,
    /// When this incarnation started, if calls of an earlier one have to be considered.
    started_at: Option<ClockTime>,
    last_call: Option<LastCall>,
    /// When this process took the lease under its present token.
    taken_at: Option<ClockTime>,
}

/// The time and fencing token of this process's last fenced call.
#[derive(Clone, Copy, Debug)]
struct LastCall {
    /// 0 for a call that an earlier incarnation may have made.
    fence: u64,
    at: ClockTime,
}

impl LastCall {
    fn is_earlier(self) -> bool {
        self.fence == 0
    }
}

/// The state at one moment, with times relative to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseView {
    /// The version last seen.
    pub version: Option<u64>,
    /// The record last seen.
    pub record: Option<LeaseRecord>,
    /// How long the record has been unchanged, at most the time that other processes wait.
    pub unchanged: Option<TimeSpan>,
    /// How long ago the pending write was sent, at most the lease duration.
    pub pending_for: Option<TimeSpan>,
    /// The remaining time of the lease.
    pub held_for: TimeSpan,
    /// The time for which a process whose record the store lost may still hold the lease.
    pub lost_for: TimeSpan,
    /// The time until the next call.
    pub next_call_in: TimeSpan,
}

/// How much longer than the lease other processes wait, to allow for clocks of different speeds.
pub const CLOCK_MARGIN_PERCENT: u64 = 10;

/// How many tokens of one era there are: more changes of holder than any era sees.
const FENCES_PER_ERA: u64 = 1_000_000;

/// The lowest token of an era; the first era has one without a record.
fn first_fence(era: StoreEra) -> u64 {
    era.0 * FENCES_PER_ERA + u64::from(era > StoreEra(0))
}

impl LeaseManager {
    /// A manager for incarnation `incarnation` of process `me`; the lease lasts for `duration`.
    pub fn new(me: InstanceId, incarnation: u64, duration: TimeSpan) -> Self {
        LeaseManager {
            me,
            incarnation,
            duration,
            may_take_over: false,
            seen: None,
            last_replaced: None,
            pending: None,
            held_until: ClockTime(0),
            next_at: ClockTime(0),
            era: None,
            lost_until: ClockTime(0),
            started_at: None,
            last_call: None,
            taken_at: None,
        }
    }

    /// Allows to take over the lease of an earlier incarnation of this process without waiting for
    /// its end.
    ///
    /// Only for work whose every call is fenced, and for processes of which no name ever runs twice
    /// at a time: pending calls of the earlier incarnation are refused once this one holds the
    /// lease. Incarnations must increase with each start. This saves the lease duration after every
    /// restart of the holder, during which no endpoints are ordered.
    pub fn with_takeover(mut self) -> Self {
        self.may_take_over = true;
        self
    }

    /// Sets the time at which this incarnation started. An earlier one may have made calls until
    /// then; if another process has held the lease since, this one makes no calls for a lease
    /// duration from `at`.
    pub fn with_start(mut self, at: ClockTime) -> Self {
        self.started_at = Some(at);
        self
    }

    /// The fencing token, if the lease is held at `now` and for at least `needed` longer.
    ///
    /// An order to an endpoint that ignores fencing takes effect whenever it arrives. It is
    /// therefore only sent with `needed` no shorter than the order's own timeout: the order has
    /// arrived or timed out before another process can hold the lease.
    pub fn fence(&self, now: ClockTime, needed: TimeSpan) -> Option<u64> {
        let held = now + needed < self.held_until;
        held.then(|| self.own_fence()).flatten()
    }

    /// The fencing token for a call sent at `now`, with at least `needed` of the lease left.
    ///
    /// A process that released the lease and got it back from another one makes no calls for a
    /// lease duration after its own last call: calls of one holder, of another, and of the first
    /// again within so short a time look like two simultaneous holders, whatever their tokens.
    pub fn fence_for_call(&mut self, now: ClockTime, needed: TimeSpan) -> Option<u64> {
        let fence = self.fence(now, needed)?;
        self.note_call(fence, now)
    }

    /// The fencing token for a call sent at `now` under a lease that expired less than `grace` ago;
    /// see [`overdue_fence`](Self::overdue_fence). Calls are refused as in
    /// [`fence_for_call`](Self::fence_for_call).
    pub fn fence_for_overdue_call(&mut self, now: ClockTime, grace: TimeSpan) -> Option<u64> {
        let fence = self.overdue_fence(now, grace)?;
        self.note_call(fence, now)
    }

    /// The token of the record as last seen, if it is this process's own and of this era.
    fn own_fence(&self) -> Option<u64> {
        let record = self.seen()?;
        (self.is_mine(record) && !self.is_from_copy(record)).then_some(record.fence)
    }

    /// Records a call under `fence`; `None` if it is too soon after a call under another token.
    fn note_call(&mut self, fence: u64, now: ClockTime) -> Option<u64> {
        let is_too_soon = |last: LastCall| last.fence != fence && now - last.at < self.duration;
        if self.last_call.is_some_and(is_too_soon) {
            return None;
        }
        self.last_call = Some(LastCall { fence, at: now });
        Some(fence)
    }

    /// The fencing token of a lease that expired less than `grace` ago and has not been seen to
    /// change. Only for fenced calls, at a time when no other process can have taken the lease.
    pub fn overdue_fence(&self, now: ClockTime, grace: TimeSpan) -> Option<u64> {
        let is_in_grace = self.held_until > ClockTime(0) && now < self.held_until + grace;
        is_in_grace.then(|| self.own_fence()).flatten()
    }

    /// The record as last seen.
    pub fn seen(&self) -> Option<&LeaseRecord> {
        self.seen.as_ref().map(|seen| &seen.record)
    }

    fn is_mine(&self, record: &LeaseRecord) -> bool {
        record.holder == self.me && record.incarnation == self.incarnation
    }

    fn is_own_earlier(&self, record: &LeaseRecord) -> bool {
        self.may_take_over && record.holder == self.me && record.incarnation < self.incarnation
    }

    /// Whether a record was written in an earlier era: it was in the copy, and the last one may be lost.
    fn is_from_copy(&self, record: &LeaseRecord) -> bool {
        record.fence < first_fence(self.era.unwrap_or_default())
    }

    /// The state at `now`. Two managers with equal views make the same decisions from here on.
    pub fn view(&self, now: ClockTime) -> LeaseView {
        let seen = self.seen.as_ref();
        LeaseView {
            version: seen.and_then(|seen| seen.version),
            record: seen.map(|seen| seen.record.clone()),
            unchanged: seen.map(|seen| (now - seen.changed_at).min(self.takeover_wait())),
            pending_for: self
                .pending
                .as_ref()
                .map(|pending| (now - pending.sent_at).min(self.duration)),
            held_for: self.held_until - now,
            lost_for: self.lost_until - now,
            next_call_in: self.next_at - now,
        }
    }

    /// The next call to make at `now`.
    pub fn tick(&mut self, now: ClockTime) -> LeaseAction {
        if self.pending.is_some() || now < self.next_at {
            return LeaseAction::Wait;
        }
        let Some(seen) = &self.seen else {
            return LeaseAction::Read;
        };
        let holder = seen.record.holder.as_str();
        let free = holder.is_empty() || now - seen.changed_at >= self.takeover_wait();
        let may_write = self.is_mine(&seen.record) || self.is_own_earlier(&seen.record) || free;
        let may_write = if self.is_from_copy(&seen.record) {
            // Who still holds the lease was the last to take it, whatever the copy says.
            now < self.held_until || (may_write && now >= self.lost_until)
        } else {
            may_write
        };
        if may_write {
            return self.write(now);
        }
        self.next_at = now + TimeSpan(self.duration.0 / 4);
        LeaseAction::Read
    }

    /// Releases the lease, so that a successor need not wait for its end.
    pub fn release(&mut self, now: ClockTime) -> LeaseAction {
        let Some(seen) = self.seen.clone() else {
            return LeaseAction::Wait;
        };
        if !self.is_mine(&seen.record) {
            return LeaseAction::Wait;
        }
        self.held_until = ClockTime(0);
        let mut callers = self.callers_at(&seen, now);
        if let (Some(callers), Some(call)) = (&mut callers, self.last_call)
            && now - call.at < self.duration
        {
            // The incarnation before may have made a later call than the last one known here.
            let known = callers.iter().find(|caller| caller.holder == self.me);
            let ago = known.map_or(now - call.at, |known| known.ago.min(now - call.at));
            callers.retain(|caller| caller.holder != self.me);
            callers.push(FormerCaller { holder: self.me.clone(), ago });
        }
        let record = LeaseRecord { holder: InstanceId::default(), callers, ..seen.record };
        self.last_replaced = seen.version;
        self.pending = Some(self.pending_write(&record, now));
        LeaseAction::Write { version: seen.version, record }
    }

    fn pending_write(&self, record: &LeaseRecord, now: ClockTime) -> PendingWrite {
        let era = self.era.unwrap_or_default();
        PendingWrite { record: record.clone(), sent_at: now, era }
    }

    fn takeover_wait(&self) -> TimeSpan {
        TimeSpan(self.duration.0 + self.duration.0 * CLOCK_MARGIN_PERCENT / 100)
    }

    fn write(&mut self, now: ClockTime) -> LeaseAction {
        let Some(seen) = &self.seen else {
            return LeaseAction::Read;
        };
        let mine = self.is_mine(&seen.record);
        let callers = self.callers_at(seen, now);
        if !mine && seen.record.fence > 0 && self.last_call.is_none_or(LastCall::is_earlier) {
            let told = self.earlier_call(seen, now);
            self.last_call = self.last_call.into_iter().chain(told).max_by_key(|call| call.at);
        }
        let lowest = first_fence(self.era.unwrap_or_default());
        let keeps = mine && !self.is_from_copy(&seen.record);
        let record = LeaseRecord {
            holder: self.me.clone(),
            incarnation: self.incarnation,
            fence: if keeps { seen.record.fence } else { (seen.record.fence + 1).max(lowest) },
            renewals: seen.record.renewals + 1,
            callers,
        };
        let version = seen.version;
        self.last_replaced = version;
        self.pending = Some(self.pending_write(&record, now));
        LeaseAction::Write { version, record }
    }

    /// The last call that an earlier incarnation of this process may have made before another process made one:
    /// none if the callers of `seen` do not name it, and none after this one started.
    fn earlier_call(&self, seen: &ObservedLease, now: ClockTime) -> Option<LastCall> {
        let started_at = self.started_at?;
        let at = match self.aged_callers(seen, now) {
            Some(callers) => {
                let own = callers.iter().find(|caller| caller.holder == self.me)?;
                started_at.min(now - own.ago)
            }
            // No other process made a call since the incarnation before took the lease.
            None if self.is_own_earlier(&seen.record) => return None,
            None => started_at,
        };
        Some(LastCall { fence: 0, at })
    }

    /// The former callers for a record that replaces `seen` at `now`.
    fn callers_at(&self, seen: &ObservedLease, now: ClockTime) -> Option<Vec<FormerCaller>> {
        let holder = &seen.record.holder;
        let mut callers = self.aged_callers(seen, now)?;
        if !holder.as_str().is_empty() && !self.is_mine(&seen.record) {
            // It did not release the lease, and may have made calls until now: also overdue ones.
            callers.retain(|caller| caller.holder != *holder);
            callers.push(FormerCaller { holder: holder.clone(), ago: TimeSpan(0) });
        }
        Some(callers)
    }

    /// The callers that `seen` names, with their times as of `now`.
    fn aged_callers(&self, seen: &ObservedLease, now: ClockTime) -> Option<Vec<FormerCaller>> {
        if self.is_from_copy(&seen.record) {
            // The store lost who held the lease since the copy was made.
            return None;
        }
        let passed = now - seen.changed_at;
        let is_mine = self.is_mine(&seen.record);
        let callers = match &seen.record.callers {
            Some(callers) => callers.clone(),
            // The first holder of all, or one that has held the lease for so long that the calls of all
            // others are older than a lease duration.
            None if seen.record.fence == 0 || (is_mine && self.is_alone_since(now)) => Vec::new(),
            None => return None,
        };
        let aged =
            callers.into_iter().map(|caller| FormerCaller { ago: caller.ago + passed, ..caller });
        Some(aged.filter(|caller| caller.ago < self.duration).collect())
    }

    /// Whether this process has held the lease under one token for a lease duration.
    fn is_alone_since(&self, now: ClockTime) -> bool {
        self.taken_at.is_some_and(|at| now - at >= self.duration)
    }

    /// Notes the era that the store's answers name; to be called before [`said`](Self::said) and
    /// [`tick`](Self::tick).
    ///
    /// What was seen in an earlier era says nothing any more, and the token of a lease held since
    /// then is not used again: the copy may name another holder, who goes by it.
    pub fn note_era(&mut self, era: Option<StoreEra>, now: ClockTime) {
        if era <= self.era.or(Some(StoreEra(0))) {
            return;
        }
        self.era = era;
        self.seen = None;
        self.last_replaced = None;
        self.next_at = now;
        self.lost_until = now + self.takeover_wait();
    }

    /// Handles the result of a call to the store.
    pub fn said(&mut self, reply: LeaseReply, now: ClockTime) {
        let pending = self.pending.take();
        match reply {
            LeaseReply::Read(found) => self.handle_read(found, now),
            LeaseReply::Written(version) => self.handle_written(version, pending, now),
            LeaseReply::Changed | LeaseReply::Unknown => {
                // A read resolves an unknown outcome, as the record names its writer. The lease is
                // not extended, because the write may not have been made.
                self.seen = None;
                self.next_at = now;
            }
            LeaseReply::NotDone => self.next_at = now + TimeSpan(self.duration.0 / 8),
        }
    }

    /// Applies a notice of the object from its holder. A notice of an older version or of an earlier
    /// era, or one that arrives while a call of this process is pending, is ignored.
    ///
    /// So is a notice of the version that this process's own last write was to replace, whatever
    /// the outcome of that write: a process whose write was refused would otherwise repeat it
    /// forever.
    ///
    /// The time for which the object is unchanged counts from now, as after a read: the holder
    /// wrote it before any notice of it arrived.
    pub fn note_change(&mut self, version: u64, record: LeaseRecord, now: ClockTime) {
        let seen = self.seen.as_ref().and_then(|seen| seen.version);
        let known = seen.max(self.last_replaced);
        let is_current = StoreEra::of(version) >= self.era.unwrap_or_default();
        if is_current && self.pending.is_none() && known.is_none_or(|known| known < version) {
            self.handle_read(Some((version, record)), now);
        }
    }

    fn handle_read(&mut self, found: Option<(u64, LeaseRecord)>, now: ClockTime) {
        let version = found.as_ref().map(|(version, _)| *version);
        let record = found.map(|(_, record)| record).unwrap_or_default();
        let same = self.seen.as_ref().is_some_and(|seen| seen.version == version);
        let changed_at = match &self.seen {
            Some(seen) if same => seen.changed_at,
            _ => now,
        };
        self.seen = Some(ObservedLease { version, record, changed_at });
    }

    fn handle_written(&mut self, version: u64, pending: Option<PendingWrite>, now: ClockTime) {
        let Some(pending) = pending else { return };
        if pending.era < self.era.unwrap_or_default() {
            // The condition was checked against a copy that may lack the last holder.
            self.next_at = now;
            return;
        }
        if self.is_mine(&pending.record) {
            let is_renewal = self.own_fence() == Some(pending.record.fence);
            self.taken_at = self.taken_at.filter(|_| is_renewal).or(Some(now));
            self.held_until = pending.sent_at + self.duration;
        }
        self.seen =
            Some(ObservedLease { version: Some(version), record: pending.record, changed_at: now });
        self.next_at = now + TimeSpan(self.duration.0 / 3);
    }
}
