//! Finds the other processes through the store.
//!
//! Settings name a few peers at most, and all of them may be gone. Each process therefore writes
//! its membership record to the store when it starts, and reads those of the others. Records are
//! not updated afterwards: reports show which processes are alive. They are written again after the
//! store came back from an older copy, which may lack them.

use crate::era;
use crate::events::event;
use crate::node::FrontNode;
use crate::told::shown_name;
use bytes::Bytes;
use oleander_kind::{InstanceId, TimeSpan};
use oleander_mesh::MemberInfo;
use oleander_plat::json::fault_text;
use oleander_plat::{FeedCondition, FeedKind, FeedObject, PlatError, WriteOutcome};
use std::collections::BTreeSet;
use std::rc::Rc;

/// The first retry delay when the store does not answer; doubled each time.
const MIN_RETRY_DELAY: TimeSpan = TimeSpan(200);
/// The longest retry delay.
const MAX_RETRY_DELAY: TimeSpan = TimeSpan(3000);
/// The time over which all processes write their records again after the store came back from an
/// older copy.
const REWRITE_SPREAD: TimeSpan = TimeSpan(1000);
/// Interval between removals of membership records whose process is gone.
const SWEEP_PERIOD: TimeSpan = TimeSpan::secs(60);

/// Registers this process, reads the records of the others, and, while it is the collector, removes
/// the records of processes that are gone, until the task is aborted.
pub async fn run_discovery(node: Rc<FrontNode>) {
    retry_until_done(&node, || write_record(&node)).await;
    retry_until_done(&node, || read_records(&node)).await;
    let mut missing = BTreeSet::new();
    loop {
        let written_in = era::known_era(&node);
        tokio::select! {
            () = actix_rt::time::sleep(SWEEP_PERIOD.duration()) => {}
            () = era::until_later(&node, written_in) => {
                // All processes write at this time, so each waits for a random part of the spread.
                node.back_off(REWRITE_SPREAD, REWRITE_SPREAD).await;
                retry_until_done(&node, || write_record(&node)).await;
                continue;
            }
        }
        if node.mesh.borrow().view.collects() {
            sweep_records(&node, &mut missing).await;
        }
    }
}

async fn retry_until_done<F>(node: &FrontNode, act: impl Fn() -> F)
where
    F: Future<Output = oleander_plat::Result<()>>,
{
    let mut pause = MIN_RETRY_DELAY;
    while let Err(fault) = act().await {
        event!(node, MemberFault; "fault" => fault.to_string());
        pause = node.back_off(pause, MAX_RETRY_DELAY).await;
    }
}

async fn write_record(node: &FrontNode) -> oleander_plat::Result<()> {
    /// Another writer that writes the record as well would otherwise have it written without a pause.
    const MAX_CONFLICTS: usize = 4;
    let member = node.mesh.borrow().view.me().clone();
    let unwritable = |fault: serde_json::Error| PlatError::NotSent(fault.to_string());
    let body = Bytes::from(serde_json::to_vec(&member).map_err(unwritable)?);
    let name = node.settings.instance.as_str();
    let mut guard = FeedCondition::Absent;
    for _ in 0..MAX_CONFLICTS {
        guard = match node.store.write(FeedKind::Members, name, guard, body.clone()).await? {
            WriteOutcome::Made(_) => return Ok(()),
            WriteOutcome::Refused(Some(known)) if is_record_of(&known, &member) => return Ok(()),
            WriteOutcome::Refused(Some(known)) => FeedCondition::Is(known.revision),
            WriteOutcome::Refused(None) => FeedCondition::Absent,
        };
    }
    Err(PlatError::OutcomeUnknown(
        "each write of the record conflicted with another one".to_owned(),
    ))
}

fn is_record_of(object: &FeedObject, member: &MemberInfo) -> bool {
    serde_json::from_slice::<MemberInfo>(&object.body).is_ok_and(|known| known == *member)
}

async fn read_records(node: &FrontNode) -> oleander_plat::Result<()> {
    let members = list_records(node).await?;
    let now = node.clock.now();
    let mut mesh = node.mesh.borrow_mut();
    event!(node, MembersRead; "cards" => members.len());
    members.into_iter().for_each(|member| mesh.view.take(member, false, now));
    Ok(())
}

async fn list_records(node: &FrontNode) -> oleander_plat::Result<Vec<MemberInfo>> {
    let page = node.store.list(FeedKind::Members).await?;
    let mut members = Vec::new();
    for object in page.objects {
        match decode_record(&object) {
            Ok(member) => members.push(member),
            Err(fault) => note_unreadable(node, &object.name, &fault),
        }
    }
    Ok(members)
}

/// Decodes a record. One that another writer keeps under a name of its own says nothing about the process that it names.
fn decode_record(object: &FeedObject) -> Result<MemberInfo, String> {
    let member: MemberInfo =
        serde_json::from_slice(&object.body).map_err(|fault| fault_text(&fault))?;
    if member.id.as_str() != object.name {
        return Err(fault_text(&format_args!("the record of {}", member.id)));
    }
    Ok(member)
}

fn note_unreadable(node: &FrontNode, name: &str, fault: &str) {
    if node.told.note(FeedKind::Members, name, fault) {
        event!(node, MemberFault; "member" => shown_name(name).as_str(), "fault" => fault);
    }
}

/// Removes the records of members that this process did not know at two checks in a row. `missing`
/// holds those that it did not know at the last check.
async fn sweep_records(node: &FrontNode, missing: &mut BTreeSet<InstanceId>) {
    let Ok(members) = list_records(node).await else {
        event!(node, MemberFault; "fault" => "the membership records could not be listed for removal");
        return;
    };
    let known: BTreeSet<InstanceId> =
        node.mesh.borrow().view.members().into_iter().map(|member| member.id).collect();
    let unknown: BTreeSet<InstanceId> =
        members.into_iter().map(|member| member.id).filter(|id| !known.contains(id)).collect();
    for id in unknown.intersection(missing) {
        let removed = remove_objects(node, id.as_str()).await;
        event!(node, MemberRemoved;
            "member" => id.as_str(), "done" => removed.is_ok());
    }
    *missing = unknown;
}

/// Removes what a process that is gone has in the store; the membership record last, as it is what is looked for.
async fn remove_objects(node: &FrontNode, name: &str) -> oleander_plat::Result<()> {
    node.store.remove(FeedKind::Origins, name).await?;
    node.store.remove(FeedKind::Members, name).await
}
