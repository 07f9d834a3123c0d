//! Follows the store's feeds of rules and endpoints.

use crate::node::{FeedState, FrontNode};
use oleander_kind::TimeSpan;
use oleander_plat::{FeedAnswer, FeedEvent, FeedKind, FeedObject, FeedPage, PlatError};
use std::cell::Cell;
use std::rc::Rc;

/// How long a watch waits for a change. A connection that falls silent is found by its probes, so
/// this only bounds how many calls idle watches make.
const WATCH_WAIT: TimeSpan = TimeSpan(25_000);
/// The first pause after the store did not answer; doubled each time, with jitter.
const FIRST_PAUSE: TimeSpan = TimeSpan(50);
/// The longest such pause: a config must be in force 2 s after its acknowledgement.
const LONGEST_PAUSE: TimeSpan = TimeSpan(800);

/// The object that holds the operators' rules.
pub const RULES_NAME: &str = "main";

/// Follows the rules until the task is ended.
pub async fn follow_rules(node: Rc<FrontNode>) {
    let take = |page: FeedPage| page.objects.iter().for_each(|object| take_rules(&node, object));
    let change = |event: FeedEvent| {
        if let FeedEvent::Put(object) = event {
            take_rules(&node, &object);
        }
    };
    follow(&node, FeedKind::Rules, &node.rules_feed, take, change).await;
}

/// Follows the endpoints until the task is ended.
pub async fn follow_endpoints(node: Rc<FrontNode>) {
    let take = |page: FeedPage| take_endpoints(&node, &page);
    let change = |event: FeedEvent| match event {
        FeedEvent::Put(object) => take_endpoint(&node, &object),
        FeedEvent::Gone(name) => drop_endpoint(&node, &name),
    };
    follow(&node, FeedKind::Endpoints, &node.endpoints_feed, take, change).await;
}

async fn follow(
    node: &FrontNode,
    kind: FeedKind,
    state: &Cell<FeedState>,
    take: impl Fn(FeedPage),
    change: impl Fn(FeedEvent),
) {
    let mut pause = FIRST_PAUSE;
    let mut from = None;
    loop {
        let fault = match from {
            None => match node.store.list(kind).await {
                Ok(page) => {
                    from = Some(page.as_of);
                    take(page);
                    None
                }
                Err(fault) => Some(fault),
            },
            Some(revision) => match node.store.watch(kind, revision, WATCH_WAIT).await {
                Ok(FeedAnswer::Changes(events, as_of)) => {
                    from = Some(as_of);
                    events.into_iter().for_each(&change);
                    None
                }
                Ok(FeedAnswer::HistoryLost) => {
                    from = None;
                    None
                }
                Err(fault) => Some(fault),
            },
        };
        note_feed(node, kind, state, fault.as_ref());
        match fault {
            None => pause = FIRST_PAUSE,
            Some(_) => {
                let jitter = TimeSpan(pause.0 / 2 + node.random() % (pause.0 / 2 + 1));
                actix_rt::time::sleep(jitter.duration()).await;
                pause = TimeSpan(pause.0 * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

fn note_feed(node: &FrontNode, kind: FeedKind, state: &Cell<FeedState>, fault: Option<&PlatError>) {
    let was = state.get();
    let now = match fault {
        None => FeedState { known: true, lost_since: None },
        Some(_) => FeedState {
            known: was.known,
            lost_since: was.lost_since.or_else(|| Some(node.clock.now())),
        },
    };
    state.set(now);
    if was.lost_since.is_some() != now.lost_since.is_some() || was.known != now.known {
        slog::info!(node.log, "a feed of the store changed";
            "feed" => format!("{kind:?}"), "fresh" => now.is_fresh(),
            "fault" => fault.map(ToString::to_string));
    }
}

fn take_rules(node: &FrontNode, object: &FeedObject) {
    if object.name != RULES_NAME {
        return;
    }
    match node.dialect.decode_rules(object) {
        Ok(rules) => {
            let version = rules.version();
            if node.rules.borrow_mut().offer(rules) {
                slog::info!(node.log, "rules are in force"; "version" => version);
            }
        }
        Err(fault) => {
            slog::error!(node.log, "rules cannot be read"; "fault" => fault);
        }
    }
}

fn take_endpoints(node: &FrontNode, page: &FeedPage) {
    let known: Vec<_> =
        node.endpoints.borrow().iter().map(|(_, fact)| fact.entry.instance.clone()).collect();
    for instance in known {
        let listed = page.objects.iter().any(|object| object.name == instance.as_str());
        if !listed {
            drop_endpoint(node, instance.as_str());
        }
    }
    page.objects.iter().for_each(|object| take_endpoint(node, object));
}

fn take_endpoint(node: &FrontNode, object: &FeedObject) {
    match node.dialect.decode_endpoint(object, node.clock.now()) {
        Ok(entry) => {
            slog::debug!(node.log, "an endpoint's entry";
                "endpoint" => entry.instance.as_str(), "stage" => format!("{:?}", entry.stage));
            node.endpoints.borrow_mut().put(entry);
        }
        Err(fault) => {
            slog::warn!(node.log, "an endpoint's entry cannot be read";
                "endpoint" => object.name.as_str(), "fault" => fault);
        }
    }
}

fn drop_endpoint(node: &FrontNode, name: &str) {
    if node.endpoints.borrow_mut().remove(&name.into()).is_some() {
        slog::debug!(node.log, "an endpoint is gone"; "endpoint" => name);
    }
}
