//! Leases over the platform's object API, with fencing tokens.
//!
//! A shard of control work belongs to the process that holds its lease. The fencing token rises
//! with every change of holder, and every order carries it, so that an endpoint that checks can
//! refuse the orders of a holder that was paused and superseded.

use compact_str::CompactString;
use oleander_kind::{ClockTime, InstanceId, TimeSpan};
use serde::{Deserialize, Serialize};

/// What the lease object says.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// Who holds it; empty if nobody.
    pub holder: InstanceId,
    /// Tells two lives of one holder apart.
    pub incarnation: u64,
    /// The fencing token.
    pub fence: u64,
    /// Counts renewals, so that a watcher sees that the holder lives.
    pub renewals: u64,
}

/// The name of the lease object of shard `shard`.
pub fn lease_name(shard: &str) -> CompactString {
    format!("lease/{shard}").into()
}

/// What the lease keeper asks the store next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing now.
    Wait,
    /// Read the object.
    Read,
    /// Write `record` if the version is still `version`.
    Write {
        /// The version read; none if there is no object.
        version: Option<u64>,
        /// The record.
        record: LeaseRecord,
    },
}

/// What the store said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseSaid {
    /// The object as read, with its version.
    Read(Option<(u64, LeaseRecord)>),
    /// The write was made; the new version.
    Written(u64),
    /// The version was another.
    Changed,
    /// The call was refused or did not leave.
    NotDone,
    /// The write may have been made.
    Unknown,
}

#[derive(Clone, Debug)]
struct SeenLease {
    version: Option<u64>,
    record: LeaseRecord,
    changed_at: ClockTime,
}

#[derive(Clone, Debug)]
struct PendingWrite {
    record: LeaseRecord,
    sent_at: ClockTime,
}

/// Keeps one lease, as a pure state machine over a monotonic clock.
///
/// Two clocks are never compared. The holder counts from *before* it sent a renewal; another
/// process takes the lease only after it saw the object unchanged for the whole length on its own
/// clock. The holder's end therefore always comes before anybody else's beginning, if clocks run
/// at the same speed within [`CLOCK_MARGIN_PERCENT`].
#[derive(Clone, Debug)]
pub struct LeaseKeeper {
    me: InstanceId,
    incarnation: u64,
    lasts: TimeSpan,
    inherits: bool,
    seen: Option<SeenLease>,
    /// The version that the last write replaced or failed to replace; news of it is old.
    settled: Option<u64>,
    pending: Option<PendingWrite>,
    held_until: ClockTime,
    next_at: ClockTime,
    /// When this life began, if its calls count against those of an earlier one.
    began_at: Option<ClockTime>,
    last_act: Option<PastAct>,
}

/// When this process last acted, and by which token.
#[derive(Clone, Copy, Debug)]
struct PastAct {
    fence: u64,
    at: ClockTime,
}

/// A keeper as it looks at one moment, with times as spans from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseView {
    /// The version last seen.
    pub version: Option<u64>,
    /// The record last seen.
    pub record: Option<LeaseRecord>,
    /// How long the record is known to be unchanged; no longer than others wait.
    pub unchanged: Option<TimeSpan>,
    /// How long ago the open write was sent; no longer than the lease.
    pub asked_before: Option<TimeSpan>,
    /// How much longer the lease is held.
    pub held_for: TimeSpan,
    /// How long the keeper does nothing.
    pub waits_for: TimeSpan,
}

/// How much longer than the lease others wait, for clocks that run at different speeds.
pub const CLOCK_MARGIN_PERCENT: u64 = 10;

impl LeaseKeeper {
    /// A keeper for process `me` in its life `incarnation`; the lease lasts `lasts`.
    pub fn new(me: InstanceId, incarnation: u64, lasts: TimeSpan) -> Self {
        LeaseKeeper {
            me,
            incarnation,
            lasts,
            inherits: false,
            seen: None,
            settled: None,
            pending: None,
            held_until: ClockTime(0),
            next_at: ClockTime(0),
            began_at: None,
            last_act: None,
        }
    }

