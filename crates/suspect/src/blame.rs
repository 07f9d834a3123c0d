//! Which requests the ends of endpoints are charged to.

use crate::print::RequestPrint;
use crate::record::{EndedLife, RequestEnd, SuspectRecord, count_moments};
use oleander_kind::{ClockTime, TimeSpan};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Moments at which an endpoint has to end under a request before it is to blame: the users count from the
/// third end on.
pub const LEAST_MOMENTS: usize = 3;
/// From so many moments on a request may be what ended an endpoint under another one too. Nearly all that ran
/// beside a request at fault have one.
const PLAUSIBLE_MOMENTS: usize = 2;
/// Moments that a request must have for itself, none beside it that has as many or one less. Without this and
/// [`TOLD_WITHIN`], 8 of 224,377 honest requests were refused in 400 plays of two requests that end three endpoints a
/// second of nine; with both, none (`suspect::no_honest_request_is_held_back_beside_requests_that_end_endpoints`).
const LEAST_OWN: usize = 1;
/// Requests that were always together cannot be told apart: one is innocent, and each further end most likely
/// parts them. From so many moments on they are held back together; a request may reach endpoints three
/// times after its third end.
pub const MOST_TIED_MOMENTS: usize = 5;
/// An end counts once others that saw it have told what they ran there: a process that sent one stream to three
/// endpoints knows all ends of that stream at once, and of the request at fault, which came to other processes, it
/// hears by their report, which takes 250 ms at most.
const TOLD_WITHIN: TimeSpan = TimeSpan(300);

struct Candidate<'a> {
    print: RequestPrint,
    /// Ends that no request found to blame explains.
    ends: Vec<&'a RequestEnd>,
}

impl Candidate<'_> {
    fn moments(&self) -> usize {
        count_moments(self.ends.iter().copied())
    }

    fn lives(&self) -> impl Iterator<Item = &EndedLife> {
        self.ends.iter().map(|end| &end.life)
    }

    /// How many moments are left without those of `lives`.
    fn moments_without(&self, lives: &BTreeSet<&EndedLife>) -> usize {
        let left = self.ends.iter().copied().filter(|end| !lives.contains(&end.life));
        count_moments(left)
    }

    /// Whether `other` has as many ends, and this one would explain too many of them for it to be to blame as
    /// well: only one of the two is.
    fn is_rivalled_by(&self, other: &Candidate<'_>) -> bool {
        let lives = self.lives().collect();
        other.moments() >= self.moments() && other.moments_without(&lives) < LEAST_MOMENTS
    }

    /// Whether it is to blame, and none of `others` in its place.
    fn is_sure<'b>(&self, others: impl Iterator<Item = &'b Candidate<'b>> + Clone) -> bool {
        if self.moments() >= MOST_TIED_MOMENTS {
            return true;
        }
        let is_near = |other: &&Candidate<'_>| other.moments() + 1 >= self.moments();
        let shared = others.clone().filter(is_near).flat_map(Candidate::lives).collect();
        let mut others = others;
        self.moments_without(&shared) >= LEAST_OWN
            && !others.any(|other| self.is_rivalled_by(other))
    }
}

/// The requests to blame, by what is known of all.
///
/// The one under which most ends came is taken first, and what it explains counts against nobody else. Judged
/// anew from everything whenever something is seen, so that a verdict that more ends contradict does not stand.
pub fn blame(
    records: &BTreeMap<RequestPrint, SuspectRecord>,
    now: ClockTime,
) -> BTreeSet<RequestPrint> {
    let is_told = |end: &&RequestEnd| now - end.at >= TOLD_WITHIN;
    let mut open: Vec<Candidate<'_>> = records
        .iter()
        .map(|(print, record)| Candidate {
            print: *print,
            ends: record.ends().iter().filter(is_told).collect(),
        })
        .collect();
    let mut blamed = BTreeSet::new();
    loop {
        open.retain(|candidate| candidate.moments() >= PLAUSIBLE_MOMENTS);
        open.sort_by_key(|candidate| (Reverse(candidate.moments()), candidate.print));
        let Some(top) = find_sure(&open) else {
            return blamed;
        };
        let top = open.remove(top);
        blamed.insert(top.print);
        if top.moments() >= MOST_TIED_MOMENTS {
            let tied = open.iter().filter(|other| top.is_rivalled_by(other));
            blamed.extend(tied.map(|other| other.print));
        }
        let lives: BTreeSet<&EndedLife> = top.lives().collect();
        for other in &mut open {
            other.ends.retain(|end| !lives.contains(&end.life));
        }
    }
}

fn find_sure(open: &[Candidate<'_>]) -> Option<usize> {
    let others = |at: usize| open[..at].iter().chain(&open[at + 1..]);
    let enough = open.iter().take_while(|candidate| candidate.moments() >= LEAST_MOMENTS).count();
    (0..enough).find(|at| open[*at].is_sure(others(*at)))
}
