//! Processes that lose their way to all endpoints, while callers, the store and the other processes
//! still reach them; in virtual time.

use crate::path::PathMode;
use crate::plays::{ProcessGroup, play};
use crate::speaking::start_signal_endpoints;
use crate::tried_once::TriedOnce;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval between the requests of the callers at one process.
const REQUEST_PERIOD: Duration = Duration::from_millis(60);
/// Time after the beginning of a cut from which on the operators count what callers get.
const CONTACT_TIME: Duration = Duration::from_millis(3000);
/// How long a cut lasts.
const CUT_TIME: Duration = Duration::from_secs(6);

/// Processes and endpoints, with callers at each process.
struct CutTest {
    group: ProcessGroup,
    callers: Rc<TriedOnce>,
}

impl CutTest {
    async fn start(processes: usize, endpoints: usize) -> Self {
        Self::start_with((processes, endpoints), REQUEST_PERIOD).await
    }

    /// Like [`CutTest::start`], with a request a `period` at each process.
    async fn start_with((processes, endpoints): (usize, usize), period: Duration) -> Self {
        let group = ProcessGroup::start(processes).await;
        group.remove_first_endpoints();
        start_signal_endpoints(&group.registry(), endpoints).await;
        sleep(Duration::from_secs(2)).await;
        let callers = TriedOnce::start(&group, period);
        sleep(Duration::from_secs(2)).await;
        CutTest { group, callers }
    }

    fn cut(&self, processes: &[usize], mode: PathMode) {
        processes.iter().for_each(|at| self.group.paths[*at].set(mode));
    }

    /// Cuts some processes off for a while, and asserts that the callers of these are served as the
    /// operators demand.
    async fn assert_served_through_cut(&self, processes: &[usize], mode: PathMode) {
        self.cut(processes, mode);
        sleep(CONTACT_TIME).await;
        self.callers.failed.take();
        let before = self.callers.counts.borrow().clone();
        sleep(CUT_TIME).await;
        self.callers.ends.set(true);
        sleep(Duration::from_secs(2)).await;
        let after = self.callers.counts.borrow().clone();
        let of = |wanted: bool| {
            let chosen = (0..after.len()).filter(|at| processes.contains(at) == wanted);
            chosen.fold((0, 0), |(asked, served), at| {
                let (asked_now, served_now) = (after[at].asked, after[at].served);
                (asked + asked_now - before[at].asked, served + served_now - before[at].served)
            })
        };
        let ((asked, served), (others, others_served)) = (of(true), of(false));
        let failed = self.callers.failed.borrow().iter().take(5).cloned().collect::<Vec<_>>();
        assert!(asked > 100, "{asked} asked");
        assert!(
            served * 3 * others >= 2 * others_served * asked
                || asked - served <= 10 + (asked + others) / 50,
            "served {served} of {asked}, the others {others_served} of {others}: {failed:#?}"
        );
        assert!(
            others_served * 100 >= others * 98,
            "the others {others_served} of {others}: {failed:#?}"
        );
    }
}

/// Six of nine processes lose their way to all endpoints; open connections are reset and new ones refused.
#[test]
fn callers_are_served_where_connections_to_all_endpoints_are_reset_and_refused() {
    play(async {
        let test = CutTest::start(9, 6).await;

        test.assert_served_through_cut(&[0, 1, 2, 3, 4, 5], PathMode::Reset).await;
    });
}

/// Six of nine processes lose their way to all endpoints; open and new connections hang.
#[test]
fn callers_are_served_where_connections_to_all_endpoints_hang() {
    play(async {
        let test = CutTest::start(9, 6).await;

        test.assert_served_through_cut(&[0, 1, 2, 3, 4, 5], PathMode::Hanging).await;
    });
}

/// Six of nine processes can't open connections to endpoints any more, and open ones live on.
#[test]
fn callers_are_served_where_only_open_connections_to_endpoints_work() {
    play(async {
        let test = CutTest::start(9, 6).await;

        test.assert_served_through_cut(&[0, 1, 2, 3, 4, 5], PathMode::NewRefused).await;
    });
}

/// The collector and all but one of the processes are cut off.
#[test]
fn callers_are_served_where_the_collector_has_no_path() {
    play(async {
        let test = CutTest::start(5, 6).await;
        let collector = test.group.collector();
        let kept = (collector + 1) % 5;
        let cut: Vec<usize> = (0..5).filter(|at| *at != kept).collect();

        test.assert_served_through_cut(&cut, PathMode::Hanging).await;
    });
}

/// Other processes are cut off while the first are, and these have their way back a moment later.
#[test]
fn callers_are_served_through_cuts_that_follow_one_another() {
    play(async {
        let test = CutTest::start(9, 6).await;
        test.cut(&[0, 1, 2], PathMode::Reset);
        sleep(Duration::from_secs(4)).await;
        test.cut(&[3, 4, 5, 6], PathMode::Hanging);
        sleep(Duration::from_millis(500)).await;
        test.cut(&[0, 1, 2], PathMode::Open);

        test.assert_served_through_cut(&[3, 4, 5, 6], PathMode::Hanging).await;
    });
}

/// Sixty processes, of which two thirds are cut off, with a request a second each.
#[test]
fn callers_are_served_where_forty_of_sixty_processes_have_no_path() {
    play(async {
        let test = CutTest::start_with((60, 12), Duration::from_secs(1)).await;
        let cut: Vec<usize> = (0..40).collect();

        test.assert_served_through_cut(&cut, PathMode::Hanging).await;
    });
}

/// A peer is asked to stop while it serves relayed requests: none of them may be cut.
#[test]
fn a_planned_stop_of_a_peer_cuts_no_relayed_request() {
    play(async {
        let mut test = CutTest::start(4, 6).await;
        test.cut(&[0, 1], PathMode::Reset);
        sleep(CONTACT_TIME).await;
        test.callers.failed.take();

        let stopping = test.group.processes.remove(3);
        test.callers.leave(3);
        stopping.stop().await;
        sleep(Duration::from_secs(2)).await;

        let failed = test.callers.failed.borrow();
        let cut = failed.iter().filter(|text| !text.contains("HTTP/1.1 503"));
        assert_eq!(cut.count(), 0, "{failed:#?}");
        assert!(failed.len() < 5, "{failed:#?}");
    });
}
