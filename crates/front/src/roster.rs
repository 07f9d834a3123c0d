//! Applies updates of the endpoint list to the board of this process.

use crate::era;
use crate::events::event;
use crate::node::FrontNode;
use crate::told::shown_name;
use crate::{origins, releases, suspects, words};
use oleander_kind::{ClockTime, TimeSpan};
use oleander_list::{
    DecodedEntry, ExpiryTimes, FreshnessStamp, JoinedParts, RosterAction, RosterContext,
    RosterReplica, RosterStatus, RosterUpdate, RosterVersion,
};
use oleander_place::EndpointEntry;
use oleander_plat::{FeedEvent, FeedKind, FeedObject, FeedPage};
use oleander_release::VersionLane;

/// How many heartbeat intervals after the last answer of the store an entry may expire. Entries
/// expire three intervals after their last heartbeat. One interval may have passed before that
/// answer, and half of one is reserved for the time of an answer, which can be a quarter of a second.
const MIN_EXPIRY_HEARTBEATS: f64 = 1.5;

/// Applies the list as read from the store, which sent it at `at`.
pub fn apply_list(node: &FrontNode, page: &FeedPage, at: ClockTime) {
    note_ignored(node, page.as_of);
    let freshness = own_stamp(node, page.as_of, at);
    update_roster(node, |book, news| book.apply_store_list(page, freshness, news));
}

/// Applies changes from the store up to revision `as_of`, which it sent at `at`.
pub fn apply_changes(node: &FrontNode, events: &[FeedEvent], as_of: u64, at: ClockTime) {
    note_ignored(node, as_of);
    let freshness = own_stamp(node, as_of, at);
    update_roster(node, |book, news| book.apply_store_changes(events, freshness, news));
}

/// Applies a peer's update of its list, which was written at most `late` ago. `state` is given if
/// the peer is the collector: its later updates continue from there.
pub fn apply_peer_update(
    node: &FrontNode,
    update: &RosterUpdate,
    (status, late): (&RosterStatus, TimeSpan),
    state: Option<RosterVersion>,
) {
    if let RosterUpdate::Whole(_) = update {
        event!(node, RosterFromPeer;
            "as_of" => status.mark(), "age_ms" => status.freshness.as_ref().map(|note| (note.age + late).0),
            "vouched_by" => status.freshness.as_ref().map(|note| note.by.as_str()),
            "doubted" => status.doubted.len(), "unsettled_ms" => status.unsettled.map(|left| left.0));
    }
    update_roster(node, |book, news| book.apply_update(update, (status, late), state, news));
    mark_list_known(node);
}

/// Applies a list, or an update of it, that peers sent in parts.
pub fn apply_parts(node: &FrontNode, parts: &JoinedParts) {
    event!(node, RosterFromPeer;
        "as_of" => parts.status.mark(), "vouched_by" => parts.status.freshness.as_ref().map(|note| note.by.as_str()),
        "age_ms" => parts.status.freshness.as_ref().map(|note| (note.age + parts.late).0),
        "doubted" => parts.status.doubted.len(),
        "unsettled_ms" => parts.status.unsettled.map(|left| left.0));
    update_roster(node, |book, news| book.apply_parts(parts, news));
    mark_list_known(node);
}

/// Marks the endpoint list as known.
fn mark_list_known(node: &FrontNode) {
    let known = node.endpoints_feed.get();
    if node.roster.borrow().freshness().is_some() && known.known_since.is_none() {
        let known_since = Some(node.clock.now());
        node.endpoints_feed.set(crate::feed::FeedState { known_since, ..known });
    }
}

/// Applies the freshness of a peer's list, which is the same as the one here: the time at which the
/// store last confirmed it to that peer.
pub fn apply_peer_freshness(node: &FrontNode, status: &RosterStatus, late: TimeSpan) {
    update_roster(node, |book, news| book.merge_freshness(status, late, news));
}

/// Notes that an answer of the store will be ignored because the known list is at a later revision.
fn note_ignored(node: &FrontNode, as_of: u64) {
    let known = node.roster.borrow().revision();
    if as_of < known {
        node.meter.count_list_ignored();
        event!(node, RosterIgnored; "as_of" => as_of, "known" => known);
    }
}

fn own_stamp(node: &FrontNode, mark: u64, at: ClockTime) -> FreshnessStamp {
    FreshnessStamp { mark, at, by: node.settings.instance.clone() }
}

fn update_roster(
    node: &FrontNode,
    take: impl FnOnce(
        &mut RosterReplica,
        &RosterContext<'_, EndpointEntry>,
    ) -> Vec<RosterAction<EndpointEntry>>,
) {
    let bounds = node.bounds();
    let now = node.clock.now();
    let decode = |object: &FeedObject| {
        let entry = node.dialect.decode_endpoint(object, now)?;
        Ok(DecodedEntry { life: entry.life, entry })
    };
    let min_expiry = TimeSpan((bounds.heartbeat_ms as f64 * MIN_EXPIRY_HEARTBEATS) as u64);
    let times = ExpiryTimes { min_expiry, relist_delay: TimeSpan(bounds.relist_ms) };
    let news = RosterContext { times, now, decode: &decode };
    let actions = take(&mut node.roster.borrow_mut(), &news);
    era::note_peer_revision(node, node.roster.borrow().revision());
    actions.into_iter().for_each(|action| apply_action(node, action));
    // A process that just started would otherwise refuse its callers until its next report.
    if node.releases.borrow().is_stale {
        releases::refresh(node);
    }
}

fn apply_action(node: &FrontNode, action: RosterAction<EndpointEntry>) {
    match action {
        RosterAction::Upsert { entry, revision } => use_entry(node, entry, revision),
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
        RosterAction::StaleIncarnation { name, lives, revision } => {
            event!(node, EndpointOutlived;
                "endpoint" => name.as_str(), "lives" => format!("{lives:?}"), "revision" => revision);
        }
        RosterAction::Unreadable { name, fault } => {
            if node.told.note(FeedKind::Endpoints, &name, &fault) {
                event!(node, EndpointUnreadable;
                    "endpoint" => shown_name(&name).as_str(), "fault" => fault);
            }
        }
    }
}

fn use_entry(node: &FrontNode, entry: EndpointEntry, revision: u64) {
    let mut board = node.endpoints.borrow_mut();
    let was = board.key(&entry.instance).and_then(|key| board.get(key));
    let is_new = was.is_none();
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
        fact.serves = rollouts.book.takes(version, VersionLane::Serving, node.clock.now());
        rollouts.is_stale |= !fact.serves;
    }
    let listed =
        board.get(key).map(|fact| (fact.entry.service.clone(), fact.entry.release.clone()));
    drop(board);
    if is_new || is_new_incarnation {
        words::presume_brittle(node, key);
    }
    if let Some((service, version)) = listed {
        origins::note_listed(node, &service, &version);
    }
    if let Some(life) = former_incarnation {
        suspects::note_ended(node, &life, "later life");
    }
}
