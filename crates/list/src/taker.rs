//! Taking news of the endpoint list, from the store itself or from another process.

use crate::parts::JoinedParts;
use crate::roster::{
    DecodedEntry, EntryDecoder, LapseTimes, RosterAction, RosterBook, RosterItem, RosterStand,
    RosterState, RosterUpdate, object_hash,
};
use crate::vouch::{StoreVouch, renew};
use compact_str::CompactString;
use oleander_kind::{ClockTime, TimeSpan};
use oleander_plat::{FeedEvent, FeedObject, FeedPage};
use std::collections::HashSet;

/// News at one moment.
pub struct RosterNews<'a, E> {
    /// How entries come and go while the store is away.
    pub times: LapseTimes,
    /// The time.
    pub now: ClockTime,
    /// Reads objects.
    pub decode: EntryDecoder<'a, E>,
}

/// Taking news; what follows gathers in `actions`.
struct RosterTaker<'a, 'b, E> {
    book: &'a mut RosterBook,
    news: &'a RosterNews<'b, E>,
    /// The revision of the store that the news is as of.
    mark: u64,
    actions: Vec<RosterAction<E>>,
}

impl RosterBook {
    /// Takes the list as the store itself showed it.
    pub fn hear_list<E>(
        &mut self,
        page: &FeedPage,
        vouch: StoreVouch,
        news: &RosterNews<'_, E>,
    ) -> Vec<RosterAction<E>> {
        // Others told of a later state while the answer was on its way.
        if vouch.mark < self.revision() {
            return Vec::new();
        }
        let mut taker = self.taker(news, vouch.mark);
        taker.hear(&vouch);
        taker.miss_all_but(&page.objects, vouch.mark);
        page.objects.iter().for_each(|object| taker.take(object, true));
        taker.finish(vouch)
    }

    /// Takes changes that the store itself told.
    pub fn hear_changes<E>(
        &mut self,
        events: &[FeedEvent],
        vouch: StoreVouch,
        news: &RosterNews<'_, E>,
    ) -> Vec<RosterAction<E>> {
        let newest = vouch.mark >= self.revision();
        let mut taker = self.taker(news, vouch.mark);
        taker.hear(&vouch);
        for event in events {
            match event {
                FeedEvent::Put(object) => taker.take(object, newest),
                FeedEvent::Gone { name, revision } if taker.has_until(name, *revision) => {
                    taker.miss(name);
                }
                FeedEvent::Gone { .. } => {}
            }
        }
        taker.finish(vouch)
    }

    /// Takes what another process told of its list, which stands as `stand` and was `late` on its way
    /// at the most; `state` is the one that the list is in.
    pub fn take_update<E>(
        &mut self,
        update: &RosterUpdate,
        told: (&RosterStand, TimeSpan),
        state: Option<RosterState>,
        news: &RosterNews<'_, E>,
    ) -> Vec<RosterAction<E>> {
        self.take_told(update, told, (state, false), news)
    }

    /// Takes what was put together from parts. Later parts may be newer than the first one, so that the list is not the same
    /// as any that was told; the next answer of the collector tells whether it is right.
    pub fn take_parts<E>(
        &mut self,
        parts: &JoinedParts,
        news: &RosterNews<'_, E>,
    ) -> Vec<RosterAction<E>> {
        self.take_told(&parts.update, (&parts.stand, parts.late), (None, true), news)
    }

