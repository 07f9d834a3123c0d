//! A pool of idle connections.

use crate::link::IdleLink;
use oleander_kind::InstanceId;
use std::collections::HashMap;
use std::time::Duration;

struct PooledLink {
    link: IdleLink,
    idle_limit: Duration,
}

/// Idle connections by endpoint instance.
#[derive(Default)]
pub struct LinkPool {
    links: HashMap<InstanceId, Vec<PooledLink>>,
}

impl LinkPool {
    /// Returns a connection to `instance` that is open, has no unread bytes and is within its idle
    /// limit: the most recently used one, so that the others can expire.
    pub fn take(&mut self, instance: &InstanceId) -> Option<IdleLink> {
        self.take_with_limit(instance).map(|(link, _)| link)
    }

    /// As [`take`](Self::take), with the idle limit under which the connection was stored.
    pub fn take_with_limit(&mut self, instance: &InstanceId) -> Option<(IdleLink, Duration)> {
        let links = self.links.get_mut(instance)?;
        while let Some(pooled) = links.pop() {
            if pooled.link.idle_for() < pooled.idle_limit && pooled.link.is_reusable() {
                return Some((pooled.link, pooled.idle_limit));
            }
        }
        None
    }

    /// Whether a connection to `instance` is stored that is within its idle limit and open.
    pub fn has_open(&self, instance: &InstanceId) -> bool {
        let is_open = |pooled: &PooledLink| {
            pooled.link.idle_for() < pooled.idle_limit && pooled.link.is_reusable()
        };
        self.links.get(instance).is_some_and(|links| links.iter().any(is_open))
    }

    /// Stores `link` for at most `idle_limit`, unless `max_idle` connections to `instance` are
    /// stored already.
    pub fn put(
        &mut self,
        instance: &InstanceId,
        link: IdleLink,
        idle_limit: Duration,
        max_idle: usize,
    ) {
        let links = self.links.entry(instance.clone()).or_default();
        if links.len() < max_idle {
            links.push(PooledLink { link, idle_limit });
        }
    }

    /// Closes all connections to `instance`.
    pub fn forget(&mut self, instance: &InstanceId) {
        self.links.remove(instance);
    }

    /// Closes connections that expired, were closed by the endpoint, or lead to an instance that is
    /// not live according to `is_live`.
    pub fn sweep(&mut self, is_live: impl Fn(&InstanceId) -> bool) {
        self.links.retain(|instance, links| {
            links.retain(|pooled| {
                pooled.link.idle_for() < pooled.idle_limit
                    && pooled.link.is_reusable()
                    && is_live(instance)
            });
            !links.is_empty()
        });
    }

    /// Closes all connections.
    pub fn clear(&mut self) {
        self.links.clear();
    }

    /// Number of stored connections.
    pub fn len(&self) -> usize {
        self.links.values().map(Vec::len).sum()
    }

    /// Whether the pool is empty.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }
}
