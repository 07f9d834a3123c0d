//! The collector's side: answers the reports of the other processes.

use super::account::collect_and_measure;
use super::bulk::{answer_part_request, bound_update};
use super::parts::fetch_list;
use super::rules::{answer_rules_request, fetch_rules};
use super::state::{MeshState, followed_collector};
use super::{end_collecting_after_stall, pool_limit};
use crate::events::event;
use crate::node::FrontNode;
use crate::roster;
use crate::rules::{RulesSource, apply_rules, note_peer_version};
use crate::words::{self, ReporterState};
use crate::{limits, origins, releases, suspects};
use oleander_call::RuleSet;
use oleander_kind::{AccountName, ClockTime, ResultCode, TimeSpan};
use oleander_limit::{PoolAllotment, PoolLimit};
use oleander_list::RosterUpdate;
use oleander_mesh::{
    CollectorContext, EndpointHash, EndpointIncarnation, EndpointVerdict, IncarnationTag,
    LimitRequest, MemberInfo, MemberList, MeshBody, MeshCollector, NodeReport, settled_term,
    wall_lag,
};
use oleander_place::{EndpointFact, EndpointKey};
use oleander_wire::PeerHandler;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// The limit of an account of `rules`; `None` if it has none.
pub(crate) fn limit_by_name(
    node: &FrontNode,
    rules: &RuleSet,
    name: &AccountName,
) -> Option<PoolLimit> {
    match rules.accounts().iter().find(|account| account.name == *name) {
        Some(account) => pool_limit(node, account),
        None => releases::exposure_limit_of(node, name),
    }
}

/// Answers messages of the other processes.
pub struct MeshPeers(pub Rc<FrontNode>);

impl PeerHandler<MeshBody> for MeshPeers {
    fn answer(&self, body: MeshBody) -> Pin<Box<dyn Future<Output = MeshBody>>> {
        let answer = match body {
            MeshBody::Report(report) => {
                if report.roster_update == Some(RosterUpdate::InParts) {
                    fetch_list(&self.0, report.member.address, report.roster.mark());
                }
                let reporter = report.member.clone();
                let answer = collect_and_measure(&self.0, *report);
                if reporter.takes_parts {
                    fetch_rules(&self.0, reporter.address);
                }
                answer
            }
            MeshBody::RequestRules(request) => {
                MeshBody::RulesPart(answer_rules_request(&self.0, &request).map(Box::new))
            }
            MeshBody::RequestPart(ask) => {
                MeshBody::Part(Box::new(answer_part_request(&self.0, &ask)))
            }
            MeshBody::Greet(member) => answer_greeting(&self.0, member),
            MeshBody::RequestLimit(ask) => {
                MeshBody::Allotted(answer_limit_ask(&self.0, &ask).map(Box::new))
            }
            MeshBody::KeepOrigins(entries) => {
                origins::keep_records(&self.0, &entries);
                MeshBody::OriginsKept
            }
            MeshBody::AskOrigin(question) => {
                MeshBody::Origin(origins::answer_question(&self.0, &question))
            }
            // These are answers; no process sends them as requests.
            MeshBody::Digest(_)
            | MeshBody::Allotted(_)
            | MeshBody::Part(_)
            | MeshBody::RulesPart(_)
            | MeshBody::Leaving(_)
            | MeshBody::Follow(_)
            | MeshBody::Members(_)
            | MeshBody::OriginsKept
            | MeshBody::Origin(_) => MeshBody::Leaving(self.0.mesh.borrow().view.me().clone()),
        };
        Box::pin(std::future::ready(answer))
    }
}

/// Answers a process that looks for members.
fn answer_greeting(node: &FrontNode, member: MemberInfo) -> MeshBody {
    let now = node.clock.now();
    let mut mesh = node.mesh.borrow_mut();
    mesh.view.take(member, true, now);
    let me = std::iter::once(mesh.view.me().clone());
    let members = me.chain(mesh.view.others().cloned()).collect();
    let collector = match followed_collector(&mesh, now) {
        Some(member) => Some(member),
        // This process, if it collects for others and is not leaving. A process that just started knows
        // only itself.
        None if mesh.view.serving() > 1 && mesh.view.collects() && !mesh.view.me().leaving => {
            Some(mesh.view.me().clone())
        }
        None => None,
    };
    MeshBody::Members(MemberList { members, collector })
}

