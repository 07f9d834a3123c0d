//! Counters and latency histograms of a front process.
//!
//! Labels are services, versions, result codes and other values from fixed tables, so that their number is
//! bounded. Accounts and endpoints appear in the log only.

use oleander_board::meter::MetricRegistry;
use oleander_kind::TimeSpan;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

/// Upper bounds of the latency buckets, in milliseconds, close to the latency objectives of the routes (100,
/// 500 and 800 ms) and their timeouts.
const LATENCY_BOUNDS: [f64; 13] =
    [5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 350.0, 500.0, 800.0, 1500.0, 3000.0, 7000.0, 15_000.0];

/// Metrics of a front process.
pub struct FrontMeter {
    base: MetricRegistry,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    resumes: Counter<u64>,
    body_ends: Counter<u64>,
    cuts: Counter<u64>,
    bindings: Counter<u64>,
    origins_sent: Counter<u64>,
    unread_tokens: Counter<u64>,
    store_faults: Counter<u64>,
    store_returns: Counter<u64>,
    lists_ignored: Counter<u64>,
    lists_withheld: Counter<u64>,
    orders: Counter<u64>,
    usage_reports: Counter<u64>,
    evidence_left_out: Counter<u64>,
    words: Counter<u64>,
    version_attempts: Counter<u64>,
    relays: Counter<u64>,
    path_losses: Counter<u64>,
    brittle_refusals: Counter<u64>,
    dispatch_refusals: Counter<u64>,
    place_wait_ms: Histogram<f64>,
    connection_ends: Counter<u64>,
    gave_way: Gauge<u64>,
    held: Gauge<u64>,
    first_ms: Histogram<f64>,
    total_ms: Histogram<f64>,
    list_age_ms: Histogram<f64>,
    rules_received: Counter<u64>,
    rules_behind_ms: Histogram<f64>,
    limit_ask_ms: Histogram<f64>,
}

impl Default for FrontMeter {
    fn default() -> Self {
        let base = MetricRegistry::new();
        let meter = base.meter();
        let latency = |name: &'static str| {
            meter.f64_histogram(name).with_boundaries(LATENCY_BOUNDS.to_vec()).build()
        };
        FrontMeter {
            requests: meter.u64_counter("oleander_front_requests").build(),
            attempts: meter.u64_counter("oleander_front_attempts").build(),
            resumes: meter.u64_counter("oleander_front_resumes").build(),
            bindings: meter.u64_counter("oleander_front_bindings").build(),
            origins_sent: meter.u64_counter("oleander_front_origins_sent").build(),
            body_ends: meter.u64_counter("oleander_front_body_ends").build(),
            cuts: meter.u64_counter("oleander_front_cuts").build(),
            unread_tokens: meter.u64_counter("oleander_front_unread_tokens").build(),
            store_faults: meter.u64_counter("oleander_front_store_faults").build(),
            store_returns: meter.u64_counter("oleander_front_store_returns").build(),
            lists_ignored: meter.u64_counter("oleander_front_lists_ignored").build(),
            lists_withheld: meter.u64_counter("oleander_front_lists_withheld").build(),
            orders: meter.u64_counter("oleander_front_orders").build(),
            usage_reports: meter.u64_counter("oleander_front_usage_reports").build(),
            evidence_left_out: meter.u64_counter("oleander_front_evidence_left_out").build(),
            words: meter.u64_counter("oleander_front_words").build(),
            version_attempts: meter.u64_counter("oleander_front_version_attempts").build(),
            relays: meter.u64_counter("oleander_front_relays").build(),
            path_losses: meter.u64_counter("oleander_front_path_losses").build(),
            brittle_refusals: meter.u64_counter("oleander_front_brittle_refusals").build(),
            dispatch_refusals: meter.u64_counter("oleander_front_dispatch_refusals").build(),
            place_wait_ms: latency("oleander_front_place_wait_ms"),
            gave_way: meter.u64_gauge("oleander_front_gave_way").build(),
            held: meter.u64_gauge("oleander_front_held").build(),
            connection_ends: meter.u64_counter("oleander_front_connection_ends").build(),
            first_ms: latency("oleander_front_first_ms"),
            total_ms: latency("oleander_front_total_ms"),
            list_age_ms: latency("oleander_front_list_age_ms"),
            rules_received: meter.u64_counter("oleander_front_rules_received").build(),
            rules_behind_ms: latency("oleander_front_rules_behind_ms"),
            limit_ask_ms: latency("oleander_front_limit_ask_ms"),
            base,
        }
    }
}

impl FrontMeter {
    /// Counts a finished request. `code` is 0 for a complete answer, else the result code.
    pub fn count_request(&self, service: &str, code: u16, total_ms: f64) {
        let service = KeyValue::new("service", service.to_owned());
        self.total_ms.record(total_ms, std::slice::from_ref(&service));
        self.requests.add(1, &[service, KeyValue::new("code", i64::from(code))]);
    }

