//! The operators' rules of one process: those in force, and when the store last confirmed them.

use crate::message::RulesStatus;
use oleander_bulk::TextPieces;
use oleander_call::{CurrentRules, RuleSet};
use oleander_kind::{ClockTime, InstanceId, TimeSpan};
use oleander_list::FreshnessStamp;
use oleander_list::freshness::merge_newer;
use oleander_plat::FeedObject;
use std::cell::OnceCell;
use std::rc::Rc;

/// How long a told version counts: two reports of a process, with one that was lost.
const TOLD_LIFETIME: TimeSpan = TimeSpan(1000);

/// A version of the rules, higher than the own one, that a peer has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ToldVersion {
    /// The highest version told of.
    pub version: u64,
    /// When a peer first told of any version higher than the own one, and none ceased to since.
    pub since: ClockTime,
    /// When a peer last told of one.
    pub at: ClockTime,
}

/// One process's replica of the rules. The version in force never decreases.
#[derive(Default)]
pub struct RulesBook {
    rules: CurrentRules,
    text: Option<FeedObject>,
    freshness: Option<FreshnessStamp>,
    told: Option<ToldVersion>,
    /// The pieces of the text, cut when they are first needed.
    pieces: OnceCell<Rc<TextPieces>>,
}

impl RulesBook {
    /// The rules in force, if any are known.
    pub fn current(&self) -> Option<&Rc<RuleSet>> {
        self.rules.current()
    }

    /// The version in force; 0 if none is known.
    pub fn version(&self) -> u64 {
        self.rules.version()
    }

    /// The text of the rules in force, for peers.
    pub fn text(&self) -> Option<&FeedObject> {
        self.text.as_ref()
    }

    /// The pieces of that text.
    pub fn pieces(&self) -> Option<&Rc<TextPieces>> {
        let text = self.text.as_ref()?;
        Some(self.pieces.get_or_init(|| Rc::new(TextPieces::of(text.body.clone()))))
    }

    /// When the store last confirmed the rules in force to any process.
    pub fn freshness(&self) -> Option<&FreshnessStamp> {
        self.freshness.as_ref()
    }

    /// The time since that confirmation.
    pub fn age(&self, now: ClockTime) -> Option<TimeSpan> {
        self.freshness.as_ref().map(|freshness| freshness.age(now))
    }

    /// The status of the rules, for peers.
    pub fn status(&self, now: ClockTime) -> RulesStatus {
        let freshness = self.freshness.as_ref().map(|freshness| freshness.note(now));
        RulesStatus { version: self.version(), freshness }
    }

    /// Notes that the store confirmed the rules in force at `at` to the process `by`.
    pub fn note_confirmed(&mut self, at: ClockTime, by: InstanceId) {
        let mark = self.version();
        merge_newer(&mut self.freshness, FreshnessStamp { mark, at, by });
    }

    /// The version that peers told of lately, if it is higher than the one in force.
    pub fn told(&self, now: ClockTime) -> Option<ToldVersion> {
        self.told.filter(|told| now - told.at < TOLD_LIFETIME)
    }

    /// Notes the version that a peer has in force; returns whether it is the first higher one, or
    /// higher than any told of before.
    pub fn note_told(&mut self, version: u64, now: ClockTime) -> bool {
        if version <= self.version() {
            return false;
        }
        let before = self.told(now);
        self.told = Some(ToldVersion {
            version: version.max(before.map_or(0, |told| told.version)),
            since: before.map_or(now, |told| told.since),
            at: now,
        });
        before.is_none_or(|told| version > told.version)
    }

    /// Applies when the store last confirmed the rules to a peer that has the same version; `late`
    /// is an upper bound on the time in transit.
    pub fn merge_freshness(&mut self, status: &RulesStatus, late: TimeSpan, now: ClockTime) {
        let candidate = status.freshness.as_ref().map(|note| note.received(late, now));
        if let Some(freshness) = candidate.filter(|freshness| freshness.mark == self.version()) {
            merge_newer(&mut self.freshness, freshness);
        }
    }

    /// Puts `rules` in force if they are newer; returns whether they were.
    pub fn offer(&mut self, rules: RuleSet, text: &FeedObject) -> bool {
        let newer = self.rules.offer(rules);
        if newer {
            self.text = Some(text.clone());
            self.pieces = OnceCell::new();
            let version = self.version();
            self.told = self.told.filter(|told| told.version > version);
        }
        newer
    }
}
