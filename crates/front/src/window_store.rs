//! Keeps the windows of accounts in the store, for a ledger that begins when no process is left that was told of
//! them.
//!
//! Without it all accounts' windows would have to be taken for full after a kill of all processes, and accounts far
//! below their limits would be refused for a whole window.

use crate::duties::encode;
use crate::events::event;
use crate::kept::StoredRecord;
use crate::limits::begin_ledger_from;
use crate::mesh::state::MeshState;
use crate::node::FrontNode;
use bytes::Bytes;
use oleander_kind::{AccountName, ClockTime, TimeSpan};
use oleander_limit::{KnownWindow, PriorLedger, ReportedWindow, STORED_LIFETIME};
use oleander_mesh::MeshCollector;
use oleander_plat::{FeedKind, FeedObject};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use tokio::sync::Notify;

/// Between two looks, and so between two writes: a sixth of the time for which what the store has is of use. A ledger
/// that waits for the store ends the pause.
const CHECK_PERIOD: TimeSpan = TimeSpan(500);
/// Reads without an answer before the windows are taken for full.
const MOST_UNREAD: u32 = 3;

/// What the object says.
#[derive(Debug, Default, Serialize, Deserialize)]
struct WindowList {
    /// When it was written, in true time, in Unix milliseconds.
    at: ClockTime,
    /// Which ledger wrote it.
    source: u64,
    accounts: Vec<ListedWindow>,
}

#[derive(Debug, Serialize, Deserialize)]
struct ListedWindow {
    account: AccountName,
    window: ReportedWindow,
}

/// Keeps the windows in the store while this process has the ledger, and begins a ledger by them.
#[derive(Default)]
pub struct WindowStore {
    /// The promises in what is being written, and since when.
    sent: Option<(BTreeMap<AccountName, f64>, ClockTime)>,
    unread: u32,
}

/// When the object was written; 0 while there is nothing to write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowMark(u64);

impl StoredRecord for WindowStore {
    type Mark = WindowMark;

    const KIND: FeedKind = FeedKind::Windows;
    const CHECK_PERIOD: TimeSpan = CHECK_PERIOD;

    fn wake(node: &FrontNode) -> Option<&Notify> {
        Some(&node.ledger_waits)
    }

    fn is_writer(&self, node: &FrontNode) -> bool {
        node.mesh.borrow().collector.is_some()
    }

    fn must_reload(&self, node: &FrontNode) -> bool {
        waits_for_ledger(node, &node.mesh.borrow())
    }

    fn take(&mut self, node: &FrontNode, object: Option<&FeedObject>) -> WindowMark {
        self.unread = 0;
        let list = object.map(|object| read_list(node, object));
        let mut mesh = node.mesh.borrow_mut();
        if waits_for_ledger(node, &mesh) {
            let (past, by) = past_of(list.as_ref(), node.clock_true(&mesh));
            begin_ledger_from(node, &mut mesh, past, by);
        }
        WindowMark(list.map_or(0, |list| list.at.0))
    }

    fn current(&mut self, node: &FrontNode) -> Option<(Bytes, WindowMark)> {
        let now = node.clock.now();
        let mesh = node.mesh.borrow();
        let ledger = mesh.collector.as_ref().and_then(MeshCollector::ledger)?;
        let (windows, promises) = ledger.export_windows(now);
        let at = if ledger.is_idle() { ClockTime(0) } else { node.clock_true(&mesh) };
        let listed = |(account, window)| ListedWindow { account, window };
        let accounts = windows.into_iter().map(listed).collect();
        let list = WindowList { at, source: ledger.source(), accounts };
        self.sent = Some((promises, now));
        Some((encode(node, &list)?, WindowMark(at.0)))
    }

    fn note_written(&mut self, node: &FrontNode) {
        let mut mesh = node.mesh.borrow_mut();
        let ledger = mesh.collector.as_mut().and_then(MeshCollector::ledger_mut);
        if let (Some(ledger), Some((promises, sent_at))) = (ledger, self.sent.take()) {
            ledger.note_stored(promises, sent_at);
        }
    }

    fn note_read_failure(&mut self, node: &FrontNode) {
        self.unread += 1;
        let mut mesh = node.mesh.borrow_mut();
        if waits_for_ledger(node, &mesh) && self.unread >= MOST_UNREAD {
            let past = PriorLedger::Reported { windows: Vec::new(), lasts: STORED_LIFETIME };
            begin_ledger_from(node, &mut mesh, past, "unread");
        }
    }
}

/// Whether a ledger is to begin here that nobody told of the windows.
fn waits_for_ledger(node: &FrontNode, mesh: &MeshState) -> bool {
    let lacks = mesh.collector.as_ref().is_some_and(|collector| collector.ledger().is_none());
    lacks && mesh.ended_ledger.is_none() && !mesh.is_succeeded(node.clock.now())
}

fn read_list(node: &FrontNode, object: &FeedObject) -> WindowList {
    serde_json::from_slice(&object.body).unwrap_or_else(|fault| {
        // Its windows are taken for full, and the next write replaces it.
        event!(node, RecordFault;
            "record" => FeedKind::Windows.name(), "fault" => fault.to_string());
        WindowList::default()
    })
}

fn past_of(list: Option<&WindowList>, true_now: ClockTime) -> (PriorLedger, &'static str) {
    let Some(list) = list else { return (PriorLedger::Absent, "nothing") };
    let known = |listed: &ListedWindow| {
        let (reported, age) = (listed.window.clone(), true_now - list.at);
        (listed.account.clone(), KnownWindow { reported, age, source: list.source })
    };
    let windows = list.accounts.iter().map(known).collect();
    (PriorLedger::Reported { windows, lasts: STORED_LIFETIME }, "store")
}
