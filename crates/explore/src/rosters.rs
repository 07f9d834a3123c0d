//! Endpoint lists: a store, two processes that follow it, of which one collects, and one that goes
//! by the collector. Ways to the store fall silent, the collector stands still, the store is away and
//! may come back from an older copy; an endpoint leaves, or its entry lapses while the store is away
//! and comes back.

use crate::search::SearchModel;
use bytes::Bytes;
use oleander_kind::{ClockTime, StoreEra, TimeSpan};
use oleander_list::{
    DecodedEntry, ExpiryTimes, FreshnessStamp, RosterContext, RosterReplica, RosterUpdate,
    RosterVersion, StalenessLimits,
};
use oleander_plat::{FeedEvent, FeedObject, FeedPage};

/// A mistake put in on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RosterBug {
    /// None.
    None,
    /// A process counts as informed until a call of its own has failed.
    SilenceIsNews,
    /// Whatever is missing after any return of the store may have lapsed.
    AnyReturnIsOutage,
    /// Nothing ever lapses.
    NothingLapses,
    /// Revisions are the store's bare numbers, whatever its era.
    BareNumbers,
}

/// The model's bounds.
#[derive(Clone, Copy, Debug)]
pub struct RosterModel {
    /// Faults in one history.
    pub faults: u32,
    /// Rounds in one history.
    pub rounds: u64,
    /// The mistake.
    pub bug: RosterBug,
    /// Whether the store may come back from an older copy.
    pub returns: bool,
}

/// A round, in milliseconds: the processes exchange reports in each.
const ROUND: u64 = 250;
/// Rounds within which a leaving endpoint must get its last request.
const BOUND: u64 = 8;
/// Rounds for which a call may go without an answer.
const CALL_LIMIT: u64 = 4;
/// Rounds for which a watch of the collector and of the other follower waits.
const WAITS: [u64; 2] = [2, 10];
/// Rounds without the store after which the entry of an endpoint that lives can lapse.
const LAPSE: u64 = 9;
/// Rounds after the store's return within which it is back.
const RELIST: u64 = 8;
/// Rounds after the store's return for which no bound holds.
const UNSTABLE: u64 = 12;
/// The store's number at the start, and in the copy to which it may come back.
const START_NUMBER: u64 = 4;
const COPY_NUMBER: u64 = 1;
/// The only endpoint.
const NAME: &str = "i-0";

const COLLECTOR: usize = 0;
const PROCESSES: usize = 3;

#[derive(Clone, Debug, Default)]
struct RosterProcess {
    book: RosterReplica,
    /// The revision that it watches from, and since which round.
    watch: Option<(u64, u64)>,
    /// A call without an answer goes on until this round.
    hangs_until: u64,
    /// The store does not answer it.
    deaf: bool,
    stands_still: bool,
    /// A fault has struck it.
    struck: bool,
    /// It is to send its list.
    wanted: bool,
}

/// Everything that can differ.
#[derive(Clone, Debug)]
pub struct RosterSites {
    now: u64,
    era: StoreEra,
    /// The last revision, in the current era.
    revision: u64,
    /// The entry's revision, if there is one.
    entry: Option<u64>,
    history: Vec<(u64, bool)>,
    left_at: Option<u64>,
    lapsed: bool,
    away_since: Option<u64>,
    back_at: Option<u64>,
    processes: Vec<RosterProcess>,
    faults: u32,
}

/// Something that happens.
#[derive(Clone, Copy, Debug)]
pub enum RosterStep {
    /// A round passes.
    Pass,
    /// The endpoint leaves; its entry is removed.
    Leave,
    /// The entry of the endpoint, which lives, lapses.
    Lapse,
    /// It is back.
    Relist,
    /// The store does not answer a process any more.
    Deafen(usize),
    /// It does again.
    Heal(usize),
    /// The collector stands still.
    Freeze,
    /// It goes on.
    Thaw,
    /// The store is away.
    Away,
    /// It is back.
    Back,
    /// It is back, from the copy.
    BackFromCopy,
}

impl RosterModel {
    fn clock(round: u64) -> ClockTime {
        ClockTime(100_000 + round * ROUND)
    }

    fn times(&self) -> ExpiryTimes {
        let min_expiry = match self.bug {
            RosterBug::AnyReturnIsOutage => TimeSpan(0),
            RosterBug::NothingLapses => TimeSpan(u64::MAX),
            RosterBug::None | RosterBug::SilenceIsNews | RosterBug::BareNumbers => TimeSpan(1800),
        };
        ExpiryTimes { min_expiry, relist_delay: TimeSpan(2200) }
    }

