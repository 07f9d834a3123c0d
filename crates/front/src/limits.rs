//! Limits of client accounts: pays for attempts out of what the ledger handed to this process, keeps the ledger while
//! this process collects, and tells of both.
//!
//! Operators judge an account over all processes. From a window that was passed, the lines lead to the processes that
//! let it in and to what each of them went by.

use crate::events::event;
use crate::mesh::state::MeshState;
use crate::mesh::{answer_ask, pool_limit};
use crate::node::FrontNode;
use oleander_call::{AccountRule, CallHead, TokenCount};
use oleander_kind::{AccountName, ResultCode, TimeSpan};
use oleander_limit::{
    GateStand, KnownWindow, LedgerPast, PoolAllotment, PoolLedger, PoolLimit, TOLD_LASTS,
    WindowStand,
};
use oleander_mesh::{AccountClaim, HandedLedger, HandedWindow, LimitAsk, MeshBody, MeshCollector};
use oleander_wire::CallPeer;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::time::Instant;

/// The longest that a request waits for room: a word with the ledger takes a few milliseconds, and the shortest
/// objective of requests that count by their tokens is some hundred.
const ASK_LIMIT: TimeSpan = TimeSpan(120);
/// After the ledger did not answer it is left alone for so long; by then a report has found it or another.
const ASK_PAUSE: TimeSpan = TimeSpan(250);
/// When a caller may come back that no ledger could answer: another has begun by then.
const LEDGER_RETURN: TimeSpan = TimeSpan(500);

/// What an attempt takes of its account's limit.
#[derive(Clone, Debug)]
pub struct Payment {
    account: AccountName,
    limit: PoolLimit,
    tokens: u64,
}

impl Payment {
    /// What a request takes; none if its account has no limit.
    pub fn of(node: &FrontNode, account: &AccountRule, call: &CallHead) -> Option<Self> {
        let limit = pool_limit(node, account)?;
        let tokens = call.tokens.map_or(account.plain_tokens, TokenCount::total);
        Some(Payment { account: account.name.clone(), limit, tokens })
    }
}

/// Why there is no room for a request.
enum NoRoom {
    /// The account's window is full, for so long.
    Full(TimeSpan),
    /// No ledger answers.
    Unreached,
}

impl NoRoom {
    fn name(&self) -> &'static str {
        match self {
            NoRoom::Full(_) => "full",
            NoRoom::Unreached => "unreached",
        }
    }
}

/// Pays for an attempt that may run.
///
/// # Errors
/// When the caller may come back, if there is no room.
pub async fn pay(node: &FrontNode, payment: &Payment, request: &str) -> Result<(), TimeSpan> {
    if spend(node, payment) {
        return Ok(());
    }
    let lack = match ask_ledger(node, payment).await {
        Ok(()) => return Ok(()),
        Err(NoRoom::Unreached) if spend_own(node, payment) => return Ok(()),
        Err(lack) => lack,
    };
    let left = match lack {
        NoRoom::Full(left) => left,
        NoRoom::Unreached => LEDGER_RETURN,
    };
    let held = node.limits.borrow().held(&payment.account, node.clock.lease_now());
    event!(node, RequestOverLimit;
        "request" => request, "account" => payment.account.as_str(), "tokens" => payment.tokens,
        "retry_ms" => left.0, "by" => lack.name(), "held" => held,
        "limit" => format!("{:?}", payment.limit));
    Err(left)
}

/// Pays for a further attempt of a request.
pub async fn pay_again(node: &FrontNode, payment: &Payment, request: &str) -> bool {
    let is_paid = pay(node, payment, request).await.is_ok();
    if is_paid {
        node.spend_diary.borrow_mut().note_sent_again(&payment.account, payment.tokens);
    }
    is_paid
}

/// Gives back what was paid for an attempt that certainly did not run.
pub fn give_back(node: &FrontNode, payment: &Payment) {
    node.limits.borrow_mut().give_back(&payment.account, payment.tokens);
}

fn spend(node: &FrontNode, payment: &Payment) -> bool {
    let now = node.clock.lease_now();
    node.limits.borrow_mut().spend(&payment.account, payment.tokens, now)
}

fn spend_own(node: &FrontNode, payment: &Payment) -> bool {
    let at = (node.process_count(), node.clock.lease_now());
    let Payment { account, limit, tokens } = payment;
    node.limits.borrow_mut().spend_own(account, limit, *tokens, at)
}

/// Asks the ledger for room for one request.
async fn ask_ledger(node: &FrontNode, payment: &Payment) -> Result<(), NoRoom> {
    if let Some(left) = full_for(node, payment) {
        return Err(NoRoom::Full(left));
    }
    if node.clock.now() < node.ask_after.get() {
        return Err(NoRoom::Unreached);
    }
    let began = Instant::now();
    let asking = actix_rt::time::timeout(ASK_LIMIT.duration(), ask_in_turn(node, payment));
    let outcome = asking.await.unwrap_or(Err(NoRoom::Unreached));
    let name = outcome.as_ref().err().map_or("room", NoRoom::name);
    node.meter.note_limit_ask(name, began.elapsed().as_secs_f64() * 1000.0);
    outcome
}

