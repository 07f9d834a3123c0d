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
        windows: Vec<(AccountName, KnownWindow)>,
        /// How long after a report its ledger stays within the promise that the report contains.
        lasts: TimeSpan,
    },
    /// The previous ledger ended in order and left this final state.
    HandedOver(Vec<(AccountName, KnownWindow)>),
}

impl PriorLedger {
    /// The windows that the previous ledger reported.
    pub fn windows(&self) -> &[(AccountName, KnownWindow)] {
        match self {
            PriorLedger::Absent => &[],
            PriorLedger::Reported { windows, .. } | PriorLedger::HandedOver(windows) => windows,
        }
    }

    /// Whether the previous ledger ended in order.
    pub fn is_handed_over(&self) -> bool {
        matches!(self, PriorLedger::HandedOver(_))
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
        let ended_at = began_at + ALLOTMENT_LIFETIME;
        let known = self.known(account);
        if let Some(known) = known {
            let seconds = known.reported.seconds.iter().enumerate();
            for (back, tokens) in seconds {
                let at = began_at - known.age - TimeSpan::secs(back as u64);
                window.spend(f64::from(*tokens), at);
            }
            window.forget(began_at - limit.length());
        }
        let room = (limit.capacity() - window.sum()).max(0.0);
        let open = self.open(known, (limit, room));
        window.spend(open, ended_at);
        (window, known.map(|known| known.source))
    }

    fn known(&self, account: &AccountName) -> Option<&KnownWindow> {
        self.windows().iter().find(|(name, _)| name == account).map(|(_, known)| known)
    }

    /// What may have been spent in addition to what was reported; at most `room`.
    fn open(&self, known: Option<&KnownWindow>, (limit, room): (&PoolLimit, f64)) -> f64 {
        match (self, known) {
            (PriorLedger::Absent, _) | (PriorLedger::HandedOver(_), None) => 0.0,
            (PriorLedger::HandedOver(_), Some(known)) => known.reported.open as f64,
            (PriorLedger::Reported { lasts, .. }, Some(known)) if known.age <= *lasts => {
                (known.reported.open as f64).min(room)
            }
            (PriorLedger::Reported { windows, lasts }, None)
                if windows.iter().any(|(_, known)| known.age <= *lasts) =>
            {
                min_promise(limit)
            }
            (PriorLedger::Reported { .. }, _) => room,
        }
    }
}
