//! The collector's state, built from the reports.

use crate::clock::{median_offset, wall_offset};
use crate::evidence::{EndpointIncarnation, OutlierDetector, VerdictChange};
use crate::limit_message::AccountAllotment;
use crate::loads::{LoadTable, LoadUpdate, REPORT_LIFETIME};
use crate::message::{
    EndpointHash, EndpointVerdict, LeaseNotice, MemberInfo, MeshDigest, NodeReport, NodeUsage,
    RulesStatus, ServiceDemand, ServicePace, ServicePeak, UsageCount,
};
use crate::view::MeshView;
use oleander_call::RuleSet;
use oleander_kind::{AccountName, ClockTime, InstanceId, ServiceName, TimeSpan};
use oleander_limit::{PoolLedger, PoolLimit, RateAllocator};
use oleander_list::{RosterReplica, RosterVersion};
use oleander_pace::{ReadPace, merge_paces};
use oleander_plat::FeedObject;
use oleander_release::OrderNews;
use oleander_suspect::SuspectTracker;
use std::collections::BTreeMap;

/// Least time between two member lists to the same process, per listed member.
const MEMBER_LIST_PERIOD: TimeSpan = TimeSpan(5);
/// The time constant over which demand is averaged.
const DEMAND_TIME_CONSTANT: TimeSpan = TimeSpan(2000);

/// The state of the collector's own process, needed to answer a report.
pub struct CollectorContext<'a> {
    /// The rules in force.
    pub rules: Option<&'a RuleSet>,
    /// The text of these rules.
    pub rules_text: Option<&'a FeedObject>,
    /// The status of the rules.
    pub rules_status: RulesStatus,
    /// The endpoint list.
    pub roster: &'a RosterReplica,
    /// Identifies this incarnation of the process among collectors.
    pub source: u64,
    /// The limit of an account in the rules.
    pub limit_of: &'a dyn Fn(&AccountName) -> Option<PoolLimit>,
    /// Usage windows up to this number are reported.
    pub reported_window: u64,
    /// Recent peak needs of services.
    pub peaks: Vec<ServicePeak>,
    /// The prefill speed of engines, as known before this process collected.
    pub paces: Vec<ServicePace>,
    /// Requests during which endpoints crashed.
    pub suspects: &'a SuspectTracker,
    /// The lease as last seen.
    pub lease: Option<LeaseNotice>,
    /// The roll-outs under way.
    pub releases: OrderNews,
    /// Reports of an earlier term than this are stale.
    pub oldest_term: u64,
    /// The current time.
    pub now: ClockTime,
}

#[derive(Clone, Debug)]
pub(crate) struct ReportedNode {
    pub(crate) report: NodeReport,
    pub(crate) heard_at: ClockTime,
    offset: i64,
    members_sent_at: Option<ClockTime>,
}

/// The demand for a service, summed over all processes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandRate {
    /// Requests per second.
    pub requests: f64,
    /// Prompt tokens per second that need prefill.
    pub unread_tokens: f64,
    /// Answer tokens per second.
    pub answer_tokens: f64,
}

type UsageTable = BTreeMap<u64, BTreeMap<(InstanceId, u64), BTreeMap<AccountName, u64>>>;

/// The collector's state.
pub struct MeshCollector {
    /// `None` until the earlier allotments are known, and after the ledger was handed over.
    pub(crate) ledger: Option<PoolLedger>,
    /// The number of impossible claims since the count was last taken.
    pub(crate) claims_left_out: u64,
    pub(crate) nodes: BTreeMap<InstanceId, ReportedNode>,
    usage: UsageTable,
    demand: BTreeMap<ServiceName, (DemandRate, ClockTime)>,
    judge: OutlierDetector,
    loads: LoadTable,
    rates: RateAllocator,
    began_at: ClockTime,
}

impl MeshCollector {
    /// Starts to collect, without a ledger yet.
    pub fn begin(now: ClockTime) -> Self {
        MeshCollector {
            ledger: None,
            claims_left_out: 0,
            nodes: BTreeMap::new(),
            usage: BTreeMap::new(),
            demand: BTreeMap::new(),
            judge: OutlierDetector::default(),
            loads: LoadTable::default(),
            rates: RateAllocator::default(),
            began_at: now,
        }
    }

