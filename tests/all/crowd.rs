//! Callers that do not behave, many at once, against a real front process on a machine that is small by its settings.
//! The process must live, stay within that machine, and answer an ordinary caller.
//!
//! These tests run one at a time: `cargo test --test all crowd:: -- --test-threads 1`.

use crate::crowd_entry::{BODY_LIMIT, EntrySite};
use crate::crowd_site::{Crowd, CrowdSite, MEBIBYTE, Machine, REQUEST_LIMIT, Spelling};
use std::time::Duration;
use tokio::time::sleep;

/// A crowd that stays open may be counted on for this long.
const STAY: Duration = Duration::from_secs(2);

/// How long the request of a caller is on its way after it has connected.
const ROUND_TRIP: Duration = Duration::from_millis(20);

fn run<F: Future>(test: F) -> F::Output {
    actix_rt::System::new().block_on(test)
}

/// Sends a crowd that stays open to a process on a small machine, and checks what must hold.
fn check_crowd(crowd: &Crowd) {
    run(async {
        let site = CrowdSite::start(Machine::small()).await;

        let callers = site.send(crowd).await;
        sleep(STAY).await;

        site.assert_bounded();
        site.assert_answers_ordinary().await;
        site.assert_bounded();
        drop(callers);
    });
}

/// Guards against a process that runs out of memory as it keeps bodies whose last byte never comes.
#[test]
fn bodies_that_stop_before_their_end_do_not_fill_the_process() {
    check_crowd(&Crowd::bodies(32, Spelling::Whole));
}

/// Guards against the same where bodies come in many small pieces.
#[test]
fn bodies_in_pieces_that_stop_before_their_end_do_not_fill_the_process() {
    check_crowd(&Crowd::bodies(32, Spelling::Pieces(3000)));
}

/// Guards against bodies of unknown length that are kept until their connection is idle for too long.
#[test]
fn bodies_in_large_chunks_that_stop_before_their_end_do_not_fill_the_process() {
    check_crowd(&Crowd::bodies(32, Spelling::Chunks(64 << 10)));
}

/// Guards against chunks that cost more than their content.
#[test]
fn bodies_in_small_chunks_that_stop_before_their_end_do_not_fill_the_process() {
    check_crowd(&Crowd::bodies(48, Spelling::Chunks(8)).of_length(7 * MEBIBYTE / 4));
}

/// Guards against a process that is busy with chunks of one byte and answers nobody else.
#[test]
fn bodies_in_chunks_of_one_byte_leave_time_for_others() {
    check_crowd(&Crowd::bodies(16, Spelling::Chunks(1)).of_length(MEBIBYTE / 4));
}

/// Guards against keeping a body whose head says that it is too long.
#[test]
fn bodies_that_announce_too_much_do_not_fill_the_process() {
    check_crowd(&Crowd::bodies(32, Spelling::Announced(64 * MEBIBYTE)).of_length(8 * MEBIBYTE));
}

/// Guards against keeping a body up to the limit that it goes beyond.
#[test]
fn bodies_that_grow_beyond_the_limit_do_not_fill_the_process() {
    check_crowd(&Crowd::bodies(32, Spelling::Chunks(16 << 10)).of_length(8 * MEBIBYTE));
}

/// Guards against copies of whole bodies for each endpoint that is asked.
#[test]
fn whole_bodies_before_slow_endpoints_do_not_fill_the_process() {
    check_crowd(&Crowd::whole_requests(32, "/slow/a"));
}

/// Guards against keeping what is sent behind requests that have no answer yet.
#[test]
fn requests_behind_one_that_waits_do_not_fill_the_process() {
    check_crowd(&Crowd::pipelined(300, "/slow/a").of_length(MEBIBYTE / 4));
}

/// Guards against heads that are kept until their time is over.
#[test]
fn heads_that_stop_before_their_end_do_not_fill_the_process() {
    check_crowd(&Crowd::heads(1800));
}

