//! Reports to the collector, takes its digests, and collects when it is this process's turn.

use crate::events::event;
use crate::feeds;
use crate::node::{FeedState, FrontNode};
use actix::Addr;
use compact_str::CompactString;
use oleander_call::{AccountRule, RuleSet};
use oleander_kind::{AccountName, ClockTime, TimeSpan};
use oleander_limit::{PoolLimit, SpendCount};
use oleander_mesh::{
    AccountSpend, CollectorFacts, EndpointLoad, FeedMark, LeaseNotice, MemberCard, MemberList,
    MeshBody, MeshCollector, MeshDigest, MeshView, NodeReport, NodeUsage, RosterState,
    ServiceDemand, ServicePeak, TrueClock, UsageCount,
};
use oleander_place::WorkLoad;
use oleander_plat::FeedEvent;
use oleander_wire::{CallPeer, ForgetPeer, PeerHandler, PeerHub};
use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// Between two reports. An account whose demand jumps to 7.5 times its usual spends about one
/// second's limit before the others hear of it; the operators' bounds allow twice that.
const REPORT_PERIOD: TimeSpan = TimeSpan(250);
/// How long a collector may take to answer. Longer than a pause for a slow machine's turn, shorter
/// than two periods, so that the next one is asked before levels are too old to use.
const ANSWER_LIMIT: TimeSpan = TimeSpan(300);
/// Collectors asked in one round, if the first ones do not answer.
const MOST_ASKED: usize = 3;
/// How often a collector asks the seeds. Two groups of processes that know nothing of each other,
/// after a cut or a start at the same moment, find together through them.
const SEED_PERIOD: TimeSpan = TimeSpan(4000);
/// A digest speaks for the present for this long: four periods.
const DIGEST_LASTS: TimeSpan = TimeSpan(1000);

/// What the process knows through the others.
pub struct MeshState {
    /// The members.
    pub view: MeshView,
    /// Present once somebody reports here.
    pub collector: Option<MeshCollector>,
    /// True time.
    pub clock: TrueClock,
    /// The lease of the control work, as last heard.
    pub lease: Option<LeaseNotice>,
    /// Usage windows up to this number are reported.
    pub reported_window: u64,
    /// What services needed of late.
    pub peaks: Vec<ServicePeak>,
    /// Counts that were reported here while this process collected, and since when they are passed
    /// on to its successor.
    heritage: Option<(Vec<NodeUsage>, ClockTime)>,
    outdone_since: Option<ClockTime>,
    digest_at: ClockTime,
    digest_from: Option<MemberCard>,
    digest_rules: FeedMark,
    digest_roster: FeedMark,
    wants_rules: bool,
    wants_roster: bool,
}

impl MeshState {
    /// A process that knows itself.
    pub fn new(me: MemberCard) -> Self {
        MeshState {
            view: MeshView::new(me),
            collector: None,
            clock: TrueClock::default(),
            lease: None,
            reported_window: 0,
            peaks: Vec::new(),
            heritage: None,
            outdone_since: None,
            digest_at: ClockTime(0),
            digest_from: None,
            digest_rules: FeedMark::default(),
            digest_roster: FeedMark::default(),
            wants_rules: false,
            wants_roster: false,
        }
    }

    /// Whether another process collects, and this one goes by it.
    pub fn is_succeeded(&self, now: ClockTime) -> bool {
        followed_collector(self, now).is_some()
    }

    /// Whether the others know the rules of `version` to be the newest.
    pub fn vouches_for_rules(&self, version: u64, now: ClockTime) -> bool {
        let present = now - self.digest_at < DIGEST_LASTS;
        present && self.digest_rules.fresh && version >= self.digest_rules.mark
    }
}

/// An account's limit with what the operators allow beyond it.
pub fn pool_limit(node: &FrontNode, account: &AccountRule) -> Option<PoolLimit> {
    let bounds = node.bounds();
    let rate_per_s = account.tokens_per_s? as f64;
    let burst = account.burst_tokens as f64;
    let allowed = rate_per_s * bounds.limit_window_s + burst;
    let overshoot = allowed * bounds.limit_over + bounds.limit_slack as f64;
    let window = TimeSpan((bounds.limit_window_s * 1000.0) as u64);
    Some(PoolLimit { rate_per_s, burst, overshoot, window })
}

fn limit_by_name(node: &FrontNode, rules: &RuleSet, name: &AccountName) -> Option<PoolLimit> {
    let account = rules.accounts().iter().find(|account| account.name == *name)?;
    pool_limit(node, account)
}

/// Answers the reports of the others.
pub struct MeshPeers(pub Rc<FrontNode>);