fn full_for(node: &FrontNode, payment: &Payment) -> Option<TimeSpan> {
    node.limits.borrow().full_for(&payment.account, node.clock.lease_now())
}

/// Asks once no other claim is under way. What that one brought may be enough, or tell that there is no room.
async fn ask_in_turn(node: &FrontNode, payment: &Payment) -> Result<(), NoRoom> {
    let _exchange = node.limit_exchange.lock().await;
    if spend(node, payment) {
        return Ok(());
    }
    if let Some(left) = full_for(node, payment) {
        return Err(NoRoom::Full(left));
    }
    let claimed_at = node.clock.lease_now();
    let claim = node.limits.borrow_mut().claim(&payment.account, payment.tokens, claimed_at);
    let Some(allotment) =
        send_claim(node, AccountClaim { account: payment.account.clone(), claim }).await
    else {
        node.ask_after.set(node.clock.now() + ASK_PAUSE);
        return Err(NoRoom::Unreached);
    };
    let times = (claimed_at, node.clock.lease_now());
    node.limits.borrow_mut().take(&payment.account, allotment, times);
    if spend(node, payment) {
        return Ok(());
    }
    Err(full_for(node, payment).map_or(NoRoom::Unreached, NoRoom::Full))
}

async fn send_claim(node: &FrontNode, claim: AccountClaim) -> Option<PoolAllotment> {
    let (collector, ask) = {
        let mesh = node.mesh.borrow();
        let me = mesh.view.me();
        let bond = node.limits.borrow().bond(node.clock.lease_now());
        let ask = LimitAsk { id: me.id.clone(), life: me.life, bond, claim };
        if mesh.view.collects() { (None, ask) } else { (Some(mesh.collector_address()?), ask) }
    };
    let Some(address) = collector else { return answer_ask(node, &ask) };
    let call = CallPeer { address, body: MeshBody::Ask(ask), limit: ASK_LIMIT };
    match node.peers.get()?.send(call).await {
        Ok(Ok(MeshBody::Allotted(allotment))) => allotment.map(|allotment| *allotment),
        Ok(Ok(_)) => None,
        Ok(Err(fault)) => {
            event!(node, MemberFault; "fault" => fault.to_string());
            None
        }
        Err(fault) => {
            event!(node, InternalFault; "fault" => fault.to_string());
            None
        }
    }
}

/// Begins the ledger of a process that begins to collect, if it was told lately how the windows stand; if not, the store
/// is asked first.
pub(crate) fn begin_ledger(node: &FrontNode, mesh: &mut MeshState) {
    let windows = node.limits.borrow().known_windows(node.clock.lease_now());
    if windows.iter().any(|(_, known)| known.age <= TOLD_LASTS) {
        let past = LedgerPast::Told { windows, lasts: TOLD_LASTS };
        begin_ledger_by(node, mesh, past, "told");
    }
}

/// Begins the ledger by what is known of the time before.
pub(crate) fn begin_ledger_by(
    node: &FrontNode,
    mesh: &mut MeshState,
    past: LedgerPast,
    by: &'static str,
) {
    let now = node.clock.now();
    let Some(collector) = &mut mesh.collector else { return };
    let windows: &[(AccountName, KnownWindow)] = match &past {
        LedgerPast::Nothing => &[],
        LedgerPast::Told { windows, .. } | LedgerPast::Handed(windows) => windows,
    };
    let age = windows.iter().map(|(_, known)| known.age.0).max();
    event!(node, LedgerBegan; "by" => by, "windows" => windows.len(), "age_ms" => age);
    // Each ledger has a name of its own, also a second one of the same process. One that handed out nothing and is begun
    // anew is the same: processes that it answered go by it already.
    let source = collector.ledger().map_or_else(|| node.random(), PoolLedger::source);
    collector.begin_ledger(PoolLedger::begin(source, past, now));
}

/// Takes the ledger that another process kept until now, unless something was handed out here already.
pub(crate) fn take_handed(node: &FrontNode, mesh: &mut MeshState, handed: &HandedLedger) {
    let ledger = mesh.collector.as_ref().and_then(MeshCollector::ledger);
    if ledger.is_some_and(|ledger| !ledger.is_untouched()) {
        return;
    }
    let windows = handed.windows.iter().map(|told| (told.account.clone(), told.window.clone()));
    begin_ledger_by(node, mesh, LedgerPast::Handed(windows.collect()), "handed");
}