/// Applies a report as the collector, and answers it.
pub(super) fn collect(node: &FrontNode, report: NodeReport) -> MeshBody {
    end_collecting_after_stall(node);
    let now = node.clock.now();
    apply_feed_state(node, &report);
    suspects::apply_notes(node, &report.suspects);
    words::apply_peer_signals(node, &report.words, TimeSpan(0));
    let suspects = node.suspects.borrow();
    let known = node.rules.borrow();
    let rules = known.current();
    let limit_of = |name: &AccountName| limit_by_name(node, rules?, name);
    let mut mesh = node.mesh.borrow_mut();
    if mesh.view.me().leaving {
        return MeshBody::Leaving(mesh.view.me().clone());
    }
    mesh.view.take(report.member.clone(), true, now);
    let true_now = mesh.clock.read(now, node.clock.wall());
    mesh.view.enter_term(report.term, true_now, now);
    if let Some(member) = followed_collector(&mesh, now)
        && !report.unreached.contains(&member.id)
    {
        return MeshBody::Follow(member);
    }
    if mesh.collector.is_none() {
        let verdicts = received_verdicts(node);
        mesh.collector = Some(MeshCollector::begin(now).with_verdicts(verdicts.into_iter()));
        limits::begin_ledger(node, &mut mesh);
        event!(node, CollectingBegan; "members" => mesh.view.serving());
    }
    if mesh.view.collects() {
        limits::resume_ledger(node, &mut mesh);
    }
    if let Some(handed) = &report.handed {
        limits::accept_handover(node, &mut mesh, handed);
    }
    if let Some(collector) = &mut mesh.collector {
        judge_endpoints(node, collector, &report);
        limits::log_rejected_claims(node, collector);
    }
    let roster = node.roster.borrow();
    let facts = CollectorContext {
        rules: rules.map(AsRef::as_ref),
        rules_text: known.text(),
        rules_status: known.status(now),
        roster: &roster,
        source: node.incarnation_id,
        limit_of: &limit_of,
        reported_window: mesh.reported_window,
        peaks: mesh.peaks.clone(),
        paces: mesh.paces.clone(),
        suspects: &suspects,
        lease: mesh.lease.clone(),
        releases: node.releases.borrow().summary(now),
        oldest_term: settled_term(true_now),
        now,
    };
    let reporter = ReporterState::of(&report, facts.oldest_term);
    let MeshState { view, collector, list_asked_at, .. } = &mut *mesh;
    match collector {
        Some(collector) => {
            let mut digest = collector.take(report, view, &facts);
            digest.roster_update = bound_update(node, digest.roster_update);
            digest.wants_roster = digest.wants_roster && may_ask_for_list(list_asked_at, now);
            words::add_endpoint_signals(node, (&reporter, view), collector, &mut digest);
            MeshBody::Digest(Box::new(digest))
        }
        None => MeshBody::Leaving(view.me().clone()),
    }
}

/// Whether one more process is asked for its newer list. At a change of the collector hundreds may have
/// one, and the first that answers is enough.
fn may_ask_for_list(asked_at: &mut Option<ClockTime>, now: ClockTime) -> bool {
    /// Interval between two processes that are asked.
    const ASK_PERIOD: TimeSpan = TimeSpan(50);
    let may_ask = asked_at.is_none_or(|at| now - at >= ASK_PERIOD);
    if may_ask {
        *asked_at = Some(now);
    }
    may_ask
}

/// Answers a process that needs more of an account's limit; `None` if this process has no ledger.
pub(crate) fn answer_limit_ask(node: &FrontNode, ask: &LimitRequest) -> Option<PoolAllotment> {
    end_collecting_after_stall(node);
    let known = node.rules.borrow();
    let rules = known.current()?;
    let limit = limit_by_name(node, rules, &ask.claim.account)?;
    let now = node.clock.now();
    let mut mesh = node.mesh.borrow_mut();
    let MeshState { view, collector, .. } = &mut *mesh;
    collector.as_mut()?.ask(ask, (&limit, view.serving()), now)
}