/// Guards against callers that take all descriptors: then neither others nor endpoints, peers and the store are reached.
#[test]
fn silent_connections_leave_descriptors_for_others() {
    run(async {
        let site = CrowdSite::start(Machine::small().with_descriptors(456)).await;

        let callers = site.send(&Crowd::silent(600)).await;
        sleep(STAY).await;

        site.assert_bounded();
        site.assert_answers_ordinary().await;
        drop(callers);
    });
}

/// Guards against bodies whose callers send a byte now and then, which passes for progress, while a sound long body
/// finds no room.
#[test]
fn bodies_that_drip_give_way_to_a_long_body_that_arrives() {
    run(async {
        let site = CrowdSite::start(Machine::small()).await;

        let crowd = Crowd::bodies(32, Spelling::Dripped(Duration::from_millis(50)));
        let callers = site.send(&crowd).await;
        sleep(STAY).await;

        site.assert_bounded();
        site.assert_answers(REQUEST_LIMIT).await;
        site.assert_bounded();
        drop(callers);
    });
}

/// Guards against answers that are kept for callers who do not read them.
#[test]
fn answers_that_nobody_reads_do_not_fill_the_process() {
    check_crowd(&Crowd::whole_requests(128, "/large/a").of_length(10).that_read_nothing());
}

/// Guards against what was taken for a crowd and is not there for the next one.
#[test]
fn a_second_crowd_beside_the_first_does_not_fill_the_process() {
    run(async {
        let site = CrowdSite::start(Machine::small()).await;

        let first = site.send(&Crowd::bodies(32, Spelling::Whole)).await;
        let second = site.send(&Crowd::bodies(32, Spelling::Chunks(64 << 10))).await;
        sleep(STAY).await;

        site.assert_bounded();
        site.assert_answers_ordinary().await;
        site.assert_bounded();
        drop((first, second));
    });
}

/// Guards against bounds that hold one by one and not together.
#[test]
fn crowds_of_different_kinds_do_not_fill_the_process_together() {
    run(async {
        let site = CrowdSite::start(Machine::small().with_descriptors(1000)).await;

        let silent = site.send(&Crowd::silent(500)).await;
        let bodies = site.send(&Crowd::bodies(32, Spelling::Whole)).await;
        let heads = site.send(&Crowd::heads(600)).await;
        let whole = site.send(&Crowd::whole_requests(16, "/slow/a")).await;
        sleep(STAY).await;

        site.assert_bounded();
        site.assert_answers_ordinary().await;
        site.assert_bounded();
        drop((silent, bodies, heads, whole));
    });
}

/// Guards against a process that is started again among callers who all come back at once.
#[test]
fn a_process_that_starts_among_a_crowd_does_not_fill() {
    run(async {
        let mut site = CrowdSite::start(Machine::small().with_descriptors(456)).await;
        let crowd = Crowd::bodies(32, Spelling::Whole);
        let callers = site.send(&crowd).await;

        site.start_again().await;
        let again = site.send(&crowd).await;
        let silent = site.send(&Crowd::silent(400)).await;
        sleep(STAY).await;

        site.assert_bounded();
        site.assert_answers_ordinary().await;
        site.assert_bounded();
        drop((callers, again, silent));
    });
}

/// Guards against a process that takes all callers at once that wait when it stops, and has no descriptors left for what
/// it hands over.
#[test]
fn a_process_that_stops_among_a_crowd_leaves_descriptors_for_others() {
    const DESCRIPTORS: usize = 456;
    run(async {
        let mut site = CrowdSite::start(Machine::small().with_descriptors(DESCRIPTORS)).await;
        let callers = site.send(&Crowd::bodies(600, Spelling::Whole).of_length(1000)).await;
        site.assert_answers_ordinary().await;

        let most = site.stop_first().await;

        assert!(most < DESCRIPTORS, "{most} of {DESCRIPTORS} descriptors");
        drop(callers);
    });
}

/// Guards against a crowd at one process that fills another, which serves what the first cannot.
#[test]
fn requests_that_are_relayed_do_not_fill_the_peer() {
    run(async {
        let site = CrowdSite::start_pair(Machine::small()).await;

        let callers = site.send(&Crowd::whole_requests(32, "/slow/a")).await;
        sleep(STAY).await;

        site.assert_bounded();
        site.assert_answers_ordinary().await;
        site.assert_bounded();
        drop(callers);
    });
}