impl PeerHandler<MeshBody> for MeshPeers {
    fn answer(&self, body: MeshBody) -> Pin<Box<dyn Future<Output = MeshBody>>> {
        let answer = match body {
            MeshBody::Report(report) => collect(&self.0, *report),
            MeshBody::Greet(card) => greeted(&self.0, card),
            MeshBody::Digest(_)
            | MeshBody::Leaving(_)
            | MeshBody::Follow(_)
            | MeshBody::Members(_) => MeshBody::Leaving(self.0.mesh.borrow().view.me().clone()),
        };
        Box::pin(std::future::ready(answer))
    }
}

/// Answers a process that looks for the others.
fn greeted(node: &FrontNode, card: MemberCard) -> MeshBody {
    let now = node.clock.now();
    let mut mesh = node.mesh.borrow_mut();
    mesh.view.take(card, true, now);
    let me = std::iter::once(mesh.view.me().clone());
    let cards = me.chain(mesh.view.others().cloned()).collect();
    let collector = match followed_collector(&mesh, now) {
        Some(card) => Some(card),
        // One that has others to collect for; a process that just began has only itself.
        None if mesh.view.serving() > 1 && mesh.view.collects() => Some(mesh.view.me().clone()),
        None => None,
    };
    MeshBody::Members(MemberList { cards, collector })
}

/// Takes a report as the collector.
fn collect(node: &FrontNode, report: NodeReport) -> MeshBody {
    let now = node.clock.now();
    if let Some(rules) = &report.rules_text {
        feeds::take_rules(node, rules);
    }
    if let Some(page) = &report.roster_page {
        feeds::take_peer_roster(node, page, None);
    }
    let rules = node.current_rules();
    let rules_text = node.rules_text.borrow().clone();
    let limit_of = |name: &AccountName| limit_by_name(node, rules.as_ref()?, name);
    let mut mesh = node.mesh.borrow_mut();
    if mesh.view.me().leaving {
        return MeshBody::Leaving(mesh.view.me().clone());
    }
    mesh.view.take(report.card.clone(), true, now);
    let true_now = mesh.clock.read(now, node.clock.wall());
    mesh.view.enter_turn(report.turn, true_now, now);
    if let Some(card) = followed_collector(&mesh, now)
        && !report.unreached.contains(&card.id)
    {
        return MeshBody::Follow(card);
    }
    if mesh.collector.is_none() {
        let windows = node.limits.borrow().known_windows(now);
        mesh.collector = Some(MeshCollector::begin(windows, now));
        event!(node, CollectingBegan; "members" => mesh.view.serving());
    }
    let facts = CollectorFacts {
        rules: rules.as_deref(),
        rules_text: rules_text.as_ref(),
        rules_mark: rules_mark(node),
        roster_mark: roster_mark(node),
        roster: &|| feeds::roster_news(node),
        roster_changes: &|state| roster_changes(node, state),
        roster_state: RosterState {
            source: node.own_source,
            number: node.roster.borrow().changed(),
        },
        limit_of: &limit_of,
        reported_window: mesh.reported_window,
        peaks: mesh.peaks.clone(),
        lease: mesh.lease.clone(),
        now,
    };
    let MeshState { view, collector, .. } = &mut *mesh;
    match collector {
        Some(collector) => MeshBody::Digest(Box::new(collector.take(report, view, &facts))),
        None => MeshBody::Leaving(view.me().clone()),
    }
}

fn roster_changes(node: &FrontNode, state: RosterState) -> Option<Vec<FeedEvent>> {
    let own = node.own_source;
    (state.source == own).then(|| node.roster.borrow().changes_after(state.number)).flatten()
}

/// Whether this process has to follow the store itself.
///
/// A few processes do it for all, so that neither calls nor wake-ups grow with the processes. The
/// others go by the collector's digests, and ask the store once these stop or the collector is not
/// told of changes either.
///
/// A third of the processes may be cut off from the store without an end on their connections, which
/// shows only after seconds. With two followers both were, and a revoked key was served for 2.2 s;
/// a report of any other follower brings the news to all within 750 ms.
pub fn must_watch(node: &FrontNode) -> bool {
    /// One more than a third of today's nine processes.
    const WATCHERS: usize = 4;
    /// One more for each so many processes.
    const MEMBERS_PER_WATCHER: usize = 32;
    let now = node.clock.now();
    let mesh = node.mesh.borrow();
    let told = now - mesh.digest_at < DIGEST_LASTS
        && mesh.digest_rules.fresh
        && mesh.digest_roster.fresh
        && mesh.digest_rules.mark > 0;
    let watchers = WATCHERS + mesh.view.serving() as usize / MEMBERS_PER_WATCHER;
    // A process that the store turned away goes on asking, so that it learns when that is over.
    !told || mesh.view.me().unfit || mesh.view.is_among_first(watchers, now)
}

