//! The ledger of account limits when the process that keeps it changes; real processes in simulated
//! time.

use crate::plays::{ProcessGroup, StoreMode, play};
use oleandertack::front::FrontProcess;
use oleandertack::kind::AccountName;
use oleandertack::mesh::MemberInfo;
use oleandertack::plat::FeedKind;
use std::time::Duration;
use tokio::time::sleep;

const PROCESSES: usize = 5;
/// The account's rate in tokens a second, and its burst.
const RATE: u64 = 10_000;
/// What each process admits at once.
const TOKENS: u64 = 400;
/// The time in which all processes have reported twice.
const REPORTED: Duration = Duration::from_millis(600);

fn account() -> AccountName {
    AccountName::from("tartu")
}

/// Starts processes with a limited account, each of which has admitted some of its tokens.
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

/// The spent and outstanding tokens in a process's ledger; `None` if it has no ledger.
fn counted(process: &FrontProcess) -> Option<(u64, u64)> {
    let mesh = process.node.mesh.borrow();
    let ledger = mesh.collector.as_ref()?.ledger()?;
    ledger.windows().map(|(_, status)| (status.spent, status.open)).next()
}

fn has_ledger(process: &FrontProcess) -> bool {
    let mesh = process.node.mesh.borrow();
    mesh.collector.as_ref().is_some_and(|collector| collector.ledger().is_some())
}

fn ledgers(group: &ProcessGroup) -> Vec<(u64, u64)> {
    group.processes.iter().filter_map(counted).collect()
}

#[test]
fn the_ledger_counts_admissions_of_all_processes() {
    play(async {
        let group = spending_group().await;

        let ledgers = ledgers(&group);

        assert_eq!(ledgers.len(), 1);
        assert_eq!(ledgers[0].0, PROCESSES as u64 * TOKENS);
    });
}

#[test]
fn a_collector_that_is_redirected_back_keeps_its_ledger() {
    // Callers of all accounts are refused below their limits every few seconds. At an election the
    // collector defers to another process, which still follows the old one and redirects it back.
    // If the collector has ended its ledger by then, it starts a new one from what was reported or
    // stored a second before, in which all windows count as nearly full.
    play(async {
        let group = spending_group().await;
        let collector = group.collector();
        let other =
            group.processes[(collector + 1) % PROCESSES].node.mesh.borrow().view.me().clone();
        let node = group.processes[collector].node.clone();
        let (now, true_now) = (node.clock.now(), node.true_now());

        node.mesh.borrow_mut().view.follow_collector(other, true_now, now);
        sleep(REPORTED).await;

        let ledgers = ledgers(&group);
        assert_eq!(ledgers.len(), 1, "{ledgers:?}");
        assert_eq!(ledgers[0].0, PROCESSES as u64 * TOKENS, "{ledgers:?}");
    });
}

#[test]
fn a_collector_keeps_its_ledger_until_the_next_one_answers() {
    // Callers are refused for a whole window several times in the twenty seconds after a process
    // was lost. At each election the collector defers to the lost process, since that ranks first.
    // It must not give its ledger away with a report that nobody answers.
    play(async {
        let group = spending_group().await;
        let node = group.processes[group.collector()].node.clone();
        let lost = MemberInfo {
            id: "front-lost".into(),
            address: "127.0.0.1:1".parse().expect("an address"),
            ..node.mesh.borrow().view.me().clone()
        };
        let (now, true_now) = (node.clock.now(), node.true_now());

        node.mesh.borrow_mut().view.follow_collector(lost, true_now, now);
        sleep(REPORTED).await;

        let ledgers = ledgers(&group);
        assert_eq!(ledgers.len(), 1, "{ledgers:?}");
        assert_eq!(ledgers[0].0, PROCESSES as u64 * TOKENS, "{ledgers:?}");
    });
}

#[test]
fn a_ledger_is_handed_over_when_its_process_leaves() {
    // A process that stops hands its ledger to the next one: no window is assumed to be full, and
    // no spending is lost.
    play(async {
        let group = spending_group().await;
        let collector = group.collector();

        group.processes[collector].node.mesh.borrow_mut().view.leave();
        sleep(REPORTED * 2).await;

        let ledgers = ledgers(&group);
        assert_eq!(ledgers.len(), 1, "{ledgers:?}");
        let spent = ledgers[0].0;
        let reported = PROCESSES as u64 * TOKENS;
        assert!((reported..reported + RATE * 3).contains(&spent), "{ledgers:?}");
    });
}