/// The verdicts on endpoints that this process received from the former collector.
fn received_verdicts(node: &FrontNode) -> Vec<EndpointVerdict> {
    let now = node.clock.now();
    let board = node.endpoints.borrow();
    let verdict = |fact: &EndpointFact| {
        let bad_trait = fact.bad_trait(now)?;
        let (instance, life) = (fact.entry.instance.clone(), IncarnationTag::of(fact.entry.life));
        Some(EndpointVerdict { instance, life, bad_trait })
    };
    board.iter().filter_map(|(_, fact)| verdict(fact)).collect()
}

/// Records the evidence of `report` about endpoints, and compares the endpoints with one another
/// when it is due.
fn judge_endpoints(node: &FrontNode, collector: &mut MeshCollector, report: &NodeReport) {
    let now = node.clock.now();
    let board = node.endpoints.borrow();
    let knows = |(instance, life): &EndpointIncarnation| {
        let fact = board.key(instance).and_then(|key| board.get(key));
        fact.is_some_and(|fact| IncarnationTag::of(fact.entry.life) == *life)
    };
    if !collector.is_repeated(report) {
        releases::record_evidence(node, report);
        releases::record_sent(node, &report.demand, collector.previous_demand(report));
    }
    let left_out = collector.note_evidence(report, knows, now);
    if left_out > 0 {
        node.meter.count_evidence_left_out(left_out as u64);
        event!(node, EvidenceLeftOut;
            "member" => report.member.id.as_str(), "count" => left_out,
            "code" => ResultCode::PeerBadEvidence.number());
    }
    if !collector.is_judging_due(now) {
        return;
    }
    let live = |key: &EndpointKey| board.get(*key).filter(|fact| fact.takes_work());
    let life_of =
        |fact: &EndpointFact| (fact.entry.instance.clone(), IncarnationTag::of(fact.entry.life));
    let services: Vec<Vec<EndpointIncarnation>> = board
        .services()
        .map(|(_, keys)| keys.iter().filter_map(live).map(life_of).collect())
        .collect();
    let mark_of = |fact: &EndpointFact| EndpointHash::of(&fact.entry.instance, fact.entry.life);
    let marks = board.services().map(|(service, keys)| {
        (service.clone(), keys.iter().filter_map(live).map(mark_of).collect())
    });
    collector.set_endpoints(marks.collect());
    for change in collector.judge(&services, now) {
        let (came, failed) = (change.sum.came, change.sum.failed);
        event!(node, EndpointJudged;
            "endpoint" => change.endpoint.0.as_str(),
            "bad" => change.bad_trait.map(|bad_trait| format!("{bad_trait:?}")),
            "came" => format!("{came:.1}"), "failed" => format!("{failed:.1}"),
            "slowness" => change.sum.slowness().map(|slowness| format!("{slowness:.2}")));
    }
}

/// Applies the rules and the endpoint list of a reporter, or only the time at which the store last
/// confirmed them to it.
fn apply_feed_state(node: &FrontNode, report: &NodeReport) {
    if let Some(rules) = &report.rules_text {
        apply_rules(node, rules, RulesSource::Peer);
    }
    if report.member.id == node.settings.instance {
        return;
    }
    let late = {
        let (now, mesh) = (node.clock.now(), node.mesh.borrow());
        let true_now = mesh.clock.read(now, node.clock.wall());
        let clock_lag = || wall_lag(report.wall, true_now);
        mesh.collector.as_ref().map_or_else(clock_lag, |c| c.report_delay(report, true_now, now))
    };
    note_peer_version(node, report.rules.version, report.member.id.as_str());
    node.rules.borrow_mut().merge_freshness(&report.rules, late, node.clock.now());
    match &report.roster_update {
        Some(update) => roster::apply_peer_update(node, update, (&report.roster, late), None),
        None => roster::apply_peer_freshness(node, &report.roster, late),
    }
}
