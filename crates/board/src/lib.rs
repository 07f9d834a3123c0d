//! Blackboard of a process: shared state that its controllers read and write, with dumps, logs and metrics.
//!
//! Controllers never call one another. Each reads the shared state, decides and writes results back;
//! the edge performs the actions. A dump of the blackboard therefore shows all that the process knows.

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