    fn take_told<E>(
        &mut self,
        update: &RosterUpdate,
        (stand, late): (&RosterStand, TimeSpan),
        (state, is_joined): (Option<RosterState>, bool),
        news: &RosterNews<'_, E>,
    ) -> Vec<RosterAction<E>> {
        let vouch = stand.vouch.as_ref().map(|note| note.received(late, news.now));
        let Some(vouch) = vouch.filter(|vouch| vouch.mark >= self.revision()) else {
            return Vec::new();
        };
        if matches!(update, RosterUpdate::Behind | RosterUpdate::InParts) {
            return Vec::new();
        }
        let mut taker = self.taker(news, vouch.mark);
        let close = taker.follows_closely(&vouch);
        taker.settle(stand, close, late);
        match update {
            RosterUpdate::Behind | RosterUpdate::InParts => {}
            RosterUpdate::Changes(events) => events.iter().for_each(|event| taker.follow(event)),
            RosterUpdate::Whole(objects) => {
                taker.miss_all_but(objects, vouch.mark);
                let doubted: HashSet<&CompactString> =
                    stand.doubted.iter().map(|doubt| &doubt.name).collect();
                let doubted = |object: &FeedObject| doubted.contains(&object.name);
                objects.iter().for_each(|object| taker.take(object, false));
                objects.iter().filter(|object| !doubted(object)).for_each(|o| taker.trust(o));
            }
        }
        for doubt in &stand.doubted {
            // A process that stood still doubts what it missed. Who heard the store meanwhile knows
            // better; it would go on using an endpoint that has left, for as long as the other
            // doubts.
            match close {
                true => taker.miss(&doubt.name),
                false => taker.doubt(&doubt.name, news.now + doubt.left - late),
            }
        }
        // Changes since a revision set a list right that was right as of it. One with a hole, left by a watch whose history the
        // store forgot, differs still: it is no newer for them, and is replaced by the whole.
        let agrees = taker.book.sum == stand.sum;
        let source = state.map(|state| state.source);
        let follows = taker.book.followed.is_some_and(|known| Some(known.source) == source);
        let is_whole = matches!(update, RosterUpdate::Whole(_));
        let is_sure = agrees || follows || is_whole || is_joined;
        let actions = if is_sure { taker.finish(vouch) } else { taker.actions };
        if is_whole || state.is_some() {
            self.needs_whole = !is_sure;
        }
        if state.is_some() {
            self.followed = state.filter(|_| is_sure);
        }
        actions
    }

    /// Takes when the store last spoke to a process whose list is the same.
    pub fn take_vouch<E>(
        &mut self,
        stand: &RosterStand,
        late: TimeSpan,
        news: &RosterNews<'_, E>,
    ) -> Vec<RosterAction<E>> {
        if stand.sum != self.sum {
            return Vec::new();
        }
        self.take_update(&RosterUpdate::Changes(Vec::new()), (stand, late), None, news)
    }

    fn taker<'a, 'b, E>(
        &'a mut self,
        news: &'a RosterNews<'b, E>,
        mark: u64,
    ) -> RosterTaker<'a, 'b, E> {
        RosterTaker { book: self, news, mark, actions: Vec::new() }
    }
}

impl<E> RosterTaker<'_, '_, E> {
    /// The store spoke to this process. After a gap in which entries can lapse, what it does not
    /// show may be back soon; what was doubted before the gap had no chance to come back in it.
    fn hear(&mut self, vouch: &StoreVouch) {
        if self.follows_closely(vouch) {
            return;
        }
        let until = self.news.now + self.news.times.relist;
        self.book.unsettled_until = Some(until);
        let doubted = self.book.items.values_mut().filter(|item| item.doubted_until.is_some());
        doubted.for_each(|item| item.doubted_until = Some(until));
    }

    /// Whether no entry can have lapsed between what was heard of the store last and `vouch`.
    ///
    /// A removal that was told within 2.2 s of any return of the store was once taken for a lapse,
    /// after a refusal of 0.1 s too: requests reached an endpoint 2.3 s after it had left, and 3.7
    /// s where the doubt was passed on.
    fn follows_closely(&self, vouch: &StoreVouch) -> bool {
        let known = self.book.vouch.as_ref();
        known.is_some_and(|known| vouch.at - known.at < self.news.times.lapse)
    }

    /// Judges by another process's stand whether what is missing may have lapsed. One of the two that
    /// heard the store all the time knows that nothing has.
    fn settle(&mut self, stand: &RosterStand, close: bool, late: TimeSpan) {
        let told = stand.unsettled.map(|left| self.news.now + left - late);
        self.book.unsettled_until =
            if close { self.book.unsettled_until.filter(|_| told.is_some()) } else { told };
    }

    /// Notes what a list as of `mark` lacks. Entries that were written later it does not speak of.
    fn miss_all_but(&mut self, objects: &[FeedObject], mark: u64) {
        let named: HashSet<&CompactString> = objects.iter().map(|object| &object.name).collect();
        let spoken_of = |item: &&RosterItem| item.object.revision <= mark;
        let missing = |item: &&RosterItem| !named.contains(&item.object.name);
        let missing = self.book.items.values().filter(spoken_of).filter(missing);
        let names: Vec<_> = missing.map(|item| item.object.name.clone()).collect();
        names.iter().for_each(|name| self.miss(name));
    }

    /// The store does not have an entry any more.
    fn miss(&mut self, name: &CompactString) {
        match self.book.unsettled_until.filter(|until| self.news.now < *until) {
            Some(until) => self.doubt(name, until),
            None => self.drop_item(name),
        }
    }

