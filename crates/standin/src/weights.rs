//! A weight store that gives one set of weights at a time, at a limited rate.

use std::time::Duration;
use tokio::sync::Semaphore;

/// The store: how many fetches at once, and how long each takes.
pub struct WeightStore {
    places: Semaphore,
    fetch_ms: u64,
}

impl WeightStore {
    /// A store with `at_once` fetches at once, each of `fetch_ms` milliseconds.
    pub fn new(at_once: usize, fetch_ms: u64) -> Self {
        WeightStore { places: Semaphore::new(at_once), fetch_ms }
    }

    /// Waits for a place and fetches one set of weights.
    pub async fn fetch(&self) {
        let place = self.places.acquire().await;
        actix_rt::time::sleep(Duration::from_millis(self.fetch_ms)).await;
        drop(place);
    }
}
