//! What a new ledger knows about spending before it began.

use super::message::{ALLOTMENT_LIFETIME, PoolLimit, ReportedWindow};
use super::promise::min_promise;
use super::window::SpendWindow;
use oleander_kind::{AccountName, ClockTime, TimeSpan};
use serde::{Deserialize, Serialize};

/// An account's window as a previous ledger reported it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownWindow {
    /// The reported window.
    #[serde(rename = "t")]
    pub reported: ReportedWindow,
    /// The age of the report, in milliseconds.
    #[serde(rename = "g")]
    pub age: TimeSpan,
    /// The ledger that reported it.
    #[serde(rename = "f")]
    pub source: u64,
    /// Set if the ledger that reports it granted nothing of the account, and passes on what an earlier one
    /// reported.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub passed: Option<PassedOn>,
}

/// The ages of a window that a ledger passes on, when it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassedOn {
    /// The age of the counts, in milliseconds.
    #[serde(rename = "c")]
    counted_ago: TimeSpan,
    /// How long ago the last ledger ended that granted anything of the account, in milliseconds.
    #[serde(rename = "g")]
    ended_ago: TimeSpan,
    /// Whether that ledger ended in order; otherwise it may still count processes as its members.
    #[serde(rename = "e", default)]
    in_order: bool,
}

impl KnownWindow {
    /// Whether nothing of it counts any more. The seconds of a report are longer than a window.
    fn is_over(&self) -> bool {
        let length = TimeSpan::secs(self.reported.seconds.len() as u64);
        let is_over = |passed: PassedOn| {
            passed.counted_ago >= length && passed.ended_ago >= length + ALLOTMENT_LIFETIME
        };
        self.passed.is_some_and(is_over)
    }
}

/// What accounts may have spent of which a ledger has no window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreportedSpending {
    /// The number of smallest promises, or [`WHOLE_WINDOW`].
    #[serde(rename = "p")]
    promises: u32,
    /// How long ago the last ledger ended that may have granted it, in milliseconds.
    #[serde(rename = "g")]
    ended_ago: TimeSpan,
}

/// Stands for as many promises as a window has room for.
const WHOLE_WINDOW: u32 = u32::MAX;
/// Stands for as many tokens as a window that is passed on has room for.
const WHOLE_ROOM: u64 = u64::MAX;

impl UnreportedSpending {
    /// The same `span` later.
    pub fn aged(self, span: TimeSpan) -> Self {
        UnreportedSpending { ended_ago: self.ended_ago + span, ..self }
    }

    fn tokens(self, (limit, room): (&PoolLimit, f64)) -> f64 {
        match self.promises {
            WHOLE_WINDOW => room,
            promises => min_promise(limit) * f64::from(promises),
        }
    }
}

/// What a ledger leaves for the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerState {
    /// The windows of accounts.
    pub windows: Vec<(AccountName, KnownWindow)>,
    /// What accounts without a window may have spent before that ledger.
    pub others: Option<UnreportedSpending>,
}

/// What is known about the time before a ledger began.
#[derive(Clone, Debug)]
pub enum PriorLedger {
    /// Nothing was granted before: the system starts.
    Absent,
    /// The previous ledger sent these reports, and may have granted more until it ended. An account
    /// whose report is older than `lasts` is assumed to be at its limit. An account without a
    /// report is assumed to have spent the smallest promise, or to be at its limit if all reports
    /// are older than `lasts`.
    Reported {
        /// The reported windows.
        state: LedgerState,
        /// How long after a report its ledger stays within the promise that the report contains.
        lasts: TimeSpan,
    },
    /// The previous ledger ended in order and left this final state.
    HandedOver(LedgerState),
}

impl PriorLedger {
    fn state(&self) -> Option<&LedgerState> {
        match self {
            PriorLedger::Absent => None,
            PriorLedger::Reported { state, .. } | PriorLedger::HandedOver(state) => Some(state),
        }
    }

    /// The windows that the previous ledger reported.
    pub fn windows(&self) -> &[(AccountName, KnownWindow)] {
        self.state().map_or(&[], |state| &state.windows)
    }

    fn is_handed_over(&self) -> bool {
        matches!(self, PriorLedger::HandedOver(_))
    }

    /// Whether the windows include what the ledger `source` granted, and it ended in order.
    pub fn includes_all_of(&self, source: u64) -> bool {
        let in_order = |known: &KnownWindow| known.passed.is_none_or(|passed| passed.in_order);
        let is_its =
            |(_, known): &(AccountName, KnownWindow)| known.source == source && in_order(known);
        self.is_handed_over() && self.windows().iter().any(is_its)
    }

    /// Whether the windows include what the ledger `source` granted.
    pub fn includes(&self, source: u64) -> bool {
        self.windows().iter().any(|(_, known)| known.source == source)
    }

