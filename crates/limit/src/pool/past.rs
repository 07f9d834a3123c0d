//! What a ledger knows of the time before it.

use super::allot::{ALLOT_TIME, PoolLimit, ToldWindow};
use super::promise::first_promise;
use super::window::SpendWindow;
use oleander_kind::{AccountName, ClockTime, TimeSpan};
use serde::{Deserialize, Serialize};

/// An account's window as a ledger before told it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownWindow {
    /// What it told.
    #[serde(rename = "t")]
    pub told: ToldWindow,
    /// How long ago, in milliseconds.
    #[serde(rename = "g")]
    pub age: TimeSpan,
    /// Which ledger it was.
    #[serde(rename = "f")]
    pub source: u64,
}

/// What is known of the time before a ledger.
#[derive(Clone, Debug)]
pub enum LedgerPast {
    /// Nothing was handed out: the system begins.
    Nothing,
    /// The ledger before told this, and may have handed out more until it ended. What was told longer ago than
    /// promises last, or not at all, is taken for full.
    Told {
        /// The windows told.
        windows: Vec<(AccountName, KnownWindow)>,
        /// How long promises last.
        lasts: TimeSpan,
    },
    /// The ledger before ended in order and said this.
    Handed(Vec<(AccountName, KnownWindow)>),
}

impl LedgerPast {
    /// What the ledger before said of the accounts.
    pub fn windows(&self) -> &[(AccountName, KnownWindow)] {
        match self {
            LedgerPast::Nothing => &[],
            LedgerPast::Told { windows, .. } | LedgerPast::Handed(windows) => windows,
        }
    }

    /// Whether the ledger before ended in order.
    pub fn is_handed(&self) -> bool {
        matches!(self, LedgerPast::Handed(_))
    }

    /// Whether what `source` handed out is in the windows.
    pub fn knows(&self, source: u64) -> bool {
        self.windows().iter().any(|(_, known)| known.source == source)
    }

    /// An account's window, and the ledger whose allotments are counted in it.
    ///
    /// What was handed out and not counted counts as spent when the last allotment of the ledger before ends, which is
    /// the latest moment at which it can be.
    pub fn window_of(
        &self,
        account: &AccountName,
        limit: &PoolLimit,
        began_at: ClockTime,
    ) -> (SpendWindow, Option<u64>) {
        let mut window = SpendWindow::default();
        let ended_at = began_at + ALLOT_TIME;
        let known = self.known(account);
        if let Some(known) = known {
            let seconds = known.told.seconds.iter().enumerate();
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

    /// What may have been spent besides what was told; `room` is all that can have been.
    fn open(&self, known: Option<&KnownWindow>, (limit, room): (&PoolLimit, f64)) -> f64 {
        match (self, known) {
            (LedgerPast::Nothing, _) | (LedgerPast::Handed(_), None) => 0.0,
            (LedgerPast::Handed(_), Some(known)) => known.told.open as f64,
            (LedgerPast::Told { lasts, .. }, Some(known)) if known.age <= *lasts => {
                (known.told.open as f64).min(room)
            }
            (LedgerPast::Told { windows, lasts }, None)
                if windows.iter().any(|(_, known)| known.age <= *lasts) =>
            {
                first_promise(limit)
            }
            (LedgerPast::Told { .. }, _) => room,
        }
    }
}
