//! Rates of endpoints that named a limit for themselves, handed out over all processes.
//!
//! An endpoint in need says how many requests a second it takes from all processes together. The process that collects
//! hands that rate out in leases to a few of them; the others send nothing there. A lease ends on its holder's own
//! clock, and its holder sends by a bucket of little more than one request, which gains nothing without a lease. So whatever the demand, the number of processes, or
//! the news that are lost, an endpoint that names `n` a second gets at most `4 n + 2` requests in 4 s by the leases of
//! one collector; nothing is counted, so that nothing has to be known of the time before.

mod bucket;
mod desk;

pub use bucket::RateBucket;
pub use desk::{RateDesk, RateKey, RatedEndpoint, own_part};
