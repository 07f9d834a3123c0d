//! Reads what running processes use: processor time, memory, peer traffic, store calls.

use oleander_rig::cluster::rig_bundle;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::time::{Duration, Instant};

/// Clock ticks a second, as Linux reports processor time.
const TICKS_PER_S: f64 = 100.0;
/// Bytes in a page of memory.
const PAGE_BYTES: f64 = 4096.0;
const ANSWER_LIMIT: usize = 16 << 20;

/// One cluster's use over a time, by process and second.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClusterSample {
    /// Entries.
    pub entries: usize,
    /// What went on: `idle` or `load`.
    pub phase: String,
    /// Length of the sample, in seconds.
    pub seconds: f64,
    /// Percent of a core, mean over processes.
    pub cpu_percent: f64,
    /// The busiest process' percent of a core.
    pub cpu_percent_most: f64,
    /// Resident memory, mean, in megabytes.
    pub memory_mb: f64,
    /// Bytes a second to and from peers, mean.
    pub peer_bytes_s: f64,
    /// The same of the busiest process.
    pub peer_bytes_s_most: f64,
    /// Frames a second to and from peers, mean.
    pub peer_frames_s: f64,
    /// Store reads a second, over all processes.
    pub store_reads_s: f64,
    /// Store watches a second, over all processes.
    pub store_watches_s: f64,
    /// Store writes a second, over all processes.
    pub store_writes_s: f64,
    /// Reads of the endpoint list a second, over all processes.
    pub list_reads_s: f64,
    /// Time until a new bundle was in force everywhere, in milliseconds; several tries.
    pub in_force_ms: Vec<u64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ProcessReading {
    cpu_s: f64,
    memory_mb: f64,
    peer_bytes: f64,
    peer_frames: f64,
}

async fn get(url: &str) -> Value {
    let client = awc::Client::builder().timeout(Duration::from_secs(5)).finish();
    let Ok(mut response) = client.get(url).send().await else { return Value::Null };
    response.json().limit(ANSWER_LIMIT).await.unwrap_or_default()
}

fn read_proc(pid: u32) -> (f64, f64) {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The fields after the program's name, which may hold blanks.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let number = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok());
    let ticks = number(11).unwrap_or(0.0) + number(12).unwrap_or(0.0);
    let pages = number(21).unwrap_or(0.0);
    (ticks / TICKS_PER_S, pages * PAGE_BYTES / 1e6)
}

async fn read_process(pid: u32, admin: &str) -> ProcessReading {
    let state = get(&format!("http://{admin}/state")).await;
    let traffic = &state["summaries"]["peer_traffic"];
    let number = |name: &str| traffic[name].as_f64().unwrap_or(0.0);
    let (cpu_s, memory_mb) = read_proc(pid);
    ProcessReading {
        cpu_s,
        memory_mb,
        peer_bytes: number("sent") + number("received") - number("held"),
        peer_frames: number("frames"),
    }
}

async fn read_all(processes: &[(u32, String)]) -> Vec<ProcessReading> {
    let mut readings = Vec::with_capacity(processes.len());
    for (pid, admin) in processes {
        readings.push(read_process(*pid, admin).await);
    }
    readings
}

/// Samples `processes` (process id and admin address) and the stand-in for `seconds`.
pub async fn sample_cluster(
    processes: &[(u32, String)],
    standin: &str,
    phase: &str,
    seconds: u64,
) -> ClusterSample {
    let counts_before = get(&format!("{standin}/object-counts")).await;
    let lists_before = get(&format!("{standin}/list-counts")).await;
    let before = read_all(processes).await;
    let began = Instant::now();
    actix_rt::time::sleep(Duration::from_secs(seconds)).await;
    let passed = began.elapsed().as_secs_f64();
    let after = read_all(processes).await;
    let counts_after = get(&format!("{standin}/object-counts")).await;
    let lists_after = get(&format!("{standin}/list-counts")).await;
    let pairs = || before.iter().zip(&after);
    let count = processes.len().max(1) as f64;
    let cpu: Vec<f64> = pairs().map(|(a, b)| (b.cpu_s - a.cpu_s) / passed * 100.0).collect();
    let bytes: Vec<f64> = pairs().map(|(a, b)| (b.peer_bytes - a.peer_bytes) / passed).collect();
    let frames: f64 = pairs().map(|(a, b)| (b.peer_frames - a.peer_frames) / passed).sum();
    let most = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    let rate = |before: &Value, after: &Value, name: &str| {
        (after[name].as_f64().unwrap_or(0.0) - before[name].as_f64().unwrap_or(0.0)) / passed
    };
    ClusterSample {
        entries: processes.len(),
        phase: phase.to_owned(),
        seconds: passed,
        cpu_percent: cpu.iter().sum::<f64>() / count,
        cpu_percent_most: most(&cpu),
        memory_mb: after.iter().map(|reading| reading.memory_mb).sum::<f64>() / count,
        peer_bytes_s: bytes.iter().sum::<f64>() / count,
        peer_bytes_s_most: most(&bytes),
        peer_frames_s: frames / count,
        store_reads_s: rate(&counts_before, &counts_after, "reads"),
        store_watches_s: rate(&counts_before, &counts_after, "watches"),
        store_writes_s: rate(&counts_before, &counts_after, "writes"),
        list_reads_s: rate(&lists_before, &lists_after, "reads"),
        in_force_ms: Vec::new(),
    }
}

/// Submits the next bundle and waits until every process has it in force. Returns the time from
/// acceptance, in milliseconds.
///
/// # Errors
/// What went wrong, or that it took more than half a minute.
pub async fn spread_time(processes: &[(u32, String)], standin: &str) -> Result<u64, String> {
    const LIMIT: Duration = Duration::from_secs(30);
    let store = oleander_ctl::platform::open_store(standin);
    let accepted = oleander_ctl::platform::read_accepted(&store).await;
    let accepted = accepted.map_err(|fault| fault.to_string())?;
    let (generation, parent) = accepted.map_or((0, String::new()), |bundle| {
        (bundle.content.generation, bundle.content.digest().to_string())
    });
    let next = rig_bundle(generation + 1, &parent);
    let submitted = oleander_ctl::platform::submit(&store, &next).await;
    submitted.map_err(|fault| fault.to_string())?;
    let began = Instant::now();
    for (_, admin) in processes {
        let url = format!("http://{admin}/generation");
        loop {
            if get(&url).await.as_u64().unwrap_or(0) > generation {
                break;
            }
            if began.elapsed() > LIMIT {
                return Err(format!("{admin} does not have generation {}", generation + 1));
            }
            actix_rt::time::sleep(Duration::from_millis(2)).await;
        }
    }
    Ok(u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX))
}
