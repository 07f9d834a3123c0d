//! Follows the store's feeds of rules and endpoints.

use crate::node::{FeedState, FrontNode};
use compact_str::CompactString;
use oleander_kind::{ClockTime, TimeSpan};
use oleander_plat::{FeedAnswer, FeedEvent, FeedKind, FeedObject, FeedPage, PlatError};
use std::cell::Cell;
use std::collections::BTreeMap;
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
        FeedEvent::Gone(name) => lose_endpoint(&node, &name),
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
                    note_feed(node, kind, state, None);
                    take(page);
                    None
                }
                Err(fault) => Some(fault),
            },
            Some(revision) => match node.store.watch(kind, revision, WATCH_WAIT).await {
                Ok(FeedAnswer::Changes(events, as_of)) => {
                    from = Some(as_of);
                    note_feed(node, kind, state, None);
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
        None => FeedState {
            known_since: was.known_since.or_else(|| Some(node.clock.now())),
            lost_since: None,
            back_at: was.lost_since.map(|_| node.clock.now()).or(was.back_at),
        },
        Some(_) => FeedState {
            known_since: was.known_since,
            back_at: was.back_at,
            lost_since: was.lost_since.or_else(|| Some(node.clock.now())),
        },
    };
    state.set(now);
    if let Some(fault) = fault {
        slog::debug!(node.log, "the store did not answer";
            "feed" => format!("{kind:?}"), "fault" => fault.to_string());
    }
    if was.lost_since.is_some() != now.lost_since.is_some() || was.known_since != now.known_since {
        slog::info!(node.log, "a feed of the store changed";
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
                slog::info!(node.log, "rules are in force"; "version" => version);
            }
        }
        Err(fault) => {
            slog::error!(node.log, "rules cannot be read"; "fault" => fault);
        }
    }
}

/// The endpoint list as it was read, for peers that the store does not serve.
#[derive(Debug, Default)]
pub struct RosterCopy {
    objects: BTreeMap<CompactString, FeedObject>,
    mark: u64,
    doubts: BTreeMap<CompactString, ClockTime>,
}

impl RosterCopy {
    /// The revision of the newest change in it.
    pub fn mark(&self) -> u64 {
        self.mark
    }

    /// The whole list.
    pub fn page(&self) -> FeedPage {
        FeedPage { objects: self.objects.values().cloned().collect(), as_of: self.mark }
    }
}

/// Takes the list of a peer. It is used only while the store tells this process nothing, and only
/// if it is newer.
pub fn take_peer_roster(node: &FrontNode, page: &FeedPage) {
    let known = node.endpoints_feed.get();
    if known.is_fresh() || page.as_of <= node.roster.borrow().mark {
        return;
    }
    slog::info!(node.log, "the endpoint list comes from a peer"; "as_of" => page.as_of);
    node.endpoints_feed
        .set(FeedState { known_since: known.known_since.or(Some(node.clock.now())), ..known });
    take_endpoints(node, page);
}

fn take_endpoints(node: &FrontNode, page: &FeedPage) {
    let known: Vec<_> = node.roster.borrow().objects.keys().cloned().collect();
    for name in known {
        if !page.objects.iter().any(|object| object.name == name) {
            lose_endpoint(node, &name);
        }
    }
    page.objects.iter().for_each(|object| take_endpoint(node, object));
    note_mark(node, page.as_of);
}

fn note_mark(node: &FrontNode, mark: u64) {
    let mut roster = node.roster.borrow_mut();
    roster.mark = roster.mark.max(mark);
}

fn take_endpoint(node: &FrontNode, object: &FeedObject) {
    match node.dialect.decode_endpoint(object, node.clock.now()) {
        Ok(entry) => {
            let mut roster = node.roster.borrow_mut();
            roster.doubts.remove(&object.name);
            roster.mark = roster.mark.max(object.revision);
            roster.objects.insert(object.name.clone(), object.clone());
            let mut board = node.endpoints.borrow_mut();
            let was = board.key(&entry.instance).and_then(|key| board.get(key));
            if was.is_none_or(|fact| fact.entry.stage != entry.stage) {
                slog::info!(node.log, "an endpoint's stage";
                    "endpoint" => entry.instance.as_str(), "service" => entry.service.as_str(),
                    "domain" => entry.domain.as_str(), "stage" => format!("{:?}", entry.stage),
                    "market" => format!("{:?}", entry.market), "revision" => object.revision);
            }
            board.put(entry);
        }
        Err(fault) => {
            slog::warn!(node.log, "an endpoint's entry cannot be read";
                "endpoint" => object.name.as_str(), "fault" => fault);
        }
    }
}

/// An endpoint is not in the list any more.
///
/// Entries lapse also while the store is away, and are back soon after its return. Within that time
/// a missing one is only doubted: taking all of a service's endpoints for gone would refuse every
/// request of the service.
fn lose_endpoint(node: &FrontNode, name: &CompactString) {
    let now = node.clock.now();
    let relist = TimeSpan(node.settings.bounds.relist_ms);
    let feed = node.endpoints_feed.get();
    let until = match (feed.lost_since, feed.back_at) {
        (Some(_), _) => Some(now + relist),
        (None, Some(back_at)) if now < back_at + relist => Some(back_at + relist),
        _ => None,
    };
    let Some(until) = until else { return drop_endpoint(node, name) };
    let mut roster = node.roster.borrow_mut();
    roster.doubts.entry(name.clone()).or_insert(until);
    let mut board = node.endpoints.borrow_mut();
    if let Some(key) = board.key(&name.as_str().into())
        && let Some(fact) = board.get_mut(key)
    {
        fact.doubted = true;
        slog::info!(node.log, "an endpoint is doubted"; "endpoint" => name.as_str());
    }
}

/// Drops the endpoints that were doubted and are not back in time.
pub fn sweep_doubts(node: &FrontNode) {
    let now = node.clock.now();
    // While the store does not answer, nobody could be back.
    if node.endpoints_feed.get().lost_since.is_some() {
        return;
    }
    let due: Vec<_> = {
        let roster = node.roster.borrow();
        let due = roster.doubts.iter().filter(|(_, until)| **until <= now);
        due.map(|(name, _)| name.clone()).collect()
    };
    due.iter().for_each(|name| drop_endpoint(node, name));
}

fn drop_endpoint(node: &FrontNode, name: &CompactString) {
    let mut roster = node.roster.borrow_mut();
    roster.objects.remove(name);
    roster.doubts.remove(name);
    if node.endpoints.borrow_mut().remove(&name.as_str().into()).is_some() {
        slog::info!(node.log, "an endpoint is gone"; "endpoint" => name.as_str());
    }
}
