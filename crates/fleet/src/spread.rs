//! How many replicas go into each failure domain.

use oleander_kind::DomainName;

/// What one failure domain should have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainNeed {
    /// The domain.
    pub domain: DomainName,
    /// Replicas wanted there.
    pub replicas: u32,
}

/// Spreads `replicas` evenly over `domains`; the first ones get what is left over.
///
/// A domain's worth of reclaimable instances goes at once. Even spread makes the largest loss as
/// small as it can be.
pub fn spread_replicas(replicas: u32, domains: &[DomainName]) -> Vec<DomainNeed> {
    let count = u32::try_from(domains.len()).unwrap_or(1).max(1);
    let (each, left) = (replicas / count, replicas % count);
    domains
        .iter()
        .zip(0..)
        .map(|(domain, at)| DomainNeed {
            domain: domain.clone(),
            replicas: each + u32::from(at < left),
        })
        .collect()
}
