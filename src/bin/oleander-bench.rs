//! Measurements and fault runs, on stand-ins. For developers only.

use oleandertack::gauge::claims::curve_text;
use oleandertack::gauge::latency::{AddedLatency, measure_latency, measure_rate};
use oleandertack::gauge::page::{CapacityData, capacity_tables};
use oleandertack::gauge::plot::plot_samples;
use oleandertack::gauge::policy::{policy_text, sweep_text};
use oleandertack::gauge::{measure_decisions, sample_cluster, spread_time};
use oleandertack::rig::{RigFault, matrix_text, run_chaos, run_matrix};
use std::process::ExitCode;

const HELP: &str = "\
oleander-bench: measurements and fault runs on stand-ins

  oleander-bench matrix [pairs]        every fault (or some pairs) at every step, as a table
  oleander-bench chaos FIRST COUNT     concurrent runs under random faults, a seed each
  oleander-bench claims                claims a second and latency against linger
  oleander-bench policy                routing policies against one another
  oleander-bench sweep                 the router's knobs against one another
  oleander-bench latency               what an entry adds to a call, and what it carries
  oleander-bench decisions FILE        costs of decisions at 370 nodes, into the capacity data
  oleander-bench sample FILE PHASE SECONDS STANDIN PID=ADMIN...
                                       use of running entries, into the capacity data
  oleander-bench first-bundle STANDIN  submit the rig's bundle; prints its operator's public key
  oleander-bench plot FILE SVG         plots of the capacity data
  oleander-bench page FILE             tables of the capacity data
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
        ["decisions", file] => edit_data(file, |data| data.decisions = measure_decisions()),
        ["sample", file, phase, seconds, standin, processes @ ..] => {
            sample(file, (phase, seconds), standin, processes)
        }
        ["first-bundle", standin] => first_bundle(standin),
        ["claims"] => {
            print!("{}", curve_text(5));
            ExitCode::SUCCESS
        }
        ["policy"] => {
            print!("{}", policy_text(5));
            ExitCode::SUCCESS
        }
        ["sweep"] => {
            print!("{}", sweep_text(3));
            ExitCode::SUCCESS
        }
        ["latency"] => latency(),
        ["plot", file, svg] => plot(file, svg),
        ["page", file] => {
            print!("{}", capacity_tables(&read_data(file)));
            ExitCode::SUCCESS
        }
        _ => usage(),
    }
}

fn read_data(file: &str) -> CapacityData {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    serde_json::from_str(&text).unwrap_or_default()
}

fn edit_data(file: &str, edit: impl FnOnce(&mut CapacityData)) -> ExitCode {
    let mut data = read_data(file);
    edit(&mut data);
    let mut text = serde_json::to_string_pretty(&data).unwrap_or_default();
    text.push('\n');
    match std::fs::write(file, text) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("{file}: {fault}");
            ExitCode::FAILURE
        }
    }
}

/// Bundles submitted after each idle sample.
const SPREADS: usize = 5;

fn sample(
    file: &str,
    (phase, seconds): (&str, &str),
    standin: &str,
    processes: &[&str],
) -> ExitCode {
    let seconds = seconds.parse().unwrap_or(10);
    let processes: Vec<(u32, String)> = processes
        .iter()
        .filter_map(|word| word.split_once('='))
        .filter_map(|(pid, admin)| Some((pid.parse().ok()?, admin.to_owned())))
        .collect();
    let sampled = actix_rt::System::new().block_on(async {
        let mut sampled = sample_cluster(&processes, standin, phase, seconds).await;
        for _ in 0..if phase == "idle" { SPREADS } else { 0 } {
            match spread_time(&processes, standin).await {
                Ok(ms) => sampled.in_force_ms.push(ms),
                Err(fault) => eprintln!("{fault}"),
            }
        }
        sampled
    });
    edit_data(file, |data| data.samples.push(sampled))
}

fn latency() -> ExitCode {
    const RUNS: usize = 5;
    for _ in 0..RUNS {
        let measured = actix_rt::System::new().block_on(measure_latency(2000));
        match measured {
            Ok(AddedLatency { direct, through }) => println!(
                "direct p50 {} p99 {} µs, through an entry p50 {} p99 {} µs: adds {} and {}",
                direct.p50,
                direct.p99,
                through.p50,
                through.p99,
                through.p50.saturating_sub(direct.p50),
                through.p99.saturating_sub(direct.p99),
            ),
            Err(fault) => {
                eprintln!("{fault}");
                return ExitCode::FAILURE;
            }
        }
    }
    for _ in 0..RUNS {
        match actix_rt::System::new().block_on(measure_rate(400, 3)) {
            Ok(rate) => println!(
                "one entry, 400 callers: {:.0} calls/s, {:.0} tokens/s",
                rate.calls_per_s, rate.tokens_per_s
            ),
            Err(fault) => eprintln!("{fault}"),
        }
    }
    ExitCode::SUCCESS
}

fn first_bundle(standin: &str) -> ExitCode {
    let bundle = oleandertack::rig::cluster::rig_bundle(1, "");
    let store = oleandertack::ctl::platform::open_store(standin);
    let submitted = actix_rt::System::new()
        .block_on(async move { oleandertack::ctl::platform::submit(&store, &bundle).await });
    if let Err(fault) = submitted {
        eprintln!("{fault}");
        return ExitCode::FAILURE;
    }
    println!("{}", oleandertack::rig::cluster::operator().public_hex());
    ExitCode::SUCCESS
}

fn plot(file: &str, svg: &str) -> ExitCode {
    let data = read_data(file);
    let drawn = plot_samples(
        &data.samples,
        &[
            ("percent of a core a node", |s| s.cpu_percent),
            ("peer bytes a second a node", |s| s.peer_bytes_s),
            ("store calls a second, all nodes", |s| {
                s.store_reads_s + s.store_watches_s + s.store_writes_s
            }),
            ("memory a node, MB", |s| s.memory_mb),
        ],
        std::path::Path::new(svg),
    );
    match drawn {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("{svg}: {fault}");
            ExitCode::FAILURE
        }
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
