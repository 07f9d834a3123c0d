//! Leases: two processes, a store that loses answers and may come back from an older copy, pauses of
//! any length, and the orders of the holder on their way to an endpoint that ignores fencing.

use crate::search::SearchModel;
use oleander_kind::{ClockTime, InstanceId, StoreEra, TimeSpan};
use oleander_lease::{LeaseAction, LeaseManager, LeaseRecord, LeaseReply};

/// A mistake put in on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseBug {
    /// None.
    None,
    /// The holder counts its lease from the answer instead of from before it asked.
    CountFromAnswer,
    /// Orders are sent however little of the lease is left.
    OrderAtTheEnd,
    /// The holder looks at its lease, waits for something else, and orders by that look.
    OrderByOldLook,
    /// Nobody notices that the store came back from an older copy.
    IgnoreEra,
}

/// The model's bounds.
#[derive(Clone, Copy, Debug)]
pub struct LeaseModel {
    /// Faults in one history.
    pub faults: u32,
    /// Time units in one history; `u64::MAX` for any number.
    pub units: u64,
    /// The mistake.
    pub bug: LeaseBug,
    /// Whether the endpoint refuses orders with an old token.
    pub checked: bool,
    /// How often the store may come back from an older copy.
    pub returns: u64,
}

/// One unit of time, in milliseconds.
const UNIT: u64 = 100;
/// The lease, in milliseconds: with the others' margin it is just below two units, so that few
/// units show everything.
const LASTS: u64 = 181;
/// An order's own time limit, in units: it has arrived by then, or never does.
const ORDER_LIMIT: u64 = 1;

/// Fences this far behind the newest are all alike: two processes hold at most two.
const OLDEST_FENCE: u64 = 3;

#[derive(Clone, Debug)]
struct FlyingOrder {
    by: usize,
    fence: u64,
    sent_at: u64,
}

#[derive(Clone, Debug)]
struct SentCall {
    action: LeaseAction,
    said: Option<LeaseReply>,
}

/// Everything that can differ.
#[derive(Clone, Debug)]
pub struct LeaseState {
    now: u64,
    keepers: Vec<LeaseManager>,
    calls: Vec<Option<SentCall>>,
    object: Option<(u64, LeaseRecord)>,
    next_version: u64,
    /// The object in the copy of the store, once there is one.
    copy: Option<Option<(u64, LeaseRecord)>>,
    /// How often the store came back.
    era: u64,
    orders: Vec<FlyingOrder>,
    /// The tokens that the keepers saw when they last looked, of those that order by that.
    looks: Vec<Option<u64>>,
    highest_arrived: u64,
    stale_arrived: bool,
    faults: u32,
}

/// Something that happens.
#[derive(Clone, Copy, Debug)]
pub enum LeaseStep {
    /// A unit of time passes.
    Pass,
    /// A keeper decides.
    Tick(usize),
    /// The store carries out its call.
    Execute(usize),
    /// The answer arrives, however late.
    Deliver(usize),
    /// The answer is lost.
    Lose(usize),
    /// The holder looks whether it may order.
    Look(usize),
    /// The holder sends an order.
    Order(usize),
    /// An order arrives.
    Arrive(usize),
    /// The store is copied.
    Copy,
    /// The store comes back from its copy. Calls under way are lost with what it was.
    Return,
}

impl LeaseModel {
    fn clock(&self, state: &LeaseState) -> ClockTime {
        ClockTime(100_000 + state.now * UNIT)
    }

    fn execute(state: &mut LeaseState, action: &LeaseAction) -> LeaseReply {
        match action {
            LeaseAction::Wait => LeaseReply::NotDone,
            LeaseAction::Read => LeaseReply::Read(state.object.clone()),
            LeaseAction::Write { version, record } => {
                if state.object.as_ref().map(|(version, _)| *version) != *version {
                    return LeaseReply::Changed;
                }
                state.next_version += 1;
                state.object = Some((state.next_version, record.clone()));
                LeaseReply::Written(state.next_version)
            }
        }
    }

    /// Tells a keeper what the store said, and its era.
    fn tell(&self, state: &mut LeaseState, keeper: usize, said: LeaseReply) {
        let now = self.clock(state);
        if self.bug != LeaseBug::IgnoreEra {
            state.keepers[keeper].note_era(Some(StoreEra(state.era)), now);
        }
        state.keepers[keeper].said(said, now);
    }

    fn needed(&self) -> TimeSpan {
        match self.bug {
            LeaseBug::OrderAtTheEnd => TimeSpan(0),
            _ => TimeSpan(ORDER_LIMIT * UNIT),
        }
    }

