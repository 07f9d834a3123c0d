//! Requests under which endpoints end.
//!
//! A request may end each endpoint that runs it. Its caller gets no answer and sends it again, under another
//! id and at any process, and whatever runs beside it breaks with it. Nothing that is known of endpoints
//! or of one attempt tells that it is the same request; its content does ([`RequestPrint`]).
//!
//! A process notes attempts that broke, and counts them once their endpoint is known to have ended
//! ([`EndWatch`]): connections break for many reasons. What was counted is joined over all processes
//! ([`SuspectBook`]). Requests that break beside the one at fault look like it at first, so the ends are
//! charged to as few requests as explain them ([`blame`]). What is to blame is held back at all processes for a while.
//!
//! All of it is a pure function of what was seen and the time.

mod blame;
mod book;
mod print;
mod record;
mod watch;

pub use blame::{LEAST_MOMENTS, MOST_TIED_MOMENTS, blame};
pub use book::{SuspectBook, SuspectChange};
pub use print::{RequestContent, RequestPrint};
pub use record::{
    ANSWER_COVERS, ENDS_KEPT, EndNote, EndedLife, RequestEnd, SuspectNote, SuspectRecord,
};
pub use watch::{BrokenMark, BrokenTimes, EndWatch};
