//! Attributes endpoint crashes to the suspects that most likely caused them: requests, or parts that their prompts
//! share.
//!
//! Sound requests share parts with one that crashes endpoints, and run beside it, so their parts are under its crashes
//! as often as it is, and while no endpoint is left nothing is answered that could clear them. What decides then is
//! what was answered before: a part that prompts were answered with is blamed only for what no other suspect explains.
//! A part under a single request is never blamed: it says no more than the request. Nor is any part while nothing is
//! known to have been answered in its service: after a start of all processes the part that all prompts share is under
//! most crashes, and refused it could never be cleared. A verdict stands when answers cease.

use crate::fingerprint::SuspectFingerprint;
use crate::record::{EndpointCrash, EndpointIncarnation, SuspectRecord, count_events};
use oleander_kind::{ClockTime, TimeSpan};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Crash events after which a request is considered the cause: the users' bound counts from the
/// third crash on.
pub const MIN_CRASH_EVENTS: usize = 3;
/// Crash events from which on a request is a plausible cause of crashes that another request also
/// shares. Nearly all requests that merely ran beside a culprit have one.
const PLAUSIBLE_EVENTS: usize = 2;
/// The least number of crash events that a culprit must have for itself: those that it shares with
/// no request that has as many events, more, or one fewer. Without this and [`REPORT_DELAY`], honest
/// requests that ran beside two culprits are refused.
const MIN_EXCLUSIVE_EVENTS: usize = 1;
/// Requests that always ran together cannot be told apart: one of them is innocent, and each
/// further crash most likely separates them. From this many events on all of them are quarantined;
/// a request may reach endpoints three times after its third crash.
pub const MAX_TIED_EVENTS: usize = 5;
/// A crash counts only after the other processes that saw it have had time to report what they ran
/// there. A process that sent one stream to three endpoints knows all crashes of that stream at
/// once, but learns of the culprit, which arrived at other processes, only by their reports, which
/// take at most 250 ms.
const REPORT_DELAY: TimeSpan = TimeSpan(300);

/// By then nearly all crashes are reported: a probe shows most of them at once, and the endpoint list the others within
/// two to four seconds.
const SETTLE_DELAY: TimeSpan = TimeSpan(2500);
/// The least number of settled crash events without another suspect that show that this one alone does not explain
/// what happened: each of them would need a cause of its own that nobody reported.
const MIN_SETTLED_EVENTS: usize = 2;

struct Candidate<'a> {
    fingerprint: SuspectFingerprint,
    /// Whether it is a part, and prompts with it were answered lately.
    is_sound_part: bool,
    /// Crashes that no culprit found so far explains.
    crashes: Vec<&'a EndpointCrash>,
    /// The number of events in which they happened.
    event_count: usize,
    /// The number of events before any was explained.
    total_events: usize,
    /// Crashes up to then are settled.
    settled_until: ClockTime,
}

impl<'a> Candidate<'a> {
    fn of((fingerprint, record): (&SuspectFingerprint, &'a SuspectRecord), now: ClockTime) -> Self {
        let is_reported = |crash: &&EndpointCrash| now - crash.at >= REPORT_DELAY;
        let crashes: Vec<_> = record.ends().iter().filter(is_reported).collect();
        let event_count = count_events(crashes.iter().copied());
        Candidate {
            fingerprint: *fingerprint,
            is_sound_part: record.is_part() && record.answered_at().is_some(),
            crashes,
            event_count,
            total_events: event_count,
            settled_until: now - SETTLE_DELAY,
        }
    }

    /// Takes the crashes of `incarnations` off.
    fn explain(&mut self, incarnations: &BTreeSet<&EndpointIncarnation>) {
        self.crashes.retain(|crash| !incarnations.contains(&crash.life));
        self.event_count = count_events(self.crashes.iter().copied());
    }

    fn is_plausible(&self) -> bool {
        let is_narrow = || {
            let first = self.crashes.first().map(|crash| crash.under);
            self.crashes.iter().all(|crash| Some(crash.under) == first)
        };
        self.event_count >= PLAUSIBLE_EVENTS && !(self.fingerprint.is_part() && is_narrow())
    }

    fn incarnations(&self) -> impl Iterator<Item = &EndpointIncarnation> {
        self.crashes.iter().map(|crash| &crash.life)
    }

    fn is_under(&self, life: &EndpointIncarnation) -> bool {
        self.incarnations().any(|other| other == life)
    }

    /// Crash events that remain without those in which one of `others` ran too.
    fn event_count_beside<'b>(
        &self,
        others: impl Iterator<Item = &'b Candidate<'b>> + Clone,
    ) -> usize {
        let alone =
            |crash: &&EndpointCrash| !others.clone().any(|other| other.is_under(&crash.life));
        count_events(self.crashes.iter().copied().filter(alone))
    }

