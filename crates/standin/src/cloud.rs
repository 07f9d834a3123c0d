//! The cloud API as a pure model: instances, client tokens, prices, notices, refused starts.

use compact_str::CompactString;
use oleander_kind::{
    ClockTime, DomainName, EndpointRecord, EndpointRole, EndpointStage, InstanceId, InstanceMarket,
    ServiceName, VersionName,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// A start that is asked for.
#[derive(Clone, Debug, Deserialize)]
pub struct StartBody {
    /// Client token.
    pub token: CompactString,
    /// The service.
    pub service: ServiceName,
    /// Engine or plain.
    pub role: EndpointRole,
    /// The version to load.
    pub version: VersionName,
    /// Failure domain.
    pub domain: DomainName,
    /// Machine class.
    pub class: CompactString,
    /// Market.
    pub market: InstanceMarket,
}

/// Faults of the cloud.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CloudFaults {
    /// Refuses reclaimable starts in these failure domains.
    pub refuse_domains: Vec<DomainName>,
    /// Refuses every call.
    pub down: bool,
    /// How far the list lags, in milliseconds.
    pub list_lag_ms: u64,
    /// Starts take effect and lose their answers, for the next so many.
    pub lose_answers: u32,
    /// Notices are not shown.
    pub hide_notices: bool,
}

/// What an instance cost so far.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct CostCount {
    /// Millionths of the currency, at the prices of the stand-in.
    pub micros: u64,
    /// The same instances' time at the on-demand price.
    pub micros_on_demand: u64,
}

/// Price of an on-demand instance hour, in millionths.
pub const ON_DEMAND_MICROS: u64 = 4_000_000;

/// The price of an hour in `domain` on `market`, in millionths.
pub fn price_micros(domain: &DomainName, market: InstanceMarket) -> u64 {
    const CHEAPEST_PERCENT: u64 = 25;
    const DOMAIN_STEPS: u64 = 4;
    const STEP_PERCENT: u64 = 5;
    match market {
        InstanceMarket::OnDemand => ON_DEMAND_MICROS,
        InstanceMarket::Reclaimable => {
            let step = domain.stable_hash() % DOMAIN_STEPS;
            ON_DEMAND_MICROS * (CHEAPEST_PERCENT + step * STEP_PERCENT) / 100
        }
    }
}

/// The cloud.
#[derive(Debug, Default)]
pub struct CloudModel {
    records: BTreeMap<InstanceId, EndpointRecord>,
    ended: Vec<(EndpointRecord, u64)>,
    tokens: BTreeMap<CompactString, InstanceId>,
    next: u64,
    history: VecDeque<(u64, Vec<EndpointRecord>)>,
    /// The faults that are switched on.
    pub faults: CloudFaults,
}

impl CloudModel {
    /// Takes a start. A token seen before brings the instance it started.
    pub fn start(&mut self, body: &StartBody, now_ms: u64) -> Option<(InstanceId, bool)> {
        if let Some(instance) = self.tokens.get(&body.token) {
            return Some((instance.clone(), false));
        }
        let reclaimable = body.market == InstanceMarket::Reclaimable;
        if reclaimable && self.faults.refuse_domains.contains(&body.domain) {
            return None;
        }
        self.next += 1;
        let instance = InstanceId::from(format!("i-{:04}", self.next).as_str());
        let record = EndpointRecord {
            instance: instance.clone(),
            service: body.service.clone(),
            domain: body.domain.clone(),
            class: body.class.clone(),
            market: body.market,
            role: body.role,
            version: body.version.clone(),
            token: body.token.clone(),
            started_at: ClockTime(now_ms),
            ..EndpointRecord::default()
        };
        self.tokens.insert(body.token.clone(), instance.clone());
        self.records.insert(instance.clone(), record);
        Some((instance, true))
    }

    /// Sets the address of an instance and its stage.
    pub fn set_live(&mut self, instance: &InstanceId, address: &str) {
        if let Some(record) = self.records.get_mut(instance) {
            record.address = address.into();
            if record.stage == EndpointStage::Starting {
                record.stage = EndpointStage::Live;
            }
        }
    }

    /// Sets the version an instance answers with.
    pub fn set_version(&mut self, instance: &InstanceId, version: &VersionName) {
        if let Some(record) = self.records.get_mut(instance) {
            record.version = version.clone();
        }
    }

    /// Gives notice to an instance.
    pub fn notice(&mut self, instance: &InstanceId, ends_at: u64) {
        if let Some(record) = self.records.get_mut(instance) {
            record.stage = EndpointStage::Leaving;
            record.ends_at = Some(ClockTime(ends_at));
        }
    }

    /// Ends an instance. Returns whether it was there.
    pub fn end(&mut self, instance: &InstanceId, now_ms: u64) -> bool {
        let record = self.records.remove(instance);
        let there = record.is_some();
        self.ended.extend(record.map(|record| (record, now_ms)));
        there
    }

    /// Reclaimable instances of `domain` that are not leaving yet.
    pub fn reclaimable_in(&self, domain: &DomainName) -> Vec<InstanceId> {
        self.records
            .values()
            .filter(|record| record.domain == *domain)
            .filter(|record| record.market == InstanceMarket::Reclaimable)
            .filter(|record| record.stage != EndpointStage::Leaving)
            .map(|record| record.instance.clone())
            .collect()
    }

    /// All instances as they are.
    pub fn records(&self) -> Vec<EndpointRecord> {
        self.records.values().cloned().collect()
    }

    /// The list as it is shown: as it was `list_lag_ms` ago.
    pub fn lagging_list(&mut self, now_ms: u64) -> Vec<EndpointRecord> {
        self.note_history(now_ms);
        let seen = now_ms.saturating_sub(self.faults.list_lag_ms);
        let found = self.history.iter().rev().find(|(at, _)| *at <= seen);
        found.map(|(_, records)| records.clone()).unwrap_or_default()
    }

    fn note_history(&mut self, now_ms: u64) {
        const HISTORY: usize = 4096;
        let shown = self.records();
        if self.history.back().is_none_or(|(_, newest)| *newest != shown) {
            self.history.push_back((now_ms, shown));
        }
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
    }

    /// What all instances cost up to now.
    pub fn cost(&self, now_ms: u64) -> CostCount {
        let living = self.records.values().map(|record| (record, now_ms));
        let ended = self.ended.iter().map(|(record, at)| (record, *at));
        let mut count = CostCount::default();
        for (record, until) in living.chain(ended) {
            let ms = until.saturating_sub(record.started_at.0);
            count.micros += price_micros(&record.domain, record.market) * ms / 3_600_000;
            count.micros_on_demand += ON_DEMAND_MICROS * ms / 3_600_000;
        }
        count
    }
}
