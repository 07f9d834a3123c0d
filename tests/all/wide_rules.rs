//! Rules of hundreds of kilobytes, in virtual time: what processes send one another.

use crate::front::RULES;
use crate::mesh::report;
use crate::plays::{ProcessGroup, play};
use oleandertack::front::mesh::MeshPeers;
use oleandertack::kind::hash::mix_bits;
use oleandertack::mesh::{MeshBody, MeshDigest, NodeReport, RulesStatus};
use oleandertack::wire::{PeerHandler, encode_frame};
use std::time::Duration;
use tokio::time::sleep;

/// Routes of the wide rules; about 280 KB.
const ROUTES: u64 = 1400;
/// The most that a report or its answer may take, whatever the size of the rules.
const SMALL_FRAME_BYTES: usize = 8 << 10;

/// Rules of `version` with `routes` more routes than usual.
fn wide_rules(version: u64, routes: u64) -> String {
    let route = |at: u64| {
        let name = format!("{:013x}", mix_bits(at));
        format!(
            r#"{{"name":"r-{name}","host":"h","path-prefix":"/{name}/","kind":"safe","timeout-ms":2000,"target-latency-ms":100,"priority":2,"service":"s","max-attempts":2,"sticky-sessions":false}},"#
        )
    };
    let more: String = (0..routes).map(route).collect();
    let rules = RULES.replace("\"version\":7", &format!("\"version\":{version}"));
    rules.replacen("\"routes\":[", &format!("\"routes\":[{more}"), 1)
}

/// A group of `count` processes with wide rules of version 8, at rest.
async fn wide_group(count: usize) -> ProcessGroup {
    let group = ProcessGroup::start(count).await;
    group.put_rules(&wide_rules(8, ROUTES));
    group.until_rules(8).await;
    sleep(Duration::from_secs(3)).await;
    group
}

/// The answer of the collector of `group` to a report of a process that has rules of `version`.
async fn digest_for(group: &ProcessGroup, version: u64) -> MeshDigest {
    let peers = MeshPeers(group.processes[group.collector()].node.clone());
    let reported =
        NodeReport { rules: RulesStatus { version, freshness: None }, ..report("front-late") };
    match peers.answer(MeshBody::Report(Box::new(reported))).await {
        MeshBody::Digest(digest) => *digest,
        other => panic!("no digest: {other:?}"),
    }
}

/// Guards against collectors that count as dead because their answers carry the rules: one takes longer on a thin link
/// than a reporter waits, and the next collector sends them again.
#[test]
fn the_answer_to_a_report_is_small_however_large_the_rules_are() {
    play(async {
        let group = wide_group(3).await;

        let digest = digest_for(&group, 7).await;

        let bytes = encode_frame(1, MeshBody::Digest(Box::new(digest))).len();
        assert!(bytes < SMALL_FRAME_BYTES, "{bytes} bytes");
    });
}
