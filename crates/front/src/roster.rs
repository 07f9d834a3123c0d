//! The endpoint list of this process: what the store or a peer says of it becomes entries of the board,
//! doubts and removals, and is kept for peers.

use crate::events::event;
use crate::node::{FeedState, FrontNode};
use compact_str::CompactString;
use oleander_kind::{ClockTime, TimeSpan};
use oleander_mesh::{RosterNews, RosterState};
use oleander_place::EndpointEntry;
use oleander_plat::{FeedEvent, FeedObject, FeedPage};
use std::collections::{BTreeMap, VecDeque};

/// Changes of the endpoint list that are kept for peers; who missed more gets the whole list.
const CHANGES_KEPT: usize = 256;

/// How long an entry that was dropped is remembered. A process that was cut off, or doubts what the store
/// did not show it, may tell of such an entry for about as long as cuts last.
const GONE_KEPT: TimeSpan = TimeSpan::secs(60);

/// An entry that was dropped.
#[derive(Clone, Copy, Debug)]
struct GoneEntry {
    revision: u64,
    at: ClockTime,
}

/// Who tells of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NewsSource {
    /// The store itself.
    Store,
    /// Another process. It may tell of what is gone.
    Peer,
}

/// The endpoint list as it was read, for peers that the store does not serve.
#[derive(Debug, Default)]
pub struct RosterCopy {
    objects: BTreeMap<CompactString, FeedObject>,
    mark: u64,
    doubts: BTreeMap<CompactString, ClockTime>,
    /// What was dropped of late.
    gone: BTreeMap<CompactString, GoneEntry>,
    changes: VecDeque<FeedEvent>,
    changed: u64,
    /// The collector's state that this copy goes by, if it goes by one.
    followed: Option<RosterState>,
    /// Whether what the peer's list lacked is gone, if this copy came from a peer.
    settled: bool,
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

    /// How many changes it has seen.
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// The state of a collector's list that this copy goes by.
    pub fn followed(&self) -> Option<RosterState> {
        self.followed
    }

    /// The changes after the one of this number; none if they are not kept.
    pub fn changes_after(&self, number: u64) -> Option<Vec<FeedEvent>> {
        let missing = usize::try_from(self.changed.checked_sub(number)?).ok()?;
        let from = self.changes.len().checked_sub(missing)?;
        Some(self.changes.range(from..).cloned().collect())
    }

    /// Whether `object` is no newer than what was dropped under its name.
    fn is_gone(&self, object: &FeedObject) -> bool {
        self.gone.get(&object.name).is_some_and(|gone| gone.revision >= object.revision)
    }

    fn note_gone(&mut self, name: &CompactString, revision: u64, now: ClockTime) {
        self.gone.retain(|_, gone| now - gone.at < GONE_KEPT);
        self.gone.insert(name.clone(), GoneEntry { revision, at: now });
        self.note_change(FeedEvent::Gone { name: name.clone(), revision });
    }

    fn note_change(&mut self, event: FeedEvent) {
        self.changes.push_back(event);
        self.changed += 1;
        if self.changes.len() > CHANGES_KEPT {
            self.changes.pop_front();
        }
    }
}

/// Takes the list of a peer, whole. `state` is given if the peer is the collector, whose changes are followed from there.
pub fn take_peer_roster(node: &FrontNode, news: &RosterNews, state: Option<RosterState>) {
    let page = &news.page;
    let known = node.endpoints_feed.get();
    // From the collector it is taken while this process does not follow the store; from another,
    // if that one has heard more: a watch may have fallen silent a moment ago.
    let older = page.as_of <= node.roster.borrow().mark;
    if (state.is_some() && known.is_fresh()) || (state.is_none() && older) {
        return;
    }
    event!(node, RosterFromPeer;
        "as_of" => page.as_of, "doubted" => news.doubted.len(), "settled" => news.settled);
    let now = node.clock.now();
    node.endpoints_feed.set(FeedState { known_since: known.known_since.or(Some(now)), ..known });
    take_list(node, page, if news.settled { MissingMeans::Gone } else { MissingMeans::Doubt });
    for name in &news.doubted {
        doubt_endpoint(node, name, now + relist_time(node));
    }
    let mut roster = node.roster.borrow_mut();
    roster.followed = state;
    roster.settled = news.settled;
}