/// The collector that this process goes by, if it is another and answered a moment ago.
///
/// After a cut heals, processes on its two sides know different collectors. Who is asked to collect
/// although it reports to another names that one, so that they find together.
fn followed_collector(mesh: &MeshState, now: ClockTime) -> Option<MemberCard> {
    let present = now - mesh.digest_at < DIGEST_LASTS;
    let from = mesh.digest_from.as_ref().filter(|card| card.id != mesh.view.me().id)?;
    (present && !mesh.view.collects()).then(|| from.clone())
}

fn rules_mark(node: &FrontNode) -> FeedMark {
    let mark = node.rules.borrow().version();
    FeedMark { mark, fresh: node.rules_feed.get().is_fresh() }
}

fn roster_mark(node: &FrontNode) -> FeedMark {
    let mark = node.roster.borrow().mark();
    FeedMark { mark, fresh: node.endpoints_feed.get().is_fresh() }
}

/// Reports to the collector until the task is ended.
pub async fn report_period(node: Rc<FrontNode>, hub: Addr<PeerHub<MeshBody>>) {
    let mut seeds_asked = ClockTime(0);
    loop {
        report_once(&node, &hub).await;
        let now = node.clock.now();
        if node.mesh.borrow().view.collects() && now - seeds_asked > SEED_PERIOD {
            seeds_asked = now;
            ask_seeds(&node, &hub).await;
        }
        feeds::sweep_doubts(&node);
        actix_rt::time::sleep(REPORT_PERIOD.duration()).await;
    }
}

/// Notes whether this process should leave the collecting to one that the store serves. Control
/// work needs the store, and so do news of rules and endpoints.
fn note_fitness(node: &FrontNode) {
    /// Longer than a connection that is made anew.
    const TURNED_AWAY: TimeSpan = TimeSpan(1000);
    let now = node.clock.now();
    let lost_long =
        |feed: FeedState| feed.lost_since.is_some_and(|since| now - since > TURNED_AWAY);
    let lost = lost_long(node.rules_feed.get()) || lost_long(node.endpoints_feed.get());
    let mut mesh = node.mesh.borrow_mut();
    let was = mesh.view.me().unfit;
    let outdone = mesh
        .collector
        .as_ref()
        .is_some_and(|collector| collector.is_outdone(&node.settings.instance, now));
    // After an outage for all, some are served a moment before the others.
    let since = if lost && outdone { mesh.outdone_since.or(Some(now)) } else { None };
    mesh.outdone_since = since;
    // Once it has stepped back nobody reports here; the store alone tells when it may return.
    let unfit = (was && lost) || since.is_some_and(|since| now - since > TURNED_AWAY);
    if unfit != was {
        event!(node, TurnedAway; "so" => unfit);
        mesh.view.set_unfit(unfit);
    }
}

async fn report_once(node: &Rc<FrontNode>, hub: &Addr<PeerHub<MeshBody>>) {
    note_fitness(node);
    // A process that begins goes by the collector that the others go by. Choosing for itself, from
    // what it knows then, half of the processes once stayed apart for a turn after they were killed.
    let undecided = node.mesh.borrow().view.chosen().is_none();
    if undecided || node.mesh.borrow().view.others().next().is_none() {
        ask_seeds(node, hub).await;
    }
    for _ in 0..MOST_ASKED {
        let collector = {
            let mut mesh = node.mesh.borrow_mut();
            let now = node.clock.now();
            mesh.view.sweep(now);
            let true_now = mesh.clock.read(now, node.clock.wall());
            let before = mesh.view.chosen().cloned();
            let card = mesh.view.choose_collector(true_now, now);
            if before.as_ref() != Some(&card.id) {
                event!(node, CollectorChosen; "collector" => card.id.as_str());
            }
            card
        };
        let report = make_report(node);
        if collector.id == node.settings.instance {
            if let MeshBody::Digest(digest) = collect(node, report) {
                take_digest(node, *digest, TimeSpan(0));
            }
            return;
        }
        drop_old_collector(node);
        if call_collector(node, hub, &collector, report).await {
            return;
        }
    }
}

