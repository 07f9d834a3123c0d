//! A token window shared by many processes, in simulated time.

use oleandertack::kind::{AccountName, ClockTime, TimeSpan};
use oleandertack::limit::{
    AllotmentClaim, AllotmentHolder, ClaimFault, KnownWindow, LastLedger, LedgerState,
    PROMISE_LIFETIME, PoolAllotment, PoolGate, PoolLedger, PoolLimit, PriorLedger, ReportedWindow,
    STORED_LIFETIME,
};

pub const RATE: u64 = 240_000;
const TOKENS: u64 = 3000;
const REPORT_MS: u64 = 250;
const WINDOW_MS: u64 = 8000;
const START: u64 = 1_000_000;

/// The rate of the largest account of 64 processes; the fixed part of the allowed overshoot is
/// small against it.
const LARGE_RATE: u64 = 1_350_000;

fn limit(rate: u64) -> PoolLimit {
    let (rate_per_s, burst) = (rate as f64, rate as f64);
    let window = TimeSpan(WINDOW_MS);
    let overshoot = (rate_per_s * 8.0 + burst) * 0.1 + 140_000.0;
    PoolLimit { rate_per_s, burst, overshoot, window }
}

/// The tokens that operators allow in any window.
pub fn allowed(rate: u64) -> u64 {
    (rate * 8 + rate) * 11 / 10 + 140_000
}

/// Mechanisms that keep a limit while processes change. A test disables one to show that it is
/// needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// A new ledger counts what was granted before it as spent.
    PriorSpending,
    /// A process counts as a member of one ledger at a time.
    MembershipHandover,
    /// A ledger stays within the promises that the store holds.
    StorePromise,
}

/// Processes, their ledger and the callers of one account, in simulated time.
pub struct PoolGroup {
    rate: u64,
    gates: Vec<PoolGate>,
    ledger: PoolLedger,
    /// A second ledger, and the processes that report to it.
    second_ledger: Option<(PoolLedger, Vec<usize>)>,
    /// Processes that cannot reach the ledger.
    cut: Vec<usize>,
    /// The number of ledgers started so far.
    ledgers: u64,
    /// The current incarnation of each process.
    lives: Vec<u64>,
    /// What the store holds, and when it was written.
    stored: Option<(LedgerState, ClockTime)>,
    /// Whether the store answers.
    pub store_answers: bool,
    /// The mechanism that is disabled to show that it is needed.
    pub disabled: Option<Safeguard>,
    spent: Vec<(u64, u64)>,
    /// Request sizes in tokens, used in turn.
    pub sizes: &'static [u64],
    asked: u64,
    asked_ledger: u64,
    pub refused: u64,
    owed: f64,
    now: u64,
}

/// Creates `count` processes that have not reported yet.
pub fn group(count: usize) -> PoolGroup {
    PoolGroup {
        rate: RATE,
        gates: (0..count).map(|_| PoolGate::default()).collect(),
        ledger: PoolLedger::begin(1, PriorLedger::Absent, ClockTime(START)),
        second_ledger: None,
        cut: Vec::new(),
        ledgers: 1,
        lives: vec![1; count],
        stored: None,
        store_answers: false,
        disabled: None,
        spent: Vec::new(),
        sizes: &[TOKENS],
        asked: 0,
        asked_ledger: 0,
        refused: 0,
        owed: 0.0,
        now: START,
    }
}

fn spender(at: usize, life: u64) -> AllotmentHolder {
    AllotmentHolder { instance: format!("front-{at}").as_str().into(), life }
}

fn account() -> AccountName {
    AccountName::from("tartu")
}

impl PoolGroup {
    /// Simulates `ms` milliseconds with a demand of `times` the rate, spread unevenly over the
    /// processes.
    pub fn play(&mut self, ms: u64, times: f64) {
        for _ in 0..ms {
            self.now += 1;
            self.owed += self.rate as f64 * times / 1000.0;
            while self.owed >= self.next_size() as f64 {
                self.owed -= self.next_size() as f64;
                self.ask();
            }
            self.write_store();
            for at in 0..self.gates.len() {
                // Reports of different processes are sent at different moments.
                if (self.now + at as u64 * 27).is_multiple_of(REPORT_MS) {
                    self.report(at);
                }
            }
        }
    }