    /// Sets the endpoints that the previous collector had ejected.
    pub fn with_verdicts(self, verdicts: impl Iterator<Item = EndpointVerdict>) -> Self {
        let judge = OutlierDetector::begin(verdicts, self.began_at);
        MeshCollector { judge, ..self }
    }

    /// Adds the endpoint observations of a report that has not been handled yet; returns how many
    /// were left out. A report that is sent twice counts once.
    pub fn note_evidence(
        &mut self,
        report: &NodeReport,
        knows: impl Fn(&EndpointIncarnation) -> bool,
        now: ClockTime,
    ) -> usize {
        if self.is_repeated(report) {
            return 0;
        }
        self.judge.note(report, knows, now)
    }

    /// Whether endpoints are due to be compared again.
    pub fn is_judging_due(&self, now: ClockTime) -> bool {
        self.judge.is_due(now)
    }

    /// Compares the endpoints of each service; returns the changed verdicts.
    pub fn judge(
        &mut self,
        services: &[Vec<EndpointIncarnation>],
        now: ClockTime,
    ) -> Vec<VerdictChange> {
        self.judge.judge(services, now)
    }

    /// The time at which this process started to collect.
    pub fn began_at(&self) -> ClockTime {
        self.began_at
    }

    /// Handles a report and returns the answer to it, the digest.
    pub fn take(
        &mut self,
        report: NodeReport,
        view: &MeshView,
        context: &CollectorContext<'_>,
    ) -> MeshDigest {
        let now = context.now;
        self.note_usage(&report);
        self.note_member_demand(&report, now);
        self.note_demand(&report, now);
        // A collector that was paused finds reports in its sockets that were sent before the pause.
        // They would make holders look alive whose allotments have expired since.
        let is_stale = report.term < context.oldest_term;
        let allotments =
            if is_stale { Vec::new() } else { self.allotments(&report, view, context) };
        let offset = wall_offset(report.wall, now);
        let id = report.member.id.clone();
        self.loads.note(&id, &report.loads, now);
        let loads = self.loads.loads_for(&id, now);
        let members = self.members_for(&report, view, now);
        let members_sent_at = match (&members, self.nodes.get(&id)) {
            (Some(_), _) => Some(now),
            (None, known) => known.and_then(|node| node.members_sent_at),
        };
        let digest = self.digest(&report, (view, context), (allotments, loads, members));
        self.nodes.insert(id, ReportedNode { report, heard_at: now, offset, members_sent_at });
        digest
    }

    /// The members, if the reporter has a different list and was not sent one recently.
    ///
    /// While hundreds of processes start, each of them changes the list, and a full list in every
    /// digest would saturate the link.
    fn members_for(
        &self,
        report: &NodeReport,
        view: &MeshView,
        now: ClockTime,
    ) -> Option<Vec<MemberInfo>> {
        if report.members_hash == view.members_hash() {
            return None;
        }
        let members = view.members();
        let pause = TimeSpan(MEMBER_LIST_PERIOD.0 * members.len() as u64);
        let known = self.nodes.get(&report.member.id);
        let known = known.filter(|node| node.report.member.life == report.member.life);
        let sent_at = known.and_then(|node| node.members_sent_at);
        sent_at.is_none_or(|at| now - at >= pause).then_some(members)
    }

