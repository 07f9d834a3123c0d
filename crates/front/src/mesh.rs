//! What a process knows through the others: it reports to the collector, takes its digests, and collects
//! when it is its turn.

mod collect;
mod digest;
mod make;
mod report;

pub use collect::MeshPeers;
pub use report::report_period;

use crate::events::event;
use crate::node::{FeedState, FrontNode};
use oleander_call::AccountRule;
use oleander_kind::{ClockTime, TimeSpan};
use oleander_limit::PoolLimit;
use oleander_list::{StoreVouch, VouchNote};
use oleander_mesh::{
    FeedMark, LeaseNotice, MemberCard, MeshCollector, MeshView, NodeUsage, ServicePace,
    ServicePeak, SleepWatch, TrueClock,
};
use std::cell::RefCell;

/// A digest speaks for the present for this long: four periods.
const DIGEST_LASTS: TimeSpan = TimeSpan(1000);

/// What the process knows through the others.
pub struct MeshState {
    /// The members.
    pub view: MeshView,
    /// Present once somebody reports here.
    pub collector: Option<MeshCollector>,
    /// True time.
    pub clock: TrueClock,
    /// The lease of the control work, as last heard.
    pub lease: Option<LeaseNotice>,
    /// Usage windows up to this number are reported.
    pub reported_window: u64,
    /// What services needed of late.
    pub peaks: Vec<ServicePeak>,
    /// How fast all processes together saw engines read.
    pub paces: Vec<ServicePace>,
    sleep: SleepWatch,
    /// Counts that were reported here while this process collected, and since when they are passed
    /// on to its successor.
    heritage: Option<(Vec<NodeUsage>, ClockTime)>,
    outdone_since: Option<ClockTime>,
    digest_at: ClockTime,
    digest_from: Option<MemberCard>,
    digest_rules: FeedMark,
    digest_roster: FeedMark,
    wants_rules: bool,
    wants_roster: bool,
}

impl MeshState {
    /// A process that knows itself.
    pub fn new(me: MemberCard) -> Self {
        MeshState {
            view: MeshView::new(me),
            collector: None,
            clock: TrueClock::default(),
            lease: None,
            reported_window: 0,
            peaks: Vec::new(),
            paces: Vec::new(),
            sleep: SleepWatch::default(),
            heritage: None,
            outdone_since: None,
            digest_at: ClockTime(0),
            digest_from: None,
            digest_rules: FeedMark::default(),
            digest_roster: FeedMark::default(),
            wants_rules: false,
            wants_roster: false,
        }
    }

    /// Ends the collecting; what was counted is passed on for a while.
    fn end_collecting(&mut self, now: ClockTime) {
        let usage = self.collector.take().map(|ended| ended.usage()).unwrap_or_default();
        self.heritage = Some((usage, now));
    }

    /// Whether another process collects, and this one goes by it.
    pub fn is_succeeded(&self, now: ClockTime) -> bool {
        followed_collector(self, now).is_some()
    }

    /// Whether the others know the rules of `version` to be the newest.
    pub fn vouches_for_rules(&self, version: u64, now: ClockTime) -> bool {
        let present = now - self.digest_at < DIGEST_LASTS;
        present && self.digest_rules.fresh && version >= self.digest_rules.mark
    }
}

/// Ends the collecting of a process that stood still for longer than its reporters wait.
fn end_after_sleep(node: &FrontNode) {
    let now = node.clock.now();
    let mut mesh = node.mesh.borrow_mut();
    if mesh.sleep.slept(node.clock.wall(), now) && mesh.collector.is_some() {
        mesh.end_collecting(now);
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

/// Whether this process has to follow the store itself.
///
/// A few processes do it for all, so that neither calls nor wake-ups grow with the processes. The
/// others go by the collector's digests, and ask the store once these stop or the collector is not
/// told of changes either.
///
/// A third of the processes may be cut off from the store without an end on their connections, which
/// shows only after seconds. With two followers both were, and a revoked key was served for 2.2 s;
/// a report of any other follower brings the news to all within 750 ms.
pub fn must_watch(node: &FrontNode) -> bool {
    /// One more than a third of today's nine processes.
    const WATCHERS: usize = 4;
    /// One more for each so many processes.
    const MEMBERS_PER_WATCHER: usize = 32;
    let now = node.clock.now();
    let mesh = node.mesh.borrow();
    let told = now - mesh.digest_at < DIGEST_LASTS
        && mesh.digest_rules.fresh
        && mesh.digest_roster.fresh
        && mesh.digest_rules.mark > 0;
    let watchers = WATCHERS + mesh.view.serving() as usize / MEMBERS_PER_WATCHER;
    // A process that the store turned away goes on asking, so that it learns when that is over.
    !told || mesh.view.me().unfit || mesh.view.is_among_first(watchers, now)
}

/// The collector that this process goes by, if it is another and answered a moment ago.
///
/// After a cut heals, processes on its two sides know different collectors. Who is asked to collect
/// although it reports to another names that one, so that they find together.
fn followed_collector(mesh: &MeshState, now: ClockTime) -> Option<MemberCard> {
    let present = now - mesh.digest_at < DIGEST_LASTS;
    let from = mesh.digest_from.as_ref().filter(|card| card.id != mesh.view.me().id)?;
    (present && !mesh.view.collects()).then(|| from.clone())
}

fn rules_mark(node: &FrontNode) -> FeedMark {
    let mark = node.rules.borrow().version();
    let vouch = note_of(&node.rules_vouch, node.clock.now());
    FeedMark { mark, fresh: node.rules_feed.get().is_fresh(), vouch }
}

fn note_of(vouch: &RefCell<Option<StoreVouch>>, now: ClockTime) -> Option<VouchNote> {
    vouch.borrow().as_ref().map(|vouch| vouch.note(now))
}

fn roster_mark(node: &FrontNode) -> FeedMark {
    let mark = node.roster.borrow().mark();
    let vouch = note_of(&node.roster_vouch, node.clock.now());
    FeedMark { mark, fresh: node.endpoints_feed.get().is_fresh(), vouch }
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
        .is_some_and(|collector| collector.is_outdone(&node.settings.instance, now));
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
