//! Detection and quarantine of requests that crash the endpoints that run them.
//!
//! Such a request may crash every endpoint it reaches. Its caller gets no answer and sends it
//! again, with another id and to any process, and whatever runs beside it fails with it. Neither
//! the state of the endpoints nor a single attempt shows that it is the same request; its content
//! does ([`SuspectFingerprint`]).
//!
//! A process records attempts whose connection broke, and counts them once their endpoint is known
//! to have crashed ([`CrashMonitor`]), since connections break for many reasons. The counted
//! crashes of all processes are merged ([`SuspectTracker`]). Requests that ran beside the culprit
//! look guilty at first, so the crashes are attributed to as few requests as explain them
//! (`attribution`). The culprits are quarantined at all processes for a while.
//!
//! Everything here is a pure function of the observations and the time.

mod attribution;
mod fingerprint;
mod monitor;
mod record;
mod tracker;

pub use attribution::{MAX_TIED_EVENTS, MIN_CRASH_EVENTS};
pub use fingerprint::{RequestContent, SuspectFingerprint};
pub use monitor::{AttemptSuspects, AttemptTimes, BrokenAttempt, CrashAttribution, CrashMonitor};
pub use record::{
    CRASH_RETENTION, CrashUpdate, EXONERATION_WINDOW, EndpointCrash, EndpointIncarnation,
    SuspectRecord, SuspectUpdate,
};
pub use tracker::{SuspectChange, SuspectTracker};