    fn news(&self, round: u64) -> RosterContext<'static, ()> {
        let decode = &|_: &FeedObject| Ok(DecodedEntry { life: 1, entry: () });
        RosterContext { times: self.times(), now: Self::clock(round), decode }
    }

    /// Whether the list of a process is older than `limit`.
    fn is_old(&self, book: &RosterReplica, round: u64, limit: TimeSpan) -> bool {
        let age = book.freshness().map(|freshness| freshness.age(Self::clock(round)));
        self.bug != RosterBug::SilenceIsNews && age.is_none_or(|age| age >= limit)
    }

    fn round(&self, state: &mut RosterSites) {
        state.now += 1;
        for at in 0..PROCESSES {
            if !state.processes[at].stands_still {
                self.ask_store(state, at);
            }
        }
        if state.processes[COLLECTOR].stands_still {
            return;
        }
        for at in (0..PROCESSES).filter(|at| *at != COLLECTOR) {
            self.report(state, at);
        }
    }

    fn ask_store(&self, state: &mut RosterSites, at: usize) {
        let now = state.now;
        let limits = StalenessLimits::within(TimeSpan(BOUND * ROUND));
        let process = &state.processes[at];
        if now < process.hangs_until {
            return;
        }
        let answered = !process.deaf && state.away_since.is_none();
        let freshness =
            FreshnessStamp { mark: state.revision, at: Self::clock(now), by: "p".into() };
        let page = state.page();
        let follows = at < WAITS.len();
        let limit = if follows { limits.watcher } else { limits.follower };
        let old = self.is_old(&process.book, now, limit);
        let events = process.watch.map(|(from, _)| state.events(from)).unwrap_or_default();
        let process = &mut state.processes[at];
        if answered && self.bug != RosterBug::BareNumbers {
            process.watch =
                process.watch.filter(|(from, _)| StoreEra::of(*from) == StoreEra::of(page.as_of));
        }
        match process.watch {
            Some((_, since)) if answered && (!events.is_empty() || now >= since + WAITS[at]) => {
                process.book.apply_store_changes(&events, freshness, &self.news(now));
                process.watch = Some((page.as_of, now));
            }
            Some((_, since)) if old || now >= since + WAITS[at] + CALL_LIMIT => {
                process.watch = None;
                self.list(process, &page, answered.then_some(freshness), now);
            }
            None if follows || old => {
                self.list(process, &page, answered.then_some(freshness), now);
                process.watch = process.watch.filter(|_| follows);
            }
            _ => {}
        }
    }

    fn list(
        &self,
        process: &mut RosterProcess,
        page: &FeedPage,
        freshness: Option<FreshnessStamp>,
        now: u64,
    ) {
        match freshness {
            Some(freshness) => {
                process.book.apply_store_list(page, freshness, &self.news(now));
                process.watch = Some((page.as_of, now));
            }
            None => process.hangs_until = now + CALL_LIMIT,
        }
    }

    /// A process reports to the collector, and takes its answer.
    fn report(&self, state: &mut RosterSites, at: usize) {
        let (now, news) = (state.now, self.news(state.now));
        if state.processes[at].stands_still {
            return;
        }
        let book = &state.processes[at].book;
        let (status, taken) = (book.status(Self::clock(now)), book.followed());
        let told = (&status, TimeSpan(0));
        let whole = state.processes[at].wanted.then(|| RosterUpdate::Whole(book.objects()));
        let collector = &mut state.processes[COLLECTOR].book;
        match whole {
            Some(whole) => drop(collector.apply_update(&whole, told, None, &news)),
            None => drop(collector.merge_freshness(&status, TimeSpan(0), &news)),
        }
        let wanted = collector.lacks(&status, Self::clock(now));
        let update = collector.update_for(&status, taken, 1);
        let answer = collector.status(Self::clock(now));
        let number = Some(RosterVersion { source: 1, number: collector.change_count() });
        let process = &mut state.processes[at];
        process.wanted = wanted;
        process.book.apply_update(&update, (&answer, TimeSpan(0)), number, &news);
    }
}

impl RosterSites {
    fn object(revision: u64) -> FeedObject {
        FeedObject { name: NAME.into(), revision, body: Bytes::new() }
    }

    fn page(&self) -> FeedPage {
        let objects = self.entry.map(Self::object).into_iter().collect();
        FeedPage { objects, as_of: self.revision }
    }

    fn events(&self, from: u64) -> Vec<FeedEvent> {
        let later = self.history.iter().filter(|(revision, _)| *revision > from);
        let event = |(revision, there): &(u64, bool)| match there {
            true => FeedEvent::Put(Self::object(*revision)),
            false => FeedEvent::Gone { name: NAME.into(), revision: *revision },
        };
        later.map(event).collect()
    }

    fn change(&mut self, there: bool) {
        self.revision += 1;
        self.entry = there.then_some(self.revision);
        self.history.push((self.revision, there));
    }

