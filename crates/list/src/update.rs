//! Applies updates of the endpoint list that come from the store or from a peer.

use crate::freshness::{FreshnessStamp, merge_newer};
use crate::parts::JoinedParts;
use crate::roster::{
    DecodedEntry, EntryDecoder, ExpiryTimes, RosterAction, RosterItem, RosterReplica, RosterStatus,
    RosterUpdate, RosterVersion, object_hash,
};
use compact_str::CompactString;
use oleander_kind::{ClockTime, TimeSpan};
use oleander_plat::{FeedEvent, FeedObject, FeedPage};
use std::collections::HashSet;

/// The context in which an update is applied.
pub struct RosterContext<'a, E> {
    /// How entries expire and return when the store is unavailable.
    pub times: ExpiryTimes,
    /// The current time.
    pub now: ClockTime,
    /// Decodes objects.
    pub decode: EntryDecoder<'a, E>,
}

/// Applies one update and collects the resulting `actions`.
struct RosterUpdater<'a, 'b, E> {
    replica: &'a mut RosterReplica,
    context: &'a RosterContext<'b, E>,
    /// The store revision of the update.
    mark: u64,
    actions: Vec<RosterAction<E>>,
}

impl RosterReplica {
    /// Applies the list as read from the store.
    pub fn apply_store_list<E>(
        &mut self,
        page: &FeedPage,
        freshness: FreshnessStamp,
        context: &RosterContext<'_, E>,
    ) -> Vec<RosterAction<E>> {
        // Peers may have sent a later revision while the answer was in transit.
        if freshness.mark < self.revision() {
            return Vec::new();
        }
        let mut updater = self.updater(context, freshness.mark);
        updater.note_confirmation(&freshness);
        updater.note_missing_except(&page.objects, freshness.mark);
        page.objects.iter().for_each(|object| updater.apply_object(object, true));
        updater.finish(freshness)
    }

    /// Applies changes that this process received from the store.
    pub fn apply_store_changes<E>(
        &mut self,
        events: &[FeedEvent],
        freshness: FreshnessStamp,
        context: &RosterContext<'_, E>,
    ) -> Vec<RosterAction<E>> {
        // Changes continue a list of the same era.
        if self.is_later_era(freshness.mark) {
            return Vec::new();
        }
        let newest = freshness.mark >= self.revision();
        let mut updater = self.updater(context, freshness.mark);
        updater.note_confirmation(&freshness);
        for event in events {
            match event {
                FeedEvent::Put(object) => updater.apply_object(object, newest),
                FeedEvent::Gone { name, revision } if updater.has_up_to(name, *revision) => {
                    updater.note_missing(name);
                }
                FeedEvent::Gone { .. } => {}
            }
        }
        updater.finish(freshness)
    }

    /// Applies an update from a peer whose list has status `status` and that was at most `late` in
    /// transit; `state` is the version of the peer's list after the update.
    pub fn apply_update<E>(
        &mut self,
        update: &RosterUpdate,
        sender: (&RosterStatus, TimeSpan),
        state: Option<RosterVersion>,
        context: &RosterContext<'_, E>,
    ) -> Vec<RosterAction<E>> {
        self.apply_received(update, sender, (state, false), context)
    }

    /// Applies an update assembled from parts. Later parts may be newer than the first one, so the
    /// result need not equal any list that a peer has; the collector's next digest shows whether it
    /// is right.
    pub fn apply_parts<E>(
        &mut self,
        parts: &JoinedParts,
        context: &RosterContext<'_, E>,
    ) -> Vec<RosterAction<E>> {
        self.apply_received(&parts.update, (&parts.status, parts.late), (None, true), context)
    }