    fn next_size(&self) -> u64 {
        self.sizes[self.asked as usize % self.sizes.len()]
    }

    fn ask(&mut self) {
        let tokens = self.next_size();
        self.asked += 1;
        let turn = self.asked * self.asked * 7 + self.asked;
        // A third of all requests go to the first process.
        let at = if self.asked.is_multiple_of(3) { 0 } else { turn as usize % self.gates.len() };
        if self.admits(at, tokens) {
            self.spent.push((self.now, tokens));
        } else {
            self.refused += 1;
        }
    }

    /// Whether process `at` admits a request: under its allotment, after a claim to the ledger, or
    /// against its own share.
    fn admits(&mut self, at: usize, tokens: u64) -> bool {
        let (now, rate) = (ClockTime(self.now), self.rate);
        let processes = (self.gates.len() as u32, now);
        if self.gates[at].spend(&account(), tokens, now) {
            return true;
        }
        if self.cut.contains(&at) {
            return self.gates[at].spend_own(&account(), &limit(rate), tokens, processes);
        }
        if self.gates[at].full_for(&account(), now).is_some() {
            return false;
        }
        let claim = self.gates[at].claim(&account(), tokens, now);
        self.asked_ledger += 1;
        self.note_member(at);
        self.answer(at, &claim);
        self.gates[at].spend(&account(), tokens, now)
    }

    /// Lets the ledger that process `at` reports to answer a claim.
    fn answer(&mut self, at: usize, claim: &AllotmentClaim) {
        let now = ClockTime(self.now);
        let serving = self.gates.len() as u32;
        let spender = spender(at, self.lives[at]);
        let known = (&limit(self.rate), serving);
        let answer = self.ledger_of(at).claim(&account(), known, (&spender, claim), now);
        let allotment = answer.expect("the claim is true");
        self.gates[at].take(&account(), allotment, (now, now));
    }

    fn note_member(&mut self, at: usize) {
        let now = ClockTime(self.now);
        let bond =
            self.gates[at].bond(now).filter(|_| !self.is_disabled(Safeguard::MembershipHandover));
        let length = limit(self.rate).length();
        let id = spender(at, self.lives[at]).instance;
        self.ledger_of(at).note_member(&id, bond, (length, now));
    }

    fn ledger_of(&mut self, at: usize) -> &mut PoolLedger {
        match &mut self.second_ledger {
            Some((ledger, reporters)) if reporters.contains(&at) => ledger,
            _ => &mut self.ledger,
        }
    }

    fn report(&mut self, at: usize) {
        if self.cut.contains(&at) {
            return;
        }
        let now = ClockTime(self.now);
        self.note_member(at);
        // A ledger grants allotments to every process, including those that admitted nothing.
        let claim = self.gates[at].claim(&account(), 0, now);
        self.answer(at, &claim);
    }

    /// Starts a new ledger at another process.
    pub fn change_ledger(&mut self) {
        self.ledger = self.next_ledger(1);
    }

    /// A ledger that starts at process `at`.
    fn next_ledger(&mut self, at: usize) -> PoolLedger {
        let windows = self.gates[at].known_windows(ClockTime(self.now));
        let state = LedgerState { windows, others: None };
        self.new_ledger(PriorLedger::Reported { state, lasts: PROMISE_LIFETIME })
    }

    fn new_ledger(&mut self, past: PriorLedger) -> PoolLedger {
        let past =
            if self.is_disabled(Safeguard::PriorSpending) { PriorLedger::Absent } else { past };
        self.ledgers += 1;
        PoolLedger::begin(self.ledgers, past, ClockTime(self.now))
    }

