//! The short report of a run.

use crate::check::BrokenRule;
use crate::history::{CallEnd, CallKind, CallRecord};
use hdrhistogram::Histogram;
use serde::Serialize;

/// Percentiles of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct TimeSummary {
    /// How many.
    pub count: u64,
    /// Half are below.
    pub p50: u64,
    /// 95 in 100 are below.
    pub p95: u64,
    /// 99 in 100 are below.
    pub p99: u64,
}

impl TimeSummary {
    /// The summary of `times`.
    pub fn of(times: impl Iterator<Item = u64>) -> TimeSummary {
        const DIGITS: u8 = 3;
        const LONGEST_MS: u64 = 3_600_000;
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, LONGEST_MS, DIGITS) else {
            return TimeSummary::default();
        };
        times.for_each(|time| histogram.saturating_record(time));
        TimeSummary {
            count: histogram.len(),
            p50: histogram.value_at_quantile(0.50),
            p95: histogram.value_at_quantile(0.95),
            p99: histogram.value_at_quantile(0.99),
        }
    }
}

/// A kind of call in a report.
#[derive(Clone, Debug, Serialize)]
pub struct KindReport {
    /// The kind.
    pub kind: CallKind,
    /// Calls made.
    pub calls: usize,
    /// Whole answers.
    pub whole: usize,
    /// Numbered refusals.
    pub refused: usize,
    /// Calls that ended with nothing.
    pub lost: usize,
    /// Times the caller came back.
    pub returns: u32,
    /// Time to the first token or byte.
    pub first_ms: TimeSummary,
    /// Time to the whole answer.
    pub total_ms: TimeSummary,
}

/// The report of a run.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// By kind.
    pub kinds: Vec<KindReport>,
    /// Rules that were broken.
    pub broken: Vec<BrokenRule>,
    /// What the stand-in counted: engines' tokens and cost.
    pub totals: serde_json::Value,
    /// Result codes with their counts.
    pub codes: std::collections::BTreeMap<u16, usize>,
}

impl LoadReport {
    /// The report of `calls`.
    pub fn new(
        calls: &[CallRecord],
        broken: Vec<BrokenRule>,
        totals: serde_json::Value,
    ) -> LoadReport {
        let kinds = [CallKind::Rewrite, CallKind::Label, CallKind::Code]
            .into_iter()
            .map(|kind| kind_report(kind, calls))
            .collect();
        let mut codes = std::collections::BTreeMap::new();
        for call in calls {
            if let CallEnd::Refused { code, .. } = call.end {
                *codes.entry(code).or_default() += 1;
            }
        }
        LoadReport { kinds, broken, totals, codes }
    }

    /// Whether every promise held.
    pub fn held(&self) -> bool {
        self.broken.is_empty()
    }

    /// The report as text.
    pub fn text(&self) -> String {
        let mut text = String::from(
            "kind      calls whole refused lost returns | first ms p50/p95/p99 | total ms p50/p95/p99\n",
        );
        for kind in &self.kinds {
            let (first, total) = (kind.first_ms, kind.total_ms);
            text.push_str(&format!(
                "{:<9} {:>5} {:>5} {:>7} {:>4} {:>7} | {:>5}/{:>5}/{:>5}      | {:>5}/{:>5}/{:>5}\n",
                format!("{:?}", kind.kind),
                kind.calls,
                kind.whole,
                kind.refused,
                kind.lost,
                kind.returns,
                first.p50,
                first.p95,
                first.p99,
                total.p50,
                total.p95,
                total.p99,
            ));
        }
        text.push_str(&self.totals_text());
        text.push_str(&format!("result codes: {:?}\n", self.codes));
        text.push_str(&format!("broken promises: {}\n", self.broken.len()));
        for broken in self.broken.iter().take(10) {
            text.push_str(&format!("  {broken:?}\n"));
        }
        text
    }

    fn totals_text(&self) -> String {
        let engines = &self.totals["engines"];
        let number = |name: &str| engines[name].as_u64().unwrap_or(0);
        let generated = number("generated").max(1);
        let cost = &self.totals["cost"];
        let micros = cost["micros"].as_u64().unwrap_or(0) as f64;
        let on_demand = cost["micros_on_demand"].as_u64().unwrap_or(0).max(1) as f64;
        format!(
            "tokens generated {}, recomputed {} ({:.4} of generated), prompt computed {}, cached {}\n\
             cost {:.6}, that is {:.3} of the same time on demand\n",
            number("generated"),
            number("recomputed"),
            number("recomputed") as f64 / generated as f64,
            number("prefilled"),
            number("cached"),
            micros / 1e6,
            micros / on_demand,
        )
    }
}

fn kind_report(kind: CallKind, calls: &[CallRecord]) -> KindReport {
    let of_kind: Vec<&CallRecord> = calls.iter().filter(|call| call.kind == kind).collect();
    let answered = || of_kind.iter().filter(|call| call.end == CallEnd::Answered);
    KindReport {
        kind,
        calls: of_kind.len(),
        whole: answered().count(),
        refused: of_kind.iter().filter(|c| matches!(c.end, CallEnd::Refused { .. })).count(),
        lost: of_kind.iter().filter(|call| call.end == CallEnd::Lost).count(),
        returns: of_kind.iter().map(|call| call.returns).sum(),
        first_ms: TimeSummary::of(
            answered().filter_map(|call| Some(call.first?.saturating_sub(call.started))),
        ),
        total_ms: TimeSummary::of(answered().map(|call| call.ended.saturating_sub(call.started))),
    }
}
