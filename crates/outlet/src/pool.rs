//! Idle connections, kept for reuse.

use crate::link::IdleLink;
use oleander_kind::InstanceId;
use std::collections::HashMap;
use std::time::Duration;

struct PooledLink {
    link: IdleLink,
    keep: Duration,
}

/// Idle connections by endpoint instance.
#[derive(Default)]
pub struct LinkPool {
    links: HashMap<InstanceId, Vec<PooledLink>>,
}

impl LinkPool {
    /// A connection to `instance` that is open, silent and younger than its limit; the one that was
    /// used last, so that the others can grow old and go.
    pub fn take(&mut self, instance: &InstanceId) -> Option<IdleLink> {
        let links = self.links.get_mut(instance)?;
        while let Some(pooled) = links.pop() {
            if pooled.link.idle_for() < pooled.keep && pooled.link.is_reusable() {
                return Some(pooled.link);
            }
        }
        None
    }

    /// Keeps `link` for at most `keep`, unless `most` to `instance` are kept already.
    pub fn put(&mut self, instance: &InstanceId, link: IdleLink, keep: Duration, most: usize) {
        let links = self.links.entry(instance.clone()).or_default();
        if links.len() < most {
            links.push(PooledLink { link, keep });
        }
    }

    /// Closes those to `instance`.
    pub fn forget(&mut self, instance: &InstanceId) {
        self.links.remove(instance);
    }

    /// Closes what is too old, closed by its endpoint, or to an endpoint that `stays` denies.
    pub fn sweep(&mut self, stays: impl Fn(&InstanceId) -> bool) {
        self.links.retain(|instance, links| {
            links.retain(|pooled| {
                pooled.link.idle_for() < pooled.keep && pooled.link.is_reusable() && stays(instance)
            });
            !links.is_empty()
        });
    }

    /// Closes all.
    pub fn clear(&mut self) {
        self.links.clear();
    }

    /// How many connections are kept.
    pub fn len(&self) -> usize {
        self.links.values().map(Vec::len).sum()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }
}
