//! Measurements and fault runs, on stand-ins. For developers only.

use oleandertack::rig::{RigFault, matrix_text, run_chaos, run_matrix};
use std::process::ExitCode;

const HELP: &str = "\
oleander-bench: measurements and fault runs on stand-ins

  oleander-bench matrix [pairs]        every fault (or some pairs) at every step, as a table
  oleander-bench chaos FIRST COUNT     concurrent runs under random faults, a seed each
";

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["matrix"] => matrix(RigFault::ALL.iter().map(|fault| vec![*fault]).collect()),
        ["matrix", "pairs"] => matrix(pairs()),
        ["chaos", first, count] => match (first.parse(), count.parse()) {
            (Ok(first), Ok(count)) => chaos(first, count),
            _ => usage(),
        },
        _ => usage(),
    }
}

fn usage() -> ExitCode {
    eprint!("{HELP}");
    ExitCode::from(2)
}

/// Pairs in which the second fault meets what the first one left.
fn pairs() -> Vec<Vec<RigFault>> {
    use RigFault::*;
    vec![
        vec![StoreDown, StopEntry],
        vec![StoreDown, ReclaimDomain],
        vec![StoreDown, KillEntry],
        vec![LoseAnswers, KillEntry],
        vec![LoseAnswers, PauseEntry],
        vec![ReclaimDomain, StopEntry],
        vec![ReclaimDomain, KillEntry],
        vec![ListStale, EndDomain],
        vec![StopOther, StopEntry],
        vec![CutAfterRun, KillEntry],
        vec![CutStreams, StopEntry],
        vec![StoreStale, KillEntry],
    ]
}

const CELLS_AT_ONCE: usize = 6;

fn matrix(rows: Vec<Vec<RigFault>>) -> ExitCode {
    let matrix = run_matrix(&rows, 1, CELLS_AT_ONCE);
    print!("{}", matrix_text(&matrix));
    let mut failed = 0;
    for cell in matrix.iter().flat_map(|row| &row.cells) {
        match cell {
            Ok(outcome) if outcome.broken.is_empty() => {}
            Ok(outcome) => {
                failed += 1;
                eprintln!("{:?}", outcome.broken);
            }
            Err(fault) => {
                failed += 1;
                eprintln!("{fault}");
            }
        }
    }
    println!(
        "\n{} cells, {failed} failed",
        matrix.iter().map(|row| row.cells.len()).sum::<usize>()
    );
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn chaos(first: u64, count: u64) -> ExitCode {
    let next = std::sync::atomic::AtomicU64::new(first);
    let failed = std::sync::atomic::AtomicU64::new(0);
    let tally = std::sync::Mutex::new(std::collections::BTreeMap::<String, usize>::new());
    std::thread::scope(|scope| {
        for _ in 0..CELLS_AT_ONCE {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                    if seed >= first + count {
                        return;
                    }
                    let outcome = actix_rt::System::new().block_on(run_chaos(seed));
                    let bad = match &outcome {
                        Ok(outcome) => !outcome.broken.is_empty(),
                        Err(_) => true,
                    };
                    if bad {
                        failed.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                    }
                    match outcome {
                        Ok(outcome) => {
                            if bad {
                                println!("seed {seed}: {:?} {:?}", outcome.faults, outcome.broken);
                            }
                            let Ok(mut tally) = tally.lock() else { return };
                            for call in &outcome.calls {
                                *tally
                                    .entry(format!("{:?} {:?}", call.kind, call.end))
                                    .or_default() += 1;
                            }
                        }
                        Err(fault) => println!("seed {seed}: {fault}"),
                    }
                }
            });
        }
    });
    for (end, count) in tally.into_inner().unwrap_or_default() {
        println!("{count:>6} {end}");
    }
    let failed = failed.into_inner();
    println!("{count} runs, {failed} failed");
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
