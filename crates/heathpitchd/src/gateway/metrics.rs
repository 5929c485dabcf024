//! Prometheus metrics of a gateway.

use prometheus::core::Collector;
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Name and help of every metric of a gateway.
pub const GATEWAY_METRICS: [(&str, &str); 37] = [
    ("heathpitch_calls_total", "Calls answered, by status"),
    ("heathpitch_call_refusals_total", "Calls refused or given up, by kind"),
    ("heathpitch_call_attempts_total", "Sends of calls to engines that failed"),
    ("heathpitch_call_events_total", "Events of streams passed on"),
    ("heathpitch_calls_open", "Calls open"),
    ("heathpitch_call_first_seconds", "Time from a call to the head of its answer"),
    ("heathpitch_call_pause_seconds", "Longest pause between events of a stream"),
    ("heathpitch_engine_connections_total", "Connections made to engines for calls"),
    ("heathpitch_store_calls_total", "Calls on the store, by call and result"),
    ("heathpitch_orders_total", "Orders to engines, by order and result"),
    ("heathpitch_engines", "Engines listed"),
    ("heathpitch_config_version", "Version of the configuration in force"),
    ("heathpitch_notices_dropped_total", "Notices to the control thread dropped for want of room"),
    ("heathpitch_nodes", "Nodes of the fleet: planners and their followers"),
    ("heathpitch_feed_asks_total", "Questions to the failure domain's planner, by result"),
    ("heathpitch_engine_list_age_seconds", "Age of the proof that the list of engines is current"),
    ("heathpitch_requests_held_back", "Requests sent nowhere because engines ended under them"),
    ("heathpitch_store_era", "How often the store has come back from an older copy of itself"),
    (
        "heathpitch_engine_wishes_total",
        "Answers in which engines ask for rest, leave or name a limit, by wish",
    ),
    ("heathpitch_rights_total", "Questions for rights to ask engines that name a limit, by answer"),
    (
        "heathpitch_routed_total",
        "Sends of streams over paths in the home domain, balanced to another one, or overflowing",
    ),
    ("heathpitch_shed_total", "Streams not admitted for lack of capacity, by rank and reason"),
    ("heathpitch_returns_total", "Streams whose callers came back after a rejection, by result"),
    ("heathpitch_moves_total", "Streams moved to other engines, by whether they resumed in time"),
    (
        "heathpitch_capacity_rejections_total",
        "Streams rejected after an engine refused them, as no path is expected to have capacity",
    ),
    ("heathpitch_engine_probes_total", "Probes of engines whose streams are silent, by result"),
    ("heathpitch_forwarded_total", "Sends of calls to other nodes, by result"),
    ("heathpitch_calls_of_nodes_total", "Calls taken that other nodes forwarded"),
    ("heathpitch_services_cut_off", "Services whose engines this node does not reach"),
    ("heathpitch_reach_probes_total", "Probes of whether a service is reached at all, by result"),
    ("heathpitch_retries_total", "Calls that were to be sent again, by result"),
    (
        "heathpitch_parts_held_back",
        "Parts of prompts sent nowhere because engines ended under them",
    ),
    (
        "heathpitch_config_rejected",
        "1 while the newest configuration cannot be used, as a whole or in part",
    ),
    ("heathpitch_config_age_seconds", "Age of the proof that the configuration is the newest"),
    ("heathpitch_settings_rejected", "1 while the settings file cannot be used"),
    ("heathpitch_engines_rejected", "Entries of engines that cannot be used"),
    ("heathpitch_held_updates_total", "Times that what is held back was recomputed"),
];

/// Bucket bounds for the time to the head of an answer, seconds.
const FIRST_BUCKETS_S: [f64; 10] = [0.01, 0.03, 0.06, 0.1, 0.2, 0.3, 0.5, 1.0, 3.0, 10.0];
/// Bucket bounds for pauses between events, seconds.
const PAUSE_BUCKETS_S: [f64; 8] = [0.03, 0.06, 0.1, 0.15, 0.2, 0.5, 1.0, 2.0];

/// The metrics of a gateway.
#[derive(Debug)]
pub(crate) struct GatewayMetrics {
    registry: Registry,
    pub(crate) calls: IntCounterVec,
    pub(crate) refusals: IntCounterVec,
    pub(crate) attempts: IntCounterVec,
    pub(crate) events: IntCounter,
    pub(crate) open: IntGauge,
    pub(crate) first: Histogram,
    pub(crate) pause: Histogram,
    pub(crate) connections: IntCounter,
    pub(crate) store: IntCounterVec,
    pub(crate) orders: IntCounterVec,
    pub(crate) engines: IntGauge,
    pub(crate) config: IntGauge,
    pub(crate) dropped: IntCounter,
    pub(crate) nodes: IntGauge,
    pub(crate) feed: IntCounterVec,
    pub(crate) list_age: Gauge,
    pub(crate) config_age: Gauge,
    pub(crate) config_rejected: IntGauge,
    pub(crate) settings_rejected: IntGauge,
    pub(crate) engines_rejected: IntGauge,
    pub(crate) held: IntGauge,
    pub(crate) held_parts: IntGauge,
    pub(crate) held_updates: IntCounter,
    pub(crate) era: IntGauge,
    pub(crate) backpressure: IntCounterVec,
    pub(crate) rights: IntCounterVec,
    pub(crate) routed: IntCounterVec,
    pub(crate) shed: IntCounterVec,
    pub(crate) returns: IntCounterVec,
    pub(crate) moves: IntCounterVec,
    pub(crate) capacity_rejections: IntCounter,
    pub(crate) probes: IntCounterVec,
    pub(crate) forwarded: IntCounterVec,
    pub(crate) calls_of_nodes: IntCounter,
    pub(crate) cut_off: IntGauge,
    pub(crate) reach_probes: IntCounterVec,
    pub(crate) retries: IntCounterVec,
}

