//! What one process knows through the others.

use super::account::ExchangeAccount;
use compact_str::CompactString;
use oleander_kind::{ClockTime, InstanceId, TimeSpan};
use oleander_limit::PoolLedger;
use oleander_list::RosterStatus;
use oleander_mesh::{
    LeaseNotice, MemberInfo, MeshCollector, MeshView, NodeUsage, PauseDetector, ServicePace,
    ServicePeak, TrueClock,
};

/// A digest speaks for the present for this long: four periods.
pub(super) const DIGEST_LASTS: TimeSpan = TimeSpan(1000);

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
    /// How fast all processes together saw engines read.
    pub paces: Vec<ServicePace>,
    pub(super) sleep: PauseDetector,
    /// Counts that were reported here while this process collected, and since when they are passed
    /// on to its successor.
    pub(super) inherited_usage: Option<(Vec<NodeUsage>, ClockTime)>,
    /// The ledger that was ended here, until another collector has it or may have it.
    pub(crate) ended_ledger: Option<PoolLedger>,
    pub(super) outdone_since: Option<ClockTime>,
    pub(super) digest_at: ClockTime,
    pub(super) digest_from: Option<MemberInfo>,
    pub(super) wants_rules: bool,
    /// How the collector's endpoint list stands, if it asked for what it lacks.
    pub(super) wants_roster: Option<RosterStatus>,
    /// Bytes of the parts of the last exchange that was counted, and when that was.
    pub(crate) account: ExchangeAccount,
    pub(super) account_at: Option<ClockTime>,
    /// When this process last asked peers for a whole endpoint list.
    pub(super) fetched_at: Option<ClockTime>,
}

impl MeshState {
    /// A process that knows itself.
    pub fn new(me: MemberInfo) -> Self {
        MeshState {
            view: MeshView::new(me),
            collector: None,
            clock: TrueClock::default(),
            lease: None,
            reported_window: 0,
            peaks: Vec::new(),
            paces: Vec::new(),
            sleep: PauseDetector::default(),
            inherited_usage: None,
            ended_ledger: None,
            outdone_since: None,
            digest_at: ClockTime(0),
            digest_from: None,
            wants_rules: false,
            wants_roster: None,
            account: ExchangeAccount::default(),
            account_at: None,
            fetched_at: None,
        }
    }

    /// Ends the collecting; what was counted is passed on for a while.
    pub(super) fn end_collecting(&mut self, now: ClockTime) {
        let usage = self.collector.take().map(|ended| ended.usage()).unwrap_or_default();
        self.inherited_usage = Some((usage, now));
    }

    /// Where the process listens that answered last; if that was long ago, the one that this process chose.
    pub fn ledger_address(&self, now: ClockTime) -> Option<CompactString> {
        let last = self.digest_from.as_ref().filter(|_| now - self.digest_at < DIGEST_LASTS);
        let chosen = || self.view.others().find(|member| Some(&member.id) == self.view.chosen());
        let member = last.or_else(chosen)?;
        Some(member.address.to_string().into())
    }

    /// Whether this process keeps the ledger of limits.
    pub fn has_ledger(&self) -> bool {
        self.collector.as_ref().is_some_and(|collector| collector.ledger().is_some())
    }

    /// Whether the last answer came from this process, a moment ago.
    pub fn is_from(&self, id: &InstanceId, now: ClockTime) -> bool {
        let last = self.digest_from.as_ref().filter(|_| now - self.digest_at < DIGEST_LASTS);
        last.is_some_and(|member| member.id == *id)
    }

    /// Whether another process collects, and this one goes by it.
    pub fn is_succeeded(&self, now: ClockTime) -> bool {
        followed_collector(self, now).is_some()
    }
}

/// The collector that this process goes by, if it is another and answered a moment ago.
///
/// After a cut heals, processes on its two sides know different collectors. Who is asked to collect
/// although it reports to another names that one, so that they find together.
pub(super) fn followed_collector(mesh: &MeshState, now: ClockTime) -> Option<MemberInfo> {
    let present = now - mesh.digest_at < DIGEST_LASTS;
    let from = mesh.digest_from.as_ref().filter(|member| member.id != mesh.view.me().id)?;
    (present && !mesh.view.collects()).then(|| from.clone())
}