    fn is_disabled(&self, safeguard: Safeguard) -> bool {
        self.disabled == Some(safeguard)
    }

    /// Ends the ledger in order and passes its state to the next one.
    pub fn hand_over(&mut self) {
        let known = self.ledger.hand_over(ClockTime(self.now));
        self.ledger = self.new_ledger(PriorLedger::HandedOver(known));
    }

    /// Kills and restarts the process with the ledger; process `next` starts a new ledger.
    pub fn kill_ledger(&mut self, killed: usize, next: usize) {
        self.ledger = self.next_ledger(next);
        self.restart(killed);
    }

    fn restart(&mut self, at: usize) {
        self.gates[at] = PoolGate::default();
        self.lives[at] += 1;
    }

    /// Partitions some processes from the others; the first of them starts a ledger for them.
    pub fn split(&mut self, reporters: Vec<usize>) {
        let ledger = self.next_ledger(reporters[0]);
        self.second_ledger = Some((ledger, reporters));
    }

    /// Heals the partition: all processes report to the first ledger again.
    pub fn join(&mut self) {
        self.second_ledger = None;
    }

    /// Isolates some processes from the ledger.
    pub fn cut_off(&mut self, cut: Vec<usize>) {
        self.cut = cut;
    }

    /// Restarts all processes with empty memory; the new ledger starts from the store.
    pub fn restart_all(&mut self) {
        (0..self.gates.len()).for_each(|at| self.restart(at));
        self.second_ledger = None;
        let now = ClockTime(self.now);
        let known = self.stored.iter().flat_map(|(stored, at)| {
            let age = now - *at;
            let aged = move |known: &KnownWindow| KnownWindow { age, ..known.clone() };
            stored.windows.iter().map(move |(name, known)| (name.clone(), aged(known)))
        });
        let others =
            self.stored.iter().find_map(|(stored, at)| Some(stored.others?.aged(now - *at)));
        let state = LedgerState { windows: known.collect(), others };
        self.ledger = self.new_ledger(PriorLedger::Reported { state, lasts: STORED_LIFETIME });
    }

    /// A process claims an allotment of an account that spends nothing.
    fn claim_for_another_account(&mut self) {
        let known = (&limit(self.rate), self.gates.len() as u32);
        let claim = AllotmentClaim { number: 1, ..AllotmentClaim::default() };
        let asked = (&spender(0, self.lives[0]), &claim);
        let now = ClockTime(self.now);
        let answer = self.ledger.claim(&AccountName::from("narva"), known, asked, now);
        answer.expect("the claim is true");
    }

    /// Restarts all processes with empty memory after the store has lost the windows.
    pub fn lose_all(&mut self) {
        self.stored = None;
        self.restart_all();
    }

    /// Advances the time by `ms` while no process runs.
    pub fn power_off(&mut self, ms: u64) {
        self.now += ms;
    }

    fn write_store(&mut self) {
        /// The interval between two writes.
        const WRITE_MS: u64 = 500;
        if !self.store_answers || !self.now.is_multiple_of(WRITE_MS) {
            return;
        }
        let now = ClockTime(self.now);
        let (state, promises) = self.ledger.export(now);
        self.stored = Some((state, now));
        if !self.is_disabled(Safeguard::StorePromise) {
            self.ledger.note_stored(promises, now);
        }
    }

    /// The most tokens admitted in any window.
    pub fn worst_window(&self) -> u64 {
        self.worst_window_since(0)
    }

    /// The most tokens admitted in any window that began at `since` or later.
    fn worst_window_since(&self, since: u64) -> u64 {
        let in_window = |from: u64| {
            let inside = self.spent.iter().filter(|(at, _)| (from..from + WINDOW_MS).contains(at));
            inside.map(|(_, tokens)| tokens).sum()
        };
        let begins = self.spent.iter().map(|(at, _)| *at).filter(|at| *at >= since);
        begins.map(in_window).max().unwrap_or(0)
    }
}

