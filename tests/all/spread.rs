//! How long a change of wide rules takes to the last process, on links that have a rate, in a model of the links: the
//! messages, the budgets and the pieces are the real ones.

use crate::bulk::book;
use crate::wide_rules::wide_rules;
use oleandertack::kind::hash::mix_bits;
use oleandertack::kind::{ClockTime, TimeSpan};
use oleandertack::list::SendBudget;
use oleandertack::mesh::{RulesBook, RulesFetch, RulesStep};
use std::collections::BTreeSet;

/// The rates of thin links, which most processes have, and of the others, in megabits a second.
const THIN_MBPS: f64 = 10.0;
const WIDE_MBPS: f64 = 200.0;
/// One way between two processes, in microseconds.
const DELAY_US: u64 = 500;
/// Between two reports of a process, and between two tries at processes that send nothing, in microseconds.
const REPORT_US: u64 = 250_000;
const PAUSES_US: (u64, u64) = (25_000, 200_000);
/// The time by which the last process has the rules.
const IN_FORCE: TimeSpan = TimeSpan(1000);

/// Processes of which some have the newer rules at first.
struct SpreadModel {
    older: RulesBook,
    newer: RulesBook,
    processes: Vec<ModelProcess>,
    /// When a process asks next.
    due: BTreeSet<(u64, usize)>,
    lot: u64,
}

struct ModelProcess {
    mbps: f64,
    budget: SendBudget,
    /// When what was sent and what was received has passed its link.
    sent_until: u64,
    received_until: u64,
    fetch: RulesFetch,
    refused: u32,
    pause: u64,
    has_newer: bool,
    sent_bytes: u64,
}

fn process(mbps: f64, has_newer: bool) -> ModelProcess {
    ModelProcess {
        mbps,
        budget: SendBudget::of_link(mbps),
        sent_until: 0,
        received_until: 0,
        fetch: RulesFetch::default(),
        refused: 0,
        pause: PAUSES_US.0,
        has_newer,
        sent_bytes: 0,
    }
}

fn micros(bytes: u64, mbps: f64) -> u64 {
    (bytes as f64 * 8.0 / mbps) as u64
}

impl SpreadModel {
    /// `count` processes, of which the first `wide` have wide links, and the collector and other followers of the store
    /// the newer rules.
    fn new(count: usize, wide: usize, (older, newer): (&str, &str)) -> Self {
        let followers = 4 + count / 32;
        let link = |at: usize| if at < wide { WIDE_MBPS } else { THIN_MBPS };
        let processes = (0..count).map(|at| process(link(at), at < followers)).collect();
        let due = (followers..count).map(|at| (mix_bits(at as u64) % REPORT_US, at)).collect();
        let (older, newer) = (book(8, older), book(9, newer));
        SpreadModel { older, newer, processes, due, lot: 1 }
    }

    fn random(&mut self, most: usize) -> usize {
        self.lot = mix_bits(self.lot);
        self.lot as usize % most
    }

    /// Plays until all have the newer rules; returns when the last one had them.
    fn play(&mut self) -> TimeSpan {
        let mut last = 0;
        while let Some((now, at)) = self.due.pop_first() {
            if let Some(then) = self.ask(at, now) {
                self.due.insert((then, at));
            } else {
                last = last.max(self.processes[at].received_until);
            }
        }
        TimeSpan(last / 1000)
    }

    /// Asks for the next part at `now`; returns when the process asks again, unless it has the rules then.
    fn ask(&mut self, at: usize, now: u64) -> Option<u64> {
        let first = self.processes[at].refused.is_multiple_of(2);
        let peer = if first { 0 } else { self.random(self.processes.len()) };
        let request = self.processes[at].fetch.request(self.older.version());
        let sender = &mut self.processes[peer];
        let arrived = now + DELAY_US;
        let may_send = sender.has_newer
            && sender.received_until <= arrived
            && sender.budget.is_open(ClockTime(1_000_000 + arrived / 1000));
        let part = self.newer.part(&request).filter(|_| may_send);
        let Some(part) = part else {
            let process = &mut self.processes[at];
            process.refused += 1;
            let then = arrived + DELAY_US + process.pause;
            process.pause = (process.pause * 2).min(PAUSES_US.1);
            return Some(then);
        };
        let bytes = part.bytes() as u64;
        sender.budget.take(part.bytes());
        sender.sent_bytes += bytes;
        sender.sent_until = sender.sent_until.max(arrived) + micros(bytes, sender.mbps);
        let sent = sender.sent_until + DELAY_US;
        let process = &mut self.processes[at];
        process.received_until = process.received_until.max(sent) + micros(bytes, process.mbps);
        process.pause = PAUSES_US.0;
        let own = self.older.pieces().map(AsRef::as_ref);
        let step = process.fetch.take(part, own).expect("a sound part");
        process.has_newer = matches!(step, RulesStep::Joined(_));
        (!process.has_newer).then_some(process.received_until)
    }

    fn busiest(&self) -> u64 {
        self.processes.iter().map(|process| process.sent_bytes).max().unwrap_or(0)
    }
}

/// Guards against a change that comes into force at the last of many processes when it had to be long before, since one link
/// carries it to all.
#[test]
fn the_last_of_many_processes_has_a_wide_change_within_a_second() {
    let before = wide_rules(8, 2800);
    let small = wide_rules(9, 2800).replace("\"idle-timeout-ms\":5000", "\"idle-timeout-ms\":4000");
    let large = wide_rules(9, 4200);
    let cases = [(9, 6), (9, 0), (60, 6), (83, 6), (195, 6), (300, 6)];
    for (count, wide) in cases {
        for (name, newer) in [("small", &small), ("large", &large)] {
            let mut model = SpreadModel::new(count, wide, (&before, newer));

            let last = model.play();

            let sent = model.busiest();
            let what = format!("{count} processes, {wide} wide, {name}: {last:?}, {sent} bytes");
            assert!(last <= IN_FORCE, "{what}");
        }
    }
}
