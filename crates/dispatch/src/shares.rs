//! What client accounts took of a service's room.

use oleander_kind::{AccountName, ClockTime, TimeSpan};
use std::collections::HashMap;

/// How long a place counts for half of what it did when it was taken. Accounts that get nearly equal shares
/// differ by chance; over a shorter time, one that sends little would be taken for the one that presses.
const HALF_LIFE: TimeSpan = TimeSpan(8000);
/// The accounts that are kept; beyond it, those that took least are forgotten.
const MAX_ACCOUNTS: usize = 4096;
/// Places taken below which an account is forgotten then.
const FORGOTTEN_BELOW: f64 = 0.5;

/// Identifies a client account; callers without one share a tag.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountTag(u64);

impl AccountTag {
    pub(crate) const MIN: AccountTag = AccountTag(0);
    pub(crate) const MAX: AccountTag = AccountTag(u64::MAX);

    /// The tag of an account.
    pub fn of(account: Option<&AccountName>) -> Self {
        AccountTag(account.map_or(0, AccountName::stable_hash))
    }
}

/// The places that each account took lately.
#[derive(Clone, Debug, Default)]
pub struct AccountShares(HashMap<AccountTag, (f64, ClockTime)>);

impl AccountShares {
    /// Records that an account took a place.
    pub fn note_taken(&mut self, account: AccountTag, now: ClockTime) {
        let taken = self.taken(account, now) + 1.0;
        self.0.insert(account, (taken, now));
        if self.0.len() > MAX_ACCOUNTS {
            self.0.retain(|_, (taken, at)| {
                *taken * (now - *at).decay_factor(HALF_LIFE) >= FORGOTTEN_BELOW
            });
        }
    }

    /// The places that an account took; older ones count less.
    pub fn taken(&self, account: AccountTag, now: ClockTime) -> f64 {
        self.0.get(&account).map_or(0.0, |(taken, at)| taken * (now - *at).decay_factor(HALF_LIFE))
    }
}