/// Ends the ledger of a process that goes over to another collector; gives what that has to know, until it is known
/// that one has it or may have it.
pub(crate) fn end_ledger(node: &FrontNode) -> Option<HandedLedger> {
    let now = node.clock.now();
    let mut mesh = node.mesh.borrow_mut();
    let ledger = mesh.collector.as_mut().filter(|collector| collector.ledger().is_some());
    if let Some(collector) = ledger {
        let windows = collector.end_ledger(now);
        event!(node, LedgerEnded; "windows" => windows.len());
        mesh.ended_ledger = Some((windows, now));
    }
    let (windows, ended_at) = mesh.ended_ledger.as_ref()?;
    let handed = |(account, window): &(AccountName, KnownWindow)| {
        let window = KnownWindow { age: window.age + (now - *ended_at), ..window.clone() };
        HandedWindow { account: account.clone(), window }
    };
    Some(HandedLedger { windows: windows.iter().map(handed).collect() })
}

/// Logs claims that could not be true.
pub(crate) fn tell_left_out(node: &FrontNode, collector: &mut MeshCollector) {
    let count = collector.take_claims_left_out();
    if count > 0 {
        event!(node, ClaimsLeftOut; "count" => count, "code" => ResultCode::PeerBadClaim.number());
    }
}

/// Between two lines of an account.
const TELL_PERIOD: TimeSpan = TimeSpan(1000);

/// What the last lines told, and what was sent again since this process began.
#[derive(Debug, Default)]
pub struct SpendDiary {
    told: HashMap<AccountName, ToldSpend>,
    sent_again: HashMap<AccountName, u64>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ToldSpend {
    spent: u64,
    own: u64,
    sent_again: u64,
}

impl SpendDiary {
    /// Notes tokens of an attempt after the first of its request.
    pub fn note_sent_again(&mut self, account: &AccountName, tokens: u64) {
        *self.sent_again.entry(account.clone()).or_default() += tokens;
    }

    /// What is new of an account since its last line, of what was let in by allotments and by this process's own
    /// part; none if nothing is.
    fn news_of(&mut self, account: &AccountName, (spent, own): (u64, u64)) -> Option<ToldSpend> {
        let sent_again = self.sent_again.get(account).copied().unwrap_or_default();
        let now = ToldSpend { spent, own, sent_again };
        let before = self.told.insert(account.clone(), now).unwrap_or_default();
        let news = ToldSpend {
            spent: now.spent.saturating_sub(before.spent),
            own: now.own - before.own,
            sent_again: now.sent_again - before.sent_again,
        };
        (news != ToldSpend::default()).then_some(news)
    }
}

/// Tells until the task is ended.
pub async fn tell_limits(node: Rc<FrontNode>) {
    loop {
        actix_rt::time::sleep(TELL_PERIOD.duration()).await;
        tell_spent(&node);
        tell_windows(&node);
    }
}

fn tell_spent(node: &FrontNode) {
    let now = node.clock.lease_now();
    let Some(rules) = node.current_rules() else { return };
    let limits = node.limits.borrow();
    let mut diary = node.spend_diary.borrow_mut();
    for (account, stand) in limits.stands(now) {
        let rule = rules.accounts().iter().find(|rule| rule.name == *account);
        let Some(limit) = rule.and_then(|rule| pool_limit(node, rule)) else { continue };
        let Some(news) = diary.news_of(account, (stand.spent, stand.own_spent)) else { continue };
        let presses = stand.window as f64 * 2.0 > limit.capacity();
        if !presses && news.own == 0 {
            continue;
        }
        event!(node, AccountSpent;
            "account" => account.as_str(), "tokens" => news.spent, "sent_again" => news.sent_again,
            "own" => news.own, "held" => stand.held, "told_ms" => stand.told_age.map(|age| age.0));
    }
}

fn tell_windows(node: &FrontNode) {
    let mesh = node.mesh.borrow();
    let Some(collector) = &mesh.collector else { return };
    for (account, stand) in collector.windows().filter(|(_, stand)| stand.presses()) {
        event!(node, AccountWindow;
            "account" => account.as_str(), "spent" => stand.spent, "open" => stand.open,
            "capacity" => stand.capacity, "holders" => stand.holders);
    }
}

/// What this process holds of accounts and, if it has the ledger, what it counted, for the state dump.
pub(crate) fn dump_limits(node: &FrontNode, mesh: &MeshState) -> Value {
    let now = node.clock.lease_now();
    let limits = node.limits.borrow();
    let held = |(account, stand): (&AccountName, GateStand)| {
        json!({
            "account": account.as_str(),
            "held": stand.held,
            "spent": stand.spent,
            "own_spent": stand.own_spent,
            "told_ms": stand.told_age.map(|age| age.0),
        })
    };
    let counted = |(account, stand): (&AccountName, WindowStand)| {
        json!({
            "account": account.as_str(),
            "spent": stand.spent,
            "open": stand.open,
            "capacity": stand.capacity,
            "holders": stand.holders,
        })
    };
    let windows = mesh.collector.iter().flat_map(MeshCollector::windows);
    json!({
        "held": limits.stands(now).map(held).collect::<Vec<_>>(),
        "counted": windows.map(counted).collect::<Vec<_>>(),
    })
}
