//! Who is responsible for a key: rendezvous hashing over the members that take work.

use crate::table::{MemberRecord, MemberTable};
use oleander_kind::hash::rendezvous_weight;

/// Members that take work, the most responsible for `key` first; at most `most`.
pub fn ranked(table: &MemberTable, key: u64, most: usize) -> Vec<&MemberRecord> {
    let mut weighed: Vec<(u64, &MemberRecord)> = table
        .takers()
        .map(|member| (rendezvous_weight(key, member.id.stable_hash()), member))
        .collect();
    weighed.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.id.cmp(&b.1.id)));
    weighed.truncate(most);
    weighed.into_iter().map(|(_, member)| member).collect()
}

/// The member most responsible for `key`.
pub fn owner_of(table: &MemberTable, key: u64) -> Option<&MemberRecord> {
    let weight = |member: &&MemberRecord| rendezvous_weight(key, member.id.stable_hash());
    table.takers().max_by_key(weight)
}
