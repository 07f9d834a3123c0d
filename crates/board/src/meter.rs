//! Metrics by opentelemetry, told in Prometheus' text form.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Where a process's instruments are registered and told.
pub struct MeterBase {
    registry: Registry,
    // Kept so that the instruments stay connected.
    provider: SdkMeterProvider,
}

impl MeterBase {
    /// A base without instruments.
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build();
        let builder = SdkMeterProvider::builder();
        let provider = match exporter {
            Ok(reader) => builder.with_reader(reader).build(),
            Err(_) => builder.build(),
        };
        MeterBase { registry, provider }
    }

    /// Makes instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("oleandertack")
    }

    /// All metrics in Prometheus' text form.
    pub fn text(&self) -> String {
        let mut out = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        String::from_utf8_lossy(&out).into_owned()
    }

    /// Flushes what is pending, before the process ends.
    pub fn flush(&self) {
        let _ = self.provider.force_flush();
    }
}

impl Default for MeterBase {
    fn default() -> Self {
        Self::new()
    }
}

/// The instruments of one process.
pub struct NodeMeter {
    base: MeterBase,
    requests: Counter<u64>,
    results: Counter<u64>,
    retries: Counter<u64>,
    tokens: Counter<u64>,
    recomputed: Counter<u64>,
    peer_bytes: Counter<u64>,
    first_token: Histogram<f64>,
}

impl NodeMeter {
    /// New instruments, named after the crate's subject.
    pub fn new() -> Self {
        let base = MeterBase::new();
        let meter = base.meter();
        NodeMeter {
            requests: meter.u64_counter("oleander_requests").build(),
            results: meter.u64_counter("oleander_results").build(),
            retries: meter.u64_counter("oleander_retries").build(),
            tokens: meter.u64_counter("oleander_tokens").build(),
            recomputed: meter.u64_counter("oleander_recomputed_tokens").build(),
            peer_bytes: meter.u64_counter("oleander_peer_bytes").build(),
            first_token: meter.f64_histogram("oleander_first_token_ms").build(),
            base,
        }
    }

    /// Counts a request that was read.
    pub fn count_request(&self, service: &str) {
        self.requests.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts how a request ended: 0 for whole, else the result code.
    pub fn count_result(&self, code: u16) {
        self.results.add(1, &[KeyValue::new("code", i64::from(code))]);
    }

    /// Counts a retry by its cause.
    pub fn count_retry(&self, cause: &'static str) {
        self.retries.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts tokens shown to callers.
    pub fn count_tokens(&self, tokens: u64) {
        self.tokens.add(tokens, &[]);
    }

    /// Counts tokens that had to be computed again, by cause.
    pub fn count_recomputed(&self, tokens: u64, cause: &'static str) {
        self.recomputed.add(tokens, &[KeyValue::new("cause", cause)]);
    }

    /// Counts bytes to and from peers.
    pub fn count_peer_bytes(&self, bytes: u64, direction: &'static str) {
        self.peer_bytes.add(bytes, &[KeyValue::new("direction", direction)]);
    }

    /// Notes a time to the first token, in milliseconds.
    pub fn note_first_token(&self, ms: f64) {
        self.first_token.record(ms, &[]);
    }

    /// All metrics in Prometheus' text form.
    pub fn text(&self) -> String {
        self.base.text()
    }

    /// Flushes what is pending, before the process ends.
    pub fn flush(&self) {
        self.base.flush();
    }
}

impl Default for NodeMeter {
    fn default() -> Self {
        Self::new()
    }
}
