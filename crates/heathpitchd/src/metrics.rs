//! Prometheus metrics of a node.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Name and help text of every metric.
pub const METRICS: [(&str, &str); 15] = [
    ("heathpitch_requests_total", "Requests ended, by outcome"),
    ("heathpitch_refusals_total", "Requests refused, by kind"),
    ("heathpitch_attempts_total", "Attempts ended, by result"),
    ("heathpitch_tokens_total", "Tokens passed to callers"),
    ("heathpitch_open_requests", "Requests open"),
    ("heathpitch_first_token_seconds", "Time from a request to its first token"),
    ("heathpitch_token_gap_seconds", "Time between tokens as they arrive from engines"),
    ("heathpitch_config_revision", "Configuration revision in force"),
    ("heathpitch_members", "Nodes known alive, itself among them"),
    ("heathpitch_upstreams", "Engines and services that may take new work"),
    ("heathpitch_platform_calls_total", "Calls on the platform, by call and result"),
    ("heathpitch_peer_exchanges_total", "Exchanges with peers, by result"),
    ("heathpitch_engine_polls_total", "Polls of engines and services, by result"),
    ("heathpitch_control_dropped_total", "Messages to the control thread dropped for want of room"),
    ("heathpitch_control_bytes_total", "Bytes of exchanges begun and of polls, by kind"),
];

/// Buckets of the first-token histogram.
const FIRST_TOKEN_BUCKETS_S: [f64; 10] = [0.01, 0.03, 0.1, 0.3, 0.6, 1.0, 1.9, 3.0, 6.0, 15.0];
/// Buckets of the token-gap histogram.
const TOKEN_GAP_BUCKETS_S: [f64; 9] = [0.005, 0.01, 0.02, 0.035, 0.051, 0.1, 0.25, 0.5, 2.0];

/// All metrics of a node.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) requests: IntCounterVec,
    pub(crate) refusals: IntCounterVec,
    pub(crate) attempts: IntCounterVec,
    pub(crate) tokens: IntCounter,
    pub(crate) open: IntGauge,
    pub(crate) first_token: Histogram,
    pub(crate) token_gap: Histogram,
    pub(crate) config: IntGauge,
    pub(crate) members: IntGauge,
    pub(crate) upstreams: IntGauge,
    pub(crate) platform: IntCounterVec,
    pub(crate) exchanges: IntCounterVec,
    pub(crate) polls: IntCounterVec,
    pub(crate) dropped: IntCounter,
    pub(crate) bytes: IntCounterVec,
}

impl Metrics {
    /// Registers every metric.
    ///
    /// # Errors
    ///
    /// The error of the library for an invalid or duplicate name; none of these are.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let opts = |i: usize| Opts::new(METRICS[i].0, METRICS[i].1);
        let histogram = |i: usize, buckets: &[f64]| {
            HistogramOpts::new(METRICS[i].0, METRICS[i].1).buckets(buckets.to_vec())
        };
        let metrics = Self {
            registry: Registry::new(),
            requests: IntCounterVec::new(opts(0), &["outcome"])?,
            refusals: IntCounterVec::new(opts(1), &["kind"])?,
            attempts: IntCounterVec::new(opts(2), &["result"])?,
            tokens: IntCounter::with_opts(opts(3))?,
            open: IntGauge::with_opts(opts(4))?,
            first_token: Histogram::with_opts(histogram(5, &FIRST_TOKEN_BUCKETS_S))?,
            token_gap: Histogram::with_opts(histogram(6, &TOKEN_GAP_BUCKETS_S))?,
            config: IntGauge::with_opts(opts(7))?,
            members: IntGauge::with_opts(opts(8))?,
            upstreams: IntGauge::with_opts(opts(9))?,
            platform: IntCounterVec::new(opts(10), &["call", "result"])?,
            exchanges: IntCounterVec::new(opts(11), &["result"])?,
            polls: IntCounterVec::new(opts(12), &["result"])?,
            dropped: IntCounter::with_opts(opts(13))?,
            bytes: IntCounterVec::new(opts(14), &["kind"])?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        let r = &self.registry;
        r.register(Box::new(self.requests.clone()))?;
        r.register(Box::new(self.refusals.clone()))?;
        r.register(Box::new(self.attempts.clone()))?;
        r.register(Box::new(self.tokens.clone()))?;
        r.register(Box::new(self.open.clone()))?;
        r.register(Box::new(self.first_token.clone()))?;
        r.register(Box::new(self.token_gap.clone()))?;
        r.register(Box::new(self.config.clone()))?;
        r.register(Box::new(self.members.clone()))?;
        r.register(Box::new(self.upstreams.clone()))?;
        r.register(Box::new(self.platform.clone()))?;
        r.register(Box::new(self.exchanges.clone()))?;
        r.register(Box::new(self.polls.clone()))?;
        r.register(Box::new(self.dropped.clone()))?;
        r.register(Box::new(self.bytes.clone()))
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        if let Err(e) = encoded {
            log::error!("cannot encode metrics: {e}");
        }
        text
    }
}
