//! What news takes of the links of the process that collects.

use super::collect::collect;
use crate::events::event;
use crate::node::FrontNode;
use oleander_kind::TimeSpan;
use oleander_mesh::{MeshBody, NodeReport, PartSizes, digest_part_sizes, report_part_sizes};

/// Between two exchanges whose parts are counted.
const ACCOUNT_PERIOD: TimeSpan = TimeSpan(1000);

/// Bytes of the parts of one exchange.
#[derive(Clone, Debug, Default)]
pub struct ExchangeAccount {
    /// Of the report.
    pub report: PartSizes,
    /// Of the answer.
    pub digest: PartSizes,
}

/// Takes a report of another process as the collector; counts the bytes of one exchange a second.
pub(super) fn collect_measured(node: &FrontNode, report: NodeReport) -> MeshBody {
    let now = node.clock.now();
    let is_due = node.mesh.borrow().account_at.is_none_or(|at| now - at >= ACCOUNT_PERIOD);
    let told = is_due.then(|| report_part_sizes(&report));
    let answer = collect(node, report);
    if let (Some(report), MeshBody::Digest(digest)) = (told, &answer) {
        let account = ExchangeAccount { report, digest: digest_part_sizes(digest) };
        event!(node, NewsMeasured;
            "report" => in_words(&account.report), "digest" => in_words(&account.digest),
            "sent" => node.traffic.sent.get(), "received" => node.traffic.received.get());
        let mut mesh = node.mesh.borrow_mut();
        mesh.account_at = Some(now);
        mesh.account = account;
    }
    answer
}

fn in_words(account: &PartSizes) -> String {
    let part = |(name, bytes): &(&str, usize)| format!("{name} {bytes}");
    account.iter().map(part).collect::<Vec<_>>().join(", ")
}
