//! Limits of client accounts at the collector, which keeps the ledger.

use crate::collector::{CollectorContext, MeshCollector};
use crate::limit_message::{AccountAllotment, AccountClaim, LimitRequest};
use crate::message::NodeReport;
use crate::view::MeshView;
use oleander_call::RuleSet;
use oleander_kind::{AccountName, ClockTime, TimeSpan};
use oleander_limit::{
    AllotmentClaim, AllotmentHolder, ClaimFault, PoolAllotment, PoolLedger, PoolLimit, WindowStatus,
};

/// The window in which requests admitted under another ledger count if no account has a limit and
/// hence a window of its own. In that case allotments are only given for requests of roll-outs.
const UNLIMITED_WINDOW: TimeSpan = TimeSpan(8400);

impl MeshCollector {
    /// Sets the ledger.
    pub fn with_ledger(mut self, ledger: PoolLedger) -> Self {
        self.ledger = Some(ledger);
        self
    }

    /// The ledger, if it has begun and was not handed over.
    pub fn ledger(&self) -> Option<&PoolLedger> {
        self.ledger.as_ref()
    }

    /// The ledger, for changes.
    pub fn ledger_mut(&mut self) -> Option<&mut PoolLedger> {
        self.ledger.as_mut()
    }

    /// Sets a new ledger, or one continued from the state its predecessor handed over.
    pub fn begin_ledger(&mut self, ledger: PoolLedger) {
        self.ledger = Some(ledger);
    }

    /// Removes the ledger: this process gives no more allotments.
    pub fn take_ledger(&mut self) -> Option<PoolLedger> {
        self.ledger.take()
    }

    /// The number of impossible claims since the last call.
    pub fn take_claims_left_out(&mut self) -> u64 {
        std::mem::take(&mut self.claims_left_out)
    }

    /// The window of each account.
    pub fn windows(&self) -> impl Iterator<Item = (&AccountName, WindowStatus)> {
        self.ledger.iter().flat_map(PoolLedger::windows)
    }

    pub(crate) fn allotments(
        &mut self,
        report: &NodeReport,
        view: &MeshView,
        context: &CollectorContext<'_>,
    ) -> Vec<AccountAllotment> {
        let Some(claims) = &report.claims else { return Vec::new() };
        let holder =
            AllotmentHolder { instance: report.member.id.clone(), life: report.member.life };
        let claims = with_missing_accounts(claims, context);
        if !report.member.leaving
            && let Some(ledger) = &mut self.ledger
        {
            let limits = claims.iter().filter_map(|claim| (context.limit_of)(&claim.account));
            let length = limits.filter(has_rate).map(|limit| limit.length()).next();
            let length = length.unwrap_or(UNLIMITED_WINDOW);
            ledger.note_member(&report.member.id, report.bond, (length, context.now));
        }
        let allot = |claim: AccountClaim| {
            let limit = (context.limit_of)(&claim.account)?;
            let known = (&limit, view.serving());
            let allotment = self.claim(&claim, &holder, known, context.now)?;
            Some(AccountAllotment { account: claim.account, allotment })
        };
        claims.into_iter().filter_map(allot).collect()
    }

    /// Answers the request of a process whose allotment is nearly used up; `None` if there is no
    /// ledger here or the claim cannot be answered. `known` is the limit and the number of
    /// processes that share it.
    pub fn ask(
        &mut self,
        request: &LimitRequest,
        known: (&PoolLimit, u32),
        now: ClockTime,
    ) -> Option<PoolAllotment> {
        let holder = AllotmentHolder { instance: request.id.clone(), life: request.life };
        if has_rate(known.0) {
            self.ledger.as_mut()?.note_member(&request.id, request.bond, (known.0.length(), now));
        }
        self.claim(&request.claim, &holder, known, now)
    }

    fn claim(
        &mut self,
        claim: &AccountClaim,
        holder: &AllotmentHolder,
        known: (&PoolLimit, u32),
        now: ClockTime,
    ) -> Option<PoolAllotment> {
        let ledger = self.ledger.as_mut()?;
        match ledger.claim(&claim.account, known, (holder, &claim.claim), now) {
            Ok(allotment) => Some(allotment),
            // The answer to this claim was lost, and a later claim has already been answered.
            Err(ClaimFault::Late) => None,
            Err(ClaimFault::Impossible) => {
                self.claims_left_out += 1;
                None
            }
        }
    }
}

/// Whether the limit is one of a client account. Those have the operators' window, which also
/// applies to the members of a ledger; allotments of a roll-out count until it is decided.
fn has_rate(limit: &PoolLimit) -> bool {
    limit.rate_per_s > 0.0
}

/// The claims of a process, extended by empty claims for the accounts it has admitted nothing for.
///
/// Any process may become the collector and then starts from the windows it was told. For an
/// account that it was not told of, because it had admitted nothing, it would have to assume a full
/// window. The process also has an allotment ready when the account's first request arrives.
fn with_missing_accounts(
    claims: &[AccountClaim],
    context: &CollectorContext<'_>,
) -> Vec<AccountClaim> {
    let accounts = context.rules.map_or(&[][..], RuleSet::accounts);
    let lacks = |name: &AccountName| claims.iter().all(|claim| claim.account != *name);
    let others = accounts.iter().map(|account| &account.name).filter(|name| lacks(name));
    let others =
        others.map(|name| AccountClaim { account: name.clone(), claim: AllotmentClaim::default() });
    claims.iter().cloned().chain(others).collect()
}
