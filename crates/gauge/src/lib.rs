//! Measurements: running processes, decisions at full size, slopes and plots. For developers only.

pub mod claims;
pub mod decide;
pub mod fit;
pub mod latency;
pub mod page;
pub mod plot;
pub mod policy;
pub mod sample;

pub use decide::{DecisionCost, measure_decisions};
pub use fit::{LineFit, fit_line};
pub use sample::{ClusterSample, sample_cluster, spread_time};