#[test]
fn an_account_below_its_limit_is_not_refused() {
    // Callers of an account at 60 % of its limit are refused because equal shares are too small
    // where connections are spread unevenly, or because a new ledger assumes that the window is
    // spent.
    let mut group = group(9);

    group.play(20_000, 0.6);

    assert_eq!(group.refused, 0);
}

#[test]
fn a_demand_spike_stays_within_the_allowed_overshoot() {
    // One account's demand rises to 7.5 times its usual, 4.2 times its rate. Until the processes
    // learn of one another's spending, each admits what it believes is left.
    let mut group = group(9);
    group.play(10_000, 0.55);

    group.play(15_000, 4.2);

    let worst = group.worst_window();
    assert!(worst <= allowed(RATE), "{worst} of {}", allowed(RATE));
    // It is not starved either: it gets most of its limit.
    assert!(worst >= RATE * 8, "{worst}");
}

#[test]
fn a_new_ledger_counts_spending_unreported_to_the_previous_one() {
    // The process with the ledger dies while an account is at its limit. If nobody counts what is
    // admitted between its last report and the successor's first, the excess is 20 %.
    let mut group = group(9);
    group.play(9_000, 0.55);
    group.play(1_000, 4.2);

    // Spending is uneven: the last second holds as much as the four before it.
    for _ in 0..3 {
        // 600 ms without a ledger, then a new one.
        let all: Vec<usize> = (0..9).collect();
        group.cut = all;
        group.play(600, 4.2);
        group.cut.clear();
        group.change_ledger();
        group.play(2_000, 4.2);
    }

    let worst = group.worst_window();
    assert!(worst <= allowed(RATE), "{worst} of {}", allowed(RATE));
}

#[test]
fn isolated_processes_use_only_their_own_share() {
    // Three of nine processes are partitioned from the others. They continue on equal shares, and
    // the ledger grants only the part of the processes that reach it.
    let mut group = group(9);
    group.play(9_000, 0.55);
    group.cut = vec![3, 5, 7];

    group.play(12_000, 4.2);

    let worst = group.worst_window();
    assert!(worst <= allowed(RATE), "{worst} of {}", allowed(RATE));
}

#[test]
fn a_restart_of_all_processes_does_not_reset_the_window() {
    // All processes are killed at once while an account is at its limit, and restart a second later
    // with empty memory.
    let mut group = group(9);
    group.play(9_000, 0.55);
    group.play(4_000, 4.2);

    group.now += 1_500;
    group.restart_all();
    group.play(10_000, 4.2);

    let worst = group.worst_window();
    assert!(worst <= allowed(RATE), "{worst} of {}", allowed(RATE));
}

type GroupChange = fn(&mut PoolGroup);

/// An account at its limit gets a whole window again. Two ledgers follow one another within the interval
/// between two reports, so that the first of them gets no claim of the account, and the second learns of
/// its spending from the first alone.
#[test]
fn a_ledger_that_got_no_claim_passes_on_what_it_knows() {
    let changes: [(&str, GroupChange); 6] = [
        ("handed over", PoolGroup::hand_over),
        ("reported", PoolGroup::change_ledger),
        ("stored", PoolGroup::restart_all),
        ("unknown", PoolGroup::lose_all),
        ("handed over late", |group| {
            group.hand_over();
            group.power_off(1_700);
        }),
        ("unknown and late", |group| {
            group.lose_all();
            group.power_off(1_700);
        }),
    ];
    for (name, change) in changes {
        let mut group = PoolGroup { store_answers: true, ..group(9) };
        group.play(9_000, 0.55);
        group.play(4_000, 4.2);

        change(&mut group);
        group.hand_over();
        group.hand_over();
        group.play(9_000, 4.2);

        let worst = group.worst_window();
        assert!(worst <= allowed(RATE), "{name}: {worst} of {}", allowed(RATE));
    }
}