    fn apply_received<E>(
        &mut self,
        update: &RosterUpdate,
        (status, late): (&RosterStatus, TimeSpan),
        (state, is_joined): (Option<RosterVersion>, bool),
        context: &RosterContext<'_, E>,
    ) -> Vec<RosterAction<E>> {
        let freshness = status.freshness.as_ref().map(|note| note.received(late, context.now));
        let Some(freshness) = freshness.filter(|freshness| freshness.mark >= self.revision())
        else {
            return Vec::new();
        };
        if status.omits_doubts || matches!(update, RosterUpdate::Behind | RosterUpdate::InParts) {
            return Vec::new();
        }
        let mut updater = self.updater(context, freshness.mark);
        let in_contact = updater.is_within_expiry(&freshness);
        updater.merge_unsettled(status, in_contact, late);
        match update {
            RosterUpdate::Behind | RosterUpdate::InParts => {}
            RosterUpdate::Changes(events) => {
                events.iter().for_each(|event| updater.apply_peer_change(event))
            }
            RosterUpdate::Whole(objects) => {
                updater.note_missing_except(objects, freshness.mark);
                let doubted: HashSet<&CompactString> =
                    status.doubted.iter().map(|doubt| &doubt.name).collect();
                let doubted = |object: &FeedObject| doubted.contains(&object.name);
                objects.iter().for_each(|object| updater.apply_object(object, false));
                objects
                    .iter()
                    .filter(|object| !doubted(object))
                    .for_each(|o| updater.clear_doubt(o));
            }
        }
        for doubt in &status.doubted {
            // A process that was paused doubts the entries it missed. A process that was in contact
            // with the store meanwhile has better information: if it adopted the doubt, it would go
            // on using an endpoint that has left until the doubt ended.
            let until = context.now + doubt.left - late;
            match (in_contact, doubt.is_listed) {
                (true, true) => {}
                (true, false) => updater.note_missing(&doubt.name),
                (false, true) => updater.doubt_listed(&doubt.name, until),
                (false, false) => updater.doubt(&doubt.name, until),
            }
        }
        // Changes since a revision make two lists equal if this one was complete at that revision.
        // A list with a hole, left by a watch after the store discarded its history, still differs:
        // it does not become fresher and is replaced by the whole list.
        let agrees = updater.replica.sum == status.sum;
        let source = state.map(|state| state.source);
        let follows = updater.replica.followed.is_some_and(|known| Some(known.source) == source);
        let is_whole = matches!(update, RosterUpdate::Whole(_));
        let is_complete = agrees || follows || is_whole || is_joined;
        let actions = if is_complete { updater.finish(freshness) } else { updater.actions };
        if is_whole || state.is_some() {
            self.needs_whole = !is_complete;
        }
        if state.is_some() {
            self.followed = state.filter(|_| is_complete);
        }
        actions
    }

    /// Applies when the store last confirmed the list to a peer that has the same list.
    pub fn merge_freshness<E>(
        &mut self,
        status: &RosterStatus,
        late: TimeSpan,
        context: &RosterContext<'_, E>,
    ) -> Vec<RosterAction<E>> {
        if status.sum != self.sum {
            return Vec::new();
        }
        self.apply_update(&RosterUpdate::Changes(Vec::new()), (status, late), None, context)
    }

    fn updater<'a, 'b, E>(
        &'a mut self,
        context: &'a RosterContext<'b, E>,
        mark: u64,
    ) -> RosterUpdater<'a, 'b, E> {
        RosterUpdater { replica: self, context, mark, actions: Vec::new() }
    }
}

impl<E> RosterUpdater<'_, '_, E> {
    /// Notes an answer of the store. After a gap in which entries can expire, a missing entry may
    /// be written again soon; an entry that was doubted before the gap could not return during it.
    fn note_confirmation(&mut self, freshness: &FreshnessStamp) {
        if self.is_within_expiry(freshness) {
            return;
        }
        let until = self.context.now + self.context.times.relist_delay;
        self.replica.unsettled_until = Some(until);
        let doubted = self.replica.items.values_mut().filter(|item| item.doubted_until.is_some());
        doubted.for_each(|item| item.doubted_until = Some(until));
    }

    /// Whether the time between the last confirmation by the store and `freshness` was too short
    /// for an entry to expire. A store that came back from an older copy may lack entries whatever
    /// the time.
    ///
    /// Without this check, any removal seen within 2.2 s of the store's return was treated as an
    /// expiry, even after an outage of 0.1 s: requests reached an endpoint 2.3 s after it had left,
    /// and 3.7 s after where the doubt was passed on to peers.
    fn is_within_expiry(&self, freshness: &FreshnessStamp) -> bool {
        let known = self.replica.freshness.as_ref();
        let same_era = !self.replica.is_later_era(freshness.mark);
        same_era
            && known.is_some_and(|known| freshness.at - known.at < self.context.times.min_expiry)
    }

