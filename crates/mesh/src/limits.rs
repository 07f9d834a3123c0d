//! Limits of client accounts at the collector, which keeps the ledger, and what is told of them.

use crate::collector::{CollectorFacts, MeshCollector};
use crate::limit_message::{AccountAllotment, AccountClaim, LimitAsk};
use crate::message::NodeReport;
use crate::view::MeshView;
use oleander_call::RuleSet;
use oleander_kind::{AccountName, ClockTime, TimeSpan};
use oleander_limit::{
    AllotmentClaim, AllotmentHolder, ClaimFault, PoolAllotment, PoolLedger, PoolLimit, WindowStatus,
};

/// For how long what a process let in by another ledger counts where no account has a limit: only requests of roll-outs are
/// handed out then.
const UNLIMITED_LENGTH: TimeSpan = TimeSpan(8400);

impl MeshCollector {
    /// Goes on with a ledger.
    pub fn with_ledger(mut self, ledger: PoolLedger) -> Self {
        self.ledger = Some(ledger);
        self
    }

    /// The ledger, if it has begun and was not passed on.
    pub fn ledger(&self) -> Option<&PoolLedger> {
        self.ledger.as_ref()
    }

    /// The same, to change it.
    pub fn ledger_mut(&mut self) -> Option<&mut PoolLedger> {
        self.ledger.as_mut()
    }

    /// Begins the ledger, or begins it anew by what the one before handed over.
    pub fn begin_ledger(&mut self, ledger: PoolLedger) {
        self.ledger = Some(ledger);
    }

    /// Takes the ledger away: nothing more is handed out here.
    pub fn take_ledger(&mut self) -> Option<PoolLedger> {
        self.ledger.take()
    }

    /// How many claims could not be true since this was last asked.
    pub fn take_claims_left_out(&mut self) -> u64 {
        std::mem::take(&mut self.claims_left_out)
    }

    /// What is counted of each account.
    pub fn windows(&self) -> impl Iterator<Item = (&AccountName, WindowStatus)> {
        self.ledger.iter().flat_map(PoolLedger::windows)
    }

    pub(crate) fn allotments(
        &mut self,
        report: &NodeReport,
        view: &MeshView,
        facts: &CollectorFacts<'_>,
    ) -> Vec<AccountAllotment> {
        let Some(claims) = &report.claims else { return Vec::new() };
        let spender = AllotmentHolder { instance: report.card.id.clone(), life: report.card.life };
        let claims = with_others(claims, facts);
        if !report.card.leaving
            && let Some(ledger) = &mut self.ledger
        {
            let limits = claims.iter().filter_map(|claim| (facts.limit_of)(&claim.account));
            let length = limits.filter(has_rate).map(|limit| limit.length()).next();
            let length = length.unwrap_or(UNLIMITED_LENGTH);
            ledger.note_member(&report.card.id, report.bond, (length, facts.now));
        }
        let allot = |claim: AccountClaim| {
            let limit = (facts.limit_of)(&claim.account)?;
            let known = (&limit, view.serving());
            let allotment = self.claim(&claim, &spender, known, facts.now)?;
            Some(AccountAllotment { account: claim.account, allotment })
        };
        claims.into_iter().filter_map(allot).collect()
    }

    /// Answers a process that is short of room; none if there is no ledger here. `serving` processes share the limit.
    pub fn ask(
        &mut self,
        ask: &LimitAsk,
        known: (&PoolLimit, u32),
        now: ClockTime,
    ) -> Option<PoolAllotment> {
        let spender = AllotmentHolder { instance: ask.id.clone(), life: ask.life };
        if has_rate(known.0) {
            self.ledger.as_mut()?.note_member(&ask.id, ask.bond, (known.0.length(), now));
        }
        self.claim(&ask.claim, &spender, known, now)
    }

    fn claim(
        &mut self,
        claim: &AccountClaim,
        spender: &AllotmentHolder,
        known: (&PoolLimit, u32),
        now: ClockTime,
    ) -> Option<PoolAllotment> {
        let ledger = self.ledger.as_mut()?;
        match ledger.claim(&claim.account, known, (spender, &claim.claim), now) {
            Ok(allotment) => Some(allotment),
            // Its answer was lost on the way, and a later claim was answered.
            Err(ClaimFault::Late) => None,
            Err(ClaimFault::Impossible) => {
                self.claims_left_out += 1;
                None
            }
        }
    }
}

/// Whether a limit is one of a client account: those go by the operators' window, and so do the members of a ledger. What
/// is handed out of a roll-out counts until it is decided.
fn has_rate(limit: &PoolLimit) -> bool {
    limit.rate_per_s > 0.0
}

/// The claims of a process, and those of accounts that it never let in.
///
/// Any process may collect next, and begins with the windows it was told of. One that was not told of an account, as
/// it had let in nothing of it, would have to take its window for full. It also finds an allotment when the
/// account's first request comes.
fn with_others(claims: &[AccountClaim], facts: &CollectorFacts<'_>) -> Vec<AccountClaim> {
    let accounts = facts.rules.map_or(&[][..], RuleSet::accounts);
    let lacks = |name: &AccountName| claims.iter().all(|claim| claim.account != *name);
    let others = accounts.iter().map(|account| &account.name).filter(|name| lacks(name));
    let others =
        others.map(|name| AccountClaim { account: name.clone(), claim: AllotmentClaim::default() });
    claims.iter().cloned().chain(others).collect()
}