/// The same where the first ledger's process is killed: the second one starts from what the first
/// wrote to the store, which names another account.
#[test]
fn a_ledger_that_got_no_claim_stores_what_it_knows() {
    let changes: [(&str, GroupChange); 3] = [
        ("handed over", PoolGroup::hand_over),
        ("stored", PoolGroup::restart_all),
        ("unknown", PoolGroup::lose_all),
    ];
    for (name, change) in changes {
        let mut group = PoolGroup { store_answers: true, ..group(9) };
        group.play(9_000, 0.55);
        group.play(4_000, 4.2);

        change(&mut group);
        group.claim_for_another_account();
        group.power_off(500 - group.now % 500);
        group.write_store();
        group.restart_all();
        group.play(9_000, 4.2);

        let worst = group.worst_window();
        assert!(worst <= allowed(RATE), "{name}: {worst} of {}", allowed(RATE));
    }
}

/// Accounts far below their limits are not refused because ledgers follow one another quickly.
#[test]
fn a_ledger_that_got_no_claim_leaves_accounts_their_room() {
    let mut group = group(9);
    group.play(12_000, 0.5);

    group.hand_over();
    group.hand_over();
    group.play(9_000, 0.5);

    assert_eq!(group.refused, 0);
}

/// An account jumps to 4.2 times its limit, and three seconds later a new ledger starts at a
/// process that admitted no request of that account. If that process was never sent the window, its
/// ledger assumes that it was spent evenly and grants the tokens of the jump again: 2 % more than
/// operators allow.
#[test]
fn a_new_ledger_knows_windows_of_accounts_its_process_never_admitted() {
    for offset in (0..1000).step_by(250) {
        let mut group = PoolGroup { rate: LARGE_RATE, ..group(64) };
        group.play(9_000, 0.55);
        group.play(3_000 + offset, 4.2);

        group.change_ledger();
        group.play(9_000, 4.2);

        let worst = group.worst_window();
        assert!(worst <= allowed(LARGE_RATE), "{offset}: {worst} of {}", allowed(LARGE_RATE));
    }
}

/// Callers of every account are refused for a whole window although none is near its limit. Half of
/// the processes used another ledger for 20 s; when they return, the first ledger counts all they
/// admitted since their last report to it as spent just now.
#[test]
fn spending_under_another_ledger_is_not_counted_as_one_burst() {
    let mut group = group(9);
    group.play(10_000, 0.5);
    let other = group.next_ledger(0);
    group.second_ledger = Some((other, vec![0, 2, 4, 6]));
    group.play(20_000, 0.5);
    let before = group.refused;

    group.second_ledger = None;
    group.play(10_000, 0.5);

    assert_eq!(group.refused, before);
}

/// The same with a demand above the limit: what was counted by the other ledger counts in this one
/// as well.
#[test]
fn spending_under_another_ledger_is_not_ignored() {
    let mut group = group(9);
    group.play(10_000, 0.55);
    let other = group.next_ledger(0);
    group.second_ledger = Some((other, vec![0, 2, 4, 6]));
    group.play(12_000, 0.5);

    group.second_ledger = None;
    group.play(10_000, 4.2);

    let worst = group.worst_window();
    assert!(worst <= allowed(RATE), "{worst} of {}", allowed(RATE));
}

/// An account gets 1 % more than operators allow. It jumps to 4.2 times its limit, and a second
/// later all processes are killed at once. What they admitted is in their memory only; the next
/// ledger assumes that the window was spent evenly, and grants the tokens of the jump again before
/// they have left the window.
#[test]
fn a_spike_before_a_restart_of_all_processes_is_counted() {
    for pressed in [1_500, 1_000] {
        let mut group = group(9);
        group.play(9_000, 0.55);
        group.play(pressed, 4.2);

        group.now += 500;
        group.restart_all();
        group.play(10_000, 4.2);

        let worst = group.worst_window();
        assert!(worst <= allowed(RATE), "{pressed}: {worst} of {}", allowed(RATE));
    }
}

