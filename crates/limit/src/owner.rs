//! The owner of an account's limits: shares follow demand.

use oleander_kind::{AccountName, ClockTime, InstanceId, TimeSpan};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What an entry tells the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Requests asked for since the last report.
    pub asked: u32,
    /// Requests in flight.
    pub in_flight: u32,
}

/// What the owner gives an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The share of every limit of the account, in thousandths.
    pub share_per_mille: u32,
    /// How long it may be used.
    pub lasts: TimeSpan,
}

/// How long a grant may be used.
pub const GRANT_LASTS: TimeSpan = TimeSpan(3000);
/// The part of a limit that is kept for entries without demand, in thousandths.
const FLOOR_PER_MILLE: u64 = 100;
/// All of a limit, in thousandths.
const WHOLE_PER_MILLE: u64 = 1000;

/// Grants shares of the accounts this entry owns.
///
/// The shares granted at any moment add up to at most the whole and the floors, 110 %. Two owners at once (views differ
/// for a moment) can each grant the whole, so an account may reach twice its limit for at most
/// [`GRANT_LASTS`]; that is the stated bound on overshoot.
#[derive(Debug, Default)]
pub struct LimitOwner {
    accounts: BTreeMap<AccountName, OwnedAccount>,
}

#[derive(Debug)]
struct OwnedAccount {
    known_since: ClockTime,
    demands: BTreeMap<InstanceId, OwnedDemand>,
}

#[derive(Clone, Copy, Debug)]
struct OwnedDemand {
    weight: u64,
    granted: u64,
    at: ClockTime,
}

impl LimitOwner {
    /// Takes a report of `entry` and grants it a share. `entries` is how many entries there are.
    pub fn report(
        &mut self,
        account: &AccountName,
        entry: &InstanceId,
        report: DemandReport,
        (entries, now): (u32, ClockTime),
    ) -> ShareGrant {
        let fresh = || OwnedAccount { known_since: now, demands: BTreeMap::new() };
        let owned = self.accounts.entry(account.clone()).or_insert_with(fresh);
        owned.demands.retain(|_, demand| now - demand.at < GRANT_LASTS);
        if owned.demands.is_empty() {
            owned.known_since = now;
        }
        let weight = u64::from(report.asked) + u64::from(report.in_flight);
        let granted = owned.share_of(entry, weight, (u64::from(entries.max(1)), now));
        owned.demands.insert(entry.clone(), OwnedDemand { weight, granted, at: now });
        ShareGrant { share_per_mille: granted as u32, lasts: GRANT_LASTS }
    }

    /// Accounts with live grants.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no account has grants.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}

impl OwnedAccount {
    /// The share of `entry`, in thousandths.
    ///
    /// Until every entry had time to report, each gets an equal part: the first one to report would
    /// otherwise be given what the others need, and they would refuse callers for a period. An
    /// entry that is silent keeps its floor in reserve for the same reason.
    fn share_of(&self, entry: &InstanceId, weight: u64, (entries, now): (u64, ClockTime)) -> u64 {
        let equal = WHOLE_PER_MILLE / entries;
        let floor = FLOOR_PER_MILLE / entries;
        let others = || self.demands.iter().filter(|(name, _)| *name != entry);
        let silent = entries.saturating_sub(others().count() as u64 + 1);
        let granted: u64 = others().map(|(_, demand)| demand.granted).sum();
        let demand: u64 = others().map(|(_, demand)| demand.weight).sum();
        let fair = floor + (WHOLE_PER_MILLE - FLOOR_PER_MILLE) * weight / (weight + demand).max(1);
        let wanted = if now - self.known_since < GRANT_LASTS { equal } else { fair };
        // Never more than what others have not been given: their grants stand until they expire.
        let free = WHOLE_PER_MILLE.saturating_sub(granted + silent * floor);
        // But never below the floor: after an entry left, what it and a busy one hold may leave
        // nothing until they report or expire, and this one would refuse its callers.
        wanted.min(free).max(floor).max(1)
    }
}
