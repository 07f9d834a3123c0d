//! What the collector makes of the reports.

use crate::clock::{median_offset, wall_offset};
use crate::evidence::{EndpointJudge, EndpointLife, VerdictChange};
use crate::limit_message::AccountAllotment;
use crate::loads::{LoadNews, LoadTable, REPORT_LASTS};
use crate::message::{
    EndpointMark, EndpointVerdict, LeaseNotice, MemberCard, MeshDigest, NodeReport, NodeUsage,
    RulesStand, ServiceDemand, ServicePace, ServicePeak, UsageCount,
};
use crate::view::MeshView;
use oleander_call::RuleSet;
use oleander_kind::{AccountName, ClockTime, InstanceId, ServiceName, TimeSpan};
use oleander_limit::{PoolLedger, PoolLimit, RateAllocator};
use oleander_list::{RosterBook, RosterState};
use oleander_pace::{ReadPace, merge_paces};
use oleander_plat::FeedObject;
use oleander_release::ReleaseNews;
use oleander_suspect::SuspectBook;
use std::collections::BTreeMap;

/// Between two lists of the members to one process, for each member on it.
const MEMBER_PAUSE: TimeSpan = TimeSpan(5);
/// Time over which demand is averaged.
const DEMAND_TIME: TimeSpan = TimeSpan(2000);

/// What the collector's own process knows when it answers.
pub struct CollectorFacts<'a> {
    /// The rules in force there.
    pub rules: Option<&'a RuleSet>,
    /// The text of these rules.
    pub rules_text: Option<&'a FeedObject>,
    /// How it stands with the rules.
    pub rules_stand: RulesStand,
    /// Its endpoint list.
    pub roster: &'a RosterBook,
    /// Names this life of its process among collectors.
    pub source: u64,
    /// The limit of an account of the rules.
    pub limit_of: &'a dyn Fn(&AccountName) -> Option<PoolLimit>,
    /// Usage windows up to this number are reported.
    pub reported_window: u64,
    /// What services needed of late.
    pub peaks: Vec<ServicePeak>,
    /// How fast engines read, as it was told before it collected.
    pub paces: Vec<ServicePace>,
    /// Requests under which endpoints ended.
    pub suspects: &'a SuspectBook,
    /// The lease as last seen.
    pub lease: Option<LeaseNotice>,
    /// The roll-outs under way.
    pub releases: ReleaseNews,
    /// Reports of an earlier turn than this were sent long ago.
    pub oldest_turn: u64,
    /// The time.
    pub now: ClockTime,
}

#[derive(Clone, Debug)]
pub(crate) struct HeardNode {
    pub(crate) report: NodeReport,
    pub(crate) heard_at: ClockTime,
    offset: i64,
    members_told_at: Option<ClockTime>,
}

/// What a service is asked for, all processes together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandRate {
    /// Requests a second.
    pub requests: f64,
    /// Prompt tokens a second that have to be read.
    pub unread_tokens: f64,
    /// Answer tokens a second.
    pub answer_tokens: f64,
}

type UsageTable = BTreeMap<u64, BTreeMap<(InstanceId, u64), BTreeMap<AccountName, u64>>>;

/// The collector's state.
pub struct MeshCollector {
    /// Absent until it is known what was handed out before, and once it was passed on.
    pub(crate) ledger: Option<PoolLedger>,
    pub(crate) claims_left_out: u64,
    pub(crate) nodes: BTreeMap<InstanceId, HeardNode>,
    usage: UsageTable,
    demand: BTreeMap<ServiceName, (DemandRate, ClockTime)>,
    judge: EndpointJudge,
    loads: LoadTable,
    rates: RateAllocator,
    began_at: ClockTime,
}

impl MeshCollector {
    /// Begins to collect, without a ledger yet.
    pub fn begin(now: ClockTime) -> Self {
        MeshCollector {
            ledger: None,
            claims_left_out: 0,
            nodes: BTreeMap::new(),
            usage: BTreeMap::new(),
            demand: BTreeMap::new(),
            judge: EndpointJudge::default(),
            loads: LoadTable::default(),
            rates: RateAllocator::default(),
            began_at: now,
        }
    }

    /// Goes on from the endpoints that the collector before had set aside.
    pub fn with_verdicts(self, told: impl Iterator<Item = EndpointVerdict>) -> Self {
        let judge = EndpointJudge::begin(told, self.began_at);
        MeshCollector { judge, ..self }
    }

    /// Takes what a report that is to be taken next tells of endpoints; gives how much of it was left out. A
    /// report that is sent a second time counts once.
    pub fn note_evidence(
        &mut self,
        report: &NodeReport,
        knows: impl Fn(&EndpointLife) -> bool,
        now: ClockTime,
    ) -> usize {
        if self.is_repeated(report) {
            return 0;
        }
        self.judge.note(report, knows, now)
    }