    /// How long the store was away until now, if it is.
    fn away_for(&self) -> u64 {
        self.away_since.map_or(0, |since| self.now - since)
    }

    fn uses(&self, at: usize) -> bool {
        !self.processes[at].book.objects().is_empty()
    }
}

impl SearchModel for RosterModel {
    type State = RosterSites;
    type Step = RosterStep;

    fn start(&self) -> RosterSites {
        let mut state = RosterSites {
            now: 0,
            era: StoreEra(0),
            revision: START_NUMBER,
            entry: Some(START_NUMBER),
            history: Vec::new(),
            left_at: None,
            lapsed: false,
            away_since: None,
            back_at: None,
            processes: vec![RosterProcess::default(); PROCESSES],
            faults: 0,
        };
        // Long enough for what a process that begins cannot know.
        (0..LAPSE + UNSTABLE).for_each(|_| self.round(&mut state));
        state
    }

    fn steps(&self, state: &RosterSites) -> Vec<RosterStep> {
        let mut steps = Vec::new();
        let calm = state.away_since.is_none();
        let overdue = state.back_at.is_some_and(|at| state.now - at >= RELIST);
        if state.now < LAPSE + UNSTABLE + self.rounds && !(state.lapsed && calm && overdue) {
            steps.push(RosterStep::Pass);
        }
        if calm && state.entry.is_some() && state.left_at.is_none() {
            steps.push(RosterStep::Leave);
        }
        if state.lapsed && calm {
            steps.push(RosterStep::Relist);
        }
        if state.away_for() >= LAPSE && state.entry.is_some() {
            steps.push(RosterStep::Lapse);
        }
        steps.push(if calm { RosterStep::Away } else { RosterStep::Back });
        let may_return = self.returns && state.era == StoreEra(0) && state.left_at.is_none();
        if may_return && !calm {
            steps.push(RosterStep::BackFromCopy);
        }
        for at in [COLLECTOR, 1] {
            let deaf = state.processes[at].deaf;
            steps.push(if deaf { RosterStep::Heal(at) } else { RosterStep::Deafen(at) });
        }
        let still = state.processes[COLLECTOR].stands_still;
        steps.push(if still { RosterStep::Thaw } else { RosterStep::Freeze });
        let fault = |step: &RosterStep| {
            matches!(step, RosterStep::Away | RosterStep::Deafen(_) | RosterStep::Freeze)
        };
        steps.retain(|step| state.faults < self.faults || !fault(step));
        steps
    }

    fn apply(&self, state: &RosterSites, step: &RosterStep) -> RosterSites {
        let mut next = state.clone();
        match *step {
            RosterStep::Pass => self.round(&mut next),
            RosterStep::Leave => {
                next.change(false);
                next.left_at = Some(next.now);
            }
            RosterStep::Lapse => {
                next.change(false);
                next.lapsed = true;
            }
            RosterStep::Relist => {
                next.change(true);
                next.lapsed = false;
            }
            RosterStep::Deafen(at) => {
                next.faults += 1;
                next.processes[at].deaf = true;
                next.processes[at].struck = true;
            }
            RosterStep::Heal(at) => next.processes[at].deaf = false,
            RosterStep::Freeze => {
                next.faults += 1;
                next.processes[COLLECTOR].stands_still = true;
                next.processes[COLLECTOR].struck = true;
            }
            RosterStep::Thaw => next.processes[COLLECTOR].stands_still = false,
            RosterStep::Away => {
                next.faults += 1;
                next.away_since = Some(next.now);
            }
            RosterStep::Back => {
                next.away_since = None;
                next.back_at = Some(next.now);
            }
            RosterStep::BackFromCopy => {
                next.away_since = None;
                next.back_at = Some(next.now);
                next.era = StoreEra(1);
                let era = if self.bug == RosterBug::BareNumbers { StoreEra(0) } else { next.era };
                next.revision = era.revision(COPY_NUMBER);
                next.entry = Some(next.revision);
                next.history.clear();
                next.lapsed = false;
            }
        }
        next
    }

    fn broken(&self, state: &RosterSites) -> Option<String> {
        let calm = |at: &usize| !state.processes[*at].struck;
        let unstable = state.away_since.is_some()
            || state.back_at.is_some_and(|at| at + UNSTABLE > state.left_at.unwrap_or(at));
        if let Some(left_at) = state.left_at
            && !unstable
            && state.now > left_at + BOUND
            && let Some(at) = (0..PROCESSES).filter(calm).find(|at| state.uses(*at))
        {
            return Some(format!("process {at} sends to an endpoint that has left"));
        }
        let lives = state.left_at.is_none();
        let dropped = (0..PROCESSES).filter(calm).find(|at| lives && !state.uses(*at));
        dropped.map(|at| format!("process {at} dropped an endpoint that lives"))
    }
}
