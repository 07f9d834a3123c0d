//! The connection state of a store feed in this process.

use oleander_kind::ClockTime;

/// The connection state of a store feed in this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct FeedState {
    /// When the feed was first read; `None` if it was not.
    pub known_since: Option<ClockTime>,
    /// Since when the store has not answered; `None` while it does.
    pub lost_since: Option<ClockTime>,
    /// Whether this process watches the store; if not, it relies on the collector.
    pub watching: bool,
}

impl FeedState {
    /// Whether this process watches the store and receives answers.
    pub fn is_served(&self) -> bool {
        self.watching && self.known_since.is_some() && self.lost_since.is_none()
    }
}
