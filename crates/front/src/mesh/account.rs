//! Measures how many bytes reports and digests take on the links of the collector.

use super::collect::collect;
use crate::events::event;
use crate::node::FrontNode;
use oleander_kind::TimeSpan;
use oleander_mesh::{MeshBody, NodeReport, PartSizes, digest_part_sizes, report_part_sizes};

/// Interval between measured exchanges.
const MEASURE_PERIOD: TimeSpan = TimeSpan(1000);

/// Bytes of each part of one exchange.
#[derive(Clone, Debug, Default)]
pub struct ExchangeSizes {
    /// Of the report.
    pub report: PartSizes,
    /// Of the digest that answers it.
    pub digest: PartSizes,
}

/// Applies a report of another process as the collector, and measures one exchange a second.
pub(super) fn collect_and_measure(node: &FrontNode, report: NodeReport) -> MeshBody {
    let now = node.clock.now();
    let is_due = node.mesh.borrow().measured_at.is_none_or(|at| now - at >= MEASURE_PERIOD);
    let measured_report = is_due.then(|| report_part_sizes(&report));
    let answer = collect(node, report);
    if let (Some(report), MeshBody::Digest(digest)) = (measured_report, &answer) {
        let sizes = ExchangeSizes { report, digest: digest_part_sizes(digest) };
        event!(node, NewsMeasured;
            "report" => format_sizes(&sizes.report), "digest" => format_sizes(&sizes.digest),
            "sent" => node.traffic.sent.get(), "received" => node.traffic.received.get());
        let mut mesh = node.mesh.borrow_mut();
        mesh.measured_at = Some(now);
        mesh.exchange_sizes = sizes;
    }
    answer
}

fn format_sizes(sizes: &PartSizes) -> String {
    let part = |(name, bytes): &(&str, usize)| format!("{name} {bytes}");
    sizes.iter().map(part).collect::<Vec<_>>().join(", ")
}
