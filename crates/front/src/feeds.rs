//! Follows the feeds of rules and endpoints in the store.

use crate::era;
use crate::events::event;
use crate::feed::FeedState;
use crate::mesh;
use crate::node::FrontNode;
use crate::roster;
use crate::rules::{RulesSource, apply_rules};
use oleander_kind::{ClockTime, StoreEra, TimeSpan};
use oleander_list::freshness::latest_answer_time;
use oleander_plat::{FeedEvent, FeedKind, FeedPage, PlatError, WatchOutcome};
use std::cell::Cell;
use std::rc::Rc;

/// How long a watch waits for a change. An answer without changes confirms the known state.
const WATCH_WAIT: TimeSpan = TimeSpan(2500);
/// The wait at the process on which the others depend to learn that nothing has changed. It is
/// shorter than the time for which a change may stay unknown, because a dead connection looks like
/// one without changes. This costs two calls a second of one process; shorter waits of all
/// followers would cost eight.
const LEADER_WATCH_WAIT: TimeSpan = TimeSpan(500);
/// The wait of a watch that only confirms what an answer said a while ago; shorter than the time for which a watch
/// may run, however old the data.
const CONFIRM_WATCH_WAIT: TimeSpan = TimeSpan(50);
/// The shortest time for which a watch may run, however old the feed data is.
const MIN_WATCH_TIME: TimeSpan = TimeSpan(100);
/// Interval between checks of whether this process has to watch the store itself.
const STANDBY_PERIOD: TimeSpan = TimeSpan(250);
/// The first retry delay when the store does not answer; doubled each time, with jitter.
const MIN_RETRY_DELAY: TimeSpan = TimeSpan(50);
/// The longest retry delay: a config must be in force 2 s after its acknowledgement.
const MAX_RETRY_DELAY: TimeSpan = TimeSpan(800);

/// Delay after changes of the endpoint list before the next watch, to receive them in batches.
/// Endpoints start and leave by the dozen, each change ends a watch, and each watch is billed.
/// Short against the time within which a leaving endpoint has to be known.
const BATCH_TIME: TimeSpan = TimeSpan(250);

/// Follows the rules until the task is aborted.
pub async fn follow_rules(node: Rc<FrontNode>) {
    let take = |page: FeedPage, at| {
        page.objects.iter().for_each(|object| apply_rules(&node, object, RulesSource::Store));
        node.rules.borrow_mut().note_confirmed(at, node.settings.instance.clone());
    };
    let change = |events: Vec<FeedEvent>, _, at| {
        for event in events {
            if let FeedEvent::Put(object) = event {
                apply_rules(&node, &object, RulesSource::Store);
            }
        }
        node.rules.borrow_mut().note_confirmed(at, node.settings.instance.clone());
    };
    follow(&node, FeedKind::Rules, &node.rules_feed, take, change).await;
}

/// Follows the endpoints until the task is aborted.
pub async fn follow_endpoints(node: Rc<FrontNode>) {
    let take = |page: FeedPage, at| roster::apply_list(&node, &page, at);
    let change =
        |events: Vec<FeedEvent>, as_of, at| roster::apply_changes(&node, &events, as_of, at);
    follow(&node, FeedKind::Endpoints, &node.endpoints_feed, take, change).await;
}

/// Where a watch continues.
#[derive(Clone, Copy, Debug)]
struct FeedPoint {
    revision: u64,
    /// The era of the answer that named the revision.
    era: StoreEra,
}

/// Lists a feed and then watches it, and starts again with a list after a failure. `take` applies a list, `change`
/// the changes of a watch.
async fn follow(
    node: &FrontNode,
    kind: FeedKind,
    state: &Cell<FeedState>,
    take: impl Fn(FeedPage, ClockTime),
    change: impl Fn(Vec<FeedEvent>, u64, ClockTime),
) {
    let mut pause = MIN_RETRY_DELAY;
    let mut from: Option<FeedPoint> = None;
    // The pause since the last changes, in which further ones gathered; the next watch waits less by this much.
    let mut batched = TimeSpan(0);
    loop {
        if !mesh::must_watch(node, kind) {
            stand_by(node, kind, state).await;
            from = None;
            continue;
        }
        let sent = node.clock.now();
        let wait = TimeSpan(watch_wait(node, kind).0.saturating_sub(batched.0));
        batched = TimeSpan(0);
        let fault = match from.filter(|point| point.era >= era::known_era(node)) {
            None => match list(node, kind).await {
                Ok(page) => {
                    from = Some(FeedPoint { revision: page.as_of, era: era::answered_era(node) });
                    update_feed_state(node, kind, state, None);
                    take(page, latest_answer_time(sent, TimeSpan(0), node.clock.now()));
                    None
                }
                Err(fault) => Some(fault),
            },
            Some(point) => match watch(node, kind, point, wait).await {
                None => {
                    event!(node, FeedSilent; "feed" => format!("{kind:?}"));
                    from = None;
                    None
                }
                // Changes since a lost revision leave out those between the copy and that revision.
                Some(Ok(_)) if era::answered_era(node) > point.era => {
                    from = None;
                    None
                }
                Some(Ok(WatchOutcome::Changes(events, as_of))) => {
                    from = Some(FeedPoint { revision: as_of, ..point });
                    update_feed_state(node, kind, state, None);
                    let batches = kind == FeedKind::Endpoints && !events.is_empty();
                    change(events, as_of, latest_answer_time(sent, wait, node.clock.now()));
                    if batches {
                        actix_rt::time::sleep(BATCH_TIME.duration()).await;
                        batched = BATCH_TIME;
                    }
                    None
                }
                Some(Ok(WatchOutcome::HistoryLost)) => {
                    from = None;
                    None
                }
                Some(Err(fault)) => Some(fault),
            },
        };
        era::note_store_era(node);
        if fault.is_some() {
            update_feed_state(node, kind, state, fault.as_ref());
        }
        match fault {
            None => pause = MIN_RETRY_DELAY,
            Some(_) => {
                // A watch that resumes from an old revision may wait for the next change although
                // the store no longer has the history since; changes in between would be missed
                // until then. A list shows the current state.
                from = None;
                pause = node.back_off(pause, MAX_RETRY_DELAY).await;
            }
        }
    }
}

