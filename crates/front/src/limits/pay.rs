//! Charges requests to this process's allotments, and asks the ledger for more when these are used up.

use crate::events::event;
use crate::mesh::{answer_limit_ask, pool_limit};
use crate::node::FrontNode;
use oleander_call::{AccountRule, CallHead, TokenCount};
use oleander_kind::{AccountName, TimeSpan};
use oleander_limit::{PoolAllotment, PoolLimit};
use oleander_mesh::{AccountClaim, LimitRequest, MeshBody};
use oleander_wire::CallPeer;
use tokio::time::Instant;

/// Longest time a request waits for an allotment. An exchange with the ledger takes a few milliseconds, and the shortest
/// latency objective of requests that are charged by their tokens is some hundred.
const ASK_TIMEOUT: TimeSpan = TimeSpan(120);
/// Backoff after the ledger did not answer; by then a report has reached it or another ledger.
const ASK_BACKOFF: TimeSpan = TimeSpan(250);
/// Retry-After time if no ledger could be reached: another one has started by then.
const UNREACHED_RETRY: TimeSpan = TimeSpan(500);

/// Tokens that each attempt of a request takes from its account's limit.
#[derive(Clone, Debug)]
pub struct QuotaCharge {
    account: AccountName,
    limit: PoolLimit,
    tokens: u64,
}

impl QuotaCharge {
    /// The charge of a request; none if its account has no limit.
    pub fn of(node: &FrontNode, account: &AccountRule, call: &CallHead) -> Option<Self> {
        let limit = pool_limit(node, account)?;
        let tokens = call.tokens.map_or(account.plain_tokens, TokenCount::total);
        Some(QuotaCharge { account: account.name.clone(), limit, tokens })
    }
}

/// Why a request cannot be charged to its account.
enum ChargeError {
    /// The account's window is full for this time.
    Full(TimeSpan),
    /// No ledger answered.
    Unreached,
}

impl ChargeError {
    fn name(&self) -> &'static str {
        match self {
            ChargeError::Full(_) => "full",
            ChargeError::Unreached => "unreached",
        }
    }
}

/// Charges an attempt to its account.
///
/// # Errors
/// The Retry-After time, if the account's limit leaves no room or no ledger can be reached.
pub async fn charge_quota(
    node: &FrontNode,
    charge: &QuotaCharge,
    request: &str,
) -> Result<(), TimeSpan> {
    if spend(node, charge) {
        return Ok(());
    }
    let error = match ask_ledger(node, charge).await {
        Ok(()) => return Ok(()),
        Err(ChargeError::Unreached) if spend_share(node, charge) => return Ok(()),
        Err(error) => error,
    };
    let left = match error {
        ChargeError::Full(left) => left,
        ChargeError::Unreached => UNREACHED_RETRY,
    };
    let held = node.limits.borrow().held(&charge.account, node.clock.lease_now());
    event!(node, RequestOverLimit;
        "request" => request, "account" => charge.account.as_str(), "tokens" => charge.tokens,
        "retry_ms" => left.0, "by" => error.name(), "held" => held,
        "limit" => format!("{:?}", charge.limit));
    Err(left)
}

/// Whether the ledger said that the account's window is full now.
pub(crate) fn is_full(node: &FrontNode, charge: &QuotaCharge) -> bool {
    full_for(node, charge).is_some()
}

/// Charges a retry of a request; returns whether it was admitted.
pub async fn charge_retry(node: &FrontNode, charge: &QuotaCharge, request: &str) -> bool {
    let is_charged = charge_quota(node, charge, request).await.is_ok();
    if is_charged {
        node.spend_tracker.borrow_mut().note_retry_tokens(&charge.account, charge.tokens);
    }
    is_charged
}

/// Charges a request to the exposure limit of a version that is being rolled out; asks the ledger only if it `may_ask`.
pub(crate) async fn charge_rollout(node: &FrontNode, account: &AccountName, may_ask: bool) -> bool {
    let limit = oleander_release::exposure_limit(0.0);
    let charge = QuotaCharge { account: account.clone(), limit, tokens: 1 };
    spend(node, &charge) || (may_ask && ask_ledger(node, &charge).await.is_ok())
}

/// Refunds the charge of an attempt that certainly did not run.
pub fn refund_quota(node: &FrontNode, charge: &QuotaCharge) {
    node.limits.borrow_mut().give_back(&charge.account, charge.tokens);
}

fn spend(node: &FrontNode, charge: &QuotaCharge) -> bool {
    let now = node.clock.lease_now();
    node.limits.borrow_mut().spend(&charge.account, charge.tokens, now)
}

fn spend_share(node: &FrontNode, charge: &QuotaCharge) -> bool {
    let at = (node.process_count(), node.clock.lease_now());
    let QuotaCharge { account, limit, tokens } = charge;
    node.limits.borrow_mut().spend_own(account, limit, *tokens, at)
}

