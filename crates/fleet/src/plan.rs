//! One round of planning for one service.

use crate::journal::PlanJournal;
use crate::roll::{RollState, next_wave};
use crate::spread::spread_replicas;
use compact_str::CompactString;
use oleander_bundle::ServiceEntry;
use oleander_kind::{
    ClockTime, DomainName, EndpointRecord, EndpointRole, EndpointStage, InstanceId, InstanceMarket,
    ServiceName, TimeSpan, VersionName,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The first pause after a refused start; doubled with each further refusal.
const FIRST_BACK_OFF: TimeSpan = TimeSpan::secs(5);
/// The longest pause after refused starts.
const LONGEST_BACK_OFF: TimeSpan = TimeSpan::secs(600);
/// A start that the list does not show after this time is asked for again, with its token.
const ASK_AGAIN: TimeSpan = TimeSpan::secs(5);
/// A start that the list does not show after this time is given up.
const GIVE_UP: TimeSpan = TimeSpan::secs(600);
/// The most starts in one round: a wave is answered over several rounds, so that a lagging list
/// cannot make it answered twice at full size.
const STARTS_A_ROUND: usize = 32;
/// An on-demand instance that replaced a reclaimable one stays at least this long.
const CALM_BEFORE_RETURN: TimeSpan = TimeSpan::secs(300);
/// Client tokens of this system start with this.
pub const TOKEN_PREFIX: &str = "oleander";

/// How a start stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StartState {
    /// To be asked for, or asked for without an answer.
    Asked,
    /// The cloud has taken it.
    Taken,
}

/// A start as it is kept before it is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartIntent {
    /// Client token.
    pub token: CompactString,
    /// Failure domain.
    pub domain: DomainName,
    /// How it is bought.
    pub market: InstanceMarket,
    /// The version to load.
    pub version: VersionName,
    /// When it was planned (wall clock).
    pub planned_at: ClockTime,
    /// When it was last asked for (wall clock).
    pub asked_at: ClockTime,
    /// How it stands.
    pub state: StartState,
}

/// Refusals of starts in one domain and market.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalNote {
    /// Refusals in a row.
    pub count: u32,
    /// No start before this time (wall clock).
    pub until: ClockTime,
}

/// The plan of one service, as it is kept in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlanObject {
    /// Counts tokens, so that none is made twice.
    pub next_token: u64,
    /// Starts that are not seen live yet.
    pub starts: Vec<StartIntent>,
    /// Refusals by `domain/market`.
    pub refusals: BTreeMap<CompactString, RefusalNote>,
    /// Endpoints that were ordered to take nothing new, to be ended once idle.
    pub draining: Vec<InstanceId>,
    /// The roll.
    pub roll: RollState,
    /// Decisions.
    pub journal: PlanJournal,
}

/// The name of a service's plan object.
pub fn plan_name(service: &ServiceName) -> CompactString {
    format!("plan/{service}").into()
}

/// What a round of planning sees.
pub struct FleetView<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// What the bundle wants of it.
    pub wanted: &'a ServiceEntry,
    /// Its instances, as the list shows them.
    pub instances: &'a [EndpointRecord],
    /// Draining instances that have no work left.
    pub idle: &'a [InstanceId],
    /// Wall-clock time.
    pub now: ClockTime,
}

/// What is to be done once the plan is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetAction {
    /// Ask the cloud for this start.
    Start(StartIntent),
    /// Ask the cloud to end an instance that nothing needs any more.
    End(InstanceId),
    /// Order an endpoint to take nothing new.
    Drain(InstanceId),
    /// Order an endpoint to load the version.
    Load(InstanceId, VersionName),
}

/// Plans one round: changes `plan` and returns what to do after it was kept.
pub fn plan_round(plan: &mut PlanObject, view: &FleetView<'_>) -> Vec<FleetAction> {
    let mut actions = Vec::new();
    settle_starts(plan, view);
    ask_again(plan, view, &mut actions);
    start_missing(plan, view, &mut actions);
    end_orphans(plan, view, &mut actions);
    end_drained(plan, view, &mut actions);
    drain_surplus(plan, view, &mut actions);
    let wanted = view.wanted.replicas as usize;
    let wave = next_wave(&mut plan.roll, view.instances, wanted, view.now);
    for instance in wave {
        let version = plan.roll.version.clone();
        plan.journal.note(view.now, instance.as_str(), "load", &format!("roll to {version}"));
        actions.push(FleetAction::Load(instance, version));
    }
    actions
}

/// Forgets starts that are seen, or that were never taken for so long that they never will be.
fn settle_starts(plan: &mut PlanObject, view: &FleetView<'_>) {
    let seen = |token: &CompactString| view.instances.iter().any(|record| record.token == *token);
    let now = view.now;
    let journal = &mut plan.journal;
    plan.starts.retain(|start| {
        if seen(&start.token) {
            return false;
        }
        let late = now - start.planned_at >= GIVE_UP;
        if late {
            journal.note(now, &start.token, "give up", "the list never showed it");
        }
        !late
    });
}