    /// Doubts an endpoint until `until`, or until the moment that was set before.
    fn doubt(&mut self, name: &CompactString, until: ClockTime) {
        let Some(item) = self.book.items.get_mut(name) else { return };
        if item.doubted_until.is_none() {
            item.doubted_until = Some(until);
            self.actions.push(RosterAction::Doubt { name: name.clone(), until });
        }
    }

    fn drop_item(&mut self, name: &CompactString) {
        let Some(item) = self.book.items.remove(name) else { return };
        self.book.sum ^= object_hash(&item.object);
        let revision = item.object.revision;
        self.book.note_change(FeedEvent::Gone { name: name.clone(), revision }, self.mark);
        self.actions.push(RosterAction::Drop { name: name.clone() });
    }

    /// Whether the list has an entry of that name that is no newer than `revision`.
    fn has_until(&self, name: &CompactString, revision: u64) -> bool {
        self.book.items.get(name).is_some_and(|item| item.object.revision <= revision)
    }

    /// Takes a change of another process's list. What that has dropped is gone, or was doubted long
    /// enough.
    fn follow(&mut self, event: &FeedEvent) {
        match event {
            FeedEvent::Put(object) => self.take(object, false),
            FeedEvent::Gone { name, revision } if self.has_until(name, *revision) => {
                self.drop_item(name);
            }
            FeedEvent::Gone { .. } => {}
        }
    }

    /// Takes an object; `newest` if the store itself has it, as of what this process knows or later.
    ///
    /// An object that this list lacks although it is as of a later revision is gone. A process that
    /// was cut off, or doubts it, goes on naming it; all others took it for new once and sent
    /// requests to an endpoint that had left two seconds before.
    fn take(&mut self, object: &FeedObject, newest: bool) {
        match self.book.items.get(&object.name).map(|item| item.object.revision) {
            Some(known) if known > object.revision => return,
            Some(known) if known == object.revision => {
                if newest {
                    self.trust(object);
                }
                return;
            }
            None if !newest && object.revision <= self.book.revision() => return,
            _ => {}
        }
        match (self.news.decode)(object) {
            Ok(decoded) => self.put(object, decoded),
            Err(fault) => {
                let name = object.name.clone();
                self.actions.push(RosterAction::Unreadable { name, fault });
                // Whoever wrote it, it names no endpoint to use any more. One that lives writes again.
                self.drop_item(&object.name);
            }
        }
    }

    /// News of a former life can be newer by revision: a write was carried out after the new life
    /// had entered itself.
    fn put(&mut self, object: &FeedObject, decoded: DecodedEntry<E>) {
        let DecodedEntry { life, entry } = decoded;
        let known = self.book.items.get(&object.name).map(|item| item.life);
        if let Some(known) = known.filter(|known| life < *known) {
            self.actions.push(RosterAction::Outlived {
                name: object.name.clone(),
                lives: (known, life),
                revision: object.revision,
            });
            return;
        }
        let item = RosterItem { object: object.clone(), life, doubted_until: None };
        if let Some(known) = self.book.items.insert(object.name.clone(), item) {
            self.book.sum ^= object_hash(&known.object);
        }
        self.book.sum ^= object_hash(object);
        self.book.note_change(FeedEvent::Put(object.clone()), self.mark);
        self.actions.push(RosterAction::Use { entry, revision: object.revision });
    }

    /// The store has this very object: there is nothing to doubt.
    fn trust(&mut self, object: &FeedObject) {
        let Some(item) = self.book.items.get_mut(&object.name) else { return };
        if item.object.revision != object.revision || item.doubted_until.take().is_none() {
            return;
        }
        if let Ok(decoded) = (self.news.decode)(object) {
            let DecodedEntry { entry, .. } = decoded;
            self.actions.push(RosterAction::Use { entry, revision: object.revision });
        }
    }

    /// Drops what the store, asked after the end of its doubt, still did not have; while it does
    /// not answer nobody could be back.
    fn finish(mut self, vouch: StoreVouch) -> Vec<RosterAction<E>> {
        if self.book.vouch.is_none() {
            self.book.changes.begin(vouch.mark);
        }
        renew(&mut self.book.vouch, vouch);
        let heard = self.book.vouch.as_ref().map(|vouch| vouch.at).unwrap_or_default();
        let due = self.book.doubts().filter(|(_, until)| *until <= heard);
        let names: Vec<_> = due.map(|(name, _)| name.clone()).collect();
        names.iter().for_each(|name| self.drop_item(name));
        self.actions
    }
}