/// Ends the collecting of a process to which nobody reports any more. What it knows of the account
/// windows grows old; going on with that later would let accounts in as if they had spent nothing.
fn drop_old_collector(node: &FrontNode) {
    /// Longer than a report that is asked for again.
    const UNUSED: TimeSpan = TimeSpan(1000);
    let now = node.clock.now();
    let mut mesh = node.mesh.borrow_mut();
    let heard = mesh.collector.as_ref().and_then(MeshCollector::heard_at);
    if heard.is_some_and(|at| now - at > UNUSED) {
        let usage = mesh.collector.take().map(|ended| ended.usage()).unwrap_or_default();
        mesh.heritage = Some((usage, now));
        event!(node, CollectingEnded);
    }
}

/// Asks the seeds for the members they know.
async fn ask_seeds(node: &Rc<FrontNode>, hub: &Addr<PeerHub<MeshBody>>) {
    for seed in node.seeds() {
        if seed == node.settings.peer {
            continue;
        }
        let address: CompactString = seed.to_string().into();
        let body = MeshBody::Greet(node.mesh.borrow().view.me().clone());
        if let Some(MeshBody::Members(list)) = call_peer(node, hub, address, body).await {
            take_members(node, list);
        }
    }
}

/// Asks another process; none if it did not answer, which is logged.
async fn call_peer(
    node: &FrontNode,
    hub: &Addr<PeerHub<MeshBody>>,
    address: CompactString,
    body: MeshBody,
) -> Option<MeshBody> {
    let call = CallPeer { address: address.clone(), body, limit: ANSWER_LIMIT };
    match hub.send(call).await {
        Ok(Ok(answer)) => Some(answer),
        Ok(Err(fault)) => {
            event!(node, MemberFault; "fault" => fault.to_string());
            hub.do_send(ForgetPeer(address));
            None
        }
        Err(fault) => {
            event!(node, InternalFault; "fault" => fault.to_string());
            None
        }
    }
}

/// Goes by the collector that another process named.
fn follow_collector(mesh: &mut MeshState, node: &FrontNode, card: MemberCard) {
    let now = node.clock.now();
    let true_now = mesh.clock.read(now, node.clock.wall());
    event!(node, CollectorChosen; "collector" => card.id.as_str(), "sent" => true);
    mesh.view.follow(card, true_now, now);
}

fn take_members(node: &FrontNode, list: MemberList) {
    let now = node.clock.now();
    let mut mesh = node.mesh.borrow_mut();
    // The first is the seed itself.
    for (at, card) in list.cards.into_iter().enumerate() {
        mesh.view.take(card, at == 0, now);
    }
    let undecided = mesh.view.chosen().is_none();
    if let Some(card) = list.collector.filter(|_| undecided) {
        follow_collector(&mut mesh, node, card);
    }
}

async fn call_collector(
    node: &Rc<FrontNode>,
    hub: &Addr<PeerHub<MeshBody>>,
    collector: &MemberCard,
    report: NodeReport,
) -> bool {
    let again = report.clone();
    // A link may have fallen silent while the process at its end lives: a new one tells.
    let mut outcome = call_address(node, hub, collector.address, report).await;
    if outcome == CallOutcome::Failed {
        outcome = call_address(node, hub, collector.address, again).await;
    }
    if outcome == CallOutcome::Failed {
        event!(node, CollectorSilent; "collector" => collector.id.as_str());
        node.mesh.borrow_mut().view.shun(&collector.id, node.clock.now());
    }
    outcome == CallOutcome::Taken
}

/// How a report to another process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallOutcome {
    /// It was answered with a digest.
    Taken,
    /// Another process is to be asked.
    Elsewhere,
    /// It was not answered.
    Failed,
}

async fn call_address(
    node: &Rc<FrontNode>,
    hub: &Addr<PeerHub<MeshBody>>,
    address: std::net::SocketAddr,
    report: NodeReport,
) -> CallOutcome {
    let sent_at = node.clock.now();
    let address: CompactString = address.to_string().into();
    let body = MeshBody::Report(Box::new(report));
    match call_peer(node, hub, address, body).await {
        Some(MeshBody::Digest(digest)) => {
            take_digest(node, *digest, node.clock.now() - sent_at);
            CallOutcome::Taken
        }
        Some(MeshBody::Leaving(card)) => {
            node.mesh.borrow_mut().view.take(card, true, node.clock.now());
            CallOutcome::Elsewhere
        }
        Some(MeshBody::Follow(card)) => {
            follow_collector(&mut node.mesh.borrow_mut(), node, card);
            CallOutcome::Elsewhere
        }
        Some(MeshBody::Report(_) | MeshBody::Greet(_) | MeshBody::Members(_)) | None => {
            CallOutcome::Failed
        }
    }
}