    /// Decides from a peer's status whether missing entries may have expired. If either process was
    /// in contact with the store all the time, none has.
    fn merge_unsettled(&mut self, status: &RosterStatus, in_contact: bool, late: TimeSpan) {
        let theirs = status.unsettled.map(|left| self.context.now + left - late);
        self.replica.unsettled_until = if in_contact {
            self.replica.unsettled_until.filter(|_| theirs.is_some())
        } else {
            theirs
        };
    }

    /// Handles entries that are missing from a list at `mark`. Entries written later are not
    /// affected.
    fn note_missing_except(&mut self, objects: &[FeedObject], mark: u64) {
        let named: HashSet<&CompactString> = objects.iter().map(|object| &object.name).collect();
        let is_covered = |item: &&RosterItem| item.object.revision <= mark;
        let missing = |item: &&RosterItem| !named.contains(&item.object.name);
        let missing = self.replica.items.values().filter(is_covered).filter(missing);
        let names: Vec<_> = missing.map(|item| item.object.name.clone()).collect();
        names.iter().for_each(|name| self.note_missing(name));
    }

    /// Handles an entry that the store no longer has.
    fn note_missing(&mut self, name: &CompactString) {
        match self.replica.unsettled_until.filter(|until| self.context.now < *until) {
            Some(until) => self.doubt(name, until),
            None => self.remove_item(name),
        }
    }

    /// Marks an endpoint as doubted until `until`; an earlier mark keeps its deadline.
    fn doubt(&mut self, name: &CompactString, until: ClockTime) {
        let Some(item) = self.replica.items.get_mut(name) else { return };
        item.is_listed = false;
        if item.doubted_until.is_none() {
            item.doubted_until = Some(until);
            self.actions.push(RosterAction::Doubt { name: name.clone(), until });
        }
    }

    fn remove_item(&mut self, name: &CompactString) {
        let Some(item) = self.replica.items.remove(name) else { return };
        self.replica.sum ^= object_hash(&item.object);
        let revision = item.object.revision;
        self.replica.note_change(FeedEvent::Gone { name: name.clone(), revision }, self.mark);
        self.actions.push(RosterAction::Drop { name: name.clone() });
    }

    fn is_listed(&self, object: &FeedObject) -> bool {
        self.replica.items.get(&object.name).is_some_and(|item| item.is_listed)
    }

    /// Whether the list has an entry of this name at `revision` or earlier.
    fn has_up_to(&self, name: &CompactString, revision: u64) -> bool {
        self.replica.items.get(name).is_some_and(|item| item.object.revision <= revision)
    }

    /// Applies a change of a peer's list. An entry that the peer removed is removed here without a
    /// doubt: it left, or the peer's doubt about it ended.
    fn apply_peer_change(&mut self, event: &FeedEvent) {
        match event {
            FeedEvent::Put(object) => self.apply_object(object, false),
            FeedEvent::Gone { name, revision } if self.has_up_to(name, *revision) => {
                self.remove_item(name);
            }
            FeedEvent::Gone { .. } => {}
        }
    }

    /// Applies an object; `newest` if it was read from the store at this list's revision or later.
    ///
    /// An object that is missing from this list, which is at a later revision, was removed. A
    /// process that was cut off, or doubts the entry, still lists it; without this check its peers
    /// took the entry for new and sent requests to an endpoint that had left two seconds earlier.
    fn apply_object(&mut self, object: &FeedObject, newest: bool) {
        match self.replica.items.get(&object.name).map(|item| item.object.revision) {
            Some(known) if known > object.revision => return,
            Some(known) if known == object.revision => {
                if newest {
                    self.clear_doubt(object);
                }
                return;
            }
            None if !newest && object.revision <= self.replica.revision() => return,
            _ => {}
        }
        let is_of_copy = self.is_of_copy(object);
        match (self.context.decode)(object) {
            Ok(decoded) => {
                self.upsert(object, decoded);
                if is_of_copy {
                    self.doubt_listed(&object.name, self.copy_expiry());
                }
            }
            Err(fault) => {
                let name = object.name.clone();
                self.actions.push(RosterAction::Unreadable { name, fault });
                // Whoever wrote the value, the name no longer refers to a usable endpoint. An
                // endpoint that is alive writes its entry again.
                self.remove_item(&object.name);
            }
        }
    }

