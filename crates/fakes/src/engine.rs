//! Fake model engine.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

use heathpitch_core::{Attempt, Epoch, Incarnation, LayerRange, Name};
use heathpitch_net::{Client, Order, OrderKind};
use heathpitch_policy::{EngineReport, EngineRole};
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::engine_http;
use crate::faults::{Fault, Faults};
use crate::host::Host;
use crate::prefix_cache::PrefixCache;
use crate::slots::Slots;
use crate::stage::Sequence;

/// Properties and initial state of a fake engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Name of the engine.
    pub name: Name,
    /// Listen address; port 0 picks a free port.
    pub address: SocketAddr,
    /// Model loaded initially.
    pub model: Option<Name>,
    /// Version of the weights.
    pub version: Name,
    /// Layers loaded initially.
    pub layers: LayerRange,
    /// Number of batch slots.
    pub slots: u32,
    /// Length of the queue; beyond it requests are refused.
    pub queue_capacity: usize,
    /// Prefill rate, prompt tokens per second.
    pub prefill_rate: f64,
    /// Duration of a decode step.
    pub step_time: Duration,
    /// Capacity of the prefix cache, blocks.
    pub cache_blocks: usize,
    /// Maximum age of load reports.
    pub report_lag: Duration,
    /// Whether orders of an older epoch are rejected.
    pub fenced: bool,
    /// Rate at which weights are loaded, megabytes per second.
    pub load_rate: f64,
    /// Memory for weights, megabytes.
    pub memory_mb: u64,
    /// Transfer time of activations to the next stage.
    pub link_delay: Duration,
}

impl EngineConfig {
    /// Fast engine with `layers` of `model` loaded.
    pub fn new(name: Name, model: Name, version: Name, layers: LayerRange) -> Self {
        Self {
            name,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            model: Some(model),
            version,
            layers,
            slots: 32,
            queue_capacity: 256,
            prefill_rate: 50_000.0,
            step_time: Duration::from_millis(2),
            cache_blocks: 4_096,
            report_lag: Duration::from_millis(100),
            fenced: true,
            load_rate: 20_000.0,
            memory_mb: 6_000,
            link_delay: Duration::ZERO,
        }
    }
}

type SharedSequence = Arc<tokio::sync::Mutex<Sequence>>;

/// State shared by the requests of an engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) config: EngineConfig,
    pub(crate) incarnation: Incarnation,
    pub(crate) state: Mutex<EngineState>,
    pub(crate) slots: Slots,
    pub(crate) cache: Mutex<PrefixCache>,
    pub(crate) sequences: Mutex<HashMap<(String, Attempt), SharedSequence>>,
    pub(crate) prefill_lock: tokio::sync::Mutex<()>,
    pub(crate) faults: Mutex<Faults>,
    pub(crate) frozen: watch::Sender<bool>,
    pub(crate) client: Client,
    pub(crate) started: AtomicU64,
    pub(crate) finished: AtomicU64,
    report: Mutex<(Instant, EngineReport)>,
}

/// Current state of an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineState {
    pub(crate) model: Option<Name>,
    pub(crate) version: Name,
    pub(crate) layers: LayerRange,
    pub(crate) epoch: Epoch,
    pub(crate) role: EngineRole,
    pub(crate) draining: bool,
    pub(crate) ready_at: Instant,
}

/// Running fake engine.
#[derive(Debug)]
pub struct FakeEngine {
    host: Host,
    engine: Arc<Engine>,
}

impl FakeEngine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// I/O error if the address cannot be bound.
    pub fn spawn(config: EngineConfig) -> io::Result<Self> {
        let engine = Arc::new(Engine::new(config));
        let shared = engine.clone();
        let host = Host::spawn(engine.config.address, move |request| {
            engine_http::handle(shared.clone(), request)
        })?;
        Ok(Self { host, engine })
    }

    /// Bound address.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Name of the engine.
    pub fn name(&self) -> &Name {
        &self.engine.config.name
    }

    /// Injects a fault.
    pub fn inject(&self, fault: Fault) {
        match fault {
            Fault::Exit => self.host.kill(),
            other => self.engine.inject(other),
        }
    }

    /// Number of requests started and completed with this engine as the head.
    pub fn request_counts(&self) -> (u64, u64) {
        (self.engine.started.load(Relaxed), self.engine.finished.load(Relaxed))
    }

    /// Layers loaded now.
    pub fn layers(&self) -> LayerRange {
        self.engine.state.lock().layers
    }
}

