//! Tests of which bundles a process applies.

use oleandertack::bundle::{ApplyOutcome, BundleGate, BundleSigner, SignPolicy, SignedBundle};
use oleandertack::kind::ResultCode;
use oleandertack::rig::cluster::{operator, rig_bundle};
use std::collections::BTreeMap;

fn gate() -> BundleGate {
    let keys = BTreeMap::from([("root".into(), operator().public_hex())]);
    BundleGate::new(SignPolicy { keys, quorum: 1 })
}

fn successor(of: &SignedBundle) -> SignedBundle {
    rig_bundle(of.content.generation + 1, &of.content.digest())
}

fn stranger() -> BundleSigner {
    BundleSigner::from_hex(&"17".repeat(32)).expect("a key")
}

fn refusal(gate: &mut BundleGate, bundle: SignedBundle) -> ResultCode {
    gate.offer(bundle).expect_err("refused").code()
}

#[test]
fn a_signed_successor_is_applied_and_a_repeat_changes_nothing() {
    let mut gate = gate();
    let first = rig_bundle(1, "");
    let second = successor(&first);

    assert_eq!(gate.offer(first), Ok(ApplyOutcome::Applied));
    assert_eq!(gate.offer(second.clone()), Ok(ApplyOutcome::Applied));
    assert_eq!(gate.offer(second), Ok(ApplyOutcome::Same));
    assert_eq!(gate.generation(), 2);
}

#[test]
fn a_restored_store_does_not_roll_back_the_bundle() {
    // Guards against going back to an older bundle when the store is restored from a backup and reads
    // and lagging peers return the previous one.
    let mut gate = gate();
    let first = rig_bundle(1, "");
    gate.offer(first.clone()).expect("the first");
    gate.offer(successor(&first)).expect("its successor");

    assert_eq!(refusal(&mut gate, first), ResultCode::BundleStale);
    assert_eq!(gate.generation(), 2);
}

#[test]
fn unsigned_foreign_and_altered_bundles_are_refused() {
    let mut gate = gate();
    let mut unsigned = rig_bundle(1, "");
    unsigned.signatures.clear();
    let mut foreign = unsigned.clone();
    stranger().sign(&mut foreign);
    let mut altered = rig_bundle(1, "");
    altered.content.policy.quorum = 0;
    let mut named_itself = unsigned.clone();
    named_itself.content.policy.keys.insert("stranger".into(), stranger().public_hex());
    stranger().sign(&mut named_itself);

    for bundle in [unsigned, foreign, named_itself] {
        assert_eq!(refusal(&mut gate, bundle), ResultCode::BundleUnsigned);
    }
    assert_eq!(refusal(&mut gate, altered), ResultCode::BundleFault);
    assert_eq!(gate.generation(), 0);
}

#[test]
fn a_successor_with_another_parent_is_a_conflict() {
    let mut gate = gate();
    let first = rig_bundle(1, "");
    gate.offer(first.clone()).expect("the first");
    let mut rival = rig_bundle(2, "another parent");
    operator().sign(&mut rival);

    assert_eq!(refusal(&mut gate, rival), ResultCode::BundleConflict);
}

#[test]
fn a_truncated_or_too_new_bundle_is_refused_with_its_result_code() {
    let bytes = rig_bundle(1, "").to_bytes();
    let half = SignedBundle::parse(&bytes[..bytes.len() / 2]).expect_err("half");
    let newer = String::from_utf8_lossy(&bytes).replace("\"format\":1", "\"format\":9");
    let too_new = SignedBundle::parse(newer.as_bytes()).expect_err("too new");

    assert_eq!(half.code(), ResultCode::BundleMalformed);
    assert_eq!(too_new.code(), ResultCode::BundleFormat);
}

#[test]
fn every_violation_names_its_field() {
    let mut content = rig_bundle(1, "").content;
    content.policy.quorum = 7;
    let service = content.services.values_mut().next().expect("a service");
    service.replicas = 0;
    service.reclaimable_percent = 101;

    let fields: Vec<String> = content.faults().into_iter().map(|fault| fault.field).collect();

    assert_eq!(fields.len(), 3, "{fields:?}");
    assert!(fields.contains(&"policy.quorum".to_owned()));
}

#[test]
fn an_unlisted_call_is_idempotent_only_if_its_method_is_safe() {
    let content = rig_bundle(1, "").content;
    let service = content.services.values().find(|service| !service.engine).expect("a plain one");

    assert!(service.is_idempotent("GET", "/anything"));
    assert!(!service.is_idempotent("POST", "/anything"));
    assert!(service.is_idempotent("POST", "/labels/7"));
    assert!(!service.is_idempotent("POST", "/codes"));
}
