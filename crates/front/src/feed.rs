//! How a process stands with a feed of the store.

use oleander_kind::ClockTime;

/// How the process stands with a feed of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct FeedState {
    /// When the feed was first read; none if it was not.
    pub known_since: Option<ClockTime>,
    /// Since when it brings nothing because the store does not answer; none while it does.
    pub lost_since: Option<ClockTime>,
    /// Whether this process asks the store; if not, it goes by what the collector tells.
    pub watching: bool,
}

impl FeedState {
    /// Whether the store answers this process.
    pub fn is_served(&self) -> bool {
        self.watching && self.known_since.is_some() && self.lost_since.is_none()
    }
}