    /// How long an order may be on its way. One that is sent without regard to the lease's end has
    /// a time limit of its own that is longer than what may be left.
    fn order_limit(&self) -> u64 {
        if self.bug == LeaseBug::OrderAtTheEnd { 2 * ORDER_LIMIT } else { ORDER_LIMIT }
    }

    /// The token by which a keeper orders now.
    fn order_fence(&self, state: &LeaseState, keeper: usize) -> Option<u64> {
        match self.bug {
            LeaseBug::OrderByOldLook => state.looks[keeper],
            _ => state.keepers[keeper].fence(self.clock(state), self.needed()),
        }
    }

    fn expire_orders(&self, state: &mut LeaseState) {
        let now = state.now;
        state.orders.retain(|order| now <= order.sent_at + self.order_limit());
    }
}

impl SearchModel for LeaseModel {
    type State = LeaseState;
    type Step = LeaseStep;

    fn start(&self) -> LeaseState {
        // A holder that counts from the answer believes in a lease that is longer by as much as
        // the answer took; up to one whole lease.
        let lasts = match self.bug {
            LeaseBug::CountFromAnswer => TimeSpan(2 * LASTS),
            _ => TimeSpan(LASTS),
        };
        let keeper = |name: &str| LeaseManager::new(InstanceId::from(name), 1, lasts);
        let patient = LeaseManager::new(InstanceId::from("b"), 1, TimeSpan(LASTS));
        LeaseState {
            now: 0,
            keepers: vec![keeper("a"), patient],
            calls: vec![None, None],
            object: None,
            next_version: 0,
            copy: None,
            era: 0,
            orders: Vec::new(),
            looks: vec![None, None],
            highest_arrived: 0,
            stale_arrived: false,
            faults: 0,
        }
    }

    fn steps(&self, state: &LeaseState) -> Vec<LeaseStep> {
        let mut steps = Vec::new();
        if state.now < self.units {
            steps.push(LeaseStep::Pass);
        }
        let now = self.clock(state);
        for keeper in 0..state.keepers.len() {
            match &state.calls[keeper] {
                None => {
                    let mut probe = state.keepers[keeper].clone();
                    if probe.tick(now) != LeaseAction::Wait {
                        steps.push(LeaseStep::Tick(keeper));
                    }
                }
                Some(call) if call.said.is_none() => steps.push(LeaseStep::Execute(keeper)),
                Some(_) => {
                    steps.push(LeaseStep::Deliver(keeper));
                    if state.faults < self.faults {
                        steps.push(LeaseStep::Lose(keeper));
                    }
                }
            }
            let looks = self.bug == LeaseBug::OrderByOldLook && state.looks[keeper].is_none();
            if looks && state.keepers[keeper].fence(now, self.needed()).is_some() {
                steps.push(LeaseStep::Look(keeper));
            }
            let may_order = self.order_fence(state, keeper).is_some();
            if may_order && !state.orders.iter().any(|order| order.by == keeper) {
                steps.push(LeaseStep::Order(keeper));
            }
        }
        steps.extend((0..state.orders.len()).map(LeaseStep::Arrive));
        match &state.copy {
            None if state.era < self.returns => steps.push(LeaseStep::Copy),
            Some(copy) if *copy != state.object => steps.push(LeaseStep::Return),
            _ => {}
        }
        steps
    }

