//! Takes sick endpoints out of use for a while, with a floor.

use oleander_board::{Blackboard, EndpointKey};
use oleander_kind::{ClockTime, TimeSpan};

/// When an endpoint counts as sick.
#[derive(Clone, Copy, Debug)]
pub struct HealthSettings {
    /// Failures in a row before it is taken out of use.
    pub failures: u32,
    /// How long it stays out, at first; doubled with each further failure.
    pub first_pause: TimeSpan,
    /// The longest time out.
    pub longest_pause: TimeSpan,
    /// At least this share of a service's endpoints stays in use, in percent.
    pub floor_percent: usize,
}

impl Default for HealthSettings {
    fn default() -> Self {
        HealthSettings {
            failures: 3,
            first_pause: TimeSpan(1000),
            longest_pause: TimeSpan(30_000),
            floor_percent: 50,
        }
    }
}

/// Notes that an endpoint answered.
pub fn note_success(board: &mut Blackboard, key: EndpointKey) {
    if let Some(fact) = board.endpoints.get_mut(key) {
        fact.failures = 0;
        fact.ejected_until = ClockTime(0);
    }
}

/// Notes that an endpoint failed, and takes it out of use if it failed too often.
///
/// A fault on our own side (a cut switch, a full socket table) makes every endpoint look sick at
/// once. The floor keeps half of them in use whatever the signal says, so that a bad signal cannot
/// empty the pool and turn a small fault into a whole one.
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
    if fact.failures < settings.failures {
        return;
    }
    let beyond = (fact.failures - settings.failures).min(16);
    let pause = (settings.first_pause.0 << beyond).min(settings.longest_pause.0);
    let service = fact.record.service.clone();
    let keys = board.endpoints_of(&service);
    let in_use =
        |key: &&EndpointKey| board.endpoints.get(**key).is_some_and(|fact| fact.takes_work(now));
    let left = keys.iter().filter(in_use).filter(|other| **other != key).count();
    if left * 100 < keys.len() * settings.floor_percent {
        return;
    }
    if let Some(fact) = board.endpoints.get_mut(key) {
        fact.ejected_until = now + TimeSpan(pause);
    }
}
