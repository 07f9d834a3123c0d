//! Follows the store's feeds of rules and endpoints.

use crate::events::event;
use crate::feed::FeedState;
use crate::mesh;
use crate::node::FrontNode;
use crate::roster;
use crate::rules::take_rules;
use oleander_kind::{ClockTime, TimeSpan};
use oleander_list::freshness::latest_answer_time;
use oleander_plat::{FeedEvent, FeedKind, FeedPage, PlatError, WatchOutcome};
use std::cell::Cell;
use std::rc::Rc;

/// How long a watch waits for a change. An answer without one says that all is as it was.
const WATCH_WAIT: TimeSpan = TimeSpan(2500);
/// The same at the process by whose answers the others know that nothing has changed. Shorter than
/// any change may stay unknown: a silent connection looks like one without changes. Two calls a
/// second of one process, where shorter waits of all followers would take eight.
const LEADING_WAIT: TimeSpan = TimeSpan(500);
/// The shortest time for which a watch is left to itself, however old the news is.
const SHORTEST_WATCH: TimeSpan = TimeSpan(100);
/// Between two looks at whether this process has to ask the store itself.
const STANDBY_PAUSE: TimeSpan = TimeSpan(250);
/// The first pause after the store did not answer; doubled each time, with jitter.
const FIRST_PAUSE: TimeSpan = TimeSpan(50);
/// The longest such pause: a config must be in force 2 s after its acknowledgement.
const LONGEST_PAUSE: TimeSpan = TimeSpan(800);

/// Pause after changes of the endpoint list before the next watch. Endpoints start and leave by the
/// dozen, a watch ends with the first change, and each is paid for. Short against the time in which a leaving
/// endpoint has to be known.
const GATHER_TIME: TimeSpan = TimeSpan(250);

/// Follows the rules until the task is ended.
pub async fn follow_rules(node: Rc<FrontNode>) {
    let take = |page: FeedPage, at| {
        page.objects.iter().for_each(|object| take_rules(&node, object));
        node.rules.borrow_mut().note_confirmed(at, node.settings.instance.clone());
    };
    let change = |events: Vec<FeedEvent>, _, at| {
        for event in events {
            if let FeedEvent::Put(object) = event {
                take_rules(&node, &object);
            }
        }
        node.rules.borrow_mut().note_confirmed(at, node.settings.instance.clone());
    };
    follow(&node, FeedKind::Rules, &node.rules_feed, take, change).await;
}

/// Follows the endpoints until the task is ended.
pub async fn follow_endpoints(node: Rc<FrontNode>) {
    let take = |page: FeedPage, at| roster::apply_store_list(&node, &page, at);
    let change =
        |events: Vec<FeedEvent>, as_of, at| roster::apply_store_changes(&node, &events, as_of, at);
    follow(&node, FeedKind::Endpoints, &node.endpoints_feed, take, change).await;
}

async fn follow(
    node: &FrontNode,
    kind: FeedKind,
    state: &Cell<FeedState>,
    take: impl Fn(FeedPage, ClockTime),
    change: impl Fn(Vec<FeedEvent>, u64, ClockTime),
) {
    let mut pause = FIRST_PAUSE;
    let mut from = None;
    let mut gathered = TimeSpan(0);
    loop {
        if !mesh::must_watch(node, kind) {
            stand_by(node, kind, state).await;
            from = None;
            continue;
        }
        let sent = node.clock.now();
        let wait = TimeSpan(watch_wait(node).0 - gathered.0);
        gathered = TimeSpan(0);
        let fault = match from {
            None => match node.store.list(kind).await {
                Ok(page) => {
                    from = Some(page.as_of);
                    note_feed(node, kind, state, None);
                    take(page, latest_answer_time(sent, TimeSpan(0), node.clock.now()));
                    None
                }
                Err(fault) => Some(fault),
            },
            Some(revision) => match watch(node, kind, revision, wait).await {
                None => {
                    event!(node, FeedSilent; "feed" => format!("{kind:?}"));
                    from = None;
                    None
                }
                Some(Ok(WatchOutcome::Changes(events, as_of))) => {
                    from = Some(as_of);
                    note_feed(node, kind, state, None);
                    let gathers = kind == FeedKind::Endpoints && !events.is_empty();
                    change(events, as_of, latest_answer_time(sent, wait, node.clock.now()));
                    if gathers {
                        actix_rt::time::sleep(GATHER_TIME.duration()).await;
                        gathered = GATHER_TIME;
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
        if fault.is_some() {
            note_feed(node, kind, state, fault.as_ref());
        }
        match fault {
            None => pause = FIRST_PAUSE,
            Some(_) => {
                // A watch that is taken up again from an old revision may wait for the next change
                // although its history is gone meanwhile; what changed in between would be missed
                // until then. A list says how things stand.
                from = None;
                pause = node.back_off(pause, LONGEST_PAUSE).await;
            }
        }
    }
}

/// How long the next watch waits.
fn watch_wait(node: &FrontNode) -> TimeSpan {
    if mesh::leads_watching(node) { LEADING_WAIT } else { WATCH_WAIT }
}

/// Watches until there is an answer; none if the news of the feed grew too old meanwhile, whoever
/// it came from.
///
/// Connections fall silent for good, and neither probes nor unacknowledged bytes always show it.
/// Waiting for the time limit of the call, a silent process took itself for informed for up to 3.5
/// s, and so did those that went by it: requests reached endpoints 2.5 s after they had said that
/// they leave.
async fn watch(
    node: &FrontNode,
    kind: FeedKind,
    from: u64,
    wait: TimeSpan,
) -> Option<oleander_plat::Result<WatchOutcome>> {
    tokio::select! {
        biased;
        answer = node.store.watch(kind, from, wait) => Some(answer),
        () = grown_old(node, kind) => {
            node.store.reset_connections();
            None
        }
    }
}

async fn grown_old(node: &FrontNode, kind: FeedKind) {
    actix_rt::time::sleep(SHORTEST_WATCH.duration()).await;
    while let Some(left) = mesh::fresh_for(node, kind, |limits| limits.watcher) {
        actix_rt::time::sleep(left.duration()).await;
    }
}

/// Waits until this process has to ask the store itself.
async fn stand_by(node: &FrontNode, kind: FeedKind, state: &Cell<FeedState>) {
    state.set(FeedState { watching: false, lost_since: None, ..state.get() });
    while !mesh::must_watch(node, kind) {
        let left = mesh::fresh_for(node, kind, |limits| limits.follower);
        let pause = left.map_or(STANDBY_PAUSE, |left| left.min(STANDBY_PAUSE));
        actix_rt::time::sleep(pause.duration()).await;
    }
    node.store.reset_connections();
}

fn note_feed(node: &FrontNode, kind: FeedKind, state: &Cell<FeedState>, fault: Option<&PlatError>) {
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
