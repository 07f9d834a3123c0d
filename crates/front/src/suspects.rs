//! Requests under which endpoints end: notes what attempts show of them, and says which are held back.

use crate::attempt::{CONNECT_TIMEOUT, IDLE_TIMEOUT, MAX_IDLE_LINKS};
use crate::events::event;
use crate::node::FrontNode;
use oleander_kind::TimeSpan;
use oleander_outlet::{IdleLink, LinkError, SocketBounds};
use oleander_place::EndpointEntry;
use oleander_suspect::{
    AttemptTimes, CrashAttribution, EndpointCrash, EndpointIncarnation, RequestFingerprint,
    SuspectChange, SuspectRecord, SuspectUpdate,
};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long it is watched whether a connection to an endpoint stays: ten crossings of failure domains and back.
const LOOK_TIME: Duration = Duration::from_millis(30);

/// The life of an endpoint as its entry says.
pub fn life_of(entry: &EndpointEntry) -> EndpointIncarnation {
    EndpointIncarnation { instance: entry.instance.clone(), life: entry.life }
}

/// For how much longer a request is held back; none if it is not.
pub fn held_for(node: &FrontNode, print: &RequestFingerprint) -> Option<TimeSpan> {
    node.suspects.borrow().held_for(print, node.clock.now())
}

/// Takes what another process tells.
pub fn take_notes(node: &FrontNode, notes: &[SuspectUpdate]) {
    if notes.is_empty() {
        return;
    }
    node.suspects.borrow_mut().merge(notes, node.clock.now());
    settle(node);
}

/// Notes that a request was answered: an endpoint bore it.
pub fn note_answer(node: &FrontNode, print: RequestFingerprint) {
    let was_held = held_for(node, &print).is_some();
    node.suspects.borrow_mut().note_answer(print, node.clock.now());
    if was_held {
        settle(node);
    }
}

/// An attempt that broke.
pub struct BrokenAttempt {
    /// The life of the endpoint that it was sent to.
    pub life: EndpointIncarnation,
    /// Where that listens.
    pub address: SocketAddr,
    /// When what happened to it.
    pub times: AttemptTimes,
    /// Whether a connection to the endpoint may tell more: this one was cut, and the endpoint is on the list.
    pub may_look: bool,
}

/// Notes that an attempt broke at an endpoint that did not say it leaves.
///
/// Whether the endpoint ended, its list tells after some two seconds, in which the request comes again up to four
/// times. A connection that it refuses tells at once; one that it accepts serves the next request.
pub fn note_broken(node: &Rc<FrontNode>, print: RequestFingerprint, broken: BrokenAttempt) {
    let BrokenAttempt { life, address, times, may_look } = broken;
    let now = times.at;
    let mark = node.ends.borrow_mut().note_broken(print, &life, times);
    match mark {
        CrashAttribution::Confirmed => {
            node.suspects
                .borrow_mut()
                .record_crash(print, EndpointCrash { life, at: now, ran: now - times.sent_at });
            settle(node);
        }
        CrashAttribution::Pending if may_look && node.ends.borrow_mut().start_probe(&life, now) => {
            actix_rt::spawn(look_for_end(node.clone(), life, address));
        }
        CrashAttribution::Pending | CrashAttribution::Unrelated => {}
    }
}

async fn look_for_end(node: Rc<FrontNode>, life: EndpointIncarnation, address: SocketAddr) {
    let link = match IdleLink::open(address, CONNECT_TIMEOUT, SocketBounds::default()).await {
        Ok(link) => link,
        Err(fault) if is_closed(&fault) => return note_ended(&node, &life, "port closed"),
        // Whoever is silent may be cut off from here; the list tells.
        Err(_) => return,
    };
    actix_rt::time::sleep(LOOK_TIME).await;
    if !link.is_reusable() {
        // Something before the endpoint accepts connections in its place, and finds nobody there.
        return note_ended(&node, &life, "connection closed");
    }
    let lives = node.endpoints.borrow().key(&life.instance).is_some();
    if lives {
        node.pool.borrow_mut().put(&life.instance, link, IDLE_TIMEOUT, MAX_IDLE_LINKS);
    }
}

/// Whether nobody listens any more where an endpoint did.
pub fn is_closed(fault: &LinkError) -> bool {
    matches!(fault, LinkError::ConnectFailed(cause) if cause.kind() == io::ErrorKind::ConnectionRefused)
}

/// Notes that a life of an endpoint ended which had not said that it leaves; `by` says how it showed.
pub fn note_ended(node: &FrontNode, life: &EndpointIncarnation, by: &'static str) {
    let now = node.clock.now();
    let under = node.ends.borrow_mut().note_ended(life, now);
    if under.is_empty() {
        return;
    }
    event!(node, EndpointEnded;
        "endpoint" => life.instance.as_str(), "by" => by, "under" => under.len());
    for (print, end) in under {
        node.suspects.borrow_mut().record_crash(print, end);
    }
    settle(node);
}

/// Forgets what is old, judges anew, and tells what changed.
pub fn settle(node: &FrontNode) {
    let changes = node.suspects.borrow_mut().settle(node.clock.now());
    changes.into_iter().for_each(|change| tell(node, change));
}

fn tell(node: &FrontNode, change: SuspectChange) {
    let suspects = node.suspects.borrow();
    let now = node.clock.now();
    match change {
        SuspectChange::Quarantined(print) => {
            let ends = suspects.record(&print).map_or(&[][..], SuspectRecord::ends);
            let endpoints: Vec<_> = ends.iter().map(|end| end.life.instance.as_str()).collect();
            event!(node, RequestHeld;
                "print" => print.to_string(), "endpoints" => endpoints.join(" "),
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
