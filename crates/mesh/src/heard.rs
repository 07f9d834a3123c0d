//! What the collector was told before, and whether all have left a version of a service.

use crate::collector::MeshCollector;
use crate::message::{EndpointMark, MemberCard, NodeReport, ServiceDemand};
use crate::view::MeshView;
use oleander_kind::{ClockTime, ServiceName};
use std::collections::BTreeSet;

impl MeshCollector {
    /// Whether this very report was taken before.
    pub fn is_repeated(&self, report: &NodeReport) -> bool {
        let known = self.nodes.get(&report.card.id).map(|node| &node.report);
        let is_same =
            |known: &NodeReport| (known.card.life, known.wall) == (report.card.life, report.wall);
        known.is_some_and(is_same)
    }

    /// What a process was asked, as it last reported in the same life.
    pub fn demand_before(&self, report: &NodeReport) -> &[ServiceDemand] {
        let known = self.nodes.get(&report.card.id).map(|node| &node.report);
        let known = known.filter(|known| known.card.life == report.card.life);
        known.map_or(&[], |known| &known.demand)
    }

    /// Whether every member reported after `since`, goes by this plan of a roll-out or a later one, and has nothing at the
    /// endpoints of the former version. One that is silent may send there still.
    pub fn have_left(
        &self,
        view: &MeshView,
        ((service, number), former): ((&ServiceName, u64), &BTreeSet<EndpointMark>),
        since: ClockTime,
    ) -> bool {
        let has_left = |card: &MemberCard| {
            let Some(node) = self.nodes.get(&card.id) else { return false };
            let report = &node.report;
            let mut plans = report.releases.iter();
            let follows = plans.any(|(name, known)| name == service && *known >= number);
            let is_idle = report.loads.iter().all(|load| !former.contains(&load.endpoint));
            node.heard_at >= since && report.card.life == card.life && follows && is_idle
        };
        view.cards().iter().all(has_left)
    }
}
