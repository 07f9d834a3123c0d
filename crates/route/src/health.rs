//! Temporarily ejects unhealthy endpoints, but keeps a minimum percentage of each service in use.

use oleander_board::{Blackboard, EndpointKey};
use oleander_kind::{ClockTime, TimeSpan};

/// Parameters of endpoint ejection.
#[derive(Clone, Copy, Debug)]
pub struct HealthSettings {
    /// Number of consecutive failures after which an endpoint is ejected.
    pub failure_threshold: u32,
    /// Duration of the first ejection. It doubles with each further failure.
    pub initial_ejection: TimeSpan,
    /// Maximum duration of an ejection.
    pub max_ejection: TimeSpan,
    /// Minimum percentage of a service's endpoints that stay in use.
    pub min_in_use_percent: usize,
}

impl Default for HealthSettings {
    fn default() -> Self {
        HealthSettings {
            failure_threshold: 3,
            initial_ejection: TimeSpan(1000),
            max_ejection: TimeSpan(30_000),
            min_in_use_percent: 50,
        }
    }
}

/// Notes that an endpoint answered, which resets its failure count and ends an ejection.
pub fn note_success(board: &mut Blackboard, key: EndpointKey) {
    if let Some(fact) = board.endpoints.get_mut(key) {
        fact.failures = 0;
        fact.ejected_until = ClockTime(0);
    }
}

/// Notes that an endpoint failed, and ejects it if it reached the failure threshold.
///
/// A fault on the side of this process, such as a failed switch or a full socket table, makes all
/// endpoints appear unhealthy at once. Keeping half of them in use regardless of the failures
/// prevents such a false signal from emptying the pool and turning a small fault into a complete
/// outage.
pub fn note_failure(
    board: &mut Blackboard,
    key: EndpointKey,
    settings: &HealthSettings,
    now: ClockTime,
) {
    let Some(fact) = board.endpoints.get_mut(key) else {
        return;
    };
    fact.failures += 1;
    if fact.failures < settings.failure_threshold {
        return;
    }
    let beyond = (fact.failures - settings.failure_threshold).min(16);
    let ejection = (settings.initial_ejection.0 << beyond).min(settings.max_ejection.0);
    let service = fact.record.service.clone();
    let keys = board.endpoints_of(&service);
    let in_use =
        |key: &&EndpointKey| board.endpoints.get(**key).is_some_and(|fact| fact.takes_work(now));
    let in_use_count = keys.iter().filter(in_use).filter(|other| **other != key).count();
    if in_use_count * 100 < keys.len() * settings.min_in_use_percent {
        return;
    }
    if let Some(fact) = board.endpoints.get_mut(key) {
        fact.ejected_until = now + TimeSpan(ejection);
    }
}
