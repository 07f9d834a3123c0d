//! Bounds how many connections are open, so that callers who send nothing leave descriptors for others.

use crate::KEEP_ALIVE;
use actix_rt::net::TcpStream;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// The connections of a site.
pub(crate) struct ConnectionPlaces {
    most: usize,
    open: Cell<usize>,
    next: Cell<u64>,
    /// Those on which nothing was sent, the oldest first.
    unused: RefCell<BTreeMap<u64, Rc<Notify>>>,
    freed: Notify,
}

impl ConnectionPlaces {
    pub(crate) fn new(most: usize) -> Self {
        ConnectionPlaces {
            most,
            open: Cell::default(),
            next: Cell::default(),
            unused: RefCell::default(),
            freed: Notify::new(),
        }
    }

    /// Waits until another connection may be accepted, for which an unused one gives way.
    pub(crate) async fn until_free(&self) {
        while self.open.get() >= self.most {
            let freed = self.freed.notified();
            if let Some((_, oldest)) = self.unused.borrow_mut().pop_first() {
                oldest.notify_one();
            }
            freed.await;
        }
    }

    /// Takes a place for a connection that was accepted.
    pub(crate) fn take(self: &Rc<Self>) -> ConnectionPlace {
        let number = self.next.get();
        self.next.set(number + 1);
        self.open.set(self.open.get() + 1);
        let leaves = Rc::<Notify>::default();
        self.unused.borrow_mut().insert(number, leaves.clone());
        // Whoever waits for a place can ask this one to leave.
        self.freed.notify_waiters();
        ConnectionPlace { places: self.clone(), number, leaves }
    }
}

/// The place of one connection, until it is dropped.
pub(crate) struct ConnectionPlace {
    places: Rc<ConnectionPlaces>,
    number: u64,
    leaves: Rc<Notify>,
}

impl ConnectionPlace {
    /// Waits until something was sent on the connection; returns whether that happened before it had to leave.
    pub(crate) async fn until_used(&self, stream: &TcpStream) -> bool {
        let is_used = tokio::select! {
            biased;
            ready = stream.readable() => ready.is_ok(),
            () = self.leaves.notified() => false,
            () = actix_rt::time::sleep(KEEP_ALIVE) => false,
        };
        self.places.unused.borrow_mut().remove(&self.number);
        is_used
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        let places = &self.places;
        places.unused.borrow_mut().remove(&self.number);
        places.open.set(places.open.get().saturating_sub(1));
        places.freed.notify_waiters();
    }
}