async fn list(node: &FrontNode, kind: FeedKind) -> oleander_plat::Result<FeedPage> {
    let page = node.store.list(kind).await?;
    era::check_answer(node)?;
    Ok(page)
}

/// How long the next watch waits.
///
/// An answer that took long to arrive says what the store had when it was asked. A short watch after it confirms
/// that, where a list would bring all of it again.
fn watch_wait(node: &FrontNode, kind: FeedKind) -> TimeSpan {
    if mesh::remaining_freshness(node, kind, |limits| limits.watcher).is_none() {
        return CONFIRM_WATCH_WAIT;
    }
    if mesh::is_watch_leader(node) { LEADER_WATCH_WAIT } else { WATCH_WAIT }
}

/// Watches until there is an answer; `None` if the feed data from any source became too old
/// meanwhile.
///
/// Connections can fall silent for good, and neither keep-alive probes nor unacknowledged bytes
/// always show it. When this waited for the timeout of the call, an isolated process counted itself
/// as connected for up to 3.5 s, and so did those that relied on it: requests reached endpoints 2.5
/// s after they had signalled that they leave.
async fn watch(
    node: &FrontNode,
    kind: FeedKind,
    point: FeedPoint,
    wait: TimeSpan,
) -> Option<oleander_plat::Result<WatchOutcome>> {
    tokio::select! {
        biased;
        answer = node.store.watch(kind, point.revision, wait) => Some(answer),
        () = era::until_later(node, point.era) => Some(Ok(WatchOutcome::HistoryLost)),
        () = until_stale(node, kind) => {
            node.store.reset_connections();
            None
        }
    }
}

/// Returns when the feed data of this process is older than a watching process may let it become, and no answer to its
/// watch is arriving.
///
/// A large answer takes a while on a thin link. Asked for again, it would take as long again.
async fn until_stale(node: &FrontNode, kind: FeedKind) {
    /// Between two looks at what has arrived.
    const LOOK_PERIOD: TimeSpan = TimeSpan(250);
    /// The least that arrives of an answer between them: a tenth of a link of 10 Mbit/s.
    const ARRIVING_BYTES: usize = 32 << 10;
    actix_rt::time::sleep(MIN_WATCH_TIME.duration()).await;
    let mut arrived = 0;
    loop {
        while let Some(left) = mesh::remaining_freshness(node, kind, |limits| limits.watcher) {
            actix_rt::time::sleep(left.duration()).await;
        }
        let before = std::mem::replace(&mut arrived, node.store.watch_arrived(kind));
        let least = if before == 0 { 1 } else { before + ARRIVING_BYTES };
        if arrived < least {
            return;
        }
        actix_rt::time::sleep(LOOK_PERIOD.duration()).await;
    }
}

/// Waits until this process has to watch the store itself.
async fn stand_by(node: &FrontNode, kind: FeedKind, state: &Cell<FeedState>) {
    state.set(FeedState { watching: false, lost_since: None, ..state.get() });
    while !mesh::must_watch(node, kind) {
        let left = mesh::remaining_freshness(node, kind, |limits| limits.follower);
        let pause = left.map_or(STANDBY_PERIOD, |left| left.min(STANDBY_PERIOD));
        actix_rt::time::sleep(pause.duration()).await;
    }
    node.store.reset_connections();
}

fn update_feed_state(
    node: &FrontNode,
    kind: FeedKind,
    state: &Cell<FeedState>,
    fault: Option<&PlatError>,
) {
    let was = state.get();
    let now = match fault {
        None => FeedState {
            known_since: was.known_since.or_else(|| Some(node.clock.now())),
            lost_since: None,
            watching: true,
        },
        Some(_) => FeedState {
            known_since: was.known_since,
            watching: true,
            lost_since: was.lost_since.or_else(|| Some(node.clock.now())),
        },
    };
    state.set(now);
    if was.lost_since.is_some() && now.lost_since.is_none() {
        node.store_returned.notify_waiters();
    }
    if let Some(fault) = fault {
        node.meter.count_store_fault(kind.name());
        event!(node, FeedFault;
            "feed" => format!("{kind:?}"), "fault" => fault.to_string());
    }
    if was.lost_since.is_some() != now.lost_since.is_some() || was.known_since != now.known_since {
        event!(node, FeedChanged;
            "feed" => format!("{kind:?}"), "fresh" => now.is_served(),
            "fault" => fault.map(ToString::to_string));
    }
}