    /// An account's window, and the ledger whose allotments are counted in it.
    ///
    /// What was granted and not yet counted counts as spent when the last allotment of the previous
    /// ledger expires, which is the latest moment at which it can be spent.
    pub fn window_of(
        &self,
        account: &AccountName,
        limit: &PoolLimit,
        began_at: ClockTime,
    ) -> (SpendWindow, Option<u64>) {
        let mut window = SpendWindow::default();
        let known = self.known(account);
        if let Some(known) = known {
            let age = known.age + known.passed.map_or(TimeSpan(0), |passed| passed.counted_ago);
            for (back, tokens) in known.reported.seconds.iter().enumerate() {
                let at = began_at - age - TimeSpan::secs(back as u64);
                window.spend(f64::from(*tokens), at);
            }
        }
        window.forget(began_at - limit.length());
        let room = |window: &SpendWindow| (limit.capacity() - window.sum()).max(0.0);
        let (earlier, ended_ago) = self.granted_earlier(known, (limit, room(&window)));
        window.spend(earlier, began_at + ALLOTMENT_LIFETIME - ended_ago);
        window.forget(began_at - limit.length());
        let open = self.open(known, (limit, room(&window)));
        window.spend(open, began_at + ALLOTMENT_LIFETIME);
        (window, known.map(|known| known.source))
    }

    /// What the ledger that began from this `ago` knows of accounts of which it granted nothing;
    /// `is_own` tells the others.
    pub fn passed_on(&self, ago: TimeSpan, is_own: impl Fn(&AccountName) -> bool) -> LedgerState {
        let windows = self.windows().iter().filter(|(account, _)| !is_own(account));
        let passed = windows.map(|(account, known)| (account.clone(), self.pass_on(known, ago)));
        LedgerState {
            windows: passed.filter(|(_, known)| !known.is_over()).collect(),
            others: self.others_after(ago),
        }
    }

    fn pass_on(&self, known: &KnownWindow, ago: TimeSpan) -> KnownWindow {
        let before = known.passed.filter(|_| self.is_handed_over());
        let counted_ago = known.passed.map_or(TimeSpan(0), |passed| passed.counted_ago);
        let passed = PassedOn {
            counted_ago: known.age + counted_ago + ago,
            ended_ago: before.map_or(TimeSpan(0), |passed| passed.ended_ago) + ago,
            in_order: self.is_handed_over() && before.is_none_or(|passed| passed.in_order),
        };
        // The ledger that passed it on may have granted the smallest promise since, which is not known
        // without the account's limit.
        let is_open = |lasts: TimeSpan| known.age > lasts || known.passed.is_some();
        let open = match self {
            PriorLedger::Reported { lasts, .. } if is_open(*lasts) => WHOLE_ROOM,
            _ => known.reported.open,
        };
        let reported = ReportedWindow { open, ..known.reported.clone() };
        KnownWindow { reported, age: TimeSpan(0), source: known.source, passed: Some(passed) }
    }

    /// What accounts without a window may have spent, `ago` after this ended.
    fn others_after(&self, ago: TimeSpan) -> Option<UnreportedSpending> {
        match self {
            PriorLedger::Absent => None,
            PriorLedger::HandedOver(state) => state.others.map(|others| others.aged(ago)),
            PriorLedger::Reported { state, lasts } => {
                let before = state.others.map_or(0, |others| others.promises);
                let promises = if is_any_fresh(state, *lasts) {
                    before.saturating_add(1)
                } else {
                    WHOLE_WINDOW
                };
                Some(UnreportedSpending { promises, ended_ago: ago })
            }
        }
    }

    fn known(&self, account: &AccountName) -> Option<&KnownWindow> {
        self.windows().iter().find(|(name, _)| name == account).map(|(_, known)| known)
    }

    /// What ledgers before the previous one granted and nobody counted, and how long before this one
    /// the last of them ended.
    fn granted_earlier(
        &self,
        known: Option<&KnownWindow>,
        (limit, room): (&PoolLimit, f64),
    ) -> (f64, TimeSpan) {
        let passed = |known: &KnownWindow| {
            let passed = known.passed?;
            let open = match known.reported.open {
                WHOLE_ROOM => room,
                open => open as f64,
            };
            Some((open, known.age + passed.ended_ago))
        };
        let others = || {
            let others = self.state()?.others?;
            Some((others.tokens((limit, room)), others.ended_ago))
        };
        known.map_or_else(others, passed).unwrap_or_default()
    }

    /// What the previous ledger may have granted and did not count.
    fn open(&self, known: Option<&KnownWindow>, (limit, room): (&PoolLimit, f64)) -> f64 {
        match (self, known) {
            (PriorLedger::Absent, _) | (PriorLedger::HandedOver(_), None) => 0.0,
            (PriorLedger::HandedOver(_), Some(known)) if known.passed.is_some() => 0.0,
            (PriorLedger::HandedOver(_), Some(known)) => known.reported.open as f64,
            (PriorLedger::Reported { lasts, .. }, Some(known)) if known.age <= *lasts => {
                let open = known.reported.open as f64;
                known.passed.map_or(open, |_| min_promise(limit)).min(room)
            }
            (PriorLedger::Reported { state, lasts }, None) if is_any_fresh(state, *lasts) => {
                min_promise(limit)
            }
            (PriorLedger::Reported { .. }, _) => room,
        }
    }
}

fn is_any_fresh(state: &LedgerState, lasts: TimeSpan) -> bool {
    state.windows.iter().any(|(_, known)| known.age <= lasts)
}
