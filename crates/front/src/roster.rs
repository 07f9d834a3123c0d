//! Applies updates of the endpoint list to the board of this process.

use crate::events::event;
use crate::node::FrontNode;
use crate::{releases, suspects};
use oleander_kind::{ClockTime, TimeSpan};
use oleander_list::{
    DecodedEntry, JoinedParts, LapseTimes, RosterAction, RosterBook, RosterNews, RosterStand,
    RosterState, RosterUpdate, StoreVouch,
};
use oleander_place::EndpointEntry;
use oleander_plat::{FeedEvent, FeedObject, FeedPage};
use oleander_release::RequestLane;

/// How many heartbeat intervals may pass without news from the store before an entry lapses.
/// Entries lapse after three intervals of silence. One of these may have passed when the store was
/// last heard, and half of one covers the time of an answer, which can be a quarter of a second.
const LAPSE_HEARTBEATS: f64 = 1.5;

/// Applies the list as read from the store, which sent it at `at`.
pub fn apply_list(node: &FrontNode, page: &FeedPage, at: ClockTime) {
    let vouch = own_vouch(node, page.as_of, at);
    update_roster(node, |book, news| book.hear_list(page, vouch, news));
}

/// Applies changes from the store up to revision `as_of`, which it sent at `at`.
pub fn apply_changes(node: &FrontNode, events: &[FeedEvent], as_of: u64, at: ClockTime) {
    let vouch = own_vouch(node, as_of, at);
    update_roster(node, |book, news| book.hear_changes(events, vouch, news));
}

/// Applies a peer's update of its list, which was written at most `late` ago. `state` is given if
/// the peer is the collector: its later updates continue from there.
pub fn apply_peer_update(
    node: &FrontNode,
    update: &RosterUpdate,
    (stand, late): (&RosterStand, TimeSpan),
    state: Option<RosterState>,
) {
    if let RosterUpdate::Whole(_) = update {
        event!(node, RosterFromPeer;
            "as_of" => stand.mark(), "age_ms" => stand.vouch.as_ref().map(|note| (note.age + late).0),
            "vouched_by" => stand.vouch.as_ref().map(|note| note.by.as_str()),
            "doubted" => stand.doubted.len(), "unsettled_ms" => stand.unsettled.map(|left| left.0));
    }
    update_roster(node, |book, news| book.take_update(update, (stand, late), state, news));
    mark_list_known(node);
}

/// Applies a list, or an update of it, that peers sent in parts.
pub fn apply_parts(node: &FrontNode, parts: &JoinedParts) {
    event!(node, RosterFromPeer;
        "as_of" => parts.stand.mark(), "vouched_by" => parts.stand.vouch.as_ref().map(|note| note.by.as_str()),
        "age_ms" => parts.stand.vouch.as_ref().map(|note| (note.age + parts.late).0),
        "doubted" => parts.stand.doubted.len(),
        "unsettled_ms" => parts.stand.unsettled.map(|left| left.0));
    update_roster(node, |book, news| book.take_parts(parts, news));
    mark_list_known(node);
}

/// Marks the endpoint list as known.
fn mark_list_known(node: &FrontNode) {
    let known = node.endpoints_feed.get();
    if node.roster.borrow().vouch().is_some() && known.known_since.is_none() {
        let known_since = Some(node.clock.now());
        node.endpoints_feed.set(crate::feed::FeedState { known_since, ..known });
    }
}

/// Applies the time at which the store last confirmed the list to a peer whose list is the same.
pub fn apply_peer_vouch(node: &FrontNode, stand: &RosterStand, late: TimeSpan) {
    update_roster(node, |book, news| book.take_vouch(stand, late, news));
}

fn own_vouch(node: &FrontNode, mark: u64, at: ClockTime) -> StoreVouch {
    StoreVouch { mark, at, by: node.settings.instance.clone() }
}