    /// Takes the lease of an earlier life of the same process without waiting for its end.
    ///
    /// Only for work whose every call is fenced, done by processes of which the same name never
    /// runs twice: what the earlier life left under way is refused once this life holds the lease.
    /// Incarnations must rise from life to life. It saves the length of the lease after every
    /// restart of the holder, the time in which nobody orders endpoints.
    pub fn inheriting(mut self) -> Self {
        self.inherits = true;
        self
    }

    /// Says that this life began at `at`. An earlier one may have acted until then, and where another
    /// process has held the lease since, this one does not act within the length of a lease from there.
    pub fn begun(mut self, at: ClockTime) -> Self {
        self.began_at = Some(at);
        self
    }

    /// The fencing token, if the lease is held at `now` and for at least `needed` more.
    ///
    /// An order to an endpoint that ignores fencing takes effect whenever it arrives. It is sent
    /// only with `needed` at least the order's own time limit, so that it has arrived or been
    /// given up before anybody else can hold the lease.
    pub fn fence(&self, now: ClockTime, needed: TimeSpan) -> Option<u64> {
        let held = now + needed < self.held_until;
        let mine = self.seen.as_ref().filter(|seen| self.is_mine(&seen.record))?;
        held.then_some(mine.record.fence)
    }

    /// The fencing token for a call that leaves at `now`, with at least `needed` of the lease left.
    ///
    /// A process that gave the lease up and got it back from another does not act within the length
    /// of a lease of its own last act: calls of one holder, another, and the first again in so short
    /// a time look like two holders at once, whatever their tokens.
    pub fn act(&mut self, now: ClockTime, needed: TimeSpan) -> Option<u64> {
        let fence = self.fence(now, needed)?;
        self.note_act(fence, now)
    }

    /// The same by a lease that ran out, as for [`overdue_fence`](Self::overdue_fence).
    pub fn act_overdue(&mut self, now: ClockTime, grace: TimeSpan) -> Option<u64> {
        let fence = self.overdue_fence(now, grace)?;
        self.note_act(fence, now)
    }

    fn note_act(&mut self, fence: u64, now: ClockTime) -> Option<u64> {
        let soon = |last: PastAct| last.fence != fence && now - last.at < self.lasts;
        if self.last_act.is_some_and(soon) {
            return None;
        }
        self.last_act = Some(PastAct { fence, at: now });
        Some(fence)
    }

    /// The fencing token of a lease that ran out less than `grace` ago and was not seen to change.
    /// Only for calls that are fenced, while nobody can have taken the lease.
    pub fn overdue_fence(&self, now: ClockTime, grace: TimeSpan) -> Option<u64> {
        let mine = self.seen.as_ref().filter(|seen| self.is_mine(&seen.record))?;
        (self.held_until > ClockTime(0) && now < self.held_until + grace)
            .then_some(mine.record.fence)
    }

    /// The record as last seen.
    pub fn seen(&self) -> Option<&LeaseRecord> {
        self.seen.as_ref().map(|seen| &seen.record)
    }

    fn is_mine(&self, record: &LeaseRecord) -> bool {
        record.holder == self.me && record.incarnation == self.incarnation
    }

    fn inherits_from(&self, record: &LeaseRecord) -> bool {
        self.inherits && record.holder == self.me && record.incarnation < self.incarnation
    }

    /// The keeper as it looks at `now`. Two keepers with equal views decide alike from here on.
    pub fn view(&self, now: ClockTime) -> LeaseView {
        let seen = self.seen.as_ref();
        LeaseView {
            version: seen.and_then(|seen| seen.version),
            record: seen.map(|seen| seen.record.clone()),
            unchanged: seen.map(|seen| (now - seen.changed_at).min(self.patience())),
            asked_before: self
                .pending
                .as_ref()
                .map(|pending| (now - pending.sent_at).min(self.lasts)),
            held_for: self.held_until - now,
            waits_for: self.next_at - now,
        }
    }

    /// What to do at `now`.
    pub fn tick(&mut self, now: ClockTime) -> LeaseAction {
        if self.pending.is_some() || now < self.next_at {
            return LeaseAction::Wait;
        }
        let Some(seen) = &self.seen else {
            return LeaseAction::Read;
        };
        let holder = seen.record.holder.as_str();
        let free = holder.is_empty() || now - seen.changed_at >= self.patience();
        if self.is_mine(&seen.record) || self.inherits_from(&seen.record) || free {
            return self.write(now);
        }
        self.next_at = now + TimeSpan(self.lasts.0 / 4);
        LeaseAction::Read
    }

