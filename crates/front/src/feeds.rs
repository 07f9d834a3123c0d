//! Follows the store's feeds of rules and endpoints.

use crate::events::event;
use crate::mesh;
use crate::node::{FeedState, FrontNode};
use crate::roster;
use oleander_kind::{ClockTime, TimeSpan};
use oleander_list::StoreVouch;
use oleander_list::vouch::{renew, spoken_at};
use oleander_plat::{FeedAnswer, FeedEvent, FeedKind, FeedObject, FeedPage, PlatError};
use std::cell::Cell;
use std::rc::Rc;

/// How long a watch waits for a change. Connections fall silent for good, and neither probes nor
/// unacknowledged bytes always show it; an answer every few seconds does. With the time limit of a
/// call a silent one is found after 3.5 s, within the 3 s that a disturbance excuses and the 2 s in
/// which a change must be in force.
const WATCH_WAIT: TimeSpan = TimeSpan(2500);
/// Between two looks at whether this process has to ask the store itself.
const STANDBY_PAUSE: TimeSpan = TimeSpan(250);
/// The first pause after the store did not answer; doubled each time, with jitter.
const FIRST_PAUSE: TimeSpan = TimeSpan(50);
/// The longest such pause: a config must be in force 2 s after its acknowledgement.
const LONGEST_PAUSE: TimeSpan = TimeSpan(800);

/// Pause after changes of the endpoint list before the next watch. Endpoints start and leave by the
/// dozen, a watch ends with the first change, and each is paid for: a calm day of 83 processes took
/// 4,799 calls without it, 2,737 with it. A leaving endpoint has to be known within 2 s.
const GATHER_TIME: TimeSpan = TimeSpan(250);

/// The object that holds the operators' rules.
pub const RULES_NAME: &str = "main";

/// Follows the rules until the task is ended.
pub async fn follow_rules(node: Rc<FrontNode>) {
    let take = |page: FeedPage| page.objects.iter().for_each(|object| take_rules(&node, object));
    let change = |events: Vec<FeedEvent>, _| {
        for event in events {
            if let FeedEvent::Put(object) = event {
                take_rules(&node, &object);
            }
        }
    };
    follow(&node, FeedKind::Rules, &node.rules_feed, take, change).await;
}

/// Follows the endpoints until the task is ended.
pub async fn follow_endpoints(node: Rc<FrontNode>) {
    let take = |page: FeedPage| roster::take_list_of_store(&node, &page);
    let change = |events: Vec<FeedEvent>, as_of| {
        for event in events {
            match event {
                FeedEvent::Put(object) => roster::take_stored(&node, &object, as_of),
                FeedEvent::Gone { name, .. } => roster::take_removal(&node, &name, as_of),
            }
        }
    };
    follow(&node, FeedKind::Endpoints, &node.endpoints_feed, take, change).await;
}

async fn follow(
    node: &FrontNode,
    kind: FeedKind,
    state: &Cell<FeedState>,
    take: impl Fn(FeedPage),
    change: impl Fn(Vec<FeedEvent>, u64),
) {
    let mut pause = FIRST_PAUSE;
    let mut from = None;
    loop {
        if !mesh::must_watch(node) {
            stand_by(node, state).await;
            from = None;
            continue;
        }
        let sent = node.clock.now();
        let fault = match from {
            None => match node.store.list(kind).await {
                Ok(page) => {
                    from = Some(page.as_of);
                    note_feed(node, kind, state, None);
                    take(page);
                    note_vouch(node, kind, spoken_at(sent, TimeSpan(0), node.clock.now()));
                    None
                }
                Err(fault) => Some(fault),
            },
            Some(revision) => match node.store.watch(kind, revision, WATCH_WAIT).await {
                Ok(FeedAnswer::Changes(events, as_of)) => {
                    from = Some(as_of);
                    note_feed(node, kind, state, None);
                    let gathers = kind == FeedKind::Endpoints && !events.is_empty();
                    change(events, as_of);
                    note_vouch(node, kind, spoken_at(sent, WATCH_WAIT, node.clock.now()));
                    if gathers {
                        actix_rt::time::sleep(GATHER_TIME.duration()).await;
                    }
                    None
                }
                Ok(FeedAnswer::HistoryLost) => {
                    from = None;
                    None
                }
                Err(fault) => Some(fault),
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

/// Notes that the store spoke for a feed at `at`.
fn note_vouch(node: &FrontNode, kind: FeedKind, at: ClockTime) {
    let by = node.settings.instance.clone();
    let (vouch, mark) = match kind {
        FeedKind::Rules => (&node.rules_vouch, node.rules.borrow().version()),
        _ => (&node.roster_vouch, node.roster.borrow().mark()),
    };
    renew(&mut vouch.borrow_mut(), StoreVouch { mark, at, by });
}

/// Waits until this process has to ask the store itself.
async fn stand_by(node: &FrontNode, state: &Cell<FeedState>) {
    state.set(FeedState { watching: false, lost_since: None, ..state.get() });
    while !mesh::must_watch(node) {
        actix_rt::time::sleep(STANDBY_PAUSE.duration()).await;
    }
}

fn note_feed(node: &FrontNode, kind: FeedKind, state: &Cell<FeedState>, fault: Option<&PlatError>) {
    let was = state.get();
    let now = match fault {
        None => FeedState {
            known_since: was.known_since.or_else(|| Some(node.clock.now())),
            lost_since: None,
            watching: true,
            back_at: was.lost_since.map(|_| node.clock.now()).or(was.back_at),
        },
        Some(_) => FeedState {
            known_since: was.known_since,
            watching: true,
            back_at: was.back_at,
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
            "feed" => format!("{kind:?}"), "fresh" => now.is_fresh(),
            "fault" => fault.map(ToString::to_string));
    }
}

/// Takes rules, from the store or a peer.
pub fn take_rules(node: &FrontNode, object: &FeedObject) {
    if object.name != RULES_NAME {
        return;
    }
    match node.dialect.decode_rules(object) {
        Ok(rules) => {
            let version = rules.version();
            if node.rules.borrow_mut().offer(rules) {
                *node.rules_text.borrow_mut() = Some(object.clone());
                event!(node, RulesInForce; "version" => version);
            }
        }
        Err(fault) => {
            event!(node, RulesUnreadable; "fault" => fault);
        }
    }
}
