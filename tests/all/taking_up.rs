//! Streams that callers take up after all processes were killed, and at processes that relay them: each stream has
//! events of one software version, and of the service that began it.

use crate::front::request;
use crate::origins::{Attempt, PlayOutcome, STREAMS, StreamBook, VersionPlay, rules, versioned};
use crate::path::PathMode;
use crate::plays::play;
use crate::unframed::view;
use oleandertack::plat::FeedKind;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Endpoints of each of two versions.
const ENDPOINTS: usize = 3;
const DOWNTIME: Duration = Duration::from_millis(300);

/// When the endpoints of the version that began the streams leave the list.
#[derive(Clone, Copy, Debug)]
enum OldVersion {
    Stays,
    LeavesBeforeKill,
    LeavesWhileDown,
    LeavesAfterStart,
}

/// Streams begin at one version, a second one appears, and all processes are killed. The streams are taken up `pause`
/// after the processes are back.
async fn take_up_after_kill_of_all(
    old_version: OldVersion,
    pause: Duration,
    change_rules: impl Fn(&VersionPlay),
) -> PlayOutcome {
    let mut play = VersionPlay::start(3, &["v1"; ENDPOINTS], StreamBook::breaking(2)).await;
    let begun = play.begin_all(0).await;
    play.list(&["v2"; ENDPOINTS]).await;
    sleep(Duration::from_secs(1)).await;
    change_rules(&play);
    sleep(Duration::from_millis(500)).await;

    let leave = |play: &VersionPlay| {
        (0..ENDPOINTS).for_each(|number| play.group.registry().remove(&format!("r-{number}")));
    };
    if matches!(old_version, OldVersion::LeavesBeforeKill) {
        leave(&play);
        sleep(Duration::from_millis(100)).await;
    }
    if matches!(old_version, OldVersion::LeavesWhileDown) {
        leave(&play);
    }
    play.group.kill(&[0, 1, 2], DOWNTIME).await;
    play.group.until_ready().await;
    if matches!(old_version, OldVersion::LeavesAfterStart) {
        leave(&play);
        sleep(Duration::from_millis(100)).await;
    }
    sleep(pause).await;
    play.take_up_all(&[0, 1, 2], begun).await
}

/// A restarted process takes the version that it finds on the list for the one that began a stream.
#[test]
fn no_stream_changes_its_version_whenever_the_old_one_leaves_around_a_kill_of_all() {
    use OldVersion::{LeavesAfterStart, LeavesBeforeKill, LeavesWhileDown, Stays};
    for old_version in [Stays, LeavesBeforeKill, LeavesWhileDown, LeavesAfterStart] {
        for pause in [0, 2000, 4000].map(Duration::from_millis) {
            play(async {
                let outcome = take_up_after_kill_of_all(old_version, pause, |_| {}).await;

                assert_eq!(outcome.mixed, 0, "{old_version:?} {pause:?} {outcome:?}");
            });
        }
    }
}

/// The memory of all processes ends, and with it who knows at which version a stream began.
#[test]
fn streams_go_on_after_a_kill_of_all_while_two_versions_serve() {
    for pause in [0, 2000, 4000].map(Duration::from_millis) {
        play(async {
            let outcome = take_up_after_kill_of_all(OldVersion::Stays, pause, |_| {}).await;

            assert_eq!(outcome.mixed, 0, "{pause:?} {outcome:?}");
            assert!(outcome.whole >= STREAMS / 2, "{pause:?} {outcome:?}");
        });
    }
}

/// A store that comes back from an older copy lacks what it had taken, and all processes are killed after it.
#[test]
fn streams_go_on_after_a_kill_of_all_although_the_store_went_back() {
    play(async {
        let pause = Duration::from_secs(2);
        let go_back = |play: &VersionPlay| {
            let copy = play.group.copy_without(&[FeedKind::Origins]);
            play.group.write_others(20);
            play.group.go_back(copy);
        };

        let outcome = take_up_after_kill_of_all(OldVersion::Stays, pause, go_back).await;

        assert_eq!(outcome.mixed, 0, "{outcome:?}");
        assert!(outcome.whole >= STREAMS / 2, "{outcome:?}");
    });
}

/// Rules that shorten the timeouts make a restarted process believe that no earlier stream can still be taken up.
#[test]
fn no_stream_changes_its_version_after_the_timeouts_were_shortened() {
    play(async {
        let shorten = |play: &VersionPlay| {
            let shorter = rules().replace("\"version\":8", "\"version\":9");
            play.group.put_rules(&shorter.replace("\"timeout-ms\":4000", "\"timeout-ms\":1000"));
        };
        let pause = Duration::from_secs(3);

        let outcome = take_up_after_kill_of_all(OldVersion::LeavesBeforeKill, pause, shorten).await;

        assert_eq!(outcome.mixed, 0, "{outcome:?}");
    });
}

/// A peer to which a take-up is relayed chooses the service of a split route anew.
#[test]
fn a_relayed_stream_is_taken_up_at_the_service_that_began_it() {
    play(async {
        let book = StreamBook::breaking(2);
        let play = VersionPlay::start(3, &[], book.clone()).await;
        let split = r#""traffic-split":[{"service":"s","weight":50},{"service":"t","weight":50}],"max-attempts":2,"stream-resume""#;
        let second = r#""services":[{"name":"t","health-check":"/health","max-connections":100},"#;
        let split_rules = rules()
            .replace("\"version\":8", "\"version\":9")
            .replace(r#""service":"s","max-attempts":2,"stream-resume""#, split)
            .replace("\"services\":[", second);
        play.group.put_rules(&split_rules);
        for (number, service) in ["s", "t", "s", "t"].into_iter().enumerate() {
            let text = if service == "s" { "of s" } else { "of t" };
            let address = versioned(text, book.clone()).await;
            let body = format!(
                r#"{{"service":"{service}","address":"{address}","zone":"near","version":"v1","slots":20,"state":"ready","seq":1}}"#
            );
            play.group.registry().put(&format!("split-{number}"), body);
        }
        sleep(Duration::from_secs(2)).await;
        play.group.paths[0].set(PathMode::Reset);
        let notice = request("POST", "/any/a", "notice", "", "");
        crate::front::ask(play.group.processes[0].address(), &notice).await;
        sleep(Duration::from_secs(2)).await;
        let begun = play.begin_all(0).await;

        let outcome = play.take_up_all(&[0], begun).await;

        assert_eq!(outcome.mixed, 0, "{outcome:?}");
        assert!(outcome.whole > 0, "{outcome:?}");
    });
}

/// Each of many processes writes what it knows as often as one of few does, and the store refuses the calls of all.
#[test]
fn many_processes_write_where_streams_began_within_their_share_of_the_store() {
    const PROCESSES: usize = 90;
    const WRITES_PER_S: f64 = 40.0;
    play(async {
        let play = VersionPlay::start(PROCESSES, &["v1", "v2"], StreamBook::breaking(2)).await;
        let (since, before) = (Instant::now(), play.group.writes(FeedKind::Origins));

        for round in 0..20 {
            for process in 0..PROCESSES {
                let id = format!("round-{round}-{process}");
                let attempt = Attempt { id: &id, key: "key-1", takes_up: None };
                view(&mut play.send(process, process, &attempt).await).await;
            }
            sleep(Duration::from_millis(200)).await;
        }

        let writes = (play.group.writes(FeedKind::Origins) - before) as f64;
        let most = since.elapsed().as_secs_f64() * WRITES_PER_S;
        assert!(writes > most / 4.0, "{writes} writes are too few to tell, {most} may come");
        assert!(writes <= most, "{writes} writes, {most} may come");
    });
}
