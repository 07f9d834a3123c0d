//! The state that a process has from the other processes.

use super::account::ExchangeSizes;
use compact_str::CompactString;
use oleander_kind::{ClockTime, InstanceId, TimeSpan};
use oleander_limit::PoolLedger;
use oleander_list::RosterStatus;
use oleander_mesh::{
    LeaseNotice, MemberInfo, MeshCollector, MeshView, NodeUsage, PauseDetector, ServicePace,
    ServicePeak, TrueClock,
};

/// How long a digest counts as current: four report periods.
pub(super) const DIGEST_LIFETIME: TimeSpan = TimeSpan(1000);

/// The state that the process has from the others.
pub struct MeshState {
    /// The members.
    pub view: MeshView,
    /// Present while other processes, or this one itself, report here.
    pub collector: Option<MeshCollector>,
    /// Cluster time.
    pub clock: TrueClock,
    /// The last known lease of the control work.
    pub lease: Option<LeaseNotice>,
    /// Usage windows up to this number are reported.
    pub reported_window: u64,
    /// The recent peak demand of services.
    pub peaks: Vec<ServicePeak>,
    /// The engines' prefill speeds, as measured by all processes together.
    pub paces: Vec<ServicePace>,
    /// Detects that this process was suspended.
    pub(super) pause_detector: PauseDetector,
    /// Usage counts that were reported here while this process was the collector, and since when
    /// they are passed on to its successor.
    pub(super) inherited_usage: Option<(Vec<NodeUsage>, ClockTime)>,
    /// The ledger that was ended here, until another collector has it or may have it.
    pub(crate) ended_ledger: Option<PoolLedger>,
    /// Since when the store has served other processes but not this one.
    pub(super) refused_alone_since: Option<ClockTime>,
    /// When the last digest was applied.
    pub(super) digest_at: ClockTime,
    /// The process that sent the last digest.
    pub(super) digest_from: Option<MemberInfo>,
    /// Whether the collector asked for the rules.
    pub(super) wants_rules: bool,
    /// The state of the collector's endpoint list, if it asked for what it lacks.
    pub(super) wants_roster: Option<RosterStatus>,
    /// Sizes of the last measured exchange.
    pub(crate) exchange_sizes: ExchangeSizes,
    /// When the size of an exchange was last measured.
    pub(super) measured_at: Option<ClockTime>,
    /// When this process last started to fetch a whole endpoint list from peers.
    pub(super) fetched_at: Option<ClockTime>,
    /// Whether that fetch is under way.
    pub(super) is_fetching: bool,
    /// Whether newer rules are being fetched from peers.
    pub(super) is_fetching_rules: bool,
    /// The version of rules that were fetched and did not come into force, and until when they are not fetched again.
    pub(super) unreadable_rules: Option<(u64, ClockTime)>,
    /// When this process, as the collector, last asked another one for its newer list.
    pub(super) list_asked_at: Option<ClockTime>,
}

impl MeshState {
    /// The state of a process that knows only itself.
    pub fn new(me: MemberInfo) -> Self {
        MeshState {
            view: MeshView::new(me),
            collector: None,
            clock: TrueClock::default(),
            lease: None,
            reported_window: 0,
            peaks: Vec::new(),
            paces: Vec::new(),
            pause_detector: PauseDetector::default(),
            inherited_usage: None,
            ended_ledger: None,
            refused_alone_since: None,
            digest_at: ClockTime(0),
            digest_from: None,
            wants_rules: false,
            wants_roster: None,
            exchange_sizes: ExchangeSizes::default(),
            measured_at: None,
            fetched_at: None,
            is_fetching: false,
            is_fetching_rules: false,
            unreadable_rules: None,
            list_asked_at: None,
        }
    }

    /// Stops collecting; the usage counts are passed on for a while.
    pub(super) fn end_collecting(&mut self, now: ClockTime) {
        let usage = self.collector.take().map(|ended| ended.usage()).unwrap_or_default();
        self.inherited_usage = Some((usage, now));
    }

    /// The address of the process that sent the last digest; if that was long ago, of the chosen
    /// collector.
    pub fn ledger_address(&self, now: ClockTime) -> Option<CompactString> {
        let last = self.digest_from.as_ref().filter(|_| now - self.digest_at < DIGEST_LIFETIME);
        let chosen = || self.view.others().find(|member| Some(&member.id) == self.view.chosen());
        let member = last.or_else(chosen)?;
        Some(member.address.to_string().into())
    }

    /// Whether this process keeps the ledger of limits.
    pub fn has_ledger(&self) -> bool {
        self.collector.as_ref().is_some_and(|collector| collector.ledger().is_some())
    }

    /// Whether the current digest came from process `id`.
    pub fn is_current_collector(&self, id: &InstanceId, now: ClockTime) -> bool {
        let last = self.digest_from.as_ref().filter(|_| now - self.digest_at < DIGEST_LIFETIME);
        last.is_some_and(|member| member.id == *id)
    }

    /// Whether another process is the collector and this one follows it.
    pub fn has_successor(&self, now: ClockTime) -> bool {
        followed_collector(self, now).is_some()
    }
}

/// The collector that this process follows, if it is another process and answered recently.
///
/// After a network partition heals, processes on its two sides know different collectors. A process
/// that receives reports although it follows another collector names that one, so that both sides
/// agree on one.
pub(super) fn followed_collector(mesh: &MeshState, now: ClockTime) -> Option<MemberInfo> {
    let present = now - mesh.digest_at < DIGEST_LIFETIME;
    let from = mesh.digest_from.as_ref().filter(|member| member.id != mesh.view.me().id)?;
    (present && !mesh.view.collects()).then(|| from.clone())
}
