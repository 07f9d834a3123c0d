//! The ledger of limits where the process that keeps it changes, with real processes in virtual time.

use crate::plays::{ProcessGroup, play};
use oleandertack::front::FrontProcess;
use oleandertack::kind::AccountName;
use oleandertack::mesh::MemberCard;
use std::time::Duration;
use tokio::time::sleep;

const PROCESSES: usize = 5;
/// Tokens a second of the one account, and at once.
const RATE: u64 = 10_000;
/// What each process lets in at once.
const TOKENS: u64 = 400;
/// Until all have reported, twice.
const REPORTED: Duration = Duration::from_millis(600);

fn account() -> AccountName {
    AccountName::from("tartu")
}

/// Processes with a limited account, each of which has let some of it in.
async fn spending_group() -> ProcessGroup {
    let group = ProcessGroup::start(PROCESSES).await;
    group.limit_account(8, RATE);
    sleep(Duration::from_secs(2)).await;
    for process in &group.processes {
        assert!(spend(process), "it holds an allotment");
    }
    sleep(REPORTED).await;
    group
}

fn spend(process: &FrontProcess) -> bool {
    let node = &process.node;
    let now = node.clock.lease_now();
    node.limits.borrow_mut().spend(&account(), TOKENS, now)
}

/// What the ledger of a process has counted and handed out; none if it has no ledger.
fn counted(process: &FrontProcess) -> Option<(u64, u64)> {
    let mesh = process.node.mesh.borrow();
    let ledger = mesh.collector.as_ref()?.ledger()?;
    ledger.windows().map(|(_, stand)| (stand.spent, stand.open)).next()
}

fn has_ledger(process: &FrontProcess) -> bool {
    let mesh = process.node.mesh.borrow();
    mesh.collector.as_ref().is_some_and(|collector| collector.ledger().is_some())
}

fn ledgers(group: &ProcessGroup) -> Vec<(u64, u64)> {
    group.processes.iter().filter_map(counted).collect()
}

#[test]
fn the_ledger_counts_what_all_processes_let_in() {
    play(async {
        let group = spending_group().await;

        let ledgers = ledgers(&group);

        assert_eq!(ledgers.len(), 1);
        assert_eq!(ledgers[0].0, PROCESSES as u64 * TOKENS);
    });
}

#[test]
fn a_collector_that_is_sent_back_goes_on_with_its_ledger() {
    // Callers of all accounts are refused below their limits every few seconds. At a new turn the collector goes
    // over to another process, which goes by it still and sends it back. It had ended its ledger by then, and began
    // anew by what was told or stored a second before: all windows counted as nearly full.
    play(async {
        let group = spending_group().await;
        let collector = group.collector();
        let other =
            group.processes[(collector + 1) % PROCESSES].node.mesh.borrow().view.me().clone();
        let node = group.processes[collector].node.clone();
        let (now, true_now) = (node.clock.now(), node.true_now());

        node.mesh.borrow_mut().view.follow(other, true_now, now);
        sleep(REPORTED).await;

        let ledgers = ledgers(&group);
        assert_eq!(ledgers.len(), 1, "{ledgers:?}");
        assert_eq!(ledgers[0].0, PROCESSES as u64 * TOKENS, "{ledgers:?}");
    });
}

#[test]
fn a_collector_keeps_its_ledger_until_the_next_one_answers() {
    // Callers are refused for a whole window several times in the twenty seconds after a process was lost. The collector goes
    // over to the lost one at each turn, as that ranks first, and had given its ledger away with the report that
    // nobody answered.
    play(async {
        let group = spending_group().await;
        let node = group.processes[group.collector()].node.clone();
        let lost = MemberCard {
            id: "front-lost".into(),
            address: "127.0.0.1:1".parse().expect("an address"),
            ..node.mesh.borrow().view.me().clone()
        };
        let (now, true_now) = (node.clock.now(), node.true_now());

        node.mesh.borrow_mut().view.follow(lost, true_now, now);
        sleep(REPORTED).await;

        let ledgers = ledgers(&group);
        assert_eq!(ledgers.len(), 1, "{ledgers:?}");
        assert_eq!(ledgers[0].0, PROCESSES as u64 * TOKENS, "{ledgers:?}");
    });
}