    fn apply(&self, state: &LeaseState, step: &LeaseStep) -> LeaseState {
        let mut next = state.clone();
        let now = self.clock(state);
        match *step {
            LeaseStep::Pass => {
                next.now += 1;
                self.expire_orders(&mut next);
            }
            LeaseStep::Tick(keeper) => {
                let action = next.keepers[keeper].tick(now);
                if action == LeaseAction::Read {
                    // A read that is answered late is as good as one that is sent late.
                    let said = Self::execute(&mut next, &action);
                    self.tell(&mut next, keeper, said);
                    return next;
                }
                next.calls[keeper] = Some(SentCall { action, said: None });
            }
            LeaseStep::Execute(keeper) => {
                if let Some(mut call) = next.calls[keeper].take() {
                    call.said = Some(Self::execute(&mut next, &call.action));
                    next.calls[keeper] = Some(call);
                }
            }
            LeaseStep::Deliver(keeper) => {
                if let Some(said) = next.calls[keeper].take().and_then(|call| call.said) {
                    self.tell(&mut next, keeper, said);
                }
            }
            LeaseStep::Lose(keeper) => {
                next.faults += 1;
                if let Some(call) = next.calls[keeper].take() {
                    let was_read = call.action == LeaseAction::Read;
                    let said = if was_read { LeaseReply::NotDone } else { LeaseReply::Unknown };
                    next.keepers[keeper].said(said, now);
                }
            }
            LeaseStep::Look(keeper) => {
                next.looks[keeper] = next.keepers[keeper].fence(now, self.needed());
            }
            LeaseStep::Order(keeper) => {
                if let Some(fence) = self.order_fence(state, keeper) {
                    next.looks[keeper] = None;
                    next.orders.push(FlyingOrder { by: keeper, fence, sent_at: next.now });
                }
            }
            LeaseStep::Arrive(at) => {
                let order = next.orders.remove(at);
                next.stale_arrived |= !self.checked && order.fence < next.highest_arrived;
                next.highest_arrived = next.highest_arrived.max(order.fence);
            }
            LeaseStep::Copy => next.copy = Some(next.object.clone()),
            LeaseStep::Return => {
                next.object = next.copy.take().flatten();
                next.era += 1;
                // The answers of the earlier era count for nothing, and so do its versions.
                next.calls
                    .iter_mut()
                    .flatten()
                    .for_each(|call| call.said = Some(LeaseReply::Unknown));
                next.next_version += 1;
                if let Some((version, _)) = &mut next.object {
                    *version = next.next_version;
                }
            }
        }
        next
    }

    /// Times as spans from now, versions and fences as distances from the newest: what a history of
    /// renewals has counted up does not matter.
    fn identity(&self, state: &LeaseState) -> String {
        let now = self.clock(state);
        let newest_fence = state.object.as_ref().map_or(0, |(_, record)| record.fence);
        let version = |version: u64| u64::from(version != state.next_version);
        let age = |fence: u64| (newest_fence + 1).saturating_sub(fence).min(OLDEST_FENCE);
        let record = |record: &LeaseRecord| (record.holder.clone(), age(record.fence));
        let mut text = format!(
            "{:?} {:?} {:?} {} {} ",
            state.object.as_ref().map(|(at, found)| (version(*at), record(found))),
            state
                .orders
                .iter()
                .map(|o| (o.by, age(o.fence), state.now - o.sent_at))
                .collect::<Vec<_>>(),
            state.looks.iter().map(|look| look.map(age)).collect::<Vec<_>>(),
            age(state.highest_arrived),
            state.stale_arrived,
        );
        let copy = state
            .copy
            .as_ref()
            .map(|copy| copy.as_ref().map(|(at, found)| (version(*at), record(found))));
        text.push_str(&format!("{copy:?} {} ", state.era));
        for (keeper, call) in state.keepers.iter().zip(&state.calls) {
            let view = keeper.view(now);
            text.push_str(&format!(
                "{:?} {:?} {:?} {:?} {:?} {:?} {:?} ",
                view.version.map(version),
                view.record.as_ref().map(record),
                view.unchanged,
                view.pending_for,
                view.held_for,
                view.lost_for,
                view.next_call_in
            ));
            text.push_str(&call_identity(call.as_ref(), (&version, &record)));
        }
        format!("{text} {} {}", state.faults, if self.units == u64::MAX { 0 } else { state.now })
    }

    fn broken(&self, state: &LeaseState) -> Option<String> {
        let now = self.clock(state);
        let holders = state.keepers.iter().filter_map(|keeper| keeper.fence(now, TimeSpan(0)));
        if holders.count() > 1 {
            return Some("two processes hold the lease at once".to_owned());
        }
        let stale = state.stale_arrived;
        stale.then(|| "an old holder's order arrived after a new one's".to_owned())
    }
}

type VersionView<'a> = &'a dyn Fn(u64) -> u64;
type RecordView<'a> = &'a dyn Fn(&LeaseRecord) -> (InstanceId, u64);

fn call_identity(
    call: Option<&SentCall>,
    (version, record): (VersionView<'_>, RecordView<'_>),
) -> String {
    let Some(call) = call else { return "-".to_owned() };
    let asked = match &call.action {
        LeaseAction::Write { version: guard, record: new } => {
            format!("{:?} {:?}", guard.map(version), record(new))
        }
        other => format!("{other:?}"),
    };
    let said = match &call.said {
        Some(LeaseReply::Written(at)) => format!("written {}", version(*at)),
        other => format!("{other:?}"),
    };
    format!("{asked} {said}")
}
