//! The owner of an account's limit, which grants shares in proportion to demand.

use oleander_kind::{AccountName, ClockTime, InstanceId, TimeSpan};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An entry's demand for one account, sent to the account's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Requests received since the last report.
    pub asked: u32,
    /// Requests in flight.
    pub in_flight: u32,
}

/// A share of an account's limits that the owner grants to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The share of each of the account's limits, in thousandths.
    pub share_per_mille: u32,
    /// How long the grant is valid.
    pub lasts: TimeSpan,
}

/// How long a grant is valid.
pub const GRANT_LIFETIME: TimeSpan = TimeSpan(3000);
/// The part of a limit that is reserved for entries without demand, in thousandths.
const FLOOR_PER_MILLE: u64 = 100;
/// A whole limit, in thousandths.
const WHOLE_PER_MILLE: u64 = 1000;

/// Grants shares of the accounts that this entry owns.
///
/// The shares granted at any moment add up to at most the whole limit plus the floors, 110 %. While
/// views of the membership differ, two owners can each grant the whole limit, so an account may
/// reach twice its limit for at most [`GRANT_LIFETIME`]; that is the stated bound on overshoot.
#[derive(Debug, Default)]
pub struct LimitOwner {
    accounts: BTreeMap<AccountName, OwnedAccount>,
}

#[derive(Debug)]
struct OwnedAccount {
    /// Since when entries have reported demand without a gap of [`GRANT_LIFETIME`].
    known_since: ClockTime,
    demands: BTreeMap<InstanceId, OwnedDemand>,
}

#[derive(Clone, Copy, Debug)]
struct OwnedDemand {
    /// Requests received since the entry's last report, and requests in flight.
    weight: u64,
    /// The share granted to the entry, in thousandths.
    granted: u64,
    at: ClockTime,
}

impl LimitOwner {
    /// Records a report of `entry` and grants it a share. `entries` is the number of entries.
    pub fn report(
        &mut self,
        account: &AccountName,
        entry: &InstanceId,
        report: DemandReport,
        (entries, now): (u32, ClockTime),
    ) -> ShareGrant {
        let fresh = || OwnedAccount { known_since: now, demands: BTreeMap::new() };
        let owned = self.accounts.entry(account.clone()).or_insert_with(fresh);
        owned.demands.retain(|_, demand| now - demand.at < GRANT_LIFETIME);
        if owned.demands.is_empty() {
            owned.known_since = now;
        }
        let weight = u64::from(report.asked) + u64::from(report.in_flight);
        let granted = owned.share_of(entry, weight, (u64::from(entries.max(1)), now));
        owned.demands.insert(entry.clone(), OwnedDemand { weight, granted, at: now });
        ShareGrant { share_per_mille: granted as u32, lasts: GRANT_LIFETIME }
    }

    /// The number of accounts for which entries have reported demand.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no entry has reported demand.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}

impl OwnedAccount {
    /// The share of `entry`, in thousandths.
    ///
    /// Until every entry had time to report, each gets an equal share: the first one to report
    /// would otherwise be given what the others need, and they would refuse callers for a whole
    /// report period. The floor of a silent entry stays reserved for the same reason.
    fn share_of(&self, entry: &InstanceId, weight: u64, (entries, now): (u64, ClockTime)) -> u64 {
        let equal = WHOLE_PER_MILLE / entries;
        let floor = FLOOR_PER_MILLE / entries;
        let others = || self.demands.iter().filter(|(name, _)| *name != entry);
        let silent = entries.saturating_sub(others().count() as u64 + 1);
        let granted: u64 = others().map(|(_, demand)| demand.granted).sum();
        let demand: u64 = others().map(|(_, demand)| demand.weight).sum();
        let fair = floor + (WHOLE_PER_MILLE - FLOOR_PER_MILLE) * weight / (weight + demand).max(1);
        let wanted = if now - self.known_since < GRANT_LIFETIME { equal } else { fair };
        // Grant at most what other entries have not been granted: their grants are valid until they
        // expire.
        let free = WHOLE_PER_MILLE.saturating_sub(granted + silent * floor);
        // Never grant less than the floor: after an entry left, its grant and that of a busy entry
        // may use up the limit until they report or expire, and this entry would refuse its
        // callers.
        wanted.min(free).max(floor).max(1)
    }
}
