//! Runs the load.

use crate::caller::{CallPlan, CallerDesk};
use crate::check::{CheckInput, check_history};
use crate::history::{CallKind, CallRecord};
use crate::report::LoadReport;
use crate::settings::{LoadSettings, PlannedReclaim};
use bytes::Bytes;
use compact_str::CompactString;
use oleander_kind::chat::PromptHasher;
use oleander_kind::ident::format_uuid_v7;
use oleander_standin::answer::{answer_seed, answer_text};
use oleander_standin::plain::plain_answer;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::rc::Rc;
use std::time::Duration;

struct PlannedCall {
    at_ms: u64,
    plan: CallPlan,
}

/// Runs the load that `settings` describe and judges it.
pub async fn run_load(settings: &LoadSettings) -> (LoadReport, Vec<CallRecord>) {
    let desk = CallerDesk::new(settings.entries.clone(), settings.key.clone());
    let mut calls = plan_calls(settings);
    calls.sort_by_key(|call| call.at_ms);
    for reclaim in settings.reclaims.clone() {
        actix_rt::spawn(ask_reclaim(settings.standin.clone(), reclaim));
    }
    let mut running = Vec::with_capacity(calls.len());
    for call in calls {
        let due = Duration::from_millis(call.at_ms);
        let early = due.saturating_sub(desk.began.elapsed());
        actix_rt::time::sleep(early).await;
        running.push(actix_rt::spawn(desk.clone().call(call.plan)));
    }
    let mut records = Vec::with_capacity(running.len());
    let settle = Duration::from_millis(settings.settle_ms);
    let until = tokio::time::Instant::now() + settle;
    for call in running {
        if let Ok(Ok(record)) = tokio::time::timeout_at(until, call).await {
            records.push(record);
        }
    }
    let runs = read_runs(&desk, &settings.standin).await;
    let totals = read_json(&desk, &settings.standin, "/totals").await;
    let broken = check_history(&CheckInput { calls: &records, runs: &runs });
    (LoadReport::new(&records, broken, totals), records)
}

/// Reads a JSON answer of the stand-in; null if there is none.
pub async fn read_json(desk: &Rc<CallerDesk>, standin: &str, path: &str) -> serde_json::Value {
    const LIMIT: usize = 256 << 20;
    if standin.is_empty() {
        return serde_json::Value::Null;
    }
    let sent = desk.client.get(format!("{standin}{path}")).send().await;
    let Ok(mut response) = sent else {
        return serde_json::Value::Null;
    };
    response.json().limit(LIMIT).await.unwrap_or_default()
}

/// The keys of the plain calls that ran, one a run.
pub async fn read_runs(desk: &Rc<CallerDesk>, standin: &str) -> Vec<String> {
    let runs = read_json(desk, standin, "/runs").await;
    let keys = runs.as_array().into_iter().flatten();
    keys.filter_map(|run| run["key"].as_str().map(str::to_owned)).collect()
}

async fn ask_reclaim(standin: CompactString, reclaim: PlannedReclaim) {
    actix_rt::time::sleep(Duration::from_millis(reclaim.at_ms)).await;
    let body = serde_json::json!({
        "domain": reclaim.domain,
        "notice_ms": reclaim.notice_ms,
    });
    let client = awc::Client::default();
    let _ = client.post(format!("{standin}/reclaim")).send_json(&body).await;
}

fn plan_calls(settings: &LoadSettings) -> Vec<PlannedCall> {
    let mut random = StdRng::seed_from_u64(settings.seed);
    let mut calls = Vec::new();
    let kinds = [
        (CallKind::Rewrite, settings.rewrites_per_s),
        (CallKind::Label, settings.labels_per_s),
        (CallKind::Code, settings.codes_per_s),
    ];
    for (kind, rate) in kinds {
        if rate <= 0.0 {
            continue;
        }
        let mut at = 0.0;
        loop {
            // Exponential gaps: callers do not wait for one another.
            let uniform: f64 = random.gen_range(f64::EPSILON..1.0);
            at += -uniform.ln() / rate * 1000.0;
            if at >= settings.run_ms as f64 {
                break;
            }
            let plan = plan_call(settings, kind, &mut random);
            calls.push(PlannedCall { at_ms: at as u64, plan });
        }
    }
    calls
}

/// Plans one call of `kind`.
pub fn plan_call(settings: &LoadSettings, kind: CallKind, random: &mut StdRng) -> CallPlan {
    let id = format_uuid_v7(oleander_standin::wall_millis(), random.r#gen());
    match kind {
        CallKind::Rewrite => plan_rewrite(settings, id, random),
        CallKind::Label => plan_plain(settings, (kind, "/labels"), id, random),
        CallKind::Code => plan_plain(settings, (kind, "/codes"), id, random),
    }
}

/// A rewrite: one of a few recipe books, of which a part differs each time, so that prompts share
/// prefixes as real ones do.
fn plan_rewrite(settings: &LoadSettings, id: String, random: &mut StdRng) -> CallPlan {
    const BOOKS: u32 = 12;
    const BOOK_LINES: usize = 40;
    let book = random.gen_range(0..BOOKS);
    let mut prompt = format!("Rework recipe book {book} against the allergen rules.\n");
    for line in 0..BOOK_LINES {
        prompt.push_str(&format!("book {book} line {line}: flour, milk, eggs and salt\n"));
    }
    prompt.push_str(&format!("note {}", random.r#gen::<u64>()));
    let mut hasher = PromptHasher::default();
    hasher.add(&prompt);
    let (_, _, hash) = hasher.finish();
    let tokens = u64::from(settings.rewrite_tokens);
    let right =
        settings.versions.iter().map(|version| answer_text(answer_seed(hash, version), tokens));
    let body = serde_json::json!({
        "model": settings.model,
        "stream": true,
        "max_tokens": settings.rewrite_tokens,
        "messages": [{ "role": "user", "content": prompt }],
    });
    CallPlan {
        id: id.into(),
        kind: CallKind::Rewrite,
        path: "/v1/chat/completions".to_owned(),
        body: Bytes::from(body.to_string()),
        right: right.collect(),
    }
}

fn plan_plain(
    settings: &LoadSettings,
    (kind, tail): (CallKind, &str),
    id: String,
    random: &mut StdRng,
) -> CallPlan {
    let body = serde_json::json!({ "label": random.r#gen::<u64>() }).to_string();
    let right = vec![plain_answer(tail, body.as_bytes())];
    CallPlan {
        id: id.into(),
        kind,
        path: format!("/{}{tail}", settings.plain),
        body: Bytes::from(body),
        right,
    }
}
