//! Ownership of keys: rendezvous hashing over the members that accept work.

use crate::table::{MemberRecord, MemberTable};
use oleander_kind::hash::rendezvous_weight;

/// The members that accept work, ranked by their weight for `key`; at most `most`.
pub fn ranked(table: &MemberTable, key: u64, most: usize) -> Vec<&MemberRecord> {
    let mut weighed: Vec<(u64, &MemberRecord)> = table
        .serving_members()
        .map(|member| (rendezvous_weight(key, member.id.stable_hash()), member))
        .collect();
    weighed.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.id.cmp(&b.1.id)));
    weighed.truncate(most);
    weighed.into_iter().map(|(_, member)| member).collect()
}

/// The member with the highest weight for `key`.
pub fn owner_of(table: &MemberTable, key: u64) -> Option<&MemberRecord> {
    let weight = |member: &&MemberRecord| rendezvous_weight(key, member.id.stable_hash());
    table.serving_members().max_by_key(weight)
}