fn make_report(node: &FrontNode) -> NodeReport {
    let mesh = node.mesh.borrow();
    let spent = node.limits.borrow().spent().map(spend_of).collect();
    let usage = node.usage.borrow().counts().map(usage_of).collect();
    let roster_page = mesh.wants_roster.then(|| feeds::roster_news(node));
    let rules_text = mesh.wants_rules.then(|| node.rules_text.borrow().clone()).flatten();
    NodeReport {
        card: mesh.view.me().clone(),
        wall: node.clock.wall(),
        turn: mesh.view.turn(),
        members_mark: mesh.view.mark(),
        rules: rules_mark(node),
        roster: roster_mark(node),
        roster_state: node.roster.borrow().followed(),
        spent,
        usage,
        loads: own_loads(node),
        demand: own_demand(node),
        heritage: heritage_of(&mesh, node.clock.now()),
        unreached: mesh.view.unreached(node.clock.now()),
        rules_text,
        roster_page,
    }
}

/// The counts of other processes that the next collector has to know.
///
/// A process that stopped has told its last counts to the collector alone. If that stops as well
/// before the window is reported, they would be lost with it.
fn heritage_of(mesh: &MeshState, now: ClockTime) -> Vec<NodeUsage> {
    /// Long enough for the successor to be chosen and heard.
    const PASSED_ON: TimeSpan = TimeSpan(3000);
    let leaving = mesh.view.me().leaving;
    match (&mesh.collector, &mesh.heritage) {
        (Some(collector), _) if leaving => collector.usage(),
        (_, Some((usage, since))) if now - *since < PASSED_ON => usage.clone(),
        _ => Vec::new(),
    }
}

fn spend_of((account, count): (&AccountName, SpendCount)) -> AccountSpend {
    AccountSpend { account: account.clone(), count }
}

fn usage_of((window, account, count): (u64, &AccountName, u64)) -> UsageCount {
    UsageCount { window, account: account.clone(), count }
}

fn own_loads(node: &FrontNode) -> Vec<EndpointLoad> {
    let board = node.endpoints.borrow();
    let busy = board.iter().filter(|(_, fact)| fact.own.requests > 0);
    let load = |fact: &oleander_place::EndpointFact| EndpointLoad {
        instance: fact.entry.instance.clone(),
        requests: fact.own.requests,
        unread_tokens: fact.own.unread_tokens,
    };
    busy.map(|(_, fact)| load(fact)).collect()
}

fn own_demand(node: &FrontNode) -> Vec<ServiceDemand> {
    node.demand.borrow().values().cloned().collect()
}

fn take_digest(node: &FrontNode, digest: MeshDigest, trip: TimeSpan) {
    let now = node.clock.now();
    if let Some(rules) = &digest.rules_text {
        feeds::take_rules(node, rules);
    }
    match &digest.roster_page {
        Some(page) => feeds::take_peer_roster(node, page, Some(digest.roster_state)),
        None => feeds::take_peer_changes(node, &digest.roster_changes, digest.roster_state),
    }
    take_loads(node, &digest.loads);
    let mut limits = node.limits.borrow_mut();
    digest
        .levels
        .iter()
        .for_each(|level| limits.take_news(&level.account, level.news.clone(), now));
    node.usage.borrow_mut().forget(digest.reported_window);
    let mut mesh = node.mesh.borrow_mut();
    mesh.digest_from = Some(digest.from.clone());
    mesh.view.take(digest.from, true, now);
    match digest.members {
        Some(members) => mesh.view.adopt(members, now),
        None => mesh.view.confirm(now),
    }
    mesh.clock.set(digest.true_time, trip, now);
    mesh.digest_at = now;
    mesh.digest_rules = digest.rules;
    mesh.digest_roster = digest.roster;
    if !digest.peaks.is_empty() {
        mesh.peaks = digest.peaks;
    }
    mesh.wants_rules = digest.wants_rules;
    mesh.wants_roster = digest.wants_roster;
    mesh.reported_window = mesh.reported_window.max(digest.reported_window);
    let known = mesh.lease.as_ref().map_or(0, |lease| lease.revision);
    if let Some(lease) = digest.lease.filter(|lease| lease.revision > known) {
        mesh.lease = Some(lease);
    }
}

fn take_loads(node: &FrontNode, loads: &[EndpointLoad]) {
    let by_instance: HashMap<_, _> = loads.iter().map(|load| (&load.instance, load)).collect();
    node.endpoints.borrow_mut().for_each_mut(|fact| {
        fact.others = by_instance.get(&fact.entry.instance).map_or(WorkLoad::default(), |load| {
            WorkLoad { requests: load.requests, unread_tokens: load.unread_tokens }
        });
    });
}