/// Request sizes in tokens as callers mix them: most are short, one in sixteen is very long.
pub const MIXED_SIZES: &[u64] =
    &[200, 900, 1700, 200, 2600, 5400, 700, 200, 12_000, 1200, 400, 3300, 200, 800, 7200, 47_000];

/// An account gets more than operators allow, although nothing fails. Its demand jumps, and after
/// some three seconds all processes refuse it. Each was granted the whole free capacity for a
/// forecast demand; after a second in which all requests were refused no process seems to spend,
/// and each is granted all that leaves the window.
#[test]
fn a_spike_by_any_factor_stays_within_the_allowed_overshoot() {
    for (processes, rate) in [(8, RATE), (87, RATE), (87, LARGE_RATE), (195, LARGE_RATE)] {
        for times in [3.0, 5.5, 16.5] {
            let mut group = PoolGroup { rate, sizes: MIXED_SIZES, ..group(processes) };
            group.play(9_000, 0.55);

            group.play(15_000, times);

            let (worst, allowed) = (group.worst_window(), allowed(rate));
            assert!(worst <= allowed, "{processes} at {rate} by {times}: {worst} of {allowed}");
        }
    }
}

/// Operators lower an account's limit to a twentieth. What processes hold under the old limit,
/// which is more than the new one allows in a window, must not last: a holder keeps only what it
/// uses between two reports.
#[test]
fn a_lowered_limit_applies_once_allotments_expire() {
    for processes in [8, 87] {
        let mut group = PoolGroup { sizes: MIXED_SIZES, ..group(processes) };
        group.play(12_000, 0.3);

        group.rate = RATE / 20;
        let lowered_at = group.now;
        group.play(1_000, 3.0);
        group.play(15_000, 40.0);

        let worst = group.worst_window_since(lowered_at + 1_000);
        assert!(worst <= allowed(RATE / 20), "{processes}: {worst} of {}", allowed(RATE / 20));
    }
}

/// An account that was idle spends its allowed burst at once and is refused nothing, and under
/// demand above its limit it can use the whole limit. A limiter that refuses everything would keep
/// any limit.
#[test]
fn an_account_can_use_its_whole_limit() {
    for (processes, rate) in [(8, RATE), (87, RATE), (87, LARGE_RATE), (195, LARGE_RATE)] {
        for times in [0.5, 0.8, 3.0, 16.5] {
            let mut group = PoolGroup { rate, sizes: MIXED_SIZES, ..group(processes) };
            group.play(9_000, 0.55);
            let (refused, before) = (group.refused, group.spent.len());

            group.play(16_000, times);

            let got: u64 = group.spent[before..].iter().map(|(_, tokens)| tokens).sum();
            let owed = rate as f64 * 16.0 * times.min(1.0);
            let part = got as f64 / owed;
            assert!(part >= 0.9, "{processes} at {rate} by {times}: {part:.3}");
            assert!(times > 1.0 || group.refused == refused, "{processes} at {rate} by {times}");
        }
    }
}

/// An allotment expires at its holder when it does at the ledger, whatever reports are lost.
#[test]
fn an_allotment_expires_and_late_answers_are_ignored() {
    let now = ClockTime(START);
    let mut gate = PoolGate::default();
    let claim = gate.claim(&account(), 0, now);
    let answer = PoolAllotment { number: claim.number, ceiling: 5_000, ..PoolAllotment::default() };

    gate.take(&account(), answer.clone(), (now, now + TimeSpan(200)));

    assert!(gate.spend(&account(), 1_000, now + TimeSpan(599)));
    assert!(!gate.spend(&account(), 1_000, now + TimeSpan(600)));
    // The answer to an earlier claim arrives after the next claim was made.
    gate.claim(&account(), 0, now + TimeSpan(700));
    gate.take(&account(), answer, (now + TimeSpan(700), now + TimeSpan(701)));
    assert!(!gate.spend(&account(), 1_000, now + TimeSpan(702)));
}

