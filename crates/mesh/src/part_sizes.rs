//! Encoded sizes of the parts of a message, to account for peer traffic.

use crate::message::{MeshDigest, NodeReport};
use serde::Serialize;
use std::io;

/// Encoded sizes in bytes, by part name.
pub type PartSizes = Vec<(&'static str, usize)>;

/// A writer that counts bytes and discards them.
#[derive(Default)]
struct ByteCounter(usize);

impl io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn encoded_size(part: &impl Serialize) -> usize {
    let mut counter = ByteCounter::default();
    // Encoding into a counter fails only for values that cannot be encoded at all; these can.
    let _ = ciborium::into_writer(part, &mut counter);
    counter.0
}

/// The encoded sizes of the parts of a digest.
pub fn digest_part_sizes(digest: &MeshDigest) -> PartSizes {
    vec![
        ("members", encoded_size(&(&digest.from, &digest.members))),
        ("rules", encoded_size(&(&digest.rules, &digest.rules_text))),
        ("list", encoded_size(&(&digest.roster, &digest.roster_update, &digest.roster_version))),
        ("limits", encoded_size(&digest.allotments)),
        ("loads", encoded_size(&digest.loads)),
        ("verdicts", encoded_size(&digest.verdicts)),
        ("suspects", encoded_size(&digest.suspects)),
        ("words", encoded_size(&(&digest.words, &digest.rates))),
        ("services", encoded_size(&(&digest.peaks, &digest.paces))),
    ]
}

/// The encoded sizes of the parts of a report.
pub fn report_part_sizes(report: &NodeReport) -> PartSizes {
    vec![
        ("members", encoded_size(&(&report.member, &report.unreached))),
        ("rules", encoded_size(&(&report.rules, &report.rules_text))),
        ("list", encoded_size(&(&report.roster, &report.roster_update))),
        ("limits", encoded_size(&(&report.claims, &report.bond, &report.handed))),
        ("usage", encoded_size(&(&report.usage, &report.inherited_usage))),
        ("loads", encoded_size(&report.loads)),
        ("evidence", encoded_size(&report.evidence)),
        ("suspects", encoded_size(&report.suspects)),
        ("words", encoded_size(&report.words)),
        ("services", encoded_size(&(&report.demand, &report.paces))),
    ]
}
