//! Queries on the last reports of each process.

use crate::collector::MeshCollector;
use crate::message::{EndpointHash, MemberInfo, NodeReport, ServiceDemand};
use crate::view::MeshView;
use oleander_kind::{ClockTime, ServiceName};
use std::collections::BTreeSet;

impl MeshCollector {
    /// Whether this report was already received.
    pub fn is_repeated(&self, report: &NodeReport) -> bool {
        let known = self.nodes.get(&report.member.id).map(|node| &node.report);
        let is_same = |known: &NodeReport| {
            (known.member.life, known.wall) == (report.member.life, report.wall)
        };
        known.is_some_and(is_same)
    }

    /// The demand in the reporter's previous report of the same incarnation.
    pub fn previous_demand(&self, report: &NodeReport) -> &[ServiceDemand] {
        let known = self.nodes.get(&report.member.id).map(|node| &node.report);
        let known = known.filter(|known| known.member.life == report.member.life);
        known.map_or(&[], |known| &known.demand)
    }

    /// Whether every member has reported after `since`, follows this plan of a roll-out or a later
    /// one, and has no requests at the endpoints of the former version. A silent member may still
    /// send requests there.
    pub fn all_left_version(
        &self,
        view: &MeshView,
        ((service, number), former): ((&ServiceName, u64), &BTreeSet<EndpointHash>),
        since: ClockTime,
    ) -> bool {
        let has_left = |member: &MemberInfo| {
            let Some(node) = self.nodes.get(&member.id) else { return false };
            let report = &node.report;
            let mut plans = report.releases.iter();
            let follows = plans.any(|(name, known)| name == service && *known >= number);
            let is_idle = report.loads.iter().all(|load| !former.contains(&load.endpoint));
            node.heard_at >= since && report.member.life == member.life && follows && is_idle
        };
        view.members().iter().all(has_left)
    }
}
