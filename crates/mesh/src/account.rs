//! What news takes of the links: the bytes of each part of a message.

use crate::message::{MeshDigest, NodeReport};
use serde::Serialize;
use std::io;

/// Bytes of the parts of one message, by name.
pub type NewsAccount = Vec<(&'static str, usize)>;

/// Counts what is written and keeps nothing.
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

fn size_of(part: &impl Serialize) -> usize {
    let mut counter = ByteCounter::default();
    // Counting fails only for values that cannot be encoded at all, which these can.
    let _ = ciborium::into_writer(part, &mut counter);
    counter.0
}

/// What the parts of a digest take.
pub fn digest_account(digest: &MeshDigest) -> NewsAccount {
    vec![
        ("members", size_of(&(&digest.from, &digest.members))),
        ("rules", size_of(&(&digest.rules, &digest.rules_text))),
        ("list", size_of(&(&digest.roster, &digest.roster_update, &digest.roster_version))),
        ("limits", size_of(&digest.allotments)),
        ("loads", size_of(&digest.loads)),
        ("verdicts", size_of(&digest.verdicts)),
        ("suspects", size_of(&digest.suspects)),
        ("words", size_of(&(&digest.words, &digest.rates))),
        ("services", size_of(&(&digest.peaks, &digest.paces))),
    ]
}

/// What the parts of a report take.
pub fn report_account(report: &NodeReport) -> NewsAccount {
    vec![
        ("members", size_of(&(&report.card, &report.unreached))),
        ("rules", size_of(&(&report.rules, &report.rules_text))),
        ("list", size_of(&(&report.roster, &report.roster_update))),
        ("limits", size_of(&(&report.claims, &report.bond, &report.handed))),
        ("usage", size_of(&(&report.usage, &report.heritage))),
        ("loads", size_of(&report.loads)),
        ("evidence", size_of(&report.evidence)),
        ("suspects", size_of(&report.suspects)),
        ("words", size_of(&report.words)),
        ("services", size_of(&(&report.demand, &report.paces))),
    ]
}
