//! A short soak: real front processes, faults from outside, promises checked by what callers and
//! endpoints see. Longer ones are run by hand: docs/SOAK.md.

use oleander_soak::{SoakSettings, run_seed};
use std::path::PathBuf;
use std::time::Duration;

fn settings(seed: u64) -> SoakSettings {
    let folder =
        std::env::temp_dir().join(format!("oleander-soak-ci-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for logs");
    SoakSettings {
        seed,
        program: PathBuf::from(env!("CARGO_BIN_EXE_oleander-front")),
        folder,
        fronts: 3,
        callers: 8,
        faults: Duration::from_secs(5),
        planned: Duration::from_secs(3),
    }
}

/// Processes are killed, paused and stopped, ways to them cut and silenced, the store is away: what
/// callers are told stays true, and all is served once it is over.
#[test]
fn promises_hold_through_a_short_series_of_faults() {
    let settings = settings(1);

    let report = actix_rt::System::new().block_on(run_seed(&settings)).expect("it starts");

    assert!(report.broken.is_empty(), "{:#?}\n{:#?}", report.broken, report.made);
    assert!(report.counts.0 > 100, "{:?}", report.counts);
    assert!(!report.made.is_empty());
    std::fs::remove_dir_all(settings.folder).expect("the logs of a run that passed");
}

/// A caller's request ends each endpoint that runs it and comes again at any process, while processes are killed
/// and paused: it is held back once three have ended, and nobody else's request is.
#[test]
fn a_request_that_ends_endpoints_is_held_back_through_a_short_series_of_faults() {
    let settings = settings(8001);

    let report = actix_rt::System::new().block_on(run_seed(&settings)).expect("it starts");

    assert!(report.broken.is_empty(), "{:#?}\n{:#?}", report.broken, report.made);
    assert!(report.counts.0 > 100, "{:?}", report.counts);
    assert!(report.ends >= 3, "{} endpoints ended", report.ends);
    std::fs::remove_dir_all(settings.folder).expect("the logs of a run that passed");
}

/// Operators see an account above its limit when it sends up to thirty times that while processes are killed and
/// paused: its limit holds, and it is not kept by refusing everything.
#[test]
fn an_account_keeps_to_its_limit_through_a_short_series_of_faults() {
    let settings = settings(9000);

    let report = actix_rt::System::new().block_on(run_seed(&settings)).expect("it starts");

    assert!(report.broken.is_empty(), "{:#?}\n{:#?}", report.broken, report.made);
    assert!(report.pressing.1 > 100, "{:?}", report.pressing);
    std::fs::remove_dir_all(settings.folder).expect("the logs of a run that passed");
}

/// Operators see endpoints in need get more than the limit that they named, one, a domain's or all, while processes are killed
/// and stopped.
#[test]
fn endpoints_keep_to_their_own_limits_through_a_short_series_of_faults() {
    let settings = SoakSettings { planned: Duration::from_secs(14), ..settings(10_000) };

    let report = actix_rt::System::new().block_on(run_seed(&settings)).expect("it starts");

    assert!(report.broken.is_empty(), "{:#?}\n{:#?}", report.broken, report.made);
    assert!(report.counts.0 > 100, "{:?}", report.counts);
    std::fs::remove_dir_all(settings.folder).expect("the logs of a run that passed");
}

/// Operators see requests at endpoints that said they leave, or asked for rest, one, a domain's or all, while processes are
/// killed and stopped.
#[test]
fn endpoints_that_leave_or_rest_are_left_alone_through_a_short_series_of_faults() {
    let settings = SoakSettings { planned: Duration::from_secs(14), ..settings(11_000) };

    let report = actix_rt::System::new().block_on(run_seed(&settings)).expect("it starts");

    assert!(report.broken.is_empty(), "{:#?}\n{:#?}", report.broken, report.made);
    assert!(report.counts.0 > 100, "{:?}", report.counts);
    std::fs::remove_dir_all(settings.folder).expect("the logs of a run that passed");
}
