//! Pays for attempts out of what the ledger handed to this process, and asks it when that is not enough.

use crate::events::event;
use crate::mesh::{answer_limit_ask, pool_limit};
use crate::node::FrontNode;
use oleander_call::{AccountRule, CallHead, TokenCount};
use oleander_kind::{AccountName, TimeSpan};
use oleander_limit::{PoolAllotment, PoolLimit};
use oleander_mesh::{AccountClaim, LimitAsk, MeshBody};
use oleander_wire::CallPeer;
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

/// Pays for a request that goes to a version under the order of a roll-out; asks the ledger only if it `may_ask`.
pub(crate) async fn pay_tried(node: &FrontNode, account: &AccountName, may_ask: bool) -> bool {
    let limit = oleander_release::exposure_limit(0.0);
    let payment = Payment { account: account.clone(), limit, tokens: 1 };
    spend(node, &payment) || (may_ask && ask_ledger(node, &payment).await.is_ok())
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
    if node.clock.now() < node.ledger_retry_at.get() {
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
        node.ledger_retry_at.set(node.clock.now() + ASK_PAUSE);
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
        let address =
            if mesh.has_ledger() { None } else { Some(mesh.ledger_address(node.clock.now())?) };
        (address, ask)
    };
    let Some(address) = collector else { return answer_limit_ask(node, &ask) };
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
