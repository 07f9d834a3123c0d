//! The blackboard: the facts that controllers read and write, and how they are told.
//!
//! Controllers never call one another. Each reads facts here, decides, and writes facts back; the
//! edge carries out actions. A dump of the board is therefore a dump of all the process knows.

pub mod clock;
pub mod dump;
pub mod facts;
pub mod log;
pub mod meter;

pub use clock::NodeClock;
pub use dump::{StateDump, dump_state};
pub use facts::{Blackboard, EndpointFact, EndpointKey, ReportedLoad, StopStage};
pub use log::{json_logger, log_code};
pub use meter::NodeMeter;
