//! Requests under which endpoints end.
//!
//! A request may end each endpoint that runs it. Its caller gets no answer and sends it again, under another
//! id and at any process, and whatever runs beside it breaks with it. Nothing that is known of endpoints
//! or of one attempt tells that it is the same request; its content does ([`RequestFingerprint`]).
//!
//! A process notes attempts that broke, and counts them once their endpoint is known to have ended
//! ([`CrashMonitor`]): connections break for many reasons. What was counted is joined over all processes
//! ([`SuspectTracker`]). Requests that break beside the one at fault look like it at first, so the ends are
//! charged to as few requests as explain them ([`find_culprits`]). What is to blame is held back at all processes for a while.
//!
//! All of it is a pure function of what was seen and the time.

mod attribution;
mod fingerprint;
mod monitor;
mod record;
mod tracker;

pub use attribution::{MAX_TIED_EVENTS, MIN_CRASH_EVENTS, find_culprits};
pub use fingerprint::{RequestContent, RequestFingerprint};
pub use monitor::{AttemptTimes, CrashAttribution, CrashMonitor};
pub use record::{
    CRASH_RETENTION, CrashUpdate, EXONERATION_WINDOW, EndpointCrash, EndpointIncarnation,
    SuspectRecord, SuspectUpdate,
};
pub use tracker::{SuspectChange, SuspectTracker};
