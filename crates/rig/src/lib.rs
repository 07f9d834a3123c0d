//! A small cluster in one process, for tests of failures: each entry in a thread of its own, with
//! its own runtime, so that one can be killed, held up or stopped like a process.

pub mod cell;
pub mod chaos;
pub mod cluster;
pub mod fault;
pub mod matrix;

pub use cell::{CellOutcome, run_cell};
pub use chaos::{ChaosOutcome, run_chaos};
pub use cluster::{Rig, RigSettings};
pub use fault::RigFault;
pub use matrix::{MatrixRow, matrix_text, run_matrix};
