//! Copies of requests in flight at one other entry, so that an entry's own end loses none.
//!
//! The copy lies at the member that the request's key points at (the entry itself left out), so
//! that any entry finds it without a directory. It is a copy in flight only: nothing is stored.

use crate::book::{LiveRequest, LiveStage};
use crate::drive::StreamJob;
use crate::node::EntryNode;
use oleander_claim::ClaimKey;
use oleander_kind::hash::rendezvous_weight;
use oleander_kind::{InstanceId, TimeSpan};
use oleander_member::{MemberRecord, ranked};
use oleander_wire::{KeptAnswer, PeerBody, ShadowRecord};
use std::rc::Rc;

/// Members that are asked about a request: the holder, and those that became the holder or were
/// it before a change of membership.
pub const CANDIDATES: usize = 4;
/// How long a copy may take.
const PUT_LIMIT: TimeSpan = TimeSpan(1000);

/// The 64-bit hash that a request's holders are found by.
pub fn holder_hash(key: ClaimKey) -> u64 {
    let mut head = [0; 8];
    head.copy_from_slice(&key.0[..8]);
    u64::from_le_bytes(head)
}

/// The members that may know of `key`, this process left out. Those in other failure domains come
/// first for the copy: a domain is reclaimed as one.
pub fn holders(node: &EntryNode, key: ClaimKey) -> Vec<MemberRecord> {
    let members = node.members.borrow();
    let ranked = ranked(&members, holder_hash(key), CANDIDATES + 1);
    ranked.into_iter().filter(|member| member.id != *node.me()).cloned().collect()
}

/// The member that holds the copy of a request of this entry.
pub fn holder(node: &EntryNode, key: ClaimKey) -> Option<MemberRecord> {
    let holders = holders(node, key);
    let other = holders.iter().find(|member| member.domain != node.settings.domain);
    other.or(holders.first()).cloned()
}

/// Notes where a request runs now.
pub fn update_place(job: &StreamJob, (endpoint, address, handle): (&InstanceId, &str, &str)) {
    if let Some(record) = job.live.record.borrow_mut().as_mut() {
        record.endpoint = endpoint.clone();
        record.address = address.into();
        record.handle = handle.into();
        record.shown = job.live.shown_bytes();
    }
}

/// Sends the copy. Returns whether the holder has it.
pub async fn put_shadow(node: Rc<EntryNode>, key: ClaimKey, live: Rc<LiveRequest>) -> bool {
    let Some(member) = holder(&node, key) else {
        return false;
    };
    let Some(record) = live.record.borrow().clone() else {
        return false;
    };
    put_record(&node, &member, record).await
}

/// Sends `record` to `member`. Returns whether it was taken.
pub async fn put_record(node: &EntryNode, member: &MemberRecord, record: ShadowRecord) -> bool {
    let bytes = (record.body.len() + record.shown.len()) as u64;
    node.traffic.held.set(node.traffic.held.get() + bytes);
    let body = PeerBody::PutShadow { record: Box::new(record) };
    let answer = node.call_peer(&member.address, body, PUT_LIMIT).await;
    matches!(answer, Ok(PeerBody::Done))
}

/// Keeps the whole answer of a stream for callers who ask again.
pub fn keep_stream(node: &EntryNode, key: ClaimKey, live: &LiveRequest) {
    let wants_stream = live.record.borrow().as_ref().is_some_and(|record| record.stream);
    let answer = KeptAnswer {
        id: live.id.clone(),
        account: live.account.clone(),
        digest: live.digest,
        status: 200,
        headers: Vec::new(),
        body: live.shown_bytes(),
        tokens: live.shown(),
        events: wants_stream,
    };
    let now = node.clock.now();
    node.book.borrow_mut().keep(key, answer, now);
}

/// Tells the holder that a request is over.
pub fn drop_shadow(node: &Rc<EntryNode>, key: ClaimKey, live: &LiveRequest) {
    if live.record.borrow().is_none() {
        return;
    }
    let Some(member) = holder(node, key) else {
        return;
    };
    let node = node.clone();
    actix_rt::spawn(async move {
        let body = PeerBody::DropShadow { keys: vec![key] };
        let _ = node.call_peer(&member.address, body, PUT_LIMIT).await;
    });
}

/// Sends a copy of the answer of a request that may not be repeated to the holder, so that a
/// repeat finds it after this entry is gone.
pub async fn put_answer(node: &EntryNode, key: ClaimKey, answer: KeptAnswer) -> bool {
    let Some(member) = holder(node, key) else {
        return false;
    };
    node.traffic.held.set(node.traffic.held.get() + answer.body.len() as u64);
    let reply = node.call_peer(&member.address, PeerBody::PutAnswer { answer }, PUT_LIMIT).await;
    matches!(reply, Ok(PeerBody::Done))
}

/// Hands every stream of this entry over: the newest state goes to the holder, then callers are
/// sent away to come back through the balancer. A stream whose copy nobody took stays here.
/// Returns how many were moved.
pub async fn hand_over(node: &Rc<EntryNode>) -> usize {
    let running = node.book.borrow().all_live();
    let mut moved = 0;
    for (key, live) in running {
        if !live.movable || live.stage() != LiveStage::Accepted {
            continue;
        }
        if let Some(record) = live.record.borrow_mut().as_mut() {
            record.shown = live.shown_bytes();
            record.owner = InstanceId::default();
        }
        if put_shadow(node.clone(), key, live.clone()).await {
            live.set_stage(LiveStage::Moved);
            moved += 1;
        }
    }
    moved
}

/// Passes on the requests held for entries that are gone, when this entry leaves too.
pub async fn pass_on_held(node: &Rc<EntryNode>) -> usize {
    let held = node.book.borrow().all_held();
    let mut passed = 0;
    for (key, record) in held {
        let owner_lives = {
            let members = node.members.borrow();
            members.serving_members().any(|member| member.id == record.owner)
        };
        if owner_lives {
            continue;
        }
        if let Some(member) = holder(node, key)
            && put_record(node, &member, record).await
        {
            passed += 1;
        }
    }
    passed
}

/// Moves the copies of running requests whose holder changed: the old one is leaving or dead.
pub fn refresh_holders(node: &Rc<EntryNode>, gone: &InstanceId) {
    let running = node.book.borrow().all_live();
    for (key, live) in running {
        // The gone member may have been the holder if it outranks the holder of now.
        let weight = |id: &InstanceId| rendezvous_weight(holder_hash(key), id.stable_hash());
        let outranked = holder(node, key).is_none_or(|member| weight(&member.id) < weight(gone));
        if outranked && live.record.borrow().is_some() {
            actix_rt::spawn(put_shadow(node.clone(), key, live));
        }
    }
}
