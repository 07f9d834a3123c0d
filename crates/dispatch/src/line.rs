//! The line of requests that wait for a place.

use crate::shares::AccountTag;
use oleander_kind::{ClockTime, TimeSpan};
use std::collections::{BTreeMap, BTreeSet};

/// The most requests that wait. The objective bounds the line long before; this bounds its memory if the
/// objective is long, to some 200 bytes each.
const MAX_WAITING: usize = 16_384;

/// Identifies a request in the line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LineTicket(u64);

/// A request that wants a place.
#[derive(Clone, Copy, Debug)]
pub struct RoomRequest {
    /// Its rank; lower ones are more urgent.
    pub rank: u8,
    /// Its client account.
    pub account: AccountTag,
    /// The latest time at which it may begin and still be answered within its objective.
    pub due: ClockTime,
}

/// Where a request stands in the line of its rank.
type LinePlace = (ClockTime, LineTicket);

/// The requests that wait for a place, the more urgent first, and of equal rank the one that is due first.
#[derive(Clone, Debug, Default)]
pub struct WaitLine {
    ranks: BTreeMap<u8, BTreeSet<LinePlace>>,
    accounts: BTreeMap<(u8, AccountTag), BTreeSet<LinePlace>>,
    requests: BTreeMap<LineTicket, RoomRequest>,
    next: u64,
}

impl WaitLine {
    /// Adds a request if it can begin in time when a place comes free every `interval`. Returns its ticket, and
    /// the ticket of another one that was taken out for it: the last one, if that is less urgent and can no longer
    /// begin in time; or else the last one of the account that has most, if the line is full of that.
    /// `taken` tells the places that an account took lately.
    ///
    /// # Errors
    /// The time until a place would have been free for it.
    pub fn enter(
        &mut self,
        request: RoomRequest,
        (now, interval): (ClockTime, TimeSpan),
        taken: impl Fn(AccountTag) -> f64,
    ) -> Result<(LineTicket, Option<LineTicket>), TimeSpan> {
        let ticket = LineTicket(self.next);
        let place = (request.due, ticket);
        let ahead = self.ahead_of(request.rank, place) as u64;
        let wait = TimeSpan(interval.0 * (ahead + 1));
        let displaced = if self.requests.len() >= MAX_WAITING || now + wait > request.due {
            let would_fit = ahead > 0 && now + TimeSpan(interval.0 * ahead) <= request.due;
            let heavy = would_fit.then(|| self.last_of_heaviest(&request, place, taken)).flatten();
            let heavy = heavy.ok_or(wait)?;
            self.leave(heavy);
            Some(heavy)
        } else {
            None
        };
        self.next += 1;
        self.ranks.entry(request.rank).or_default().insert(place);
        self.accounts.entry((request.rank, request.account)).or_default().insert(place);
        self.requests.insert(ticket, request);
        Ok((ticket, displaced.or_else(|| self.displace_last((now, interval)))))
    }

    /// The requests that get a place before one of `rank` at `place`.
    fn ahead_of(&self, rank: u8, place: LinePlace) -> usize {
        let more_urgent: usize = self.ranks.range(..rank).map(|(_, waiting)| waiting.len()).sum();
        let equal = self.ranks.get(&rank).map_or(0, |waiting| match waiting.last() {
            Some(last) if *last < place => waiting.len(),
            _ => waiting.range(..place).count(),
        });
        more_urgent + equal
    }

    /// The last request before `place` of the account that took and waits for most, among those of the rank of
    /// `request`. `None` if its own account would then have as much.
    fn last_of_heaviest(
        &self,
        request: &RoomRequest,
        place: LinePlace,
        taken: impl Fn(AccountTag) -> f64,
    ) -> Option<LineTicket> {
        let rank = request.rank;
        let use_of = |account: AccountTag| {
            let waiting = self.accounts.get(&(rank, account)).map_or(0, BTreeSet::len);
            taken(account) + waiting as f64
        };
        let of_rank = self.accounts.range((rank, AccountTag::MIN)..=(rank, AccountTag::MAX));
        let heaviest = of_rank
            .filter(|((_, account), _)| *account != request.account)
            .map(|((_, account), waiting)| (use_of(*account), waiting))
            .max_by(|one, other| one.0.total_cmp(&other.0));
        let (most, waiting) = heaviest?;
        let (_, last) = *waiting.range(..place).next_back()?;
        (most > use_of(request.account) + 1.0).then_some(last)
    }

    /// Takes out the last request if it can no longer begin in time, since each new one makes the line longer by
    /// one place. One in the middle that is moved back beyond its time leaves when it is due.
    fn displace_last(&mut self, (now, interval): (ClockTime, TimeSpan)) -> Option<LineTicket> {
        let (_, waiting) = self.ranks.last_key_value()?;
        let (due, ticket) = *waiting.last()?;
        let starts_at = now + TimeSpan(interval.0 * self.requests.len() as u64);
        (starts_at > due).then(|| {
            self.leave(ticket);
            ticket
        })
    }

    /// Takes out the first request; `None` if none waits.
    pub fn pop(&mut self) -> Option<(LineTicket, RoomRequest)> {
        let (_, ticket) = *self.ranks.first_key_value()?.1.first()?;
        self.leave(ticket).map(|request| (ticket, request))
    }

    /// Takes out all requests. Their tickets are not given out again.
    pub fn clear(&mut self) {
        *self = WaitLine { next: self.next, ..WaitLine::default() };
    }

    /// Takes out a request that no longer waits; `None` if it had left.
    pub fn leave(&mut self, ticket: LineTicket) -> Option<RoomRequest> {
        let request = self.requests.remove(&ticket)?;
        let place = (request.due, ticket);
        remove_place(&mut self.ranks, &request.rank, place);
        remove_place(&mut self.accounts, &(request.rank, request.account), place);
        Some(request)
    }

    /// The number of requests that wait.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}

fn remove_place<K: Ord>(places: &mut BTreeMap<K, BTreeSet<LinePlace>>, key: &K, place: LinePlace) {
    if let Some(waiting) = places.get_mut(key) {
        waiting.remove(&place);
        if waiting.is_empty() {
            places.remove(key);
        }
    }
}
