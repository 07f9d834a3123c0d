//! What an endpoint said of itself in its answers.

use oleander_kind::{ClockTime, RequestRate};

/// How many requests a second an endpoint takes from all processes together, as an answer of it said.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitWord {
    /// The rate; none if the answer named no limit.
    pub rate: Option<RequestRate>,
    /// When the request was sent that was answered so. Answers overtake one another; of two the one whose request
    /// was sent later is the newer.
    pub asked_at: ClockTime,
}

impl LimitWord {
    /// Whether this word takes the place of `known`: it is newer, or of the same moment and stricter.
    pub fn replaces(&self, known: &LimitWord) -> bool {
        let stricter = match (self.rate, known.rate) {
            (Some(rate), Some(known)) => rate < known,
            (rate, known) => rate.is_some() && known.is_none(),
        };
        self.asked_at > known.asked_at || (self.asked_at == known.asked_at && stricter)
    }
}