    /// Whether a sound part is needed to explain crashes: most of those that it was under, and several. Of some
    /// crashes the cause stays unknown, as the process that ran it was killed, and a part that most prompts share is
    /// under these too.
    fn is_needed_beside<'b>(
        &self,
        others: impl Iterator<Item = &'b Candidate<'b>> + Clone,
    ) -> bool {
        let alone = self.event_count_beside(others.filter(|other| !other.is_sound_part));
        alone >= MIN_CRASH_EVENTS && alone * 2 > self.total_events
    }

    /// Whether `other` has at least as many events and shares most of them with this candidate.
    fn is_tied_with(&self, other: &Candidate<'_>) -> bool {
        let own = std::iter::once(self);
        other.event_count >= self.event_count && other.event_count_beside(own) < MIN_CRASH_EVENTS
    }

    /// The settled crash events that `is_meant` names.
    fn settled_count(&self, is_meant: impl Fn(&EndpointCrash) -> bool) -> usize {
        let settled = self.crashes.iter().copied().filter(|crash| crash.at <= self.settled_until);
        count_events(settled.filter(|crash| is_meant(crash)))
    }

    /// Whether only one of the two can be the cause, as far as is known.
    fn is_ambiguous_with(&self, other: &Candidate<'_>) -> bool {
        let is_alone = |crash: &EndpointCrash| !other.is_under(&crash.life);
        self.is_tied_with(other) && self.settled_count(is_alone) < MIN_SETTLED_EVENTS
    }

    /// Whether there are enough crash events for a verdict. Those that another culprit explains count too while enough
    /// settled ones remain.
    fn has_enough_events(&self) -> bool {
        let are_enough_left = || self.settled_count(|_| true) >= MIN_SETTLED_EVENTS;
        self.event_count >= MIN_CRASH_EVENTS
            || (self.total_events >= MIN_CRASH_EVENTS && are_enough_left())
    }

    /// Whether this candidate is the cause and none of `others` could be instead.
    fn is_certain<'b>(&self, others: impl Iterator<Item = &'b Candidate<'b>> + Clone) -> bool {
        if self.is_sound_part && !self.is_needed_beside(others.clone()) {
            return false;
        }
        if self.event_count >= MAX_TIED_EVENTS {
            return true;
        }
        let alike = others.filter(|other| other.is_sound_part == self.is_sound_part);
        let rivals = alike.clone().filter(|other| other.event_count + 1 >= self.event_count);
        let mut alike = alike;
        !alike.any(|other| self.is_ambiguous_with(other))
            && self.event_count_beside(rivals) >= MIN_EXCLUSIVE_EVENTS
    }
}

/// Returns the suspects that most likely caused the recorded crashes.
///
/// A greedy cover: the suspect with the most crash events is taken first, sound parts last, and the crashes that it
/// explains no longer count against any other. The result is computed from all records each time,
/// so a verdict that later crashes contradict is withdrawn. Those that do not satisfy `may_be_blamed` are left out.
pub(crate) fn find_culprits(
    records: &BTreeMap<SuspectFingerprint, SuspectRecord>,
    may_be_blamed: impl Fn(&SuspectFingerprint) -> bool,
    now: ClockTime,
) -> BTreeSet<SuspectFingerprint> {
    let records = records.iter().filter(|(print, _)| may_be_blamed(print));
    let mut open: Vec<Candidate<'_>> = records.map(|record| Candidate::of(record, now)).collect();
    let mut culprits = BTreeSet::new();
    loop {
        open.retain(Candidate::is_plausible);
        open.sort_by_key(|candidate| {
            (candidate.is_sound_part, Reverse(candidate.event_count), candidate.fingerprint)
        });
        let Some(top) = find_certain(&open) else {
            return culprits;
        };
        let top = open.remove(top);
        culprits.insert(top.fingerprint);
        if top.event_count >= MAX_TIED_EVENTS {
            let alike = open.iter().filter(|other| other.is_sound_part == top.is_sound_part);
            let tied = alike.filter(|other| top.is_tied_with(other));
            culprits.extend(tied.map(|other| other.fingerprint));
        }
        let incarnations: BTreeSet<&EndpointIncarnation> = top.incarnations().collect();
        open.iter_mut().for_each(|other| other.explain(&incarnations));
    }
}

fn find_certain(open: &[Candidate<'_>]) -> Option<usize> {
    let others = |at: usize| open[..at].iter().chain(&open[at + 1..]);
    let enough = (0..open.len()).filter(|at| open[*at].has_enough_events());
    enough.into_iter().find(|at| open[*at].is_certain(others(*at)))
}
