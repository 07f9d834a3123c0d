//! Finds out at which version a stream began, from what this process knows and what others answer.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Another process's answer about a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// Whether it has a record.
    #[serde(rename = "r")]
    pub has_record: bool,
    /// The version in its record; `None` if it has none, or one that tells two versions.
    #[serde(rename = "v")]
    pub version: Option<CompactString>,
    /// Whether it has run for as long as the stream may be taken up, so that it would have the record if it was
    /// sent.
    #[serde(rename = "c")]
    pub is_conclusive: bool,
    /// The version that alone was on its list for as long.
    #[serde(rename = "a")]
    pub alone: Option<CompactString>,
}

/// What this process knows itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnKnowledge {
    /// The version in its record; the inner `None` if that tells two versions.
    pub record: Option<Option<CompactString>>,
    /// The version that alone was on its list for as long as the stream may be taken up.
    pub alone: Option<CompactString>,
    /// The only version that it saw on its list, for however short a time.
    pub only_seen: Option<CompactString>,
}

/// By what the version of a stream is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginBasis {
    /// The process delivered events of the stream.
    Own,
    /// Another process has a record of it.
    Told,
    /// No other version has served for as long as the stream may be taken up.
    Alone,
}

impl OriginBasis {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            OriginBasis::Own => "own",
            OriginBasis::Told => "told",
            OriginBasis::Alone => "alone",
        }
    }
}

/// What an inquiry has come to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InquiryStep {
    /// The stream began at this version.
    Bound(CompactString, OriginBasis),
    /// Further answers are needed.
    Open,
    /// It cannot be known.
    Unknown,
}

/// An inquiry after the version of one stream.
///
/// A version counts as the only one if this process or an asked one had it alone on a fresh list for long enough,
/// and processes that would have a record have none: a process that knows of a second version sends records. Lists
/// may be a second behind one another, so that this is needed where a version has just appeared.
#[derive(Clone, Debug)]
pub struct OriginInquiry {
    own: OwnKnowledge,
    told_alone: Option<CompactString>,
    needed: usize,
}

impl OriginInquiry {
    /// Begins an inquiry; returns it with what can be concluded at once. `keepers` is the number of processes that
    /// are sure to have a record if one was sent.
    pub fn begin(own: OwnKnowledge, keepers: usize) -> (Self, InquiryStep) {
        /// With the members changed by one since the stream began, one of the keepers may not have been one then.
        const CONCLUSIVE_ANSWERS: usize = 2;

        let step = match &own.record {
            Some(Some(version)) => InquiryStep::Bound(version.clone(), OriginBasis::Own),
            Some(None) => InquiryStep::Unknown,
            None => InquiryStep::Open,
        };
        let needed = keepers.clamp(1, CONCLUSIVE_ANSWERS);
        (OriginInquiry { own, told_alone: None, needed }, step)
    }

    /// Adds the answer of a process, which is one of the keepers or not.
    pub fn take(&mut self, answer: &OriginAnswer, is_keeper: bool) -> InquiryStep {
        if answer.has_record {
            return match &answer.version {
                Some(version) => InquiryStep::Bound(version.clone(), OriginBasis::Told),
                None => InquiryStep::Unknown,
            };
        }
        // A process that saw another version than the asked one may be right.
        let told = answer.alone.as_ref().filter(|told| self.own.only_seen.as_ref() == Some(told));
        self.told_alone = self.told_alone.take().or(told.cloned());
        if is_keeper && answer.is_conclusive {
            self.needed = self.needed.saturating_sub(1);
        }
        let alone = self.own.alone.as_ref().or(self.told_alone.as_ref());
        alone.filter(|_| self.needed == 0).map_or(InquiryStep::Open, |version| {
            InquiryStep::Bound(version.clone(), OriginBasis::Alone)
        })
    }

    /// Concludes when no further answer is to be expected. `confirmed` is the version that alone was on the list when
    /// the store had confirmed it once more since the inquiry began: then no other version can have begun the stream.
    pub fn conclude(&self, confirmed: Option<&CompactString>) -> InquiryStep {
        let alone = self.own.alone.as_ref().filter(|alone| confirmed == Some(alone));
        alone.map_or(InquiryStep::Unknown, |version| {
            InquiryStep::Bound(version.clone(), OriginBasis::Alone)
        })
    }

    /// Whether a confirmation of the list would lead to a conclusion.
    pub fn awaits_confirmation(&self) -> bool {
        self.own.alone.is_some()
    }
}