/// A request with the longest body is served in calm.
#[test]
fn the_longest_body_is_served_in_calm() {
    run(async {
        let site = CrowdSite::start(Machine::small()).await;

        site.assert_answers(REQUEST_LIMIT).await;

        site.assert_bounded();
    });
}

/// Guards against refusing everybody for what some callers announce and do not send.
#[test]
fn announced_bodies_leave_room_at_the_own_interface() {
    run(async {
        let site = EntrySite::start().await;

        let callers = site.send_bodies(12, (BODY_LIMIT, 0)).await;
        sleep(STAY).await;

        site.assert_bounded();
        site.assert_answers_ordinary().await;
        drop(callers);
    });
}

/// Guards against callers who announce bodies, send nothing, and hold all places of the own interface.
#[test]
fn announced_bodies_leave_places_at_the_own_interface() {
    run(async {
        let site = EntrySite::start().await;

        let callers = site.send_bodies(150, (BODY_LIMIT, 0)).await;
        sleep(STAY).await;

        site.assert_bounded();
        site.assert_answers_ordinary().await;
        drop(callers);
    });
}

/// Guards against a place that is taken from a caller whose request is on its way, for others who never send theirs.
#[test]
fn a_caller_that_has_just_connected_keeps_its_place_at_the_own_interface() {
    run(async {
        let site = EntrySite::start().await;
        let callers = site.announce_in_turn(150).await;

        let status = site.ask_after(ROUND_TRIP).await;

        assert_eq!(status, Some(200));
        drop(callers);
    });
}

/// Guards against a body that arrives and gives way to callers who have only announced theirs.
#[test]
fn a_body_that_arrives_keeps_its_place_at_the_own_interface() {
    run(async {
        let site = EntrySite::start().await;
        let arriving = site.send_steadily();
        let crowding = async {
            sleep(STAY / 8).await;
            site.announce_in_turn(150).await
        };

        let (status, callers) = tokio::join!(arriving, crowding);

        assert_eq!(status, Some(200));
        drop(callers);
    });
}

/// Guards against announced bodies that are given the memory of earlier ones, which no account counts any more.
#[test]
fn announced_bodies_do_not_keep_the_memory_of_earlier_ones() {
    run(async {
        let site = EntrySite::start().await;

        let mut callers = Vec::new();
        for _ in 0..3 {
            callers.push(site.send_bodies(8, (BODY_LIMIT, BODY_LIMIT - 1)).await);
            callers.push(site.send_bodies(8, (BODY_LIMIT, 1)).await);
        }

        site.assert_bounded();
        site.assert_answers_ordinary().await;
        drop(callers);
    });
}

/// Guards against bodies whose last byte never comes and that hold all room of the own interface.
#[test]
fn bodies_that_stop_before_their_end_leave_room_at_the_own_interface() {
    run(async {
        let site = EntrySite::start().await;

        let callers = site.send_bodies(32, (BODY_LIMIT, BODY_LIMIT - 1)).await;
        sleep(STAY).await;

        site.assert_bounded();
        site.assert_answers_ordinary().await;
        site.assert_bounded();
        drop(callers);
    });
}

/// Guards against silent connections that take all descriptors of the own interface.
#[test]
fn silent_connections_leave_descriptors_at_the_own_interface() {
    run(async {
        let site = EntrySite::start().await;

        let callers = site.send_nothing(600).await;
        sleep(STAY).await;

        site.assert_bounded();
        site.assert_answers_ordinary().await;
        drop(callers);
    });
}

/// Guards against connections that rest after an answer and hold all places of the own interface.
#[test]
fn resting_connections_leave_places_at_the_own_interface() {
    run(async {
        let site = EntrySite::start().await;

        let callers = site.send_once(150).await;

        site.assert_bounded();
        site.assert_answers_ordinary().await;
        drop(callers);
    });
}
