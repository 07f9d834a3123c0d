//! The operators' rules of one process: those in force, and when the store last spoke for them.

use crate::message::RulesStand;
use oleander_call::{CurrentRules, RuleSet};
use oleander_kind::{ClockTime, InstanceId, TimeSpan};
use oleander_list::StoreVouch;
use oleander_list::vouch::renew;
use oleander_plat::FeedObject;
use std::rc::Rc;

/// The rules of one process. They only ever go on to a newer version.
#[derive(Default)]
pub struct RulesBook {
    gate: CurrentRules,
    text: Option<FeedObject>,
    vouch: Option<StoreVouch>,
}

impl RulesBook {
    /// The rules in force, if any are known.
    pub fn current(&self) -> Option<&Rc<RuleSet>> {
        self.gate.current()
    }

    /// The version in force; 0 if none is known.
    pub fn version(&self) -> u64 {
        self.gate.version()
    }

    /// The text of the rules in force, for peers.
    pub fn text(&self) -> Option<&FeedObject> {
        self.text.as_ref()
    }

    /// When the store last spoke for the rules in force, to whomever.
    pub fn vouch(&self) -> Option<&StoreVouch> {
        self.vouch.as_ref()
    }

    /// How long ago that was.
    pub fn age(&self, now: ClockTime) -> Option<TimeSpan> {
        self.vouch.as_ref().map(|vouch| vouch.age(now))
    }

    /// How the process stands with them.
    pub fn stand(&self, now: ClockTime) -> RulesStand {
        let vouch = self.vouch.as_ref().map(|vouch| vouch.note(now));
        RulesStand { version: self.version(), vouch }
    }

    /// Notes that the store spoke for the rules in force at `at`, to the process `by`.
    pub fn hear(&mut self, at: ClockTime, by: InstanceId) {
        let mark = self.version();
        renew(&mut self.vouch, StoreVouch { mark, at, by });
    }

    /// Takes when the store last spoke to another process, if this one has the same rules. What it
    /// said was `late` on its way at the most.
    pub fn take_vouch(&mut self, stand: &RulesStand, late: TimeSpan, now: ClockTime) {
        let told = stand.vouch.as_ref().map(|note| note.received(late, now));
        if let Some(vouch) = told.filter(|vouch| vouch.mark == self.version()) {
            renew(&mut self.vouch, vouch);
        }
    }

    /// Puts `rules` in force if they are newer; says whether they were.
    pub fn offer(&mut self, rules: RuleSet, text: &FeedObject) -> bool {
        let newer = self.gate.offer(rules);
        if newer {
            self.text = Some(text.clone());
        }
        newer
    }
}