/// Takes the changes that the collector tells of.
pub fn take_peer_changes(node: &FrontNode, changes: &[FeedEvent], state: RosterState) {
    let followed = node.roster.borrow().followed;
    let same = followed.is_some_and(|followed| followed.source == state.source);
    if node.endpoints_feed.get().is_fresh() || !same {
        return;
    }
    for change in changes {
        match change {
            FeedEvent::Put(object) => take_endpoint(node, object, NewsSource::Peer),
            FeedEvent::Gone { name, revision } => {
                // The collector has doubted it long enough. An instance that started again since has
                // an entry that was written later.
                let later = |object: &FeedObject| object.revision > *revision;
                if !node.roster.borrow().objects.get(name).is_some_and(later) {
                    drop_endpoint(node, name);
                }
            }
        }
    }
    node.roster.borrow_mut().followed = Some(state);
}

/// Takes the list as the store shows it.
pub fn take_list_of_store(node: &FrontNode, page: &FeedPage) {
    node.roster.borrow_mut().followed = None;
    take_list(node, page, MissingMeans::Lost);
}

/// Takes an entry that the store tells of at revision `as_of`.
pub fn take_stored(node: &FrontNode, object: &FeedObject, as_of: u64) {
    take_endpoint(node, object, NewsSource::Store);
    node.roster.borrow_mut().mark = as_of;
}

/// Takes the removal of an entry that the store tells of at revision `as_of`.
pub fn take_removal(node: &FrontNode, name: &CompactString, as_of: u64) {
    lose_endpoint(node, name);
    node.roster.borrow_mut().mark = as_of;
}

/// What to make of an endpoint that a list lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MissingMeans {
    /// The store does not have it; how long ago the store was away decides.
    Lost,
    /// A peer that knows says that it is gone.
    Gone,
    /// A peer read the list right after an outage.
    Doubt,
}

/// Takes a whole list.
fn take_list(node: &FrontNode, page: &FeedPage, missing: MissingMeans) {
    // A list that is older than an entry does not speak of it.
    let spoken_of = |object: &&FeedObject| object.revision <= page.as_of;
    let known: Vec<_> = {
        let roster = node.roster.borrow();
        roster.objects.values().filter(spoken_of).map(|object| object.name.clone()).collect()
    };
    let lost = known.iter().filter(|name| !page.objects.iter().any(|object| object.name == **name));
    for name in lost {
        match missing {
            MissingMeans::Lost => lose_endpoint(node, name),
            MissingMeans::Gone => drop_endpoint(node, name),
            MissingMeans::Doubt => {
                doubt_endpoint(node, name, node.clock.now() + relist_time(node));
            }
        }
    }
    let source = if missing == MissingMeans::Lost { NewsSource::Store } else { NewsSource::Peer };
    page.objects.iter().for_each(|object| take_endpoint(node, object, source));
    let mut roster = node.roster.borrow_mut();
    roster.mark = roster.mark.max(page.as_of);
}

/// The endpoint list for a peer.
pub fn roster_news(node: &FrontNode) -> RosterNews {
    let feed = node.endpoints_feed.get();
    let settled_since =
        |at: Option<ClockTime>| at.is_none_or(|at| at + relist_time(node) <= node.clock.now());
    let own = settled_since(feed.back_at) && settled_since(feed.known_since);
    let roster = node.roster.borrow();
    let settled = if feed.watching { own } else { roster.settled };
    RosterNews { page: roster.page(), settled, doubted: roster.doubts.keys().cloned().collect() }
}

fn relist_time(node: &FrontNode) -> TimeSpan {
    TimeSpan(node.bounds().relist_ms)
}