impl Engine {
    fn new(config: EngineConfig) -> Self {
        let incarnation = Incarnation(now_micros());
        let state = EngineState {
            model: config.model.clone(),
            version: config.version.clone(),
            layers: config.layers,
            epoch: Epoch(0),
            role: EngineRole::Both,
            draining: false,
            ready_at: Instant::now(),
        };
        let report = report(&config, incarnation, &state, 0, 0, 0);
        Self {
            slots: Slots::new(config.slots, config.queue_capacity),
            cache: Mutex::new(PrefixCache::new(config.cache_blocks)),
            config,
            incarnation,
            state: Mutex::new(state),
            sequences: Mutex::default(),
            prefill_lock: tokio::sync::Mutex::new(()),
            faults: Mutex::default(),
            frozen: watch::Sender::new(false),
            client: Client::new(),
            started: AtomicU64::new(0),
            finished: AtomicU64::new(0),
            report: Mutex::new((Instant::now(), report)),
        }
    }

    /// Activates a fault.
    pub(crate) fn inject(&self, fault: Fault) {
        match fault {
            Fault::ClearEvents => self.cache.lock().clear_events(),
            Fault::Drain => self.state.lock().draining = true,
            Fault::Exit => std::process::exit(137),
            _ => {}
        }
        let mut faults = self.faults.lock();
        faults.set(fault);
        self.frozen.send_replace(faults.frozen);
    }

    /// Waits while the engine is frozen.
    pub(crate) async fn until_thawed(&self) {
        let _ = self.frozen.subscribe().wait_for(|f| !*f).await;
    }

    /// Load report, renewed once older than `report_lag` or when the drain state changes.
    pub(crate) fn report(&self) -> EngineReport {
        let mut last = self.report.lock();
        let fresh = last.0.elapsed() < self.config.report_lag;
        let state = self.state.lock().clone();
        if !fresh || state.draining != last.1.draining {
            let running = self.sequences.lock().len() as u32;
            let serial = last.1.serial + 1;
            let next = report(
                &self.config,
                self.incarnation,
                &state,
                serial,
                running,
                self.slots.queued(),
            );
            *last = (Instant::now(), next);
        }
        last.1.clone()
    }

    /// Executes an order, or returns the newer epoch that fences it.
    pub(crate) fn order(&self, order: Order) -> Result<(), Epoch> {
        let mut state = self.state.lock();
        if self.config.fenced && order.epoch < state.epoch {
            return Err(state.epoch);
        }
        state.epoch = state.epoch.max(order.epoch);
        match order.kind {
            OrderKind::Load { model, version, layers, megabytes } => {
                let time = Duration::from_secs_f64(megabytes as f64 / self.config.load_rate);
                state.ready_at = Instant::now() + time;
                state.model = Some(model);
                state.version = version;
                state.layers = layers;
                state.epoch = order.epoch;
            }
            OrderKind::Role(role) => state.role = role,
            OrderKind::Drain => state.draining = true,
        }
        Ok(())
    }
}

fn report(
    config: &EngineConfig,
    incarnation: Incarnation,
    state: &EngineState,
    serial: u64,
    running: u32,
    queued: u32,
) -> EngineReport {
    let loaded = Instant::now() >= state.ready_at;
    EngineReport {
        engine: config.name.clone(),
        incarnation,
        serial,
        model: state.model.clone().filter(|_| loaded),
        version: state.version.clone(),
        layers: state.layers,
        epoch: state.epoch,
        role: state.role,
        draining: state.draining,
        slots: config.slots,
        running,
        queued,
        prefill: config.prefill_rate,
        step: config.step_time.as_micros() as u64,
        service: (config.step_time * 32).as_millis() as u64,
        memory: config.memory_mb,
        layer: (config.step_time.as_micros() as u64) / u64::from(config.layers.count().max(1)),
        link: config.link_delay.as_micros() as u64,
    }
}

/// Microseconds of the wall clock, so that a later incarnation has a higher number.
pub(crate) fn now_micros() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| d.as_micros() as u64)
}
