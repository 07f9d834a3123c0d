//! What an entry adds to a call, and what it can carry, beside direct calls in the same run.

use oleander_load::report::TimeSummary;
use oleander_rig::cluster::{CALLER_KEY, MODEL, PLAIN, Rig, RigSettings};
use std::time::{Duration, Instant};

/// Warm-up calls before any counts.
const WARM_UP: usize = 200;

/// Latencies of direct calls and of calls through an entry, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct AddedLatency {
    /// Straight to the endpoint.
    pub direct: TimeSummary,
    /// Through an entry.
    pub through: TimeSummary,
}

/// Measures `calls` idempotent calls each way, in turn.
///
/// # Errors
/// If the rig does not come up or a call fails.
pub async fn measure_latency(calls: usize) -> Result<AddedLatency, String> {
    let settings = RigSettings { entries: 1, engines: 1, plains: 1, ..RigSettings::default() };
    let rig = Rig::start(settings, |_, _| None).await?;
    let list = rig.endpoint_addresses(PLAIN).await;
    let endpoint = list.first().ok_or("no plain endpoint")?;
    let client = awc::Client::builder().timeout(Duration::from_secs(5)).finish();
    let direct = format!("http://{endpoint}/labels");
    let through = format!("http://{}/{PLAIN}/labels", rig.entries[0].address);
    let mut times = (Vec::new(), Vec::new());
    for at in 0..calls + WARM_UP {
        let one = timed(&client, &direct).await?;
        let other = timed(&client, &through).await?;
        if at >= WARM_UP {
            times.0.push(one);
            times.1.push(other);
        }
    }
    Ok(AddedLatency {
        direct: TimeSummary::of(times.0.into_iter()),
        through: TimeSummary::of(times.1.into_iter()),
    })
}

async fn timed(client: &awc::Client, url: &str) -> Result<u64, String> {
    let began = Instant::now();
    let request = client.post(url).insert_header(("authorization", format!("Bearer {CALLER_KEY}")));
    let sent = request.send_body("{\"label\":1}").await;
    let mut response = sent.map_err(|fault| fault.to_string())?;
    response.body().await.map_err(|fault| fault.to_string())?;
    if !response.status().is_success() {
        return Err(format!("{url}: {}", response.status()));
    }
    Ok(u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX))
}

/// What one entry carried in a closed loop.
#[derive(Clone, Copy, Debug, Default)]
pub struct EntryRate {
    /// Plain calls a second.
    pub calls_per_s: f64,
    /// Tokens a second, over many streams.
    pub tokens_per_s: f64,
}

/// Measures what one entry carries with `callers` callers for `seconds` each.
///
/// # Errors
/// If the rig does not come up.
pub async fn measure_rate(callers: usize, seconds: u64) -> Result<EntryRate, String> {
    let settings = RigSettings { entries: 1, engines: 6, plains: 1, ..RigSettings::default() };
    let rig = Rig::start(settings, |_, _| None).await?;
    let entry = rig.entries[0].address;
    let limit = Duration::from_secs(seconds);
    let plain = format!("http://{entry}/{PLAIN}/labels");
    let calls = run_callers(callers, limit, plain, "{\"label\":1}".to_owned()).await;
    let chat = format!("http://{entry}/v1/chat/completions");
    let body = serde_json::json!({
        "model": MODEL, "stream": true, "max_tokens": 200,
        "messages": [{ "role": "user", "content": "short" }],
    });
    let bytes = run_callers(callers, limit, chat, body.to_string()).await;
    const EVENT_BYTES: f64 = 150.0;
    Ok(EntryRate {
        calls_per_s: calls.0 as f64 / seconds as f64,
        tokens_per_s: bytes.1 as f64 / EVENT_BYTES / seconds as f64,
    })
}

async fn run_callers(callers: usize, limit: Duration, url: String, body: String) -> (u64, u64) {
    let mut running = Vec::new();
    for _ in 0..callers {
        let (url, body) = (url.clone(), body.clone());
        running.push(actix_rt::spawn(async move {
            let client = awc::Client::builder().timeout(Duration::from_secs(60)).finish();
            let began = Instant::now();
            let (mut calls, mut bytes) = (0, 0);
            while began.elapsed() < limit {
                let request = client
                    .post(&url)
                    .insert_header(("authorization", format!("Bearer {CALLER_KEY}")))
                    .insert_header(("content-type", "application/json"));
                let Ok(mut response) = request.send_body(body.clone()).await else { continue };
                let Ok(body) = response.body().limit(64 << 20).await else { continue };
                if response.status().is_success() {
                    calls += 1;
                    bytes += body.len() as u64;
                }
            }
            (calls, bytes)
        }));
    }
    let mut total = (0, 0);
    for caller in running {
        if let Ok((calls, bytes)) = caller.await {
            total = (total.0 + calls, total.1 + bytes);
        }
    }
    total
}
