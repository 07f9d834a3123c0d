//! What a process knows through the others: it reports to the collector, takes its digests, and
//! collects when it is its turn.

mod account;
mod collect;
mod digest;
mod make;
mod parts;
mod report;
pub mod state;

pub use collect::MeshPeers;
pub(crate) use collect::{answer_ask, limit_by_name};
pub use report::report_period;
pub use state::MeshState;

use crate::events::event;
use crate::feed::FeedState;
use crate::node::FrontNode;
use oleander_call::AccountRule;
use oleander_kind::TimeSpan;
use oleander_limit::PoolLimit;
use oleander_list::StalenessLimits;
use oleander_plat::FeedKind;
use state::DIGEST_LASTS;

/// Ends the collecting of a process that stood still for longer than its reporters wait.
fn end_after_sleep(node: &FrontNode) {
    let now = node.clock.now();
    let mut mesh = node.mesh.borrow_mut();
    if mesh.sleep.was_paused(node.clock.wall(), now) && mesh.collector.is_some() {
        mesh.end_collecting(now);
        mesh.ended_ledger = None;
        event!(node, CollectingEnded; "slept" => true);
    }
}

/// An account's limit with what the operators allow beyond it.
pub fn pool_limit(node: &FrontNode, account: &AccountRule) -> Option<PoolLimit> {
    let bounds = node.bounds();
    let rate_per_s = account.tokens_per_s? as f64;
    let burst = account.burst_tokens as f64;
    let allowed = rate_per_s * bounds.limit_window_s + burst;
    let overshoot = allowed * bounds.limit_over + bounds.limit_slack as f64;
    let window = TimeSpan((bounds.limit_window_s * 1000.0) as u64);
    Some(PoolLimit { rate_per_s, burst, overshoot, window })
}

/// Whether this process has to follow a feed of the store itself.
///
/// A few processes do it for all, so that neither calls nor wake-ups grow with the processes. The
/// others go by the collector's digests, and ask the store once these stop, or once the news in
/// them has grown old: then none of the few has heard of the store lately, whatever they take
/// themselves for.
///
/// A third of the processes may be cut off from the store without an end on their connections. With
/// two followers both were, and a revoked key was served for 2.2 s; a report of any other follower
/// brings the news to all within 750 ms.
pub fn must_watch(node: &FrontNode, kind: FeedKind) -> bool {
    /// One more than a third of today's nine processes.
    const WATCHERS: usize = 4;
    /// One more for each so many processes.
    const MEMBERS_PER_WATCHER: usize = 32;
    let informed = fresh_for(node, kind, |limits| limits.follower).is_some();
    let informed = informed && node.rules.borrow().version() > 0;
    let now = node.clock.now();
    let mesh = node.mesh.borrow();
    let told = now - mesh.digest_at < DIGEST_LASTS;
    let watchers = WATCHERS + mesh.view.serving() as usize / MEMBERS_PER_WATCHER;
    // A process that the store turned away goes on asking, so that it learns when that is over.
    !told || !informed || mesh.view.me().unfit || mesh.view.is_among_first(watchers, now)
}

/// For how much longer the news of a feed is younger than a limit; none if it is older.
pub fn fresh_for(
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

/// Whether the others know by this process's answers of the store that nothing has changed: it
/// collects, or knows nobody who does.
pub fn leads_watching(node: &FrontNode) -> bool {
    let mesh = node.mesh.borrow();
    mesh.view.collects() || node.clock.now() - mesh.digest_at >= DIGEST_LASTS
}

/// Notes whether this process should leave the collecting to one that the store serves. Control
/// work needs the store, and so do news of rules and endpoints.
fn note_fitness(node: &FrontNode) {
    /// Longer than a connection that is made anew.
    const TURNED_AWAY: TimeSpan = TimeSpan(1000);
    let now = node.clock.now();
    let lost_long =
        |feed: FeedState| feed.lost_since.is_some_and(|since| now - since > TURNED_AWAY);
    let lost = lost_long(node.rules_feed.get()) || lost_long(node.endpoints_feed.get());
    let mut mesh = node.mesh.borrow_mut();
    let was = mesh.view.me().unfit;
    let outdone = mesh
        .collector
        .as_ref()
        .is_some_and(|collector| collector.is_other_served(&node.settings.instance, now));
    // After an outage for all, some are served a moment before the others.
    let since = if lost && outdone { mesh.outdone_since.or(Some(now)) } else { None };
    mesh.outdone_since = since;
    // Once it has stepped back nobody reports here; the store alone tells when it may return.
    let unfit = (was && lost) || since.is_some_and(|since| now - since > TURNED_AWAY);
    if unfit != was {
        event!(node, TurnedAway; "so" => unfit);
        mesh.view.set_unfit(unfit);
    }
}