fn ask_again(plan: &mut PlanObject, view: &FleetView<'_>, actions: &mut Vec<FleetAction>) {
    for start in &mut plan.starts {
        if start.state == StartState::Asked && view.now - start.asked_at >= ASK_AGAIN {
            start.asked_at = view.now;
            actions.push(FleetAction::Start(start.clone()));
        }
    }
}

fn is_present(record: &EndpointRecord) -> bool {
    matches!(record.stage, EndpointStage::Live | EndpointStage::Starting)
}

/// Ends the drained that are idle. The drain order is repeated until then: it may have been lost.
fn end_drained(plan: &mut PlanObject, view: &FleetView<'_>, actions: &mut Vec<FleetAction>) {
    let listed = |id: &InstanceId| view.instances.iter().any(|record| record.instance == *id);
    plan.draining.retain(listed);
    for instance in &plan.draining {
        if view.idle.contains(instance) {
            plan.journal.note(view.now, instance.as_str(), "end", "drained and idle");
            actions.push(FleetAction::End(instance.clone()));
        } else {
            actions.push(FleetAction::Drain(instance.clone()));
        }
    }
}

fn start_missing(plan: &mut PlanObject, view: &FleetView<'_>, actions: &mut Vec<FleetAction>) {
    let needs = spread_replicas(view.wanted.replicas, &view.wanted.domains);
    let mut missing = 0;
    for need in &needs {
        let there = present_in(plan, view, &need.domain);
        missing += need.replicas.saturating_sub(there);
    }
    let total: u32 = needs.iter().map(|need| present_in(plan, view, &need.domain)).sum();
    missing = missing.min(view.wanted.replicas.saturating_sub(total));
    for _ in 0..(missing as usize).min(STARTS_A_ROUND) {
        let Some((domain, market, reason)) = choose_place(plan, view) else {
            return;
        };
        plan.next_token += 1;
        let token = format!("{TOKEN_PREFIX}:{}:{}:{}", view.service, view.now.0, plan.next_token);
        let model = view.wanted.model.as_ref();
        let start = StartIntent {
            token: token.into(),
            domain,
            market,
            version: model.map(|model| model.version.clone()).unwrap_or_default(),
            planned_at: view.now,
            asked_at: view.now,
            state: StartState::Asked,
        };
        plan.journal.note(view.now, &start.token, "start", &reason);
        plan.starts.push(start.clone());
        actions.push(FleetAction::Start(start));
    }
}

fn present_in(plan: &PlanObject, view: &FleetView<'_>, domain: &DomainName) -> u32 {
    let there =
        view.instances.iter().filter(|record| record.domain == *domain && is_present(record));
    let coming = plan.starts.iter().filter(|start| start.domain == *domain);
    u32::try_from(there.count() + coming.count()).unwrap_or(u32::MAX)
}

/// The domain with the fewest replicas that may be started in now, and the market.
fn choose_place(
    plan: &PlanObject,
    view: &FleetView<'_>,
) -> Option<(DomainName, InstanceMarket, String)> {
    let reclaimable = count_market(plan, view, InstanceMarket::Reclaimable);
    let most = u64::from(view.wanted.replicas) * u64::from(view.wanted.reclaimable_percent) / 100;
    let mut domains: Vec<&DomainName> = view.wanted.domains.iter().collect();
    domains.sort_by_key(|domain| present_in(plan, view, domain));
    if reclaimable < most {
        let open = domains
            .iter()
            .find(|domain| may_start(plan, domain, InstanceMarket::Reclaimable, view.now));
        if let Some(domain) = open {
            let reason = format!("{domain} has the fewest replicas; reclaimable is cheaper");
            return Some(((*domain).clone(), InstanceMarket::Reclaimable, reason));
        }
    }
    let open =
        domains.iter().find(|domain| may_start(plan, domain, InstanceMarket::OnDemand, view.now));
    open.map(|domain| {
        let reason = if reclaimable < most {
            "reclaimable starts are refused everywhere".to_owned()
        } else {
            format!("{reclaimable} of at most {most} replicas are reclaimable")
        };
        ((*domain).clone(), InstanceMarket::OnDemand, reason)
    })
}

fn count_market(plan: &PlanObject, view: &FleetView<'_>, market: InstanceMarket) -> u64 {
    let there =
        view.instances.iter().filter(|record| is_present(record) && record.market == market);
    let coming = plan.starts.iter().filter(|start| start.market == market);
    (there.count() + coming.count()) as u64
}

fn refusal_key(domain: &DomainName, market: InstanceMarket) -> CompactString {
    format!("{domain}/{market:?}").into()
}

fn may_start(
    plan: &PlanObject,
    domain: &DomainName,
    market: InstanceMarket,
    now: ClockTime,
) -> bool {
    let note = plan.refusals.get(&refusal_key(domain, market));
    note.is_none_or(|note| now >= note.until)
}