    /// Whether endpoints are to be compared again.
    pub fn is_judging_due(&self, now: ClockTime) -> bool {
        self.judge.is_due(now)
    }

    /// Compares the endpoints of each service; gives what changed.
    pub fn judge(&mut self, services: &[Vec<EndpointLife>], now: ClockTime) -> Vec<VerdictChange> {
        self.judge.judge(services, now)
    }

    /// Since when it collects.
    pub fn began_at(&self) -> ClockTime {
        self.began_at
    }

    /// Takes a report and answers it.
    pub fn take(
        &mut self,
        report: NodeReport,
        view: &MeshView,
        facts: &CollectorFacts<'_>,
    ) -> MeshDigest {
        let now = facts.now;
        self.note_usage(&report);
        self.note_asked(&report, now);
        self.note_demand(&report, now);
        // A collector that stood still finds reports in its sockets that were sent before it did.
        // By them its holders were heard a moment ago, and what they hold has ended since.
        let old = report.turn < facts.oldest_turn;
        let allotments = if old { Vec::new() } else { self.allotments(&report, view, facts) };
        let offset = wall_offset(report.wall, now);
        let id = report.card.id.clone();
        self.loads.note(&id, &report.loads, now);
        let loads = self.loads.news_for(&id, now);
        let members = self.members_for(&report, view, now);
        let members_told_at = match (&members, self.nodes.get(&id)) {
            (Some(_), _) => Some(now),
            (None, known) => known.and_then(|node| node.members_told_at),
        };
        let digest = self.digest(&report, (view, facts), (allotments, loads, members));
        self.nodes.insert(id, HeardNode { report, heard_at: now, offset, members_told_at });
        digest
    }

    /// The members, if the reporter knows others and was not told of them a moment ago.
    ///
    /// While processes start by the hundred each of them is a change, and all cards in each digest would fill the link.
    fn members_for(
        &self,
        report: &NodeReport,
        view: &MeshView,
        now: ClockTime,
    ) -> Option<Vec<MemberCard>> {
        if report.members_mark == view.mark() {
            return None;
        }
        let cards = view.cards();
        let pause = TimeSpan(MEMBER_PAUSE.0 * cards.len() as u64);
        let known = self.nodes.get(&report.card.id);
        let known = known.filter(|node| node.report.card.life == report.card.life);
        let told_at = known.and_then(|node| node.members_told_at);
        told_at.is_none_or(|at| now - at >= pause).then_some(cards)
    }