    /// Gives the lease back, so that a successor need not wait.
    pub fn release(&mut self, now: ClockTime) -> LeaseAction {
        let Some(seen) = self.seen.clone() else {
            return LeaseAction::Wait;
        };
        if !self.is_mine(&seen.record) {
            return LeaseAction::Wait;
        }
        self.held_until = ClockTime(0);
        let record = LeaseRecord { holder: InstanceId::default(), ..seen.record };
        self.settled = seen.version;
        self.pending = Some(PendingWrite { record: record.clone(), sent_at: now });
        LeaseAction::Write { version: seen.version, record }
    }

    fn patience(&self) -> TimeSpan {
        TimeSpan(self.lasts.0 + self.lasts.0 * CLOCK_MARGIN_PERCENT / 100)
    }

    fn write(&mut self, now: ClockTime) -> LeaseAction {
        let Some(seen) = &self.seen else {
            return LeaseAction::Read;
        };
        let mine = self.is_mine(&seen.record);
        let from_another = !mine && !self.inherits_from(&seen.record) && seen.record.fence > 0;
        if from_another && self.last_act.is_none() {
            // An earlier life may have acted until this one began.
            self.last_act = self.began_at.map(|at| PastAct { fence: 0, at });
        }
        let record = LeaseRecord {
            holder: self.me.clone(),
            incarnation: self.incarnation,
            fence: if mine { seen.record.fence } else { seen.record.fence + 1 },
            renewals: seen.record.renewals + 1,
        };
        let version = seen.version;
        self.settled = version;
        self.pending = Some(PendingWrite { record: record.clone(), sent_at: now });
        LeaseAction::Write { version, record }
    }

    /// Takes what the store said.
    pub fn said(&mut self, said: LeaseSaid, now: ClockTime) {
        let pending = self.pending.take();
        match said {
            LeaseSaid::Read(found) => self.take_read(found, now),
            LeaseSaid::Written(version) => self.take_written(version, pending, now),
            LeaseSaid::Changed | LeaseSaid::Unknown => {
                // Lost answers are settled by reading: the record names its writer. The lease
                // length is not extended, because the write may not have been made.
                self.seen = None;
                self.next_at = now;
            }
            LeaseSaid::NotDone => self.next_at = now + TimeSpan(self.lasts.0 / 8),
        }
    }

    /// Takes the object as the holder told of it. News of an older version, and any news while a
    /// call of its own is under way, changes nothing.
    ///
    /// News of the version that a write of its own was to replace is old too, however that write
    /// ended: going by it again, a process whose write was refused would repeat it without end.
    ///
    /// The time that the object stays unchanged counts from here, as if it had been read: the holder
    /// wrote it earlier than anybody heard of it.
    pub fn hear(&mut self, version: u64, record: LeaseRecord, now: ClockTime) {
        let seen = self.seen.as_ref().and_then(|seen| seen.version);
        let known = seen.max(self.settled);
        if self.pending.is_none() && known.is_none_or(|known| known < version) {
            self.take_read(Some((version, record)), now);
        }
    }

    fn take_read(&mut self, found: Option<(u64, LeaseRecord)>, now: ClockTime) {
        let version = found.as_ref().map(|(version, _)| *version);
        let record = found.map(|(_, record)| record).unwrap_or_default();
        let same = self.seen.as_ref().is_some_and(|seen| seen.version == version);
        let changed_at = match &self.seen {
            Some(seen) if same => seen.changed_at,
            _ => now,
        };
        self.seen = Some(SeenLease { version, record, changed_at });
    }

    fn take_written(&mut self, version: u64, pending: Option<PendingWrite>, now: ClockTime) {
        let Some(pending) = pending else { return };
        if self.is_mine(&pending.record) {
            self.held_until = pending.sent_at + self.lasts;
        }
        self.seen =
            Some(SeenLease { version: Some(version), record: pending.record, changed_at: now });
        self.next_at = now + TimeSpan(self.lasts.0 / 3);
    }
}
