//! Dispatch of requests to a service that has fewer places than there are processes.
//!
//! What a process knows of the others' requests at an endpoint is older than a plain request takes. If each
//! of many processes sends by itself, they swing between the endpoints, and under overload the endpoints' own
//! queues stand full, so that most answers are late. While room is short, a few processes, the dispatchers,
//! therefore send all requests of such a service, and the others relay theirs to them. A dispatcher has a
//! fixed part of the places at each endpoint, and needs no news of the others for it. What finds no place waits
//! in a line that is bounded by the objective, or is refused on arrival with the time to come back. If the line is
//! full of one account's requests, they make room for those of accounts that took less: no account is kept out by
//! another one that sends several times as much, and no place stays idle for that.
//!
//! Everything is a pure function of what was noted and of the time.

mod answers;
mod choose;
mod line;
mod returns;
mod shares;
mod short;

pub use answers::AnswerTimes;
pub use choose::{DispatchCandidate, choose_dispatchers};
pub use line::{LineTicket, RoomRequest, WaitLine};
pub use returns::ReturnSchedule;
pub use shares::{AccountShares, AccountTag};
pub use short::{RoomSample, ShortRoom};
