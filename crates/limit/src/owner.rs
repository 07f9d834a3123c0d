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

/// Grants shares of the accounts this entry owns.
///
/// The shares granted at any moment add up to at most the whole. Two owners at once (views differ
/// for a moment) can each grant the whole, so an account may reach twice its limit for at most
/// [`GRANT_LASTS`]; that is the stated bound on overshoot.
#[derive(Debug, Default)]
pub struct LimitOwner {
    accounts: BTreeMap<AccountName, BTreeMap<InstanceId, OwnedDemand>>,
}

#[derive(Clone, Copy, Debug)]
struct OwnedDemand {
    weight: u64,
    granted: u32,
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
        let demands = self.accounts.entry(account.clone()).or_default();
        demands.retain(|_, demand| now - demand.at < GRANT_LASTS);
        let weight = u64::from(report.asked) + u64::from(report.in_flight);
        let others: u64 = demands
            .iter()
            .filter(|(name, _)| *name != entry)
            .map(|(_, demand)| demand.weight)
            .sum();
        let others_granted: u64 = demands
            .iter()
            .filter(|(name, _)| *name != entry)
            .map(|(_, demand)| u64::from(demand.granted))
            .sum();
        let total = (weight + others).max(1);
        let floor = FLOOR_PER_MILLE / u64::from(entries.max(1));
        let fair = floor + (1000 - FLOOR_PER_MILLE) * weight / total;
        // Never more than what others have not been given: their grants stand until they expire.
        let granted = fair.min(1000u64.saturating_sub(others_granted)).max(1) as u32;
        demands.insert(
            entry.clone(),
            OwnedDemand {
                weight,
                granted,
                at: now,
            },
        );
        ShareGrant {
            share_per_mille: granted,
            lasts: GRANT_LASTS,
        }
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
