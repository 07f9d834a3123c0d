//! Which requests the ends of endpoints are charged to.

use crate::print::RequestPrint;
use crate::record::{EndedLife, RequestEnd, SuspectRecord, count_moments};
use std::collections::{BTreeMap, BTreeSet};

/// Moments at which an endpoint has to end under a request before it is to blame. With two, one of 100
/// streams beside a request that ends one of ten endpoints every half second would be held back with it.
pub const LEAST_MOMENTS: usize = 3;
/// Requests that were always together cannot be told apart: one is innocent, and each further end most likely
/// parts them. From so many moments on they are held back together; a request may reach endpoints three
/// times after its third end.
pub const MOST_TIED_MOMENTS: usize = 5;

struct Candidate<'a> {
    print: RequestPrint,
    /// Ends that no request found to blame explains.
    ends: Vec<&'a RequestEnd>,
}

impl Candidate<'_> {
    fn moments(&self) -> usize {
        count_moments(self.ends.iter().copied())
    }

    /// How many moments are left without those of `lives`.
    fn moments_without(&self, lives: &BTreeSet<&EndedLife>) -> usize {
        let left = self.ends.iter().copied().filter(|end| !lives.contains(&end.life));
        count_moments(left)
    }
}

/// The requests to blame, by what is known of all.
///
/// The one under which most ends came is taken first, and what it explains counts against nobody else. Judged
/// anew from everything whenever something is seen, so that a verdict that more ends contradict does not stand.
pub fn blame(records: &BTreeMap<RequestPrint, SuspectRecord>) -> BTreeSet<RequestPrint> {
    let mut open: Vec<Candidate<'_>> = records
        .iter()
        .map(|(print, record)| Candidate { print: *print, ends: record.ends().iter().collect() })
        .collect();
    let mut blamed = BTreeSet::new();
    loop {
        open.retain(|candidate| candidate.moments() >= LEAST_MOMENTS);
        let Some(top) = (0..open.len()).max_by_key(|at| open[*at].moments()) else {
            return blamed;
        };
        let top = open.swap_remove(top);
        let lives: BTreeSet<&EndedLife> = top.ends.iter().map(|end| &end.life).collect();
        let moments = top.moments();
        let is_rival = |other: &Candidate<'_>| {
            other.moments() == moments && other.moments_without(&lives) < LEAST_MOMENTS
        };
        if moments < MOST_TIED_MOMENTS && open.iter().any(is_rival) {
            open.retain(|other| !is_rival(other));
            continue;
        }
        if moments >= MOST_TIED_MOMENTS {
            blamed.extend(open.iter().filter(|other| is_rival(other)).map(|other| other.print));
        }
        blamed.insert(top.print);
        for other in &mut open {
            other.ends.retain(|end| !lives.contains(&end.life));
        }
    }
}
