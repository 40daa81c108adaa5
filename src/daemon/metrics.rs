//! Metrics with `opentelemetry`, served at the admin address in the Prometheus text format.
//!
//! The number of series is bounded: services and tiers are those of the bundle, outcomes and causes are enumerations.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;

use crate::coordination::scarcity;
use crate::state::clock;

/// The bucket boundaries of duration histograms, in seconds.
const DURATION_BOUNDS_S: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// The metric instruments of the daemon.
pub struct Metrics {
    registry: prometheus::Registry,
    provider: SdkMeterProvider,
    requests: Counter<u64>,
    duration: Histogram<f64>,
    refusals: Counter<u64>,
    restores: Counter<u64>,
    lag: Histogram<f64>,
    sources: Counter<u64>,
    escalations: Counter<u64>,
    statements: Counter<u64>,
    tries: Counter<u64>,
    relayed: Counter<u64>,
    cuts: Counter<u64>,
    platform_calls: Counter<u64>,
    tokens: Counter<u64>,
    token_requests: Counter<u64>,
    quota_refusals: Counter<u64>,
    scarcity: Counter<u64>,
    quarantines: Counter<u64>,
}

/// The instruments could not be created.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("failed to create the Prometheus exporter"))]
pub struct Error {
    source: Box<dyn std::error::Error + Send + Sync>,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be built.
    pub fn new() -> Result<Metrics, Error> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| Error {
                source: Box::new(e),
            })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("peridotspread");
        Ok(Metrics {
            requests: meter
                .u64_counter("peridotspread.entry.requests")
                .with_description("Requests of callers by service, tier and outcome")
                .build(),
            duration: meter
                .f64_histogram("http.server.request.duration")
                .with_unit("s")
                .with_boundaries(DURATION_BOUNDS_S.to_vec())
                .with_description("Time from a request's head to its answer's head")
                .build(),
            refusals: meter
                .u64_counter("peridotspread.entry.refusals")
                .with_description("Refused requests by cause and outcome")
                .build(),
            restores: meter
                .u64_counter("peridotspread.registry.restores")
                .with_description("Times that the platform was restored from an earlier copy")
                .build(),
            lag: meter
                .f64_histogram("peridotspread.registry.lag")
                .with_unit("s")
                .with_boundaries(DURATION_BOUNDS_S.to_vec())
                .with_description(
                    "Longest time for which a change may have been confirmed when it came into force",
                )
                .build(),
            sources: meter
                .u64_counter("peridotspread.registry.sources")
                .with_description("Times that another source of updates was selected, by kind")
                .build(),
            escalations: meter
                .u64_counter("peridotspread.registry.escalations")
                .with_description("Polls of another source because the updates were old, by kind")
                .build(),
            statements: meter
                .u64_counter("peridotspread.entry.statements")
                .with_description(
                    "Changes of what targets state about the requests that they accept",
                )
                .build(),
            tries: meter
                .u64_counter("peridotspread.entry.tries")
                .with_description("Tries at targets by the class of the response and the connection")
                .build(),
            relayed: meter
                .u64_counter("peridotspread.egress.relay_tries")
                .with_description("Tries to connect to targets through other daemons by result")
                .build(),
            cuts: meter
                .u64_counter("peridotspread.egress.cuts")
                .with_description("Times that the daemon was cut off from the targets")
                .build(),
            platform_calls: meter
                .u64_counter("peridotspread.platform.calls")
                .with_description("Calls to the platform by kind and table")
                .build(),
            tokens: meter
                .u64_counter("peridotspread.quota.tokens")
                .with_description("Tokens of quotas by event")
                .build(),
            token_requests: meter
                .u64_counter("peridotspread.quota.token_requests")
                .with_description("Requests for tokens to other daemons by result")
                .build(),
            quota_refusals: meter
                .u64_counter("peridotspread.quota.refusals")
                .with_description("Requests without a token by the part that refused them")
                .build(),
            scarcity: meter
                .u64_counter("peridotspread.cell.scarcity")
                .with_description("Requests that a cell refused or delayed, by tier and check")
                .build(),
            quarantines: meter
                .u64_counter("peridotspread.cell.quarantines")
                .with_description("Quarantines that this daemon's cells started or ended, by event")
                .build(),
            registry,
            provider,
        })
    }

    /// Counts a request that ended with a response or a refusal, and records its duration.
    pub fn record_request(
        &self,
        service: &str,
        tier: u8,
        outcome: &'static str,
        took: clock::Millis,
    ) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("tier", i64::from(tier)),
            KeyValue::new("outcome", outcome),
        ];
        self.requests.add(1, &labels);
        self.duration.record(took.0 as f64 / 1_000.0, &labels[..1]);
    }

    /// Counts a refusal.
    pub fn record_refusal(&self, cause: &'static str, outcome: &'static str) {
        self.refusals.add(
            1,
            &[
                KeyValue::new("cause", cause),
                KeyValue::new("outcome", outcome),
            ],
        );
    }

    /// Counts a change of what a target of the service states about the requests that it accepts.
    pub fn record_statement(&self, service: &str) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.statements.add(1, &labels);
    }

    /// Counts a try at a target, by the class of its response and by what its connection had carried before.
    pub fn record_try(&self, class: &'static str, connection: &'static str) {
        let labels = [
            KeyValue::new("class", class),
            KeyValue::new("connection", connection),
        ];
        self.tries.add(1, &labels);
    }

    /// Counts a try to connect to a target through another daemon.
    pub fn record_relay_try(&self, result: &'static str) {
        self.relayed.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts that the daemon was cut off from the targets.
    pub fn record_cut(&self) {
        self.cuts.add(1, &[]);
    }

    /// Counts a call to the platform.
    pub fn record_platform_call(&self, kind: &'static str, table: &str) {
        self.platform_calls.add(
            1,
            &[
                KeyValue::new("kind", kind),
                KeyValue::new("table", table.to_owned()),
            ],
        );
    }

    /// Counts a token of a quota that was spent or returned.
    pub fn record_token(&self, event: &'static str) {
        self.tokens.add(1, &[KeyValue::new("event", event)]);
    }

    /// Counts a request for tokens to another daemon.
    pub fn record_token_request(&self, result: &'static str) {
        let labels = [KeyValue::new("result", result)];
        self.token_requests.add(1, &labels);
    }

    /// Counts a request that got no token, refused by an entry or a home, or because the holder is unknown.
    pub fn record_quota_refusal(&self, by: &'static str) {
        self.quota_refusals.add(1, &[KeyValue::new("by", by)]);
    }

    /// Counts requests of a service that a cell at this home refused or delayed.
    pub fn record_scarcity(&self, service: &str, event: scarcity::Event, count: u64) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("tier", i64::from(event.tier)),
            KeyValue::new("check", event.check.as_str()),
            KeyValue::new("result", if event.refused { "refused" } else { "delayed" }),
        ];
        self.scarcity.add(count, &labels);
    }

    /// Counts that a cell at this home started a quarantine, or that a request was answered after one.
    pub fn record_quarantine(&self, event: &'static str) {
        self.quarantines.add(1, &[KeyValue::new("event", event)]);
    }

    /// Counts that the platform was restored from an earlier copy.
    pub fn record_restore(&self) {
        self.restores.add(1, &[]);
    }

    /// Records for how long a change may have been confirmed when it came into force.
    pub fn record_lag(&self, lag: clock::Millis) {
        self.lag.record(lag.0 as f64 / 1_000.0, &[]);
    }

    /// Counts that another source of updates was selected, of the given kind.
    pub fn record_source(&self, kind: &'static str) {
        self.sources.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a poll of another source, of the given kind, because the updates were old.
    pub fn record_escalation(&self, kind: &'static str) {
        self.escalations.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Returns all series in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        if let Err(e) = prometheus::TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("failed to encode the metrics: {e}");
        }
        String::from_utf8(text).unwrap_or_default()
    }

    /// Returns the provider, from which other modules create their own instruments.
    pub fn provider(&self) -> &SdkMeterProvider {
        &self.provider
    }
}