#[test]
fn a_ledger_is_handed_over_when_its_process_leaves() {
    // A process that stops hands its ledger to the next one: no window is taken for full, and nothing is forgotten.
    play(async {
        let group = spending_group().await;
        let collector = group.collector();

        group.processes[collector].node.mesh.borrow_mut().view.leave();
        sleep(REPORTED * 2).await;

        let ledgers = ledgers(&group);
        assert_eq!(ledgers.len(), 1, "{ledgers:?}");
        let spent = ledgers[0].0;
        let told = PROCESSES as u64 * TOKENS;
        assert!((told..told + RATE * 3).contains(&spent), "{ledgers:?}");
    });
}

#[test]
fn all_processes_killed_go_on_with_the_window_of_the_store() {
    // All processes are killed at once, and memory is gone. Accounts below their limits would be refused for a whole window,
    // or one at its limit let in twice; what the store has of the windows is less than a second old.
    play(async {
        let mut group = spending_group().await;

        group.kill(&[0, 1, 2, 3, 4], Duration::from_millis(500)).await;
        sleep(Duration::from_secs(2)).await;

        let ledgers = ledgers(&group);
        assert_eq!(ledgers.len(), 1, "{ledgers:?}");
        let (spent, told) = (ledgers[0].0, PROCESSES as u64 * TOKENS);
        let promised = RATE * 3 + told;
        assert!((told..=told + promised).contains(&spent), "{ledgers:?}");
        assert!(group.processes.iter().all(spend), "each holds an allotment again");
    });
}

#[test]
fn processes_stay_with_a_collector_that_answers_them() {
    // Every account is refused for five seconds. At a turn all processes go over to the first by standing; it is gone
    // for some and sends the others back, and two ledgers share every limit. Only the collector goes over, and takes the
    // others along.
    play(async {
        let mut group = spending_group().await;
        let mut collectors = Vec::new();
        group.kill(&[group.collector()], Duration::from_secs(3)).await;

        for _ in 0..200 {
            sleep(Duration::from_millis(100)).await;
            collectors.push(group.processes.iter().filter(|process| has_ledger(process)).count());
        }

        assert!(collectors.iter().all(|count| *count == 1), "{collectors:?}");
    });
}

#[test]
fn a_collector_that_was_alone_takes_the_ledger_of_the_others() {
    // Callers of all accounts are refused for a whole window. A process stood still while it collected; when it wakes it
    // collects for itself alone, and at the next turn the others come back to it with their ledger. It went by its
    // own, in which they count only once what they let in elsewhere has left the window.
    play(async {
        let group = spending_group().await;
        let collector = group.collector();
        let alone = &group.processes[(collector + 1) % PROCESSES].node;
        let card = alone.mesh.borrow().view.me().clone();
        for _ in 0..13 {
            sleep(Duration::from_millis(100)).await;
            let (now, true_now) = (alone.clock.now(), alone.true_now());
            alone.mesh.borrow_mut().view.follow(card.clone(), true_now, now);
        }
        assert_eq!(group.processes.iter().filter(|process| has_ledger(process)).count(), 2);

        let node = &group.processes[collector].node;
        let (now, true_now) = (node.clock.now(), node.true_now());
        node.mesh.borrow_mut().view.follow(card, true_now, now);
        sleep(REPORTED * 2).await;

        let others =
            group.processes.iter().filter(|process| !std::rc::Rc::ptr_eq(&process.node, alone));
        assert!(others.clone().all(spend), "{:?}", ledgers(&group));
    });
}

#[test]
fn a_lost_ledger_is_taken_for_what_it_promised_once() {
    // Callers of all accounts are refused for a window after each loss of the collector. The others come to the next one at
    // once, and it begins a ledger; its own report to the lost one was under way, gave that ledger away and began
    // another by what the first had taken for spent.
    play(async {
        for offset in 0..5 {
            let mut group = spending_group().await;
            sleep(Duration::from_millis(50 * offset)).await;
            let collector = group.collector();

            group.kill(&[collector], Duration::from_secs(2)).await;
            sleep(REPORTED * 2).await;

            let ledgers = ledgers(&group);
            assert_eq!(ledgers.len(), 1, "{ledgers:?}");
            let (spent, told) = (ledgers[0].0, PROCESSES as u64 * TOKENS);
            // Its burst, the pace of 1.2 s, and what the processes held.
            let promised = RATE * 3;
            assert!(spent <= told + promised, "{offset}: {ledgers:?}");
        }
    });
}