    /// Whether an object of a later era is one whose removal in an earlier era is known.
    fn is_of_copy(&self, object: &FeedObject) -> bool {
        self.replica.is_later_era(object.revision)
            && !self.replica.items.contains_key(&object.name)
            && self.replica.changes.is_removed(&object.name)
    }

    /// When an entry of the copy has expired if its endpoint does not write it any more.
    fn copy_expiry(&self) -> ClockTime {
        /// Entries expire three heartbeat intervals after the last one, and `min_expiry` is half of that.
        const EXPIRY_PARTS: u64 = 2;
        let times = self.context.times;
        let expiry = TimeSpan(times.min_expiry.0.saturating_mul(EXPIRY_PARTS));
        self.context.now + expiry.max(times.relist_delay)
    }

    /// Doubts an entry that the store has.
    fn doubt_listed(&mut self, name: &CompactString, until: ClockTime) {
        self.doubt(name, until);
        if let Some(item) = self.replica.items.get_mut(name) {
            item.is_listed = true;
        }
    }

    /// Adds or replaces an entry. An update about an earlier incarnation can have the later
    /// revision: a write was carried out after the new incarnation had registered itself.
    fn upsert(&mut self, object: &FeedObject, decoded: DecodedEntry<E>) {
        let DecodedEntry { life, entry } = decoded;
        let known = self.replica.items.get(&object.name).map(|item| item.life);
        if let Some(known) = known.filter(|known| life < *known) {
            self.actions.push(RosterAction::StaleIncarnation {
                name: object.name.clone(),
                lives: (known, life),
                revision: object.revision,
            });
            return;
        }
        let item =
            RosterItem { object: object.clone(), life, doubted_until: None, is_listed: true };
        if let Some(known) = self.replica.items.insert(object.name.clone(), item) {
            self.replica.sum ^= object_hash(&known.object);
        }
        self.replica.sum ^= object_hash(object);
        self.replica.note_change(FeedEvent::Put(object.clone()), self.mark);
        self.actions.push(RosterAction::Upsert { entry, revision: object.revision });
    }

    /// Clears the doubt if the store has exactly this revision of the object.
    fn clear_doubt(&mut self, object: &FeedObject) {
        let Some(item) = self.replica.items.get_mut(&object.name) else { return };
        let is_doubted_anyway =
            item.is_listed && item.doubted_until.is_some_and(|until| self.context.now < until);
        if item.object.revision != object.revision || is_doubted_anyway {
            return;
        }
        item.is_listed = true;
        if item.doubted_until.take().is_none() {
            return;
        }
        if let Ok(decoded) = (self.context.decode)(object) {
            let DecodedEntry { entry, .. } = decoded;
            self.actions.push(RosterAction::Upsert { entry, revision: object.revision });
        }
    }

    /// Records the confirmation and removes entries that the store still did not have after their
    /// doubt ended. While the store does not answer, no entry could have returned, so none is
    /// removed.
    fn finish(mut self, freshness: FreshnessStamp) -> Vec<RosterAction<E>> {
        if self.replica.freshness.is_none() || self.replica.is_later_era(freshness.mark) {
            self.replica.changes.begin(freshness.mark);
        }
        merge_newer(&mut self.replica.freshness, freshness);
        let confirmed_at =
            self.replica.freshness.as_ref().map(|freshness| freshness.at).unwrap_or_default();
        let is_due =
            |item: &&RosterItem| item.doubted_until.is_some_and(|until| until <= confirmed_at);
        let due = self.replica.items.values().filter(is_due);
        let (listed, missing): (Vec<_>, Vec<_>) =
            due.map(|item| item.object.clone()).partition(|object| self.is_listed(object));
        listed.iter().for_each(|object| self.clear_doubt(object));
        missing.iter().for_each(|object| self.remove_item(&object.name));
        self.actions
    }
}