#[test]
fn restarted_processes_resume_from_the_stored_window() {
    // All processes are killed at once and their memory is lost. Callers below their limits would
    // be refused for a whole window, or an account at its limit admitted twice; the windows in the
    // store are less than a second old.
    play(async {
        let mut group = spending_group().await;

        group.kill(&[0, 1, 2, 3, 4], Duration::from_millis(500)).await;
        sleep(Duration::from_secs(2)).await;

        let ledgers = ledgers(&group);
        assert_eq!(ledgers.len(), 1, "{ledgers:?}");
        let (spent, reported) = (ledgers[0].0, PROCESSES as u64 * TOKENS);
        let promised = RATE * 3 + reported;
        assert!((reported..=reported + promised).contains(&spent), "{ledgers:?}");
        assert!(group.processes.iter().all(spend), "each holds an allotment again");
    });
}

#[test]
fn processes_keep_a_responsive_collector() {
    // Callers of every account are refused for five seconds. At an election all processes defer to
    // the first in rank; some find it gone, and it redirects the others back, so that two ledgers
    // share every limit. Only the collector may defer to another process, and the others follow it.
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
fn an_isolated_collector_adopts_the_ledger_of_the_others() {
    // Callers of all accounts are refused for a whole window. A process was suspended while it was
    // the collector; when it resumes it collects for itself alone, and at the next election the
    // others return to it with their ledger. If it keeps its own ledger, they count there only once
    // what they admitted elsewhere has left the window.
    play(async {
        let group = spending_group().await;
        let collector = group.collector();
        let alone = &group.processes[(collector + 1) % PROCESSES].node;
        let member = alone.mesh.borrow().view.me().clone();
        for _ in 0..13 {
            sleep(Duration::from_millis(100)).await;
            let (now, true_now) = (alone.clock.now(), alone.true_now());
            alone.mesh.borrow_mut().view.follow_collector(member.clone(), true_now, now);
        }
        assert_eq!(group.processes.iter().filter(|process| has_ledger(process)).count(), 2);

        let node = &group.processes[collector].node;
        let (now, true_now) = (node.clock.now(), node.true_now());
        node.mesh.borrow_mut().view.follow_collector(member, true_now, now);
        sleep(REPORTED * 2).await;

        let others =
            group.processes.iter().filter(|process| !std::rc::Rc::ptr_eq(&process.node, alone));
        assert!(others.clone().all(spend), "{:?}", ledgers(&group));
    });
}

#[test]
fn a_lost_ledger_is_taken_for_what_it_promised_once() {
    // Callers of all accounts are refused for a window after each loss of the collector. The other
    // processes report to the next collector at once, and it starts a ledger. Its own report to the
    // lost collector is still in flight and must not make it give that ledger away and start
    // another, in which the promises of the first would count as spent.
    play(async {
        for offset in 0..5 {
            let mut group = spending_group().await;
            sleep(Duration::from_millis(50 * offset)).await;
            let collector = group.collector();

            group.kill(&[collector], Duration::from_secs(2)).await;
            sleep(REPORTED * 2).await;

            let ledgers = ledgers(&group);
            assert_eq!(ledgers.len(), 1, "{ledgers:?}");
            let (spent, reported) = (ledgers[0].0, PROCESSES as u64 * TOKENS);
            // The burst, 1.2 s at the account's rate, and what the processes held.
            let promised = RATE * 3;
            assert!(spent <= reported + promised, "{offset}: {ledgers:?}");
        }
    });
}

/// Guards against an account that gets its limit twice: the store comes back from a copy without the
/// windows, and all processes are killed before they are written again.
#[test]
fn a_ledger_begins_with_full_windows_if_the_store_lost_them() {
    play(async {
        let mut group = spending_group().await;
        group.set_all(StoreMode::Refused);
        let copy = group.copy_without(&[FeedKind::Windows]);
        group.go_back(copy);

        group.kill(&(0..PROCESSES).collect::<Vec<_>>(), Duration::from_millis(300)).await;
        sleep(Duration::from_secs(4)).await;

        assert!(group.processes.iter().any(has_ledger));
        assert!(!group.processes.iter().any(spend));
    });
}
