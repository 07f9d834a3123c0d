//! Limits per client account across several entries.

use oleandertack::kind::{AccountName, ClockTime, InstanceId};
use oleandertack::limit::{AccountLimits, LimitGate, LimitOwner, LimitVerdict};

const LIMITS: AccountLimits =
    AccountLimits { requests_per_s: 300, in_flight: 10_000, tokens_per_s: 1_000_000 };

struct EntryGroup {
    gates: Vec<LimitGate>,
    owner: LimitOwner,
    account: AccountName,
}

fn group(entries: u32) -> EntryGroup {
    let gates = (0..entries).map(|_| LimitGate::new(entries)).collect();
    EntryGroup { gates, owner: LimitOwner::default(), account: AccountName::from("tartu") }
}

impl EntryGroup {
    /// Simulates one second of `asked` requests at each entry, evenly spaced, then one report each.
    /// Returns the number of admitted requests at each entry.
    fn second(&mut self, second: u64, asked: &[u64]) -> Vec<u64> {
        let mut passed = vec![0; self.gates.len()];
        for ms in 0..1000 {
            let now = ClockTime(second * 1000 + ms);
            for (at, gate) in self.gates.iter_mut().enumerate() {
                let due = (ms + 1) * asked[at] / 1000 - ms * asked[at] / 1000;
                for _ in 0..due {
                    if gate.admit(&self.account, &LIMITS, 1, now) == LimitVerdict::Pass {
                        passed[at] += 1;
                        gate.release(&self.account);
                    }
                }
            }
        }
        self.report(ClockTime(second * 1000 + 999));
        passed
    }

    fn report(&mut self, now: ClockTime) {
        let entries = self.gates.len() as u32;
        for (at, gate) in self.gates.iter_mut().enumerate() {
            let name = InstanceId::from(format!("entry-{at}").as_str());
            for (account, report) in gate.take_reports() {
                let grant = self.owner.report(&account, &name, report, (entries, now));
                gate.take_grant(&account, grant, now);
            }
        }
    }
}

#[test]
fn equal_demand_below_the_limit_is_not_refused() {
    // Callers are refused far below their limit. The first entry that reports is granted nearly the
    // whole limit, and the others the rest, until all have reported again.
    let mut group = group(3);

    let passed: u64 = (10..20).map(|s| group.second(s, &[60, 60, 60]).iter().sum::<u64>()).sum();

    assert_eq!(passed, 10 * 180);
}

#[test]
fn shares_follow_demand() {
    let mut group = group(3);
    (10..16).for_each(|second| {
        group.second(second, &[250, 2, 2]);
    });

    let passed = group.second(16, &[250, 2, 2]);

    assert!(passed[0] >= 230, "the busy entry passed only {}", passed[0]);
    assert_eq!(passed[1..], [2, 2]);
}

#[test]
fn an_account_at_five_times_its_limit_is_admitted_at_its_limit() {
    let mut group = group(9);
    let asked = [167; 9];
    (10..16).for_each(|second| {
        group.second(second, &asked);
    });

    let passed: u64 = (16..26).map(|s| group.second(s, &asked).iter().sum::<u64>()).sum();

    let limit = u64::from(LIMITS.requests_per_s) * 10;
    assert!(passed <= limit * 105 / 100, "{passed} of {limit} passed");
    assert!(passed >= limit * 85 / 100, "{passed} of {limit} passed");
}

#[test]
fn two_concurrent_owners_admit_at_most_twice_the_limit() {
    // An account gets more than its limit for a moment: half of the entries still report to the old
    // owner, half to the new one, and each owner grants the whole limit.
    let mut left = group(4);
    let mut right = group(4);
    (10..20).for_each(|second| {
        left.second(second, &[200; 4]);
        right.second(second, &[200; 4]);
    });

    let passed: u64 = left.second(20, &[200; 4]).iter().sum::<u64>()
        + right.second(20, &[200; 4]).iter().sum::<u64>();

    assert!(passed <= 2 * u64::from(LIMITS.requests_per_s) * 105 / 100, "{passed} passed");
}

#[test]
fn an_entry_is_granted_its_floor_when_others_hold_the_whole_limit() {
    // Callers at one entry are refused far below their limit. A busy entry and one that just left
    // hold the whole limit between them, and the third is granted a thousandth of it.
    let mut owner = LimitOwner::default();
    let account = AccountName::from("tartu");
    let report = |asked| oleandertack::limit::DemandReport { asked, in_flight: 0 };
    let mut grant = |name: &str, asked, entries, at| {
        owner.report(&account, &InstanceId::from(name), report(asked), (entries, ClockTime(at)))
    };
    for at in [10_000, 11_000, 12_000, 13_000] {
        grant("left", 500, 3, at);
        grant("busy", 500, 3, at);
    }
    grant("busy", 5000, 2, 13_900);

    let third = grant("third", 20, 2, 14_000);

    assert!(third.share_per_mille >= 50, "{}", third.share_per_mille);
}
