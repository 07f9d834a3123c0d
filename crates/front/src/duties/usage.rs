//! Reports usage to the platform. Each report is written to the store before it is sent.

use super::{DUTY_PERIOD, DutyLease, encode};
use crate::events::event;
use crate::node::FrontNode;
use oleander_duty::usage::window_of;
use oleander_duty::{UsageReporter, UsageStep};
use oleander_kind::{AccountName, ClockTime, TimeSpan};
use oleander_mesh::MeshCollector;
use oleander_plat::{DutyAnswer, DutyPort, FeedCondition, FeedKind, UsageReport, WriteOutcome};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Number of reports kept in the store; the oldest is overwritten. Twice the number that can be pending.
const REPORT_SLOTS: u64 = 8;

/// The content of a usage report, as it is persisted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PersistedReport {
    window: u64,
    counts: BTreeMap<AccountName, u64>,
}

/// Reports usage while the lease is held.
pub(super) async fn report_usage(
    node: Rc<FrontNode>,
    cloud: Rc<dyn DutyPort>,
    lease: Rc<DutyLease>,
) {
    let bounds = node.bounds();
    let length = TimeSpan((bounds.usage_window_s * 1000.0) as u64);
    let due = TimeSpan((bounds.usage_due_s * 1000.0) as u64);
    let mut reporter: Option<(u64, UsageReporter)> = None;
    loop {
        actix_rt::time::sleep(DUTY_PERIOD.duration()).await;
        let Some(fence) = lease.fence() else {
            reporter = None;
            continue;
        };
        let now = node.true_now();
        let current = match reporter.take() {
            Some((known, reporter)) if known == fence => reporter,
            _ => resume_usage(&node, length, due, now),
        };
        let (_, reporter) = reporter.insert((fence, current));
        let UsageStep::Report(window) =
            reporter.next(now, |since| all_members_reported(&node, since))
        else {
            continue;
        };
        let is_late = reporter.is_late(window, now);
        if is_late {
            event!(node, UsageSkipped; "window" => window, "why" => "late",
                "requests" => counts_of(&node, window).values().sum::<u64>());
        }
        if !is_late && may_lack_counts(&node, reporter, window) {
            continue;
        }
        if is_late || report_window(&node, cloud.as_ref(), lease.as_ref(), window).await {
            reporter.done(window);
            let mut mesh = node.mesh.borrow_mut();
            mesh.reported_window = mesh.reported_window.max(window);
            if let Some(collector) = &mut mesh.collector {
                collector.forget_usage(window);
            }
        }
    }
}

/// Whether the counts of a window may still arrive, by the true time since which this process collects them.
fn may_lack_counts(node: &FrontNode, reporter: &UsageReporter, window: u64) -> bool {
    let began_at = node.mesh.borrow().collector.as_ref().map(MeshCollector::began_at);
    let now = node.true_now();
    let since = began_at.map_or(now, |at| now - (node.clock.now() - at));
    reporter.may_lack_counts(window, (since, now), !counts_of(node, window).is_empty())
}

fn counts_of(node: &FrontNode, window: u64) -> BTreeMap<AccountName, u64> {
    let mesh = node.mesh.borrow();
    mesh.collector.as_ref().map(|collector| collector.usage_of(window)).unwrap_or_default()
}

/// Creates a reporter that continues after the windows already known to be reported.
fn resume_usage(
    node: &FrontNode,
    length: TimeSpan,
    due: TimeSpan,
    now: ClockTime,
) -> UsageReporter {
    let mut reporter = UsageReporter::begin(length, due, now);
    let reported = node.mesh.borrow().reported_window;
    if reported <= window_of(now, length) {
        reporter.done(reported);
    }
    event!(node, UsageResumed; "after" => reporter.reported(), "known" => reported);
    reporter
}

fn all_members_reported(node: &FrontNode, since: ClockTime) -> bool {
    let mesh = node.mesh.borrow();
    let now = node.clock.now();
    let since = now - (node.true_now() - since);
    mesh.collector.as_ref().is_some_and(|collector| collector.all_reported_since(&mesh.view, since))
}

/// Reports one window; returns whether it is finished.
///
/// The counts are written to the store before they are sent, so that a retry after a lost answer, also one by
/// the next holder of the lease, sends the same counts. Two different reports of a window would be billed twice.
async fn report_window(
    node: &FrontNode,
    cloud: &dyn DutyPort,
    lease: &DutyLease,
    window: u64,
) -> bool {
    let counts = counts_of(node, window);
    let Some(persisted) = persist_report(node, PersistedReport { window, counts }).await else {
        return false;
    };
    if persisted.window != window || persisted.counts.is_empty() {
        let why =
            if persisted.window == window { "no requests" } else { "a later window is stored" };
        event!(node, UsageSkipped; "window" => window, "why" => why, "requests" => 0);
        return true;
    }
    let report = UsageReport { window, counts: persisted.counts };
    match cloud.report_usage(lease, &report).await {
        Ok(DutyAnswer::Done) => {
            node.meter.count_usage(true);
            event!(node, UsageReported; "window" => window,
                "requests" => report.counts.values().sum::<u64>());
            true
        }
        Ok(DutyAnswer::Refused(reason)) => {
            node.meter.count_usage(false);
            event!(node, UsageFault;
                "window" => window, "fence" => lease.fence(), "words" => reason);
            false
        }
        Err(fault) => {
            node.meter.count_usage(false);
            event!(node, UsageFault;
                "window" => window, "fault" => fault.to_string());
            false
        }
    }
}

/// Writes a report to its slot in the store, unless one exists for the window; returns the report that is stored.
/// `None` if that cannot be determined now.
///
/// A report that this process has persisted before keeps its counts: they may have been sent already, and the
/// store may have come back from a copy without them.
async fn persist_report(node: &FrontNode, report: PersistedReport) -> Option<PersistedReport> {
    let name = format!("{}", report.window % REPORT_SLOTS);
    let known = node.persisted_reports.borrow().get(&name).cloned();
    let report = match &known {
        Some((_, known)) if known.window == report.window => known.clone(),
        _ => report,
    };
    if report.counts.is_empty() {
        return Some(report);
    }
    let body = encode(node, &report)?;
    let mut guard =
        known.map_or(FeedCondition::Absent, |(revision, _)| FeedCondition::Is(revision));
    for _ in 0..3 {
        match node.store.write(FeedKind::UsageReports, &name, guard, body.clone()).await {
            Ok(WriteOutcome::Made(revision)) => {
                let persisted = (revision, report.clone());
                node.persisted_reports.borrow_mut().insert(name, persisted);
                return Some(report);
            }
            Ok(WriteOutcome::Refused(Some(object))) => {
                let known: PersistedReport = serde_json::from_slice(&object.body).ok()?;
                if known.window >= report.window {
                    return Some(known);
                }
                guard = FeedCondition::Is(object.revision);
            }
            Ok(WriteOutcome::Refused(None)) => guard = FeedCondition::Absent,
            Err(fault) => {
                event!(node, UsageFault;
                    "window" => report.window, "fault" => fault.to_string());
                return None;
            }
        }
    }
    None
}
