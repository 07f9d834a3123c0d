//! Request rates of endpoints that set a limit for themselves, leased to processes.
//!
//! An overloaded endpoint states how many requests a second it accepts from all processes together.
//! The collector leases that rate to a few processes; the others send no requests there. A lease
//! expires by its holder's own clock, and its holder sends through a token bucket of little more
//! than one request, which does not fill without a lease. So, whatever the demand, the number of
//! processes or the message loss, an endpoint that sets a limit of `n` requests a second receives
//! at most `4n+2` requests in 4 s under the leases of one collector. Nothing is counted, so a new
//! collector needs no earlier state.

mod allocator;
mod bucket;

pub use allocator::{LimitedEndpoint, RateAllocator, RateKey, own_share};
pub use bucket::RateBucket;