impl GatewayMetrics {
    /// Registers every metric.
    ///
    /// # Errors
    ///
    /// An error of the library for a name that it does not accept; these are all valid.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let opts = |i: usize| Opts::new(GATEWAY_METRICS[i].0, GATEWAY_METRICS[i].1);
        let histogram = |i: usize, bounds: &[f64]| {
            let (name, help) = GATEWAY_METRICS[i];
            HistogramOpts::new(name, help).buckets(bounds.to_vec())
        };
        let metrics = Self {
            calls: IntCounterVec::new(opts(0), &["status"])?,
            refusals: IntCounterVec::new(opts(1), &["kind"])?,
            attempts: IntCounterVec::new(opts(2), &["result"])?,
            events: IntCounter::with_opts(opts(3))?,
            open: IntGauge::with_opts(opts(4))?,
            first: Histogram::with_opts(histogram(5, &FIRST_BUCKETS_S))?,
            pause: Histogram::with_opts(histogram(6, &PAUSE_BUCKETS_S))?,
            connections: IntCounter::with_opts(opts(7))?,
            store: IntCounterVec::new(opts(8), &["call", "result"])?,
            orders: IntCounterVec::new(opts(9), &["order", "result"])?,
            engines: IntGauge::with_opts(opts(10))?,
            config: IntGauge::with_opts(opts(11))?,
            dropped: IntCounter::with_opts(opts(12))?,
            nodes: IntGauge::with_opts(opts(13))?,
            feed: IntCounterVec::new(opts(14), &["result"])?,
            list_age: Gauge::with_opts(opts(15))?,
            held: IntGauge::with_opts(opts(16))?,
            era: IntGauge::with_opts(opts(17))?,
            backpressure: IntCounterVec::new(opts(18), &["wish"])?,
            rights: IntCounterVec::new(opts(19), &["answer"])?,
            routed: IntCounterVec::new(opts(20), &["locality"])?,
            shed: IntCounterVec::new(opts(21), &["rank", "reason"])?,
            returns: IntCounterVec::new(opts(22), &["result"])?,
            moves: IntCounterVec::new(opts(23), &["result"])?,
            capacity_rejections: IntCounter::with_opts(opts(24))?,
            probes: IntCounterVec::new(opts(25), &["result"])?,
            forwarded: IntCounterVec::new(opts(26), &["result"])?,
            calls_of_nodes: IntCounter::with_opts(opts(27))?,
            cut_off: IntGauge::with_opts(opts(28))?,
            reach_probes: IntCounterVec::new(opts(29), &["result"])?,
            retries: IntCounterVec::new(opts(30), &["result"])?,
            held_parts: IntGauge::with_opts(opts(31))?,
            config_rejected: IntGauge::with_opts(opts(32))?,
            config_age: Gauge::with_opts(opts(33))?,
            settings_rejected: IntGauge::with_opts(opts(34))?,
            engines_rejected: IntGauge::with_opts(opts(35))?,
            held_updates: IntCounter::with_opts(opts(36))?,
            registry,
        };
        for collector in metrics.collectors() {
            metrics.registry.register(collector)?;
        }
        Ok(metrics)
    }

    fn collectors(&self) -> Vec<Box<dyn Collector>> {
        vec![
            Box::new(self.calls.clone()),
            Box::new(self.refusals.clone()),
            Box::new(self.attempts.clone()),
            Box::new(self.events.clone()),
            Box::new(self.open.clone()),
            Box::new(self.first.clone()),
            Box::new(self.pause.clone()),
            Box::new(self.connections.clone()),
            Box::new(self.store.clone()),
            Box::new(self.orders.clone()),
            Box::new(self.engines.clone()),
            Box::new(self.config.clone()),
            Box::new(self.dropped.clone()),
            Box::new(self.nodes.clone()),
            Box::new(self.feed.clone()),
            Box::new(self.list_age.clone()),
            Box::new(self.config_age.clone()),
            Box::new(self.config_rejected.clone()),
            Box::new(self.settings_rejected.clone()),
            Box::new(self.engines_rejected.clone()),
            Box::new(self.held.clone()),
            Box::new(self.held_parts.clone()),
            Box::new(self.held_updates.clone()),
            Box::new(self.era.clone()),
            Box::new(self.backpressure.clone()),
            Box::new(self.rights.clone()),
            Box::new(self.routed.clone()),
            Box::new(self.shed.clone()),
            Box::new(self.returns.clone()),
            Box::new(self.moves.clone()),
            Box::new(self.capacity_rejections.clone()),
            Box::new(self.probes.clone()),
            Box::new(self.forwarded.clone()),
            Box::new(self.calls_of_nodes.clone()),
            Box::new(self.cut_off.clone()),
            Box::new(self.reach_probes.clone()),
            Box::new(self.retries.clone()),
        ]
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("cannot encode metrics: {e}");
        }
        text
    }
}
