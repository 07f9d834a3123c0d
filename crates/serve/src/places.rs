//! Bounds how many connections are open, so that callers who send nothing, or rest, leave descriptors for others.

use crate::KEEP_ALIVE;
use actix_http::Request;
use actix_http::body::BodySize;
use actix_rt::net::TcpStream;
use actix_web::HttpRequest;
use oleander_hold::bounds::{FRESH_TIME, HEAD_BYTES, SILENT_TIME};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::Notify;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionUse {
    /// Nothing was sent on it since then.
    Unused(Instant),
    /// It has rested since its last answer.
    Resting(Instant),
    /// The body of a request has been read since then, so many bytes; nothing of it was passed on.
    Reading(Instant, u64),
    /// A request is being served, or its answer is a stream whose end is not known here.
    Busy,
}

/// One open connection.
pub struct ConnectionFact {
    state: Cell<ConnectionUse>,
    leaves: Notify,
}

impl ConnectionFact {
    /// A request has been read on it.
    fn begin(&self) {
        self.state.set(ConnectionUse::Busy);
    }

    /// Its answer is being written. One of known length is taken in a moment.
    fn end(&self, size: BodySize) {
        if size != BodySize::Stream {
            self.state.set(ConnectionUse::Resting(Instant::now()));
        }
    }

    /// Bytes of the body that is being read have come.
    fn note_moved(&self, bytes: usize) {
        if let ConnectionUse::Reading(since, moved) = self.state.get() {
            self.state.set(ConnectionUse::Reading(since, moved + bytes as u64));
        }
    }

    /// Who leaves first; `None` if a request is under way, or may be.
    fn leave_rank(&self) -> Option<LeaveRank> {
        match self.state.get() {
            ConnectionUse::Unused(since) if since.elapsed() >= SILENT_TIME.duration() => {
                Some(LeaveRank::Silent(since))
            }
            ConnectionUse::Unused(since) if since.elapsed() >= FRESH_TIME.duration() => {
                Some(LeaveRank::progress(since, HEAD_BYTES))
            }
            ConnectionUse::Resting(since) => Some(LeaveRank::Resting(since)),
            ConnectionUse::Reading(since, moved) => Some(LeaveRank::progress(since, moved)),
            ConnectionUse::Unused(_) | ConnectionUse::Busy => None,
        }
    }
}

/// Who leaves first, the lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum LeaveRank {
    /// What was not used for a while, the oldest first.
    Silent(Instant),
    /// What rests longest.
    Resting(Instant),
    /// What makes least progress, in bytes a second, and then the oldest.
    Progress(u64, Instant),
}

impl LeaveRank {
    /// The rank of a connection on which so many bytes have come since then.
    fn progress(since: Instant, moved: u64) -> Self {
        let elapsed_ms = since.elapsed().as_millis().max(1) as u64;
        LeaveRank::Progress(moved.saturating_mul(1000) / elapsed_ms, since)
    }
}

/// The connections of a site.
pub(crate) struct ConnectionPlaces {
    most: usize,
    next: Cell<u64>,
    open: RefCell<HashMap<u64, Rc<ConnectionFact>>>,
    freed: Notify,
}

impl ConnectionPlaces {
    pub(crate) fn new(most: usize) -> Self {
        ConnectionPlaces {
            most,
            next: Cell::default(),
            open: RefCell::default(),
            freed: Notify::new(),
        }
    }

    /// Waits until no more connections are open than may be; until then one without a request gives way.
    pub(crate) async fn until_within(&self) {
        loop {
            let freed = self.freed.notified();
            if self.open.borrow().len() <= self.most {
                return;
            }
            if let Some(leaving) = self.first_to_leave() {
                leaving.leaves.notify_one();
            }
            // One whose answer ends may leave then, which nothing tells.
            let _ = tokio::time::timeout(crate::ACCEPT_PAUSE, freed).await;
        }
    }

    fn first_to_leave(&self) -> Option<Rc<ConnectionFact>> {
        let open = self.open.borrow();
        let ranked = open.values().filter_map(|fact| Some((fact.leave_rank()?, fact)));
        ranked.min_by_key(|(rank, _)| *rank).map(|(_, fact)| fact.clone())
    }

    /// Takes a place for a connection that was accepted.
    pub(crate) fn take(self: &Rc<Self>) -> ConnectionPlace {
        let number = self.next.get();
        self.next.set(number + 1);
        let state = Cell::new(ConnectionUse::Unused(Instant::now()));
        let fact = Rc::new(ConnectionFact { state, leaves: Notify::new() });
        self.open.borrow_mut().insert(number, fact.clone());
        ConnectionPlace { places: self.clone(), number, fact }
    }
}

/// The place of one connection, until it is dropped.
pub(crate) struct ConnectionPlace {
    places: Rc<ConnectionPlaces>,
    number: u64,
    pub(crate) fact: Rc<ConnectionFact>,
}

impl ConnectionPlace {
    /// Waits until something was sent on the connection; returns whether that happened before its time was over.
    pub(crate) async fn until_used(&self, stream: &TcpStream) -> bool {
        let ready = tokio::time::timeout(KEEP_ALIVE, stream.readable()).await;
        ready.is_ok_and(|ready| ready.is_ok())
    }

    /// Waits until the connection has to give way to another one, and no request has come meanwhile.
    pub(crate) async fn until_leaving(&self) {
        loop {
            self.fact.leaves.notified().await;
            if self.fact.leave_rank().is_some() {
                return;
            }
        }
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        self.places.open.borrow_mut().remove(&self.number);
        self.places.freed.notify_waiters();
    }
}

/// The body of a request is being read, until this is dropped. Its connection gives way where others make more progress:
/// a caller may send next to nothing for as long as a body may take.
pub struct ReadingBody(Option<Rc<ConnectionFact>>);

impl ReadingBody {
    /// The body of `request` is read from now on.
    pub fn begin(request: &HttpRequest) -> Self {
        let fact = request.conn_data::<Rc<ConnectionFact>>().cloned();
        if let Some(fact) = &fact {
            fact.state.set(ConnectionUse::Reading(Instant::now(), 0));
        }
        ReadingBody(fact)
    }

    /// Bytes of the body have come.
    pub fn note_moved(&self, bytes: usize) {
        if let Some(fact) = &self.0 {
            fact.note_moved(bytes);
        }
    }
}

impl Drop for ReadingBody {
    fn drop(&mut self) {
        if let Some(fact) = &self.0 {
            fact.begin();
        }
    }
}

/// A request under way on its connection.
pub(crate) struct BusyConnection(Option<Rc<ConnectionFact>>);

impl BusyConnection {
    /// A request has been read.
    pub(crate) fn begin(request: &Request) -> Self {
        let fact = request.conn_data::<Rc<ConnectionFact>>().cloned();
        if let Some(fact) = &fact {
            fact.begin();
        }
        BusyConnection(fact)
    }

    /// Its answer is there, with a body of this size.
    pub(crate) fn answered(self, size: BodySize) {
        if let Some(fact) = self.0 {
            fact.end(size);
        }
    }
}
