//! The faults a rig can make.

use crate::cluster::{EntryCommand, RigControl, post_json};
use oleander_kind::EndpointRecord;
use serde_json::json;
use std::time::Duration;

/// How long a paused entry stands still.
const PAUSE: Duration = Duration::from_millis(1200);
/// The notice of a reclaim, in milliseconds.
const NOTICE_MS: u64 = 1800;

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RigFault {
    /// The entry at its step dies.
    KillEntry,
    /// The entry is asked to stop.
    StopEntry,
    /// The entry stands still, then goes on.
    PauseEntry,
    /// Another entry dies.
    KillOther,
    /// Another entry is asked to stop.
    StopOther,
    /// A failure domain's endpoints end without notice.
    EndDomain,
    /// A failure domain's endpoints are reclaimed with notice.
    ReclaimDomain,
    /// Two failure domains are reclaimed with notice, one after the other.
    ReclaimTwo,
    /// Engines cut their next streams after a few tokens.
    CutStreams,
    /// Plain endpoints run the next call and cut the connection.
    CutAfterRun,
    /// The store refuses everything.
    StoreDown,
    /// The store makes the next writes and loses their answers.
    LoseAnswers,
    /// The store is slow.
    StoreSlow,
    /// Reads of the store show old values.
    StoreStale,
    /// The endpoint list lags.
    ListStale,
}

impl RigFault {
    /// Every fault.
    pub const ALL: &[RigFault] = &[
        RigFault::KillEntry,
        RigFault::StopEntry,
        RigFault::PauseEntry,
        RigFault::KillOther,
        RigFault::StopOther,
        RigFault::EndDomain,
        RigFault::ReclaimDomain,
        RigFault::ReclaimTwo,
        RigFault::CutStreams,
        RigFault::CutAfterRun,
        RigFault::StoreDown,
        RigFault::LoseAnswers,
        RigFault::StoreSlow,
        RigFault::StoreStale,
        RigFault::ListStale,
    ];

    /// Makes the fault, from the thread of entry `number`. A killed entry's future never returns.
    pub async fn make(self, number: usize, control: &RigControl) {
        let standin = control.standin.as_str();
        match self {
            RigFault::KillEntry => {
                tell(control, number, EntryCommand::Kill);
                std::future::pending().await
            }
            RigFault::StopEntry => tell(control, number, EntryCommand::Stop),
            RigFault::PauseEntry => std::thread::sleep(PAUSE),
            RigFault::KillOther => tell(control, number + 1, EntryCommand::Kill),
            RigFault::StopOther => tell(control, number + 1, EntryCommand::Stop),
            RigFault::EndDomain => reclaim(standin, 0, 0).await,
            RigFault::ReclaimDomain => reclaim(standin, 0, NOTICE_MS).await,
            RigFault::ReclaimTwo => {
                reclaim(standin, 0, NOTICE_MS).await;
                reclaim(standin, 1, NOTICE_MS).await;
            }
            RigFault::CutStreams => {
                fault_endpoints(standin, "recipe-llm", &json!({ "cut_after": 7 })).await
            }
            RigFault::CutAfterRun => {
                fault_endpoints(standin, "linescreen-api", &json!({ "cut_after_run": 1 })).await;
            }
            RigFault::StoreDown => store(standin, json!({ "down": true })).await,
            RigFault::LoseAnswers => store(standin, json!({ "lose_answers": 3 })).await,
            RigFault::StoreSlow => store(standin, json!({ "slow_ms": 300 })).await,
            RigFault::StoreStale => store(standin, json!({ "stale": true })).await,
            RigFault::ListStale => {
                let _ = post_json(standin, "/cloud-faults", &json!({ "list_lag_ms": 3000 })).await;
            }
        }
    }
}

fn tell(control: &RigControl, number: usize, command: EntryCommand) {
    if let Ok(commands) = control.commands.lock()
        && let Some(sender) = commands.get(number % commands.len().max(1))
    {
        let _ = sender.send(command);
    }
}

async fn reclaim(standin: &str, domain: usize, notice_ms: u64) {
    let domain = crate::cluster::DOMAINS[domain];
    let body = json!({ "domain": domain, "notice_ms": notice_ms });
    let _ = post_json(standin, "/reclaim", &body).await;
}

async fn store(standin: &str, faults: serde_json::Value) {
    let _ = post_json(standin, "/object-faults", &faults).await;
}

async fn fault_endpoints(standin: &str, service: &str, faults: &serde_json::Value) {
    let client = awc::Client::default();
    let Ok(mut response) = client.get(format!("{standin}/list")).send().await else { return };
    let Ok(records) = response.json::<Vec<EndpointRecord>>().await else { return };
    for record in records.iter().filter(|record| record.service.as_str() == service) {
        let base = format!("http://{}", record.address);
        let _ = post_json(&base, "/faults", faults).await;
    }
}