fn update_roster(
    node: &FrontNode,
    take: impl FnOnce(
        &mut RosterBook,
        &RosterNews<'_, EndpointEntry>,
    ) -> Vec<RosterAction<EndpointEntry>>,
) {
    let bounds = node.bounds();
    let now = node.clock.now();
    let decode = |object: &FeedObject| {
        let entry = node.dialect.decode_endpoint(object, now)?;
        Ok(DecodedEntry { life: entry.life, entry })
    };
    let lapse = TimeSpan((bounds.heartbeat_ms as f64 * LAPSE_HEARTBEATS) as u64);
    let times = LapseTimes { lapse, relist: TimeSpan(bounds.relist_ms) };
    let news = RosterNews { times, now, decode: &decode };
    let actions = take(&mut node.roster.borrow_mut(), &news);
    actions.into_iter().for_each(|action| apply_action(node, action));
    // A process that just started would otherwise refuse its callers until its next report.
    if node.releases.borrow().is_stale {
        releases::refresh(node);
    }
}

fn apply_action(node: &FrontNode, action: RosterAction<EndpointEntry>) {
    match action {
        RosterAction::Use { entry, revision } => use_entry(node, entry, revision),
        RosterAction::Doubt { name, until } => {
            let mut board = node.endpoints.borrow_mut();
            if let Some(key) = board.key(&name.as_str().into())
                && let Some(fact) = board.get_mut(key)
            {
                fact.doubted = true;
            }
            event!(node, EndpointDoubted;
                "endpoint" => name.as_str(), "for_ms" => (until - node.clock.now()).0);
        }
        RosterAction::Drop { name } => {
            let gone = node.endpoints.borrow_mut().remove(&name.as_str().into());
            if let Some(fact) = gone {
                if fact.takes_work() {
                    suspects::note_ended(node, &suspects::life_of(&fact.entry), "entry gone");
                }
                event!(node, EndpointGone;
                    "endpoint" => name.as_str(), "as_of" => node.roster.borrow().revision());
            }
        }
        RosterAction::Outlived { name, lives, revision } => {
            event!(node, EndpointOutlived;
                "endpoint" => name.as_str(), "lives" => format!("{lives:?}"), "revision" => revision);
        }
        RosterAction::Unreadable { name, fault } => {
            event!(node, EndpointUnreadable; "endpoint" => name.as_str(), "fault" => fault);
        }
    }
}

fn use_entry(node: &FrontNode, entry: EndpointEntry, revision: u64) {
    let mut board = node.endpoints.borrow_mut();
    let was = board.key(&entry.instance).and_then(|key| board.get(key));
    let is_new_incarnation = was.is_some_and(|fact| entry.life > fact.entry.life);
    if is_new_incarnation || was.is_none_or(|fact| fact.entry.stage != entry.stage) {
        event!(node, EndpointStage;
            "endpoint" => entry.instance.as_str(), "service" => entry.service.as_str(),
            "domain" => entry.domain.as_str(), "stage" => format!("{:?}", entry.stage),
            "market" => format!("{:?}", entry.market), "revision" => revision,
            "life" => entry.life);
    }
    let former_incarnation = was
        .filter(|fact| is_new_incarnation && fact.takes_work())
        .map(|f| suspects::life_of(&f.entry));
    if is_new_incarnation {
        // Connections of the former incarnation are dead, and some will never report an error.
        node.pool.borrow_mut().forget(&entry.instance);
        node.incarnation_ended.notify_waiters();
    }
    let key = board.put(entry);
    if releases::are_rollouts_enabled(node)
        && let Some(fact) = board.get_mut(key)
    {
        let version = (&fact.entry.service, &fact.entry.release);
        let mut rollouts = node.releases.borrow_mut();
        fact.serves = rollouts.book.takes(version, RequestLane::Serving, node.clock.now());
        rollouts.is_stale |= !fact.serves;
    }
    drop(board);
    if let Some(life) = former_incarnation {
        suspects::note_ended(node, &life, "later life");
    }
}
