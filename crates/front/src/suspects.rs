//! Tracks requests that crash endpoints: records what failed attempts show about their endpoints,
//! and tells which requests are quarantined.

use crate::attempt::CONNECT_TIMEOUT;
use crate::events::event;
use crate::node::FrontNode;
use crate::paths;
use oleander_kind::{ClockTime, TimeSpan};
use oleander_outlet::LinkError;
use oleander_place::EndpointEntry;
use oleander_suspect::{
    AttemptSuspects, AttemptTimes, CrashAttribution, EndpointIncarnation, SuspectChange,
    SuspectFingerprint, SuspectRecord, SuspectUpdate,
};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// Identifies the incarnation of an endpoint that `entry` describes.
pub fn life_of(entry: &EndpointEntry) -> EndpointIncarnation {
    EndpointIncarnation { instance: entry.instance.clone(), life: entry.life }
}

/// How much longer a suspect is quarantined; `None` if it is not.
pub fn held_for(node: &FrontNode, print: &SuspectFingerprint) -> Option<TimeSpan> {
    node.suspects.borrow().held_for(print, node.clock.now())
}

/// How much longer a request is refused, because it or a part of its prompt is quarantined; `None` if neither is.
pub(crate) fn refused_for(node: &FrontNode, suspects: &AttemptSuspects) -> Option<TimeSpan> {
    let parts = suspects.parts.iter().filter_map(|part| held_for(node, part));
    parts.chain(held_for(node, &suspects.request)).max()
}

/// Notes that an endpoint began to answer a prompt with these parts at `began_at`, and has survived it.
pub(crate) fn note_sound_parts(
    node: &FrontNode,
    parts: &[SuspectFingerprint],
    began_at: ClockTime,
) {
    if !parts.is_empty() {
        node.suspects.borrow_mut().note_sound_parts(parts, began_at);
    }
}

/// Applies notes from another process.
pub fn apply_notes(node: &FrontNode, notes: &[SuspectUpdate]) {
    if notes.is_empty() {
        return;
    }
    node.suspects.borrow_mut().merge(notes, node.clock.now());
    refresh_quarantine(node);
}

/// Notes that a request was answered, so it did not crash the endpoint.
pub fn note_answer(node: &FrontNode, print: SuspectFingerprint) {
    let was_held = held_for(node, &print).is_some();
    node.suspects.borrow_mut().note_answer(print, node.clock.now());
    if was_held {
        refresh_quarantine(node);
    }
}

/// An attempt that failed without a complete answer.
pub struct FailedAttempt {
    /// The incarnation of the endpoint that it was sent to.
    pub life: EndpointIncarnation,
    /// The address of the endpoint.
    pub address: SocketAddr,
    /// When it was sent and when it failed.
    pub times: AttemptTimes,
    /// Whether a probe connection may tell more: the connection was cut, and the endpoint is still
    /// listed.
    pub may_probe: bool,
}

/// Notes that an attempt failed at an endpoint that had not signalled that it leaves.
///
/// The endpoint list shows only after some two seconds whether the endpoint ended, and in that time
/// the request may be retried up to four times. A refused probe connection shows it at once; an
/// accepted one is kept for the next request.
pub fn note_broken(node: &Rc<FrontNode>, suspects: AttemptSuspects, broken: FailedAttempt) {
    let FailedAttempt { life, address, times, may_probe } = broken;
    let now = times.at;
    let attribution = node.crash_watch.borrow_mut().note_broken(suspects, &life, times);
    match attribution {
        CrashAttribution::Confirmed(broken) => {
            node.suspects.borrow_mut().record_broken(broken);
            refresh_quarantine(node);
        }
        CrashAttribution::Pending
            if may_probe && node.crash_watch.borrow_mut().start_probe(&life, now) =>
        {
            actix_rt::spawn(probe_for_exit(node.clone(), life, address));
        }
        CrashAttribution::Pending | CrashAttribution::Unrelated => {}
    }
}

/// Opens a connection to an endpoint to find out whether it has ended.
async fn probe_for_exit(node: Rc<FrontNode>, life: EndpointIncarnation, address: SocketAddr) {
    let link = match node.dialer.dial(address, CONNECT_TIMEOUT).await {
        Ok(link) => link,
        Err(fault) if is_port_closed(&fault) => return note_port_closed(&node, &life),
        // No answer may mean that this process is isolated; the endpoint list will show it.
        Err(_) => return,
    };
    actix_rt::time::sleep(paths::PROBE_SETTLE_TIME).await;
    if !link.is_reusable() {
        // A proxy in front of the endpoint accepted the connection and could not reach it.
        return note_port_closed(&node, &life);
    }
    paths::keep_link(&node, &life.instance, link);
}

/// Whether the connection was refused because nothing listens on the port any more.
pub fn is_port_closed(fault: &LinkError) -> bool {
    matches!(fault, LinkError::ConnectFailed(cause) if cause.kind() == io::ErrorKind::ConnectionRefused)
}

/// Notes that the port of an endpoint is closed. The endpoint has ended if another one of its service
/// can be reached; otherwise it may be this process that is cut off.
pub fn note_port_closed(node: &Rc<FrontNode>, life: &EndpointIncarnation) {
    if !node.crash_watch.borrow().is_broken(life) {
        return;
    }
    let (node, life) = (node.clone(), life.clone());
    actix_rt::spawn(async move {
        let of = {
            let board = node.endpoints.borrow();
            board
                .key(&life.instance)
                .and_then(|key| Some((key, board.get(key)?.entry.service.clone())))
        };
        let Some((key, service)) = of else { return };
        if paths::reaches_another(&node, &service, key).await != Some(false) {
            note_ended(&node, &life, "port closed");
        }
    });
}

/// Notes that an endpoint ended without having signalled that it leaves, and records the crash for each request of
/// this process that it was running. `by` names the evidence in the log.
pub fn note_ended(node: &FrontNode, life: &EndpointIncarnation, by: &'static str) {
    let now = node.clock.now();
    let under = node.crash_watch.borrow_mut().note_ended(life, now);
    if under.is_empty() {
        return;
    }
    event!(node, EndpointEnded;
        "endpoint" => life.instance.as_str(), "by" => by, "under" => under.len());
    under.into_iter().for_each(|broken| node.suspects.borrow_mut().record_broken(broken));
    refresh_quarantine(node);
}

/// Drops expired records, re-evaluates which requests are quarantined, and logs what changed.
pub fn refresh_quarantine(node: &FrontNode) {
    let changes = node.suspects.borrow_mut().settle(node.clock.now());
    changes.into_iter().for_each(|change| log_change(node, change));
}

fn log_change(node: &FrontNode, change: SuspectChange) {
    let suspects = node.suspects.borrow();
    let now = node.clock.now();
    match change {
        SuspectChange::Quarantined(print) => {
            let ends = suspects.record(&print).map_or(&[][..], SuspectRecord::ends);
            let endpoints: Vec<_> = ends.iter().map(|end| end.life.instance.as_str()).collect();
            event!(node, RequestHeld;
                "print" => print.to_string(), "is_part" => print.is_part(), "endpoints" => endpoints.join(" "),
                "first_ms" => ends.first().map(|end| (now - end.at).0),
                "last_ms" => ends.last().map(|end| (now - end.at).0));
        }
        SuspectChange::Released(print) => {
            let ends = suspects.record(&print).map_or(0, |record| record.ends().len());
            event!(node, RequestReleased; "print" => print.to_string(), "ends" => ends);
        }
        SuspectChange::Evicted(print) => {
            event!(node, SuspectForgotten; "print" => print.to_string());
        }
    }
}
