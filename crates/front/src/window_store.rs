//! Persists the accounts' limit windows, for a ledger that starts when no running process knows
//! them.
//!
//! Without the stored copy, all windows would have to be assumed full after a restart of all
//! processes, and accounts far below their limits would be refused for a whole window.

use crate::duties::encode;
use crate::era;
use crate::events::event;
use crate::kept::StoredRecord;
use crate::limits::begin_ledger_from;
use crate::mesh::state::MeshState;
use crate::node::FrontNode;
use bytes::Bytes;
use oleander_kind::{AccountName, ClockTime, StoreEra, TimeSpan};
use oleander_limit::{
    KnownWindow, LedgerState, PassedOn, PriorLedger, ReportedWindow, STORED_LIFETIME,
    UnreportedSpending,
};
use oleander_mesh::MeshCollector;
use oleander_plat::{FeedKind, FeedObject};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use tokio::sync::Notify;

/// Interval between checks for changes, and so between writes: a sixth of the time for which the
/// stored windows are usable. A ledger that waits for the store ends the pause early.
const CHECK_PERIOD: TimeSpan = TimeSpan(500);
/// Failed reads of the store before all windows are assumed full.
const MAX_FAILED_READS: u32 = 3;

/// The stored object.
#[derive(Debug, Default, Serialize, Deserialize)]
struct StoredWindows {
    /// When it was written, in cluster time as Unix milliseconds.
    at: ClockTime,
    /// Identifies the ledger that wrote it.
    source: u64,
    /// The era of the store in which it was written.
    #[serde(default)]
    era: StoreEra,
    accounts: Vec<StoredWindow>,
    /// What accounts without a window may have spent before that ledger.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    others: Option<UnreportedSpending>,
}

#[derive(Debug, Serialize, Deserialize)]
struct StoredWindow {
    account: AccountName,
    window: ReportedWindow,
    /// Set if the ledger passes on what an earlier one reported: that one, and the ages.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    passed: Option<(u64, PassedOn)>,
}

/// Writes the windows to the store while this process has the ledger, and starts a ledger from
/// them.
#[derive(Default)]
pub struct WindowStore {
    /// The promises in the write under way, and when it started.
    in_flight: Option<(BTreeMap<AccountName, f64>, ClockTime)>,
    failed_reads: u32,
}

/// Version of the stored windows: the time at which they were written, or 0 while there is nothing to write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowMark(u64);

impl StoredRecord for WindowStore {
    type Mark = WindowMark;

    const KIND: FeedKind = FeedKind::Windows;

    fn check_period(&self, _node: &FrontNode) -> TimeSpan {
        CHECK_PERIOD
    }

    fn wake(node: &FrontNode) -> Option<&Notify> {
        Some(&node.ledger_wanted)
    }

    fn is_writer(&self, node: &FrontNode) -> bool {
        node.mesh.borrow().collector.is_some()
    }

    fn must_reload(&self, node: &FrontNode) -> bool {
        needs_ledger(node, &node.mesh.borrow())
    }

    fn take(&mut self, node: &FrontNode, object: Option<&FeedObject>) -> WindowMark {
        self.failed_reads = 0;
        let list = object.map(|object| read_list(node, object));
        let mut mesh = node.mesh.borrow_mut();
        if needs_ledger(node, &mesh) {
            let era = era::known_era(node);
            let (prior, by) = prior_ledger(list.as_ref(), (node.true_now_with(&mesh), era));
            begin_ledger_from(node, &mut mesh, prior, by);
        }
        WindowMark(list.map_or(0, |list| list.at.0))
    }

    fn current(&mut self, node: &FrontNode) -> Option<(Bytes, WindowMark)> {
        let now = node.clock.now();
        let mesh = node.mesh.borrow();
        let ledger = mesh.collector.as_ref().and_then(MeshCollector::ledger)?;
        let (LedgerState { windows, others }, promises) = ledger.export(now);
        let at = if ledger.is_idle(now) { ClockTime(0) } else { node.true_now_with(&mesh) };
        let accounts = windows.into_iter().map(stored_window).collect();
        let era = era::known_era(node);
        let list = StoredWindows { at, source: ledger.source(), era, accounts, others };
        self.in_flight = Some((promises, now));
        Some((encode(node, &list)?, WindowMark(at.0)))
    }

    fn note_written(&mut self, node: &FrontNode) {
        let mut mesh = node.mesh.borrow_mut();
        let ledger = mesh.collector.as_mut().and_then(MeshCollector::ledger_mut);
        if let (Some(ledger), Some((promises, sent_at))) = (ledger, self.in_flight.take()) {
            ledger.note_stored(promises, sent_at);
        }
    }

    fn note_read_failure(&mut self, node: &FrontNode) {
        self.failed_reads += 1;
        let mut mesh = node.mesh.borrow_mut();
        if needs_ledger(node, &mesh) && self.failed_reads >= MAX_FAILED_READS {
            begin_ledger_from(node, &mut mesh, unknown_ledger(), "unread");
        }
    }
}

/// Whether this process has to start a ledger and no other process has sent it the windows.
fn needs_ledger(node: &FrontNode, mesh: &MeshState) -> bool {
    let lacks = mesh.collector.as_ref().is_some_and(|collector| collector.ledger().is_none());
    lacks && mesh.ended_ledger.is_none() && !mesh.has_successor(node.clock.now())
}

fn read_list(node: &FrontNode, object: &FeedObject) -> StoredWindows {
    serde_json::from_slice(&object.body).unwrap_or_else(|fault| {
        // All windows are assumed full, and the next write replaces the unreadable object.
        event!(node, RecordFault;
            "record" => FeedKind::Windows.name(), "fault" => fault.to_string());
        StoredWindows::default()
    })
}

/// The ledger that wrote the stored windows, and the name of their source for the log.
///
/// A store that came back from an older copy may have lost what was granted after that copy, so all
/// windows are assumed full unless they were written since; it may have lost the object itself.
fn prior_ledger(
    list: Option<&StoredWindows>,
    (true_now, era): (ClockTime, StoreEra),
) -> (PriorLedger, &'static str) {
    let is_lost = |list: &StoredWindows| list.era < era && list.at > ClockTime(0);
    if list.map_or(era > StoreEra(0), is_lost) {
        return (unknown_ledger(), "older copy");
    }
    let Some(list) = list else { return (PriorLedger::Absent, "nothing") };
    let age = true_now - list.at;
    let known = |listed: &StoredWindow| (listed.account.clone(), known_window(list, listed, age));
    let windows = list.accounts.iter().map(known).collect();
    let state = LedgerState { windows, others: list.others.map(|others| others.aged(age)) };
    (PriorLedger::Reported { state, lasts: STORED_LIFETIME }, "store")
}

/// A ledger of which nothing is known, so that all windows are assumed full.
fn unknown_ledger() -> PriorLedger {
    PriorLedger::Reported { state: LedgerState::default(), lasts: STORED_LIFETIME }
}

fn stored_window((account, known): (AccountName, KnownWindow)) -> StoredWindow {
    let passed = known.passed.map(|passed| (known.source, passed));
    StoredWindow { account, window: known.reported, passed }
}

fn known_window(list: &StoredWindows, listed: &StoredWindow, age: TimeSpan) -> KnownWindow {
    let (source, passed) = match listed.passed {
        Some((source, passed)) => (source, Some(passed)),
        None => (list.source, None),
    };
    KnownWindow { reported: listed.window.clone(), age, source, passed }
}