    fn digest(
        &self,
        report: &NodeReport,
        (view, facts): (&MeshView, &CollectorFacts<'_>),
        (allotments, loads, members): (Vec<AccountAllotment>, LoadNews, Option<Vec<MemberCard>>),
    ) -> MeshDigest {
        let now = facts.now;
        let mine = facts.rules_stand.version;
        MeshDigest {
            from: view.me().clone(),
            members,
            true_time: self.true_time(now).unwrap_or(report.wall),
            rules: facts.rules_stand.clone(),
            roster: facts.roster.stand(now),
            rules_text: facts.rules_text.filter(|_| report.rules.version < mine).cloned(),
            roster_update: facts.roster.update_for(
                &report.roster,
                report.roster_state,
                facts.source,
            ),
            roster_state: RosterState { source: facts.source, number: facts.roster.changed() },
            wants_rules: report.rules.version > mine,
            wants_roster: facts.roster.lacks(&report.roster, now),
            allotments,
            loads,
            reported_window: facts.reported_window,
            peaks: facts.peaks.clone(),
            paces: self.paces(&facts.paces, now),
            verdicts: self.judge.verdicts(),
            suspects: (report.suspects_mark != facts.suspects.shared_mark())
                .then(|| facts.suspects.shared(now)),
            words: None,
            rates: None,
            lease: facts.lease.clone(),
            releases: facts.releases.clone(),
        }
    }

    /// Whether the store answers another process.
    pub fn is_outdone(&self, me: &InstanceId, now: ClockTime) -> bool {
        self.recent(now).any(|node| node.report.card.id != *me && node.report.served)
    }

    /// How much later than usual a report came, going by its sender's clock and by `true_now` if
    /// the sender was not heard before.
    ///
    /// What a report says of its age holds for the moment at which it was written. A collector that
    /// stood still finds reports in its sockets, and would pass on seconds-old news as new.
    pub fn lateness(&self, report: &NodeReport, true_now: ClockTime, now: ClockTime) -> TimeSpan {
        let known = self.nodes.get(&report.card.id).map(|node| node.offset);
        let usual = known.unwrap_or_else(|| wall_offset(true_now, now));
        TimeSpan(u64::try_from(usual - wall_offset(report.wall, now)).unwrap_or(0))
    }

    /// When the last report came.
    pub fn heard_at(&self) -> Option<ClockTime> {
        self.nodes.values().map(|node| node.heard_at).max()
    }

    fn recent(&self, now: ClockTime) -> impl Iterator<Item = &HeardNode> {
        self.nodes.values().filter(move |node| now - node.heard_at < REPORT_LASTS)
    }

    /// True time as the members heard of lately have it.
    pub fn true_time(&self, now: ClockTime) -> Option<ClockTime> {
        let offset = median_offset(self.recent(now).map(|node| node.offset).collect())?;
        Some(ClockTime((now.0 as i64 + offset).max(0) as u64))
    }

    /// How fast engines read, all processes together; of a service that none of them has seen
    /// enough of, what was `told` before. After a change of the collector the figure stands until
    /// reports bring it.
    fn paces(&self, told: &[ServicePace], now: ClockTime) -> Vec<ServicePace> {
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
        let kept: Vec<ServicePace> = told.iter().filter(lacks).cloned().collect();
        paces.extend(kept);
        paces
    }

    /// Requests under way at an endpoint, of all processes.
    pub fn requests_at(&self, endpoint: EndpointMark) -> u32 {
        self.loads.requests_at(endpoint)
    }

    /// Takes the endpoints that take work, by service.
    pub fn list_endpoints(&mut self, services: BTreeMap<ServiceName, Vec<EndpointMark>>) {
        self.loads.list(services);
    }

    /// The rates of limited endpoints.
    pub fn rates(&mut self) -> &mut RateAllocator {
        &mut self.rates
    }

    /// Notes for which services the reporter was asked since its last report.
    fn note_asked(&mut self, report: &NodeReport, now: ClockTime) {
        let before = self.demand_before(report);
        let was_asked = |asked: &&ServiceDemand| {
            let known = before.iter().find(|known| known.service == asked.service);
            known.is_none_or(|known| asked.requests > known.requests)
        };
        let services = report.demand.iter().filter(was_asked).map(|asked| &asked.service);
        let services: Vec<ServiceName> = services.cloned().collect();
        if !report.card.leaving {
            self.rates.note_member(&report.card.id, services.iter(), now);
        }
    }

    fn note_usage(&mut self, report: &NodeReport) {
        let who = (report.card.id.clone(), report.card.life);
        self.note_counts(&who, &report.usage);
        for passed in &report.heritage {
            self.note_counts(&(passed.id.clone(), passed.life), &passed.counts);
        }
    }

    /// Notes counts of one process. They are whole sums, so the larger one is the newer.
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

    /// What each account ran in `window`, as far as it was reported.
    pub fn usage_of(&self, window: u64) -> BTreeMap<AccountName, u64> {
        let mut sums = BTreeMap::new();
        for counts in self.usage.get(&window).into_iter().flat_map(BTreeMap::values) {
            for (account, count) in counts {
                *sums.entry(account.clone()).or_insert(0) += count;
            }
        }
        sums
    }

    /// Forgets windows up to `window`.
    pub fn forget_usage(&mut self, window: u64) {
        self.usage.retain(|known, _| *known > window);
    }

    fn note_demand(&mut self, report: &NodeReport, now: ClockTime) {
        let before = self.nodes.get(&report.card.id);
        let before = before.filter(|node| node.report.card.life == report.card.life);
        for asked in &report.demand {
            let same = |known: &&ServiceDemand| known.service == asked.service;
            let known = before.and_then(|node| node.report.demand.iter().find(same));
            // A process that was not heard of before may have been asked long ago.
            let Some(known) = known else { continue };
            let new = |now: u64, then: u64| now.saturating_sub(then) as f64;
            let (rate, at) = self
                .demand
                .entry(asked.service.clone())
                .or_insert_with(|| (DemandRate::default(), now));
            let kept = decay(now - *at);
            let add = |rate: f64, new: f64| rate * kept + new * 1000.0 / DEMAND_TIME.0 as f64;
            rate.requests = add(rate.requests, new(asked.requests, known.requests));
            rate.unread_tokens =
                add(rate.unread_tokens, new(asked.unread_tokens, known.unread_tokens));
            rate.answer_tokens =
                add(rate.answer_tokens, new(asked.answer_tokens, known.answer_tokens));
            *at = now;
        }
    }

    /// What `service` is asked for.
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
        view.cards().iter().all(|card| reported(&card.id))
    }
}

fn decay(age: TimeSpan) -> f64 {
    (-(age.0 as f64) / DEMAND_TIME.0 as f64).exp()
}