    /// Records the time to the first event, or to a complete answer.
    pub fn record_first_ms(&self, service: &str, ms: f64) {
        self.first_ms.record(ms, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts an attempt by how it ended.
    pub fn count_attempt(&self, end: &'static str) {
        self.attempts.add(1, &[KeyValue::new("end", end)]);
    }

    /// Records the age of the endpoint list when an endpoint was chosen.
    pub fn record_list_age(&self, ms: f64) {
        self.list_age_ms.record(ms, &[]);
    }

    /// Records how long a request waited for the ledger, and the result.
    pub fn record_ledger_wait(&self, outcome: &'static str, ms: f64) {
        self.limit_ask_ms.record(ms, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a stream that was resumed at another endpoint.
    pub fn count_resume(&self) {
        self.resumes.add(1, &[]);
    }

    /// Counts an endpoint's answer by what showed that it had ended.
    pub fn count_body_end(&self, service: &str, end: &'static str) {
        let service = KeyValue::new("service", service.to_owned());
        self.body_ends.add(1, &[service, KeyValue::new("end", end)]);
    }

    /// Counts an answer that was cut after it had begun, by the cause.
    pub fn count_cut(&self, service: &str, cause: &'static str) {
        let service = KeyValue::new("service", service.to_owned());
        self.cuts.add(1, &[service, KeyValue::new("cause", cause)]);
    }

    /// Counts a stream that was to be taken up, by what its version is known from.
    pub fn count_binding(&self, by: &'static str) {
        self.bindings.add(1, &[KeyValue::new("by", by)]);
    }

    /// Counts records of streams that were sent to another process, by whether it keeps them.
    pub fn count_origins_sent(&self, records: u64, is_kept: bool) {
        self.origins_sent.add(records, &[KeyValue::new("kept", is_kept)]);
    }

    /// Counts prompt tokens that an endpoint had to prefill.
    pub fn count_unread_tokens(&self, tokens: u64) {
        self.unread_tokens.add(tokens, &[]);
    }

    /// Counts a failed store call of a feed.
    pub fn count_store_fault(&self, feed: &'static str) {
        self.store_faults.add(1, &[KeyValue::new("feed", feed)]);
    }

    /// Counts that the store came back from an older copy.
    pub fn count_store_return(&self) {
        self.store_returns.add(1, &[]);
    }

    /// Counts an endpoint list, or changes of it, that the store sent and that were older than the known list.
    pub fn count_list_ignored(&self) {
        self.lists_ignored.add(1, &[]);
    }

    /// Counts list content that another process lacks and that was not sent, because the link had no
    /// room for it: an `update` of a report or its answer, or a requested `part`.
    pub fn count_list_withheld(&self, content: &'static str) {
        self.lists_withheld.add(1, &[KeyValue::new("content", content)]);
    }

    /// Counts a version of the rules that came into force, by where it was received from, and records
    /// for how long a peer had been known to have a newer one than before.
    pub fn record_rules(&self, source: &'static str, behind: Option<TimeSpan>) {
        self.rules_received.add(1, &[KeyValue::new("by", source)]);
        if let Some(behind) = behind {
            self.rules_behind_ms.record(behind.0 as f64, &[]);
        }
    }

    /// Counts an order for endpoints, by whether the cloud accepted it.
    pub fn count_order(&self, taken: bool) {
        self.orders.add(1, &[KeyValue::new("taken", taken)]);
    }

    /// Counts evidence that was rejected because its endpoint is unknown or its values are impossible.
    pub fn count_evidence_left_out(&self, count: u64) {
        self.evidence_left_out.add(count, &[]);
    }

    /// Counts a change of an endpoint's signal, by the kind of signal (`word`) and its source (`by`).
    pub fn count_word(&self, word: &'static str, by: &'static str) {
        self.words.add(1, &[KeyValue::new("word", word), KeyValue::new("by", by)]);
    }

    /// Counts an attempt by the version of its endpoint and how it ended; a service has few versions at a time.
    pub fn count_version(&self, service: &str, version: &str, end: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("version", version.to_owned()),
            KeyValue::new("end", end),
        ];
        self.version_attempts.add(1, &labels);
    }

    /// Counts a request that was relayed to a peer, by how that ended.
    pub fn count_relay(&self, end: &'static str) {
        self.relays.add(1, &[KeyValue::new("end", end)]);
    }

    /// Counts that this process lost its path to the endpoints of a service.
    pub fn count_path_loss(&self, service: &str) {
        self.path_losses.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts a request that a brittle endpoint refused for want of room.
    pub fn count_brittle_refusal(&self, service: &str) {
        self.brittle_refusals.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts a request that got no place at a service which this process dispatches, by its rank.
    pub fn count_dispatch_refusal(&self, service: &str, rank: u8) {
        let labels =
            [KeyValue::new("service", service.to_owned()), KeyValue::new("rank", i64::from(rank))];
        self.dispatch_refusals.add(1, &labels);
    }

    /// Records how long a request waited for a place at a service which this process dispatches.
    pub fn record_place_wait(&self, service: &str, ms: f64) {
        self.place_wait_ms.record(ms, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts a caller's connection that ended, by the reason, whether something that was sent on it has no answer,
    /// and whether nothing was ever sent on it.
    pub fn count_connection_end(&self, why: &'static str, is_cut: bool, is_unused: bool) {
        let labels = [
            KeyValue::new("why", why),
            KeyValue::new("cut", is_cut),
            KeyValue::new("unused", is_unused),
        ];
        self.connection_ends.add(1, &labels);
    }

    /// Records how many callers gave way to others since the start, by the room that was full and what they did.
    pub fn record_gave_way(&self, (room, phase): (&'static str, &'static str), count: u64) {
        let labels = [KeyValue::new("room", room), KeyValue::new("phase", phase)];
        self.gave_way.record(count, &labels);
    }

    /// Records what is taken of a room that callers share, and its bound, in bytes or connections.
    pub fn record_held(&self, room: &'static str, (used, bound): (usize, usize)) {
        for (what, value) in [("used", used), ("bound", bound)] {
            let labels = [KeyValue::new("room", room), KeyValue::new("what", what)];
            self.held.record(value as u64, &labels);
        }
    }

    /// Counts a usage report, by whether the platform accepted it.
    pub fn count_usage(&self, taken: bool) {
        self.usage_reports.add(1, &[KeyValue::new("taken", taken)]);
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        self.base.text()
    }
}
