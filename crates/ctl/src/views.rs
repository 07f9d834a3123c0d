//! `status`, `dump` and `explain`.

use crate::Result;
use crate::command::{CommandLine, CtlError};
use crate::platform::{open_store, read_accepted};
use oleander_fleet::{PlanObject, plan_name};
use oleander_kind::ResultCode;
use oleander_plat::ObjectStore;
use serde_json::Value;
use std::time::Duration;

const CALL_LIMIT: Duration = Duration::from_secs(10);
const ANSWER_LIMIT: usize = 16 << 20;

async fn get(admin: &str, path: &str) -> Result<Value> {
    let unreached = |detail: String| CtlError::Coded(ResultCode::PeerUnreached, detail);
    let client = awc::Client::builder().timeout(CALL_LIMIT).finish();
    let sent = client.get(format!("http://{admin}{path}")).send().await;
    let mut response = sent.map_err(|fault| unreached(format!("{admin}: {fault}")))?;
    let value = response.json().limit(ANSWER_LIMIT).await;
    value.map_err(|fault| unreached(format!("{admin}: {fault}")))
}

/// Prints generation, age and readiness of each process.
///
/// # Errors
/// Exit code 1 if a process is behind or silent: then the bundle is not known to be in force
/// everywhere.
pub async fn status(line: &CommandLine) -> Result<String> {
    let value = get(line.need_admin()?, "/cluster").await?;
    let accepted = match &line.platform {
        Some(platform) => read_accepted(&open_store(platform)).await.ok().flatten(),
        None => None,
    };
    let nodes = value["nodes"].as_array().cloned().unwrap_or_default();
    let newest = nodes.iter().filter_map(|node| node["generation"].as_u64()).max().unwrap_or(0);
    let newest = accepted.map_or(newest, |bundle| bundle.content.generation.max(newest));
    let silent = value["silent"].as_array().map_or(0, Vec::len);
    let behind = nodes.iter().filter(|node| node["generation"].as_u64() != Some(newest)).count();
    let text = if line.json {
        format!("{value}\n")
    } else {
        nodes.iter().map(node_line).collect::<String>()
            + &format!("newest generation {newest}; {behind} behind, {silent} silent\n")
    };
    if behind + silent == 0 {
        return Ok(text);
    }
    let detail = format!("generation {newest} is not known to be in force everywhere\n{text}");
    Err(CtlError::Coded(ResultCode::PeerUnreached, detail))
}

fn node_line(node: &Value) -> String {
    let name = node["instance"].as_str().unwrap_or("?");
    let ready = if node["ready"].as_bool() == Some(true) { "ready" } else { "not ready" };
    format!(
        "{name:<20} generation {:<6} checked {:>7} ms ago  {:>5} in flight  {ready}\n",
        node["generation"], node["age_ms"], node["in_flight"]
    )
}

/// Prints the state of one process.
pub async fn dump(line: &CommandLine) -> Result<String> {
    let value = get(line.need_admin()?, "/state").await?;
    let text = serde_json::to_string_pretty(&value).unwrap_or_default();
    Ok(text + "\n")
}

/// Prints the decisions about an instance, in every service's plan.
pub async fn explain(line: &CommandLine) -> Result<String> {
    let subject = line.need_word(1, "INSTANCE")?;
    let store = open_store(line.need_platform()?);
    let accepted = read_accepted(&store).await?;
    let services = accepted.map(|bundle| bundle.content.services).unwrap_or_default();
    let mut text = String::new();
    for service in services.keys() {
        let Some(object) = store.read(&plan_name(service)).await? else {
            continue;
        };
        let Ok(plan) = serde_json::from_slice::<PlanObject>(&object.bytes) else {
            continue;
        };
        for entry in plan.journal.about(subject) {
            text.push_str(&format!(
                "{} {service} {} {}: {}\n",
                entry.at.0, entry.subject, entry.action, entry.reason
            ));
        }
    }
    if text.is_empty() {
        let detail = format!("no decision about {subject} is kept");
        return Err(CtlError::Coded(ResultCode::StoreMissing, detail));
    }
    Ok(text)
}
