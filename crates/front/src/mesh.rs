//! Exchange of state between front processes: each process reports to the collector and applies its
//! digests. One process at a time is the collector.

mod account;
mod bulk;
mod collect;
mod digest;
mod make;
mod parts;
mod report;
mod rules;
pub mod state;

pub use collect::MeshPeers;
pub(crate) use collect::{answer_limit_ask, limit_by_name};
pub(crate) use report::call_peer;
pub use report::run_reports;
pub use state::MeshState;

use crate::events::event;
use crate::feed::FeedState;
use crate::node::FrontNode;
use oleander_call::AccountRule;
use oleander_kind::TimeSpan;
use oleander_limit::PoolLimit;
use oleander_list::StalenessLimits;
use oleander_plat::FeedKind;
use state::DIGEST_LIFETIME;

/// Stops a process that was suspended for longer than its reporters wait from acting as the
/// collector.
fn end_collecting_after_stall(node: &FrontNode) {
    let now = node.clock.now();
    let mut mesh = node.mesh.borrow_mut();
    if mesh.pause_detector.was_paused(node.clock.wall(), now) && mesh.collector.is_some() {
        mesh.end_collecting(now);
        mesh.ended_ledger = None;
        event!(node, CollectingEnded; "slept" => true);
    }
}

/// The limit of an account, with the overshoot that the operators allow.
pub fn pool_limit(node: &FrontNode, account: &AccountRule) -> Option<PoolLimit> {
    let bounds = node.bounds();
    let rate_per_s = account.tokens_per_s? as f64;
    let burst = account.burst_tokens as f64;
    let allowed = rate_per_s * bounds.limit_window_s + burst;
    let overshoot = allowed * bounds.limit_over + bounds.limit_slack as f64;
    let window = TimeSpan((bounds.limit_window_s * 1000.0) as u64);
    Some(PoolLimit { rate_per_s, burst, overshoot, window })
}

/// Whether this process has to watch a feed of the store itself.
///
/// A few followers do it for all, so that neither store calls nor wake-ups grow with the number of
/// processes. The others rely on the collector's digests. They ask the store themselves when
/// digests stop, or when the feed data in them is too old: then no follower has heard from the
/// store lately, even if each still counts itself as connected.
///
/// A third of the processes may be isolated from the store without an error on their connections.
/// With two followers, both were, and a revoked key was served for 2.2 s. A report of any other
/// follower brings updates to all within 750 ms.
pub fn must_watch(node: &FrontNode, kind: FeedKind) -> bool {
    /// One more than a third of nine processes.
    const MIN_WATCHERS: usize = 4;
    /// One more follower for each so many processes.
    const MEMBERS_PER_WATCHER: usize = 32;
    let informed = remaining_freshness(node, kind, |limits| limits.follower).is_some();
    let informed = informed && node.rules.borrow().version() > 0;
    let now = node.clock.now();
    let mesh = node.mesh.borrow();
    let has_current_digest = now - mesh.digest_at < DIGEST_LIFETIME;
    let watchers = MIN_WATCHERS + mesh.view.serving() as usize / MEMBERS_PER_WATCHER;
    // A process that the store refused keeps asking, so that it notices when the store serves it
    // again.
    !has_current_digest
        || !informed
        || mesh.view.me().unfit
        || mesh.view.is_among_first(watchers, now)
}

/// How much longer the data of a feed stays within an age limit; `None` if it is older.
pub fn remaining_freshness(
    node: &FrontNode,
    kind: FeedKind,
    limit: impl FnOnce(StalenessLimits) -> TimeSpan,
) -> Option<TimeSpan> {
    let (age, limits) = match kind {
        FeedKind::Rules => (node.rules_age(), node.rules_limits()),
        _ => (node.roster_age(), node.roster_limits()),
    };
    let left = limit(limits).0.checked_sub(age?.0)?;
    (left > 0).then_some(TimeSpan(left))
}

/// Whether the other processes depend on this process to learn that nothing has changed in the
/// store: it is the collector, or knows of none.
pub fn is_watch_leader(node: &FrontNode) -> bool {
    let mesh = node.mesh.borrow();
    mesh.view.collects() || node.clock.now() - mesh.digest_at >= DIGEST_LIFETIME
}

/// Updates whether this process declares itself unfit as the collector, because the store serves
/// other processes but not this one. Control work and updates of rules and endpoints need the store.
fn update_fitness(node: &FrontNode) {
    /// Longer than it takes to reconnect.
    const REFUSAL_TIMEOUT: TimeSpan = TimeSpan(1000);
    let now = node.clock.now();
    let lost_long =
        |feed: FeedState| feed.lost_since.is_some_and(|since| now - since > REFUSAL_TIMEOUT);
    let lost = lost_long(node.rules_feed.get()) || lost_long(node.endpoints_feed.get());
    let mut mesh = node.mesh.borrow_mut();
    let was = mesh.view.me().unfit;
    let is_other_served = mesh
        .collector
        .as_ref()
        .is_some_and(|collector| collector.is_other_served(&node.settings.instance, now));
    // After a store outage for all processes, some are served slightly before the others.
    let since = if lost && is_other_served { mesh.refused_alone_since.or(Some(now)) } else { None };
    mesh.refused_alone_since = since;
    // An unfit process receives no reports, so it becomes fit only when the store answers it again.
    let unfit = (was && lost) || since.is_some_and(|since| now - since > REFUSAL_TIMEOUT);
    if unfit != was {
        event!(node, TurnedAway; "so" => unfit);
        mesh.view.set_unfit(unfit);
    }
}