/// Takes one entry. News that is older than what is known of the name changes nothing: a peer tells of
/// it late, or a write of a former life was carried out after the new life had entered itself.
///
/// Nor does a peer bring back what was dropped. After a cut, or while it does not know what the store lost
/// in an outage, it goes on naming entries that the store does not have any more; if it collects then, all
/// others took them for new and sent requests to endpoints that had left two seconds before.
fn take_endpoint(node: &FrontNode, object: &FeedObject, source: NewsSource) {
    {
        let mut roster = node.roster.borrow_mut();
        let known = roster.objects.get(&object.name).map(|known| known.revision);
        if known.is_some_and(|revision| revision > object.revision) {
            return;
        }
        match source {
            NewsSource::Store => drop(roster.gone.remove(&object.name)),
            NewsSource::Peer if roster.is_gone(object) => return,
            NewsSource::Peer => {}
        }
    }
    match node.dialect.decode_endpoint(object, node.clock.now()) {
        Ok(entry) => take_entry(node, object, entry),
        Err(fault) => {
            event!(node, EndpointUnreadable;
                "endpoint" => object.name.as_str(), "fault" => fault);
            // Whoever wrote it, it names no endpoint to use any more. One that lives writes again.
            drop_endpoint(node, &object.name);
        }
    }
}

fn take_entry(node: &FrontNode, object: &FeedObject, entry: EndpointEntry) {
    let mut board = node.endpoints.borrow_mut();
    let was = board.key(&entry.instance).and_then(|key| board.get(key));
    let lives = was.map(|fact| (fact.entry.life, entry.life));
    if lives.is_some_and(|(known, told)| told < known) {
        event!(node, EndpointOutlived;
            "endpoint" => entry.instance.as_str(), "lives" => format!("{lives:?}"),
            "revision" => object.revision);
        return;
    }
    let mut roster = node.roster.borrow_mut();
    roster.doubts.remove(&object.name);
    roster.mark = roster.mark.max(object.revision);
    let known = roster.objects.insert(object.name.clone(), object.clone());
    if known.as_ref() != Some(object) {
        roster.note_change(FeedEvent::Put(object.clone()));
    }
    let born_again = lives.is_some_and(|(known, told)| told > known);
    if born_again || was.is_none_or(|fact| fact.entry.stage != entry.stage) {
        event!(node, EndpointStage;
            "endpoint" => entry.instance.as_str(), "service" => entry.service.as_str(),
            "domain" => entry.domain.as_str(), "stage" => format!("{:?}", entry.stage),
            "market" => format!("{:?}", entry.market), "revision" => object.revision,
            "life" => entry.life);
    }
    if born_again {
        // Connections of the former life are dead, and some will never say so.
        node.pool.borrow_mut().forget(&entry.instance);
        node.life_ended.notify_waiters();
    }
    board.put(entry);
}

/// An endpoint is not in the list any more.
///
/// Entries lapse also while the store is away, and are back soon after its return. Within that time
/// a missing one is only doubted: taking all of a service's endpoints for gone would refuse every
/// request of the service.
fn lose_endpoint(node: &FrontNode, name: &CompactString) {
    let now = node.clock.now();
    let feed = node.endpoints_feed.get();
    match (feed.lost_since, feed.back_at) {
        (Some(_), _) => doubt_endpoint(node, name, now + relist_time(node)),
        (None, Some(back_at)) if now < back_at + relist_time(node) => {
            doubt_endpoint(node, name, back_at + relist_time(node));
        }
        _ => drop_endpoint(node, name),
    }
}

fn doubt_endpoint(node: &FrontNode, name: &CompactString, until: ClockTime) {
    let mut roster = node.roster.borrow_mut();
    if !roster.objects.contains_key(name) {
        return;
    }
    roster.doubts.entry(name.clone()).or_insert(until);
    let mut board = node.endpoints.borrow_mut();
    if let Some(key) = board.key(&name.as_str().into())
        && let Some(fact) = board.get_mut(key)
    {
        fact.doubted = true;
        event!(node, EndpointDoubted; "endpoint" => name.as_str());
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
    roster.doubts.remove(name);
    if let Some(FeedObject { revision, .. }) = roster.objects.remove(name) {
        roster.note_gone(name, revision, node.clock.now());
    }
    if node.endpoints.borrow_mut().remove(&name.as_str().into()).is_some() {
        event!(node, EndpointGone; "endpoint" => name.as_str());
    }
}
