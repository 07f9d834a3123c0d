//! The figures of docs/CAPACITY.md, worked out from measured samples.

use crate::decide::{DecisionCost, NODES};
use crate::fit::{LineFit, fit_line};
use crate::sample::ClusterSample;
use serde::{Deserialize, Serialize};

/// Everything measured, as it is committed.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CapacityData {
    /// Samples of running processes.
    pub samples: Vec<ClusterSample>,
    /// Decisions at full size.
    pub decisions: Vec<DecisionCost>,
}

/// A measure of a node against its budget.
#[derive(Clone, Debug)]
pub struct BudgetRow {
    /// What is measured.
    pub name: &'static str,
    /// The unit.
    pub unit: &'static str,
    /// The budget.
    pub budget: f64,
    /// The line through the measured points.
    pub fit: LineFit,
    /// The value at full size.
    pub expected: f64,
}

impl BudgetRow {
    /// The number of nodes at which the line meets the budget; none if it does not rise.
    pub fn breaks_at(&self) -> Option<f64> {
        (self.fit.slope > 0.0).then(|| (self.budget - self.fit.base) / self.fit.slope)
    }
}

type Measure = fn(&ClusterSample) -> f64;

const MEASURES: &[(&str, &str, f64, Measure)] = &[
    ("processor time", "% of a core", 4.5, |s| s.cpu_percent),
    ("processor time, busiest node", "% of a core", 4.5, |s| s.cpu_percent_most),
    ("resident memory", "MB", 256.0, |s| s.memory_mb),
    ("peer bytes", "bytes/s", 8000.0, |s| s.peer_bytes_s),
    ("peer bytes, busiest node", "bytes/s", 8000.0, |s| s.peer_bytes_s_most),
    ("peer frames", "frames/s", f64::INFINITY, |s| s.peer_frames_s),
    ("store reads and watches, all nodes", "calls/s", 2000.0, |s| {
        s.store_reads_s + s.store_watches_s
    }),
    ("store writes, all nodes", "calls/s", 300.0, |s| s.store_writes_s),
    ("list reads, all nodes", "calls/s", 2000.0, |s| s.list_reads_s),
];

/// The rows, from the idle samples.
pub fn budget_rows(data: &CapacityData) -> Vec<BudgetRow> {
    MEASURES
        .iter()
        .map(|(name, unit, budget, measure)| {
            let idle = data.samples.iter().filter(|sample| sample.phase == "idle");
            let points: Vec<(f64, f64)> =
                idle.map(|sample| (sample.entries as f64, measure(sample))).collect();
            let fit = fit_line(&points);
            let expected = fit.at(NODES as f64);
            BudgetRow { name, unit, budget: *budget, fit, expected }
        })
        .collect()
}

/// The tables of the page, in Markdown. The page's test makes them again from the committed data.
pub fn capacity_tables(data: &CapacityData) -> String {
    let mut text = String::from(
        "| measure | unit | at 0 | a node more | residual | at 370 | budget | breaks at |\n\
         |---|---|---|---|---|---|---|---|\n",
    );
    for row in budget_rows(data) {
        let budget = if row.budget.is_finite() { format!("{}", row.budget) } else { "-".into() };
        let breaks = match row.breaks_at() {
            Some(nodes) if row.budget.is_finite() => format!("{nodes:.0} nodes"),
            _ => "-".to_owned(),
        };
        text.push_str(&format!(
            "| {} | {} | {:.3} | {:.4} | {:.3} | {:.2} | {budget} | {breaks} |\n",
            row.name, row.unit, row.fit.base, row.fit.slope, row.fit.residual, row.expected
        ));
    }
    text.push_str("\n| entries | phase | CPU % | memory MB | peer bytes/s | store calls/s | list reads/s | in force ms |\n|---|---|---|---|---|---|---|---|\n");
    for sample in &data.samples {
        text.push_str(&format!(
            "| {} | {} | {:.2} | {:.1} | {:.0} | {:.2} | {:.2} | {:?} |\n",
            sample.entries,
            sample.phase,
            sample.cpu_percent,
            sample.memory_mb,
            sample.peer_bytes_s,
            sample.store_reads_s + sample.store_watches_s + sample.store_writes_s,
            sample.list_reads_s,
            sample.in_force_ms,
        ));
    }
    text.push_str("\n| decision | cost | least to most of 5 runs |\n|---|---|---|\n");
    for cost in &data.decisions {
        text.push_str(&format!(
            "| {} | {:.2} {} | {:.2} to {:.2} |\n",
            cost.name, cost.value, cost.unit, cost.spread.0, cost.spread.1
        ));
    }
    text
}