/// Ends what carries our token and is not in any plan: a start whose plan was given up.
fn end_orphans(plan: &mut PlanObject, view: &FleetView<'_>, actions: &mut Vec<FleetAction>) {
    let prefix = format!("{TOKEN_PREFIX}:{}:", view.service);
    for record in view.instances {
        let number = record.token.strip_prefix(prefix.as_str()).and_then(token_number);
        let unknown = number.is_some_and(|number| number > plan.next_token);
        if unknown && is_present(record) {
            let subject = record.instance.as_str();
            plan.journal.note(view.now, subject, "end", "no plan knows its token");
            actions.push(FleetAction::End(record.instance.clone()));
        }
    }
}

fn token_number(rest: &str) -> Option<u64> {
    rest.rsplit(':').next()?.parse().ok()
}

/// Scale-in, by drain only. Of more replicas than wanted the dearest goes first, and an on-demand
/// one that stood in for a reclaimable goes only after a calm time, so that a wave that comes and
/// goes does not make the fleet flap. One a round.
fn drain_surplus(plan: &mut PlanObject, view: &FleetView<'_>, actions: &mut Vec<FleetAction>) {
    let live: Vec<&EndpointRecord> = view
        .instances
        .iter()
        .filter(|record| record.stage == EndpointStage::Live)
        .filter(|record| !plan.draining.contains(&record.instance))
        .collect();
    if live.len() <= view.wanted.replicas as usize {
        return swap_to_cheap(plan, view);
    }
    let rank =
        |record: &&&EndpointRecord| (record.market == InstanceMarket::OnDemand, record.started_at);
    if let Some(record) = live.iter().max_by_key(rank) {
        let reason = format!("{} live, {} wanted", live.len(), view.wanted.replicas);
        plan.journal.note(view.now, record.instance.as_str(), "drain", &reason);
        plan.draining.push(record.instance.clone());
        actions.push(FleetAction::Drain(record.instance.clone()));
    }
}

/// Starts one reclaimable instance more than wanted if too many are on demand and it was calm; the
/// surplus rule then drains the on-demand one.
fn swap_to_cheap(plan: &mut PlanObject, view: &FleetView<'_>) {
    let reclaimable = count_market(plan, view, InstanceMarket::Reclaimable);
    let most = u64::from(view.wanted.replicas) * u64::from(view.wanted.reclaimable_percent) / 100;
    let on_demand: Vec<&EndpointRecord> = view
        .instances
        .iter()
        .filter(|record| is_present(record) && record.market == InstanceMarket::OnDemand)
        .collect();
    let calm = on_demand.iter().all(|record| view.now - record.started_at >= CALM_BEFORE_RETURN);
    let full = reclaimable + on_demand.len() as u64 >= u64::from(view.wanted.replicas);
    if reclaimable >= most || on_demand.is_empty() || !calm || !full || !plan.starts.is_empty() {
        return;
    }
    let Some((domain, market, _)) = choose_place(plan, view) else {
        return;
    };
    if market != InstanceMarket::Reclaimable {
        return;
    }
    plan.next_token += 1;
    let token = format!("{TOKEN_PREFIX}:{}:{}:{}", view.service, view.now.0, plan.next_token);
    let model = view.wanted.model.as_ref();
    plan.journal.note(view.now, &token, "start", "calm: back to reclaimable");
    plan.starts.push(StartIntent {
        token: token.into(),
        domain,
        market,
        version: model.map(|model| model.version.clone()).unwrap_or_default(),
        planned_at: view.now,
        // Asked for in the next round, by the rule for unanswered starts.
        asked_at: ClockTime(0),
        state: StartState::Asked,
    });
}

impl PlanObject {
    /// Notes that the cloud took a start.
    pub fn note_taken(&mut self, token: &str) {
        for start in self.starts.iter_mut().filter(|start| start.token == token) {
            start.state = StartState::Taken;
        }
    }

    /// Notes that the cloud refused a start: it is dropped, and its place is left alone for a
    /// while that doubles with each refusal.
    pub fn note_refused(&mut self, token: &str, now: ClockTime) {
        let Some(at) = self.starts.iter().position(|start| start.token == token) else {
            return;
        };
        let start = self.starts.remove(at);
        let note = self.refusals.entry(refusal_key(&start.domain, start.market)).or_default();
        let pause = FIRST_BACK_OFF.0 << note.count.min(10);
        note.count += 1;
        note.until = now + TimeSpan(pause.min(LONGEST_BACK_OFF.0));
        self.journal.note(now, token, "refused", "the cloud has none there now");
    }

    /// Notes that a start in `domain` succeeded.
    pub fn note_granted(&mut self, domain: &DomainName, market: InstanceMarket) {
        self.refusals.remove(&refusal_key(domain, market));
    }
}

/// What a start is asked for as.
pub fn role_of(wanted: &ServiceEntry) -> EndpointRole {
    if wanted.engine { EndpointRole::Engine } else { EndpointRole::Plain }
}
