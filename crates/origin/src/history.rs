//! Which software versions of each service were listed, and for how long that is known.

use compact_str::CompactString;
use oleander_kind::{ClockTime, ServiceName, TimeSpan};
use std::collections::HashMap;

/// How long a version is remembered after it was last listed. Longer than any stream may be taken up again.
const MEMORY: TimeSpan = TimeSpan(600_000);

/// The versions that one process saw in its endpoint list.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    services: HashMap<ServiceName, Vec<ListedVersion>>,
    watched_since: Option<ClockTime>,
}

#[derive(Clone, Debug)]
struct ListedVersion {
    version: CompactString,
    last_listed: ClockTime,
}

impl VersionHistory {
    /// Records the versions on the list at `now`. A list that is not fresh may lack one, so that nothing is known
    /// of the time until it is fresh again.
    pub fn observe<'a>(
        &mut self,
        listed: impl Iterator<Item = (&'a ServiceName, &'a CompactString)>,
        is_fresh: bool,
        now: ClockTime,
    ) {
        listed.for_each(|(service, version)| self.note_listed(service, version, now));
        self.watched_since = is_fresh.then(|| self.watched_since.unwrap_or(now));
        for versions in self.services.values_mut() {
            versions.retain(|listed| now - listed.last_listed < MEMORY);
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }

    /// Records that a version is on the list at `now`.
    pub fn note_listed(&mut self, service: &ServiceName, version: &CompactString, now: ClockTime) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Vec::new());
        }
        let Some(versions) = self.services.get_mut(service) else { return };
        match versions.iter_mut().find(|listed| listed.version == *version) {
            Some(listed) => listed.last_listed = now,
            None => versions.push(ListedVersion { version: version.clone(), last_listed: now }),
        }
    }

    /// The only version of `service` that this process saw within `span`, whether or not it watched the list for
    /// so long; `None` if there were several or none.
    pub fn only_seen(
        &self,
        service: &ServiceName,
        span: TimeSpan,
        now: ClockTime,
    ) -> Option<&CompactString> {
        let versions = self.services.get(service)?;
        let mut recent = versions.iter().filter(|listed| now - listed.last_listed < span);
        let only = recent.next()?;
        recent.next().is_none().then_some(&only.version)
    }

    /// The version of `service` that was alone on the list throughout the last `span`; `None` if there were
    /// several, or if this process did not have a fresh list for so long.
    pub fn alone(
        &self,
        service: &ServiceName,
        span: TimeSpan,
        now: ClockTime,
    ) -> Option<&CompactString> {
        let watched = self.watched_since.is_some_and(|since| now - since >= span);
        self.only_seen(service, span, now).filter(|_| watched)
    }

    /// How long this process has had a fresh list without interruption.
    pub fn watched_for(&self, now: ClockTime) -> Option<TimeSpan> {
        self.watched_since.map(|since| now - since)
    }

    /// The versions of each service, with the time since they were last listed.
    pub fn versions(
        &self,
        now: ClockTime,
    ) -> impl Iterator<Item = (&ServiceName, &CompactString, TimeSpan)> {
        self.services.iter().flat_map(move |(service, versions)| {
            versions.iter().map(move |listed| (service, &listed.version, now - listed.last_listed))
        })
    }
}
