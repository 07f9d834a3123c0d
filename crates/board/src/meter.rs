//! Metrics recorded with OpenTelemetry and exported in the Prometheus text format.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Registry of a process's metrics and their Prometheus exporter.
pub struct MetricRegistry {
    registry: Registry,
    // Held to keep the instruments connected to the exporter.
    provider: SdkMeterProvider,
}

impl MetricRegistry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build();
        let builder = SdkMeterProvider::builder();
        let provider = match exporter {
            Ok(reader) => builder.with_reader(reader).build(),
            Err(_) => builder.build(),
        };
        MetricRegistry { registry, provider }
    }

    /// Returns a meter that creates instruments in this registry.
    pub fn meter(&self) -> Meter {
        self.provider.meter("oleandertack")
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut out = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        String::from_utf8_lossy(&out).into_owned()
    }

    /// Flushes pending measurements before the process ends.
    pub fn flush(&self) {
        let _ = self.provider.force_flush();
    }
}

impl Default for MetricRegistry {
    fn default() -> Self {
        Self::new()
    }
}

/// Metric instruments of one process.
pub struct NodeMeter {
    base: MetricRegistry,
    requests: Counter<u64>,
    results: Counter<u64>,
    retries: Counter<u64>,
    tokens: Counter<u64>,
    recomputed: Counter<u64>,
    peer_bytes: Counter<u64>,
    first_token: Histogram<f64>,
}

impl NodeMeter {
    /// Creates the instruments in a new registry.
    pub fn new() -> Self {
        let base = MetricRegistry::new();
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

    /// Counts a received request.
    pub fn count_request(&self, service: &str) {
        self.requests.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts the end of a request by result code, with 0 for a complete answer.
    pub fn count_result(&self, code: u16) {
        self.results.add(1, &[KeyValue::new("code", i64::from(code))]);
    }

    /// Counts a retry by its cause.
    pub fn count_retry(&self, cause: &'static str) {
        self.retries.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts tokens sent to callers.
    pub fn count_tokens(&self, tokens: u64) {
        self.tokens.add(tokens, &[]);
    }

    /// Counts tokens that were computed again, by cause.
    pub fn count_recomputed(&self, tokens: u64, cause: &'static str) {
        self.recomputed.add(tokens, &[KeyValue::new("cause", cause)]);
    }

    /// Counts bytes exchanged with peers, by direction.
    pub fn count_peer_bytes(&self, bytes: u64, direction: &'static str) {
        self.peer_bytes.add(bytes, &[KeyValue::new("direction", direction)]);
    }

    /// Records a time to first token, in milliseconds.
    pub fn note_first_token(&self, ms: f64) {
        self.first_token.record(ms, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        self.base.text()
    }

    /// Flushes pending measurements before the process ends.
    pub fn flush(&self) {
        self.base.flush();
    }
}

impl Default for NodeMeter {
    fn default() -> Self {
        Self::new()
    }
}