/// Two processes began a ledger each. One of them is stopped, ends its ledger and reports to the other, which
/// knows nothing of what was admitted under it. The rest of the processes must not get its part of the
/// limit until that has left the window.
#[test]
fn a_stopping_process_leaves_its_part_until_what_it_admitted_has_left_the_window() {
    let (now, length) = (ClockTime(START), limit(RATE).length());
    let mut ledger = PoolLedger::begin(1, PriorLedger::Absent, now);
    let (staying, stopping) = (spender(0, 1), spender(1, 1));
    let bond = LastLedger { source: 2, left: TimeSpan(500), spent_ago: Some(TimeSpan(100)) };
    ledger.note_member(&staying.instance, None, (length, now));
    ledger.note_member(&stopping.instance, Some(bond), (length, now));
    let mut number = 0;
    let mut capacity_after = |ms: u64| {
        let now = now + TimeSpan(ms);
        ledger.note_member(&staying.instance, None, (length, now));
        number += 1;
        let claim = AllotmentClaim { number, ..AllotmentClaim::default() };
        let answer = ledger.claim(&account(), (&limit(RATE), 1), (&staying, &claim), now);
        answer.expect("the claim is true");
        ledger.windows().next().map(|(_, status)| status.capacity)
    };

    let (at_first, later, at_last) =
        (capacity_after(0), capacity_after(8_000), capacity_after(8_301));

    let whole = limit(RATE).capacity() as u64;
    assert_eq!((at_first, later), (Some(whole / 2), Some(whole / 2)));
    assert_eq!(at_last, Some(whole));
}

/// A ledger is given up because it is silent, and may still count its processes as members. The ledger
/// after it hands over what it was told before any process claims: the third one must let the processes
/// wait as the second did.
#[test]
fn a_process_waits_for_a_silent_ledger_through_two_changes() {
    let now = ClockTime(START);
    let known = KnownWindow {
        reported: ReportedWindow { seconds: vec![5_000; 9], open: 0 },
        age: TimeSpan(100),
        source: 1,
        passed: None,
    };
    let state = LedgerState { windows: vec![(account(), known)], others: None };
    let past = PriorLedger::Reported { state, lasts: PROMISE_LIFETIME };
    let second = PoolLedger::begin(2, past, now);
    let mut third = PoolLedger::begin(3, PriorLedger::HandedOver(second.hand_over(now)), now);
    let bond = LastLedger { source: 1, left: TimeSpan(500), spent_ago: Some(TimeSpan(10)) };

    third.note_member(&spender(0, 1).instance, Some(bond), (limit(RATE).length(), now));

    assert_eq!(third.member_count(now + TimeSpan(499)), 0);
    assert_eq!(third.member_count(now + TimeSpan(500)), 1);
}

/// Claims that are stale, or exceed what was granted, are rejected and change nothing.
#[test]
fn stale_and_impossible_claims_are_rejected() {
    let now = ClockTime(START);
    let mut ledger = PoolLedger::begin(1, PriorLedger::Absent, now);
    let spender = spender(0, 1);
    ledger.note_member(&spender.instance, None, (limit(RATE).length(), now));
    let mut ask = |claim: AllotmentClaim| {
        let known = (&limit(RATE), 1);
        ledger.claim(&account(), known, (&spender, &claim), now)
    };
    let first =
        ask(AllotmentClaim { number: 5, ..AllotmentClaim::default() }).expect("it is the first");

    let late = ask(AllotmentClaim { number: 4, ..AllotmentClaim::default() });
    let false_ceiling = first.ceiling + 1;
    let too_much = ask(AllotmentClaim {
        number: 6,
        ceiling: false_ceiling,
        source: 1,
        ..AllotmentClaim::default()
    });
    let again = ask(AllotmentClaim { number: 6, source: 1, ..AllotmentClaim::default() });

    assert_eq!(late, Err(ClaimFault::Late));
    assert_eq!(too_much, Err(ClaimFault::Impossible));
    assert!(again.is_ok());
}