/// Asks the ledger to allot enough for one request.
async fn ask_ledger(node: &FrontNode, charge: &QuotaCharge) -> Result<(), ChargeError> {
    if let Some(left) = full_for(node, charge) {
        return Err(ChargeError::Full(left));
    }
    let account_retry_at = node.account_retry_at.borrow().get(&charge.account).copied();
    let retry_at = node.ledger_retry_at.get().max(account_retry_at.unwrap_or_default());
    if node.clock.now() < retry_at {
        return Err(ChargeError::Unreached);
    }
    let began = Instant::now();
    let asking = actix_rt::time::timeout(ASK_TIMEOUT.duration(), ask_serialized(node, charge));
    let outcome = asking.await.unwrap_or(Err(ChargeError::Unreached));
    let name = outcome.as_ref().err().map_or("room", ChargeError::name);
    node.meter.record_ledger_wait(name, began.elapsed().as_secs_f64() * 1000.0);
    outcome
}

fn full_for(node: &FrontNode, charge: &QuotaCharge) -> Option<TimeSpan> {
    node.limits.borrow().full_for(&charge.account, node.clock.lease_now())
}

/// Asks the ledger when no other claim is in flight. The answer to that claim may be enough for this request too, or
/// show that the window is full.
async fn ask_serialized(node: &FrontNode, charge: &QuotaCharge) -> Result<(), ChargeError> {
    let _exchange = node.limit_exchange.lock().await;
    if spend(node, charge) {
        return Ok(());
    }
    if let Some(left) = full_for(node, charge) {
        return Err(ChargeError::Full(left));
    }
    let claimed_at = node.clock.lease_now();
    let claim = node.limits.borrow_mut().claim(&charge.account, charge.tokens, claimed_at);
    let claim = AccountClaim { account: charge.account.clone(), claim };
    let allotment = match send_claim(node, claim).await {
        LedgerAnswer::Allotted(allotment) => allotment,
        LedgerAnswer::UnknownAccount => {
            pause_account(node, &charge.account);
            return Err(ChargeError::Unreached);
        }
        LedgerAnswer::Silent => {
            node.ledger_retry_at.set(node.clock.now() + ASK_BACKOFF);
            return Err(ChargeError::Unreached);
        }
    };
    let times = (claimed_at, node.clock.lease_now());
    node.limits.borrow_mut().take(&charge.account, allotment, times);
    if spend(node, charge) {
        return Ok(());
    }
    Err(full_for(node, charge).map_or(ChargeError::Unreached, ChargeError::Full))
}

/// Asks for an account no more for a while; the others are still asked for.
fn pause_account(node: &FrontNode, account: &AccountName) {
    let now = node.clock.now();
    let mut retry_at = node.account_retry_at.borrow_mut();
    retry_at.retain(|_, at| now < *at);
    retry_at.insert(account.clone(), now + ASK_BACKOFF);
}

/// What the ledger says to a claim.
enum LedgerAnswer {
    Allotted(PoolAllotment),
    /// By the rules that it has, the account has no limit; or it is no ledger any more.
    UnknownAccount,
    /// It did not answer, or cannot be reached.
    Silent,
}

impl From<Option<PoolAllotment>> for LedgerAnswer {
    fn from(allotment: Option<PoolAllotment>) -> Self {
        allotment.map_or(LedgerAnswer::UnknownAccount, LedgerAnswer::Allotted)
    }
}

async fn send_claim(node: &FrontNode, claim: AccountClaim) -> LedgerAnswer {
    let (collector, ask) = {
        let mesh = node.mesh.borrow();
        let me = mesh.view.me();
        let bond = node.limits.borrow().bond(node.clock.lease_now());
        let ask = LimitRequest { id: me.id.clone(), life: me.life, bond, claim };
        let address = if mesh.has_ledger() {
            None
        } else {
            let Some(address) = mesh.ledger_address(node.clock.now()) else {
                return LedgerAnswer::Silent;
            };
            Some(address)
        };
        (address, ask)
    };
    let Some(address) = collector else { return answer_limit_ask(node, &ask).into() };
    let Some(peers) = node.peers.get() else { return LedgerAnswer::Silent };
    let call = CallPeer { address, body: MeshBody::RequestLimit(ask), limit: ASK_TIMEOUT };
    match peers.send(call).await {
        Ok(Ok(MeshBody::Allotted(allotment))) => allotment.map(|allotment| *allotment).into(),
        Ok(Ok(_)) => LedgerAnswer::Silent,
        Ok(Err(fault)) => {
            event!(node, MemberFault; "fault" => fault.to_string());
            LedgerAnswer::Silent
        }
        Err(fault) => {
            event!(node, InternalFault; "fault" => fault.to_string());
            LedgerAnswer::Silent
        }
    }
}