    fn digest(
        &self,
        report: &NodeReport,
        (view, context): (&MeshView, &CollectorContext<'_>),
        (allotments, loads, members): (Vec<AccountAllotment>, LoadUpdate, Option<Vec<MemberInfo>>),
    ) -> MeshDigest {
        let now = context.now;
        let mine = context.rules_status.version;
        let by_digest = !report.member.takes_parts;
        MeshDigest {
            from: view.me().clone(),
            members,
            true_time: self.true_time(now).unwrap_or(report.wall),
            rules: context.rules_status.clone(),
            roster: context.roster.status(now),
            rules_text: context
                .rules_text
                .filter(|_| by_digest && report.rules.version < mine)
                .cloned(),
            roster_update: context.roster.update_for(
                &report.roster,
                report.roster_version,
                context.source,
            ),
            roster_version: RosterVersion {
                source: context.source,
                number: context.roster.change_count(),
            },
            wants_rules: by_digest && report.rules.version > mine,
            wants_roster: context.roster.lacks(&report.roster, now),
            allotments,
            loads,
            reported_window: context.reported_window,
            peaks: context.peaks.clone(),
            paces: self.paces(&context.paces, now),
            verdicts: self.judge.verdicts(),
            suspects: (report.suspects_hash != context.suspects.shared_hash())
                .then(|| context.suspects.shared(now)),
            words: None,
            rates: None,
            lease: context.lease.clone(),
            releases: context.releases.clone(),
        }
    }

    /// Whether the store answers another process.
    pub fn is_other_served(&self, me: &InstanceId, now: ClockTime) -> bool {
        self.recent(now).any(|node| node.report.member.id != *me && node.report.served)
    }

    /// How much later than usual a report arrived, by its sender's clock, or by `true_now` if the
    /// sender is new.
    ///
    /// Ages in a report hold for the moment it was written. A collector that was paused finds
    /// reports in its sockets and would otherwise pass on data that is seconds old as new.
    pub fn report_delay(
        &self,
        report: &NodeReport,
        true_now: ClockTime,
        now: ClockTime,
    ) -> TimeSpan {
        let known = self.nodes.get(&report.member.id).map(|node| node.offset);
        let usual = known.unwrap_or_else(|| wall_offset(true_now, now));
        TimeSpan(u64::try_from(usual - wall_offset(report.wall, now)).unwrap_or(0))
    }

    /// When the last report arrived.
    pub fn heard_at(&self) -> Option<ClockTime> {
        self.nodes.values().map(|node| node.heard_at).max()
    }

    fn recent(&self, now: ClockTime) -> impl Iterator<Item = &ReportedNode> {
        self.nodes.values().filter(move |node| now - node.heard_at < REPORT_LIFETIME)
    }

    /// True time, as the median of the members heard recently.
    pub fn true_time(&self, now: ClockTime) -> Option<ClockTime> {
        let offset = median_offset(self.recent(now).map(|node| node.offset).collect())?;
        Some(ClockTime((now.0 as i64 + offset).max(0) as u64))
    }

    /// The prefill speed of engines, combined over all processes. For a service that none of them
    /// has observed enough, it is the known value in `previous`; thus values survive a change of
    /// the collector until reports bring new ones.
    fn paces(&self, previous: &[ServicePace], now: ClockTime) -> Vec<ServicePace> {
        let mut found: BTreeMap<&ServiceName, Vec<ReadPace>> = BTreeMap::new();
        for pace in self.recent(now).flat_map(|node| &node.report.paces) {
            found.entry(&pace.service).or_default().push(pace.read);
        }
        let joined = found.iter().filter_map(|(service, reads)| {
            let read = merge_paces(reads.iter().copied())?;
            Some(ServicePace { service: ServiceName::clone(service), read })
        });
        let mut paces: Vec<ServicePace> = joined.collect();
        let lacks = |pace: &&ServicePace| paces.iter().all(|found| found.service != pace.service);
        let kept: Vec<ServicePace> = previous.iter().filter(lacks).cloned().collect();
        paces.extend(kept);
        paces
    }

    /// Requests in progress at an endpoint, summed over all processes.
    pub fn requests_at(&self, endpoint: EndpointHash) -> u32 {
        self.loads.requests_at(endpoint)
    }

    /// Sets the endpoints that accept requests, by service.
    pub fn set_endpoints(&mut self, services: BTreeMap<ServiceName, Vec<EndpointHash>>) {
        self.loads.set_endpoints(services);
    }

    /// The rates of limited endpoints.
    pub fn rates(&mut self) -> &mut RateAllocator {
        &mut self.rates
    }

    /// Tells the rate allocator for which services the reporter got requests since its last report.
    fn note_member_demand(&mut self, report: &NodeReport, now: ClockTime) {
        let before = self.previous_demand(report);
        let was_asked = |asked: &&ServiceDemand| {
            let known = before.iter().find(|known| known.service == asked.service);
            known.is_none_or(|known| asked.requests > known.requests)
        };
        let services = report.demand.iter().filter(was_asked).map(|asked| &asked.service);
        let services: Vec<ServiceName> = services.cloned().collect();
        if !report.member.leaving {
            self.rates.note_member(&report.member.id, services.iter(), now);
        }
    }

    fn note_usage(&mut self, report: &NodeReport) {
        let who = (report.member.id.clone(), report.member.life);
        self.note_counts(&who, &report.usage);
        for passed in &report.inherited_usage {
            self.note_counts(&(passed.id.clone(), passed.life), &passed.counts);
        }
    }

    /// Adds counts of one process. They are cumulative, so the larger one is newer.
    fn note_counts(&mut self, who: &(InstanceId, u64), counts: &[UsageCount]) {
        for usage in counts {
            let nodes = self.usage.entry(usage.window).or_default();
            let known = nodes.entry(who.clone()).or_default();
            let count = known.entry(usage.account.clone()).or_default();
            *count = usage.count.max(*count);
        }
    }

    /// All counts, by process.
    pub fn usage(&self) -> Vec<NodeUsage> {
        let mut nodes: BTreeMap<&(InstanceId, u64), Vec<UsageCount>> = BTreeMap::new();
        for (window, counted) in &self.usage {
            for (who, accounts) in counted {
                let count = |(account, count): (&AccountName, &u64)| UsageCount {
                    window: *window,
                    account: account.clone(),
                    count: *count,
                };
                nodes.entry(who).or_default().extend(accounts.iter().map(count));
            }
        }
        let node = |((id, life), counts): (&(InstanceId, u64), Vec<UsageCount>)| NodeUsage {
            id: id.clone(),
            life: *life,
            counts,
        };
        nodes.into_iter().map(node).collect()
    }

    /// The requests of each account in `window`, as far as reported.
    pub fn usage_of(&self, window: u64) -> BTreeMap<AccountName, u64> {
        let mut sums = BTreeMap::new();
        for counts in self.usage.get(&window).into_iter().flat_map(BTreeMap::values) {
            for (account, count) in counts {
                *sums.entry(account.clone()).or_insert(0) += count;
            }
        }
        sums
    }

    /// Removes windows up to `window`.
    pub fn forget_usage(&mut self, window: u64) {
        self.usage.retain(|known, _| *known > window);
    }

    fn note_demand(&mut self, report: &NodeReport, now: ClockTime) {
        let before = self.nodes.get(&report.member.id);
        let before = before.filter(|node| node.report.member.life == report.member.life);
        for asked in &report.demand {
            let same = |known: &&ServiceDemand| known.service == asked.service;
            let known = before.and_then(|node| node.report.demand.iter().find(same));
            // The counts of a process that is new here may be from long ago.
            let Some(known) = known else { continue };
            let new = |now: u64, then: u64| now.saturating_sub(then) as f64;
            let (rate, at) = self
                .demand
                .entry(asked.service.clone())
                .or_insert_with(|| (DemandRate::default(), now));
            let kept = decay(now - *at);
            let add =
                |rate: f64, new: f64| rate * kept + new * 1000.0 / DEMAND_TIME_CONSTANT.0 as f64;
            rate.requests = add(rate.requests, new(asked.requests, known.requests));
            rate.unread_tokens =
                add(rate.unread_tokens, new(asked.unread_tokens, known.unread_tokens));
            rate.answer_tokens =
                add(rate.answer_tokens, new(asked.answer_tokens, known.answer_tokens));
            *at = now;
        }
    }

    /// The current demand for `service`.
    pub fn demand_of(&self, service: &ServiceName, now: ClockTime) -> DemandRate {
        let Some((rate, at)) = self.demand.get(service) else {
            return DemandRate::default();
        };
        let kept = decay(now - *at);
        DemandRate {
            requests: rate.requests * kept,
            unread_tokens: rate.unread_tokens * kept,
            answer_tokens: rate.answer_tokens * kept,
        }
    }

    /// Whether every serving member has reported since `since`.
    pub fn all_reported_since(&self, view: &MeshView, since: ClockTime) -> bool {
        let reported =
            |id: &InstanceId| self.nodes.get(id).is_some_and(|node| node.heard_at >= since);
        view.members().iter().all(|member| reported(&member.id))
    }
}

fn decay(age: TimeSpan) -> f64 {
    (-(age.0 as f64) / DEMAND_TIME_CONSTANT.0 as f64).exp()
}
