//! A stand-in model engine.

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
use crate::prefix::PrefixCache;
use crate::slots::Slots;
use crate::stage::Sequence;

/// What a stand-in engine is and holds at first.
#[derive(Clone, Debug)]
pub struct EngineSetup {
    /// Name.
    pub name: Name,
    /// `ip:port`; port 0 takes a free one.
    pub address: SocketAddr,
    /// Model held at first.
    pub model: Option<Name>,
    /// Version of the weights.
    pub version: Name,
    /// Layers held at first.
    pub layers: LayerRange,
    /// Requests batched at once.
    pub slots: u32,
    /// Requests waiting before more are refused.
    pub queue: usize,
    /// Prompt tokens prefilled per second.
    pub prefill: f64,
    /// Time of a decode step.
    pub step: Duration,
    /// Blocks of the prefix cache.
    pub cache: usize,
    /// Age of load reports.
    pub lag: Duration,
    /// Whether orders of an older epoch are refused.
    pub fenced: bool,
    /// Megabytes a second at which weights are loaded.
    pub weights: f64,
    /// Memory for weights, megabytes.
    pub memory: u64,
    /// Time an activation takes to the next stage.
    pub link: Duration,
}

impl EngineSetup {
    /// An engine that holds `layers` of `model` and computes fast.
    pub fn new(name: Name, model: Name, version: Name, layers: LayerRange) -> Self {
        Self {
            name,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            model: Some(model),
            version,
            layers,
            slots: 32,
            queue: 256,
            prefill: 50_000.0,
            step: Duration::from_millis(2),
            cache: 4_096,
            lag: Duration::from_millis(100),
            fenced: true,
            weights: 20_000.0,
            memory: 6_000,
            link: Duration::ZERO,
        }
    }
}

type SharedSequence = Arc<tokio::sync::Mutex<Sequence>>;

/// State of an engine that its requests share.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) setup: EngineSetup,
    pub(crate) life: Incarnation,
    pub(crate) held: Mutex<Held>,
    pub(crate) slots: Slots,
    pub(crate) cache: Mutex<PrefixCache>,
    pub(crate) open: Mutex<HashMap<(String, Attempt), SharedSequence>>,
    pub(crate) prefill: tokio::sync::Mutex<()>,
    pub(crate) faults: Mutex<Faults>,
    pub(crate) frozen: watch::Sender<bool>,
    pub(crate) client: Client,
    pub(crate) started: AtomicU64,
    pub(crate) finished: AtomicU64,
    report: Mutex<(Instant, EngineReport)>,
}

/// What an engine holds now.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub(crate) model: Option<Name>,
    pub(crate) version: Name,
    pub(crate) layers: LayerRange,
    pub(crate) epoch: Epoch,
    pub(crate) role: EngineRole,
    pub(crate) leaving: bool,
    pub(crate) ready: Instant,
}

/// A running stand-in engine.
#[derive(Debug)]
pub struct FakeEngine {
    host: Host,
    engine: Arc<Engine>,
}

/// # Life
impl FakeEngine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// What the system says if the address cannot be bound.
    pub fn spawn(setup: EngineSetup) -> io::Result<Self> {
        let engine = Arc::new(Engine::new(setup));
        let shared = engine.clone();
        let host = Host::spawn(engine.setup.address, move |request| {
            engine_http::handle(shared.clone(), request)
        })?;
        Ok(Self { host, engine })
    }

    /// Address bound.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Name.
    pub fn name(&self) -> &Name {
        &self.engine.setup.name
    }

    /// Shows a fault.
    pub fn fault(&self, fault: Fault) {
        match fault {
            Fault::Die => self.host.kill(),
            other => self.engine.fault(other),
        }
    }

    /// Requests that ran as head: begun, and ended whole.
    pub fn counts(&self) -> (u64, u64) {
        (self.engine.started.load(Relaxed), self.engine.finished.load(Relaxed))
    }

    /// Layers held now.
    pub fn layers(&self) -> LayerRange {
        self.engine.held.lock().layers
    }
}

impl Engine {
    fn new(setup: EngineSetup) -> Self {
        let life = Incarnation(now_micros());
        let held = Held {
            model: setup.model.clone(),
            version: setup.version.clone(),
            layers: setup.layers,
            epoch: Epoch(0),
            role: EngineRole::Both,
            leaving: false,
            ready: Instant::now(),
        };
        let report = report(&setup, life, &held, 0, 0, 0);
        Self {
            slots: Slots::new(setup.slots, setup.queue),
            cache: Mutex::new(PrefixCache::new(setup.cache)),
            setup,
            life,
            held: Mutex::new(held),
            open: Mutex::default(),
            prefill: tokio::sync::Mutex::new(()),
            faults: Mutex::default(),
            frozen: watch::Sender::new(false),
            client: Client::new(),
            started: AtomicU64::new(0),
            finished: AtomicU64::new(0),
            report: Mutex::new((Instant::now(), report)),
        }
    }

    /// Puts a fault in force.
    pub(crate) fn fault(&self, fault: Fault) {
        match fault {
            Fault::LoseEvents => self.cache.lock().lose_events(),
            Fault::Leave => self.held.lock().leaving = true,
            Fault::Die => std::process::exit(137),
            _ => {}
        }
        let mut faults = self.faults.lock();
        faults.set(fault);
        self.frozen.send_replace(faults.frozen);
    }

    /// Waits while the engine is frozen.
    pub(crate) async fn thawed(&self) {
        let _ = self.frozen.subscribe().wait_for(|f| !*f).await;
    }

    /// The report, as old as the engine's lag allows.
    pub(crate) fn report(&self) -> EngineReport {
        let mut last = self.report.lock();
        let fresh = last.0.elapsed() < self.setup.lag;
        let held = self.held.lock().clone();
        if !fresh || held.leaving != last.1.draining {
            let running = self.open.lock().len() as u32;
            let serial = last.1.serial + 1;
            let next = report(&self.setup, self.life, &held, serial, running, self.slots.queued());
            *last = (Instant::now(), next);
        }
        last.1.clone()
    }

    /// Takes an order, or says which epoch is newer.
    pub(crate) fn order(&self, order: Order) -> Result<(), Epoch> {
        let mut held = self.held.lock();
        if self.setup.fenced && order.epoch < held.epoch {
            return Err(held.epoch);
        }
        held.epoch = held.epoch.max(order.epoch);
        match order.kind {
            OrderKind::Load { model, version, layers, megabytes } => {
                let time = Duration::from_secs_f64(megabytes as f64 / self.setup.weights);
                held.ready = Instant::now() + time;
                held.model = Some(model);
                held.version = version;
                held.layers = layers;
                held.epoch = order.epoch;
            }
            OrderKind::Role(role) => held.role = role,
            OrderKind::Drain => held.leaving = true,
        }
        Ok(())
    }
}

fn report(
    setup: &EngineSetup,
    life: Incarnation,
    held: &Held,
    serial: u64,
    running: u32,
    queued: u32,
) -> EngineReport {
    let loaded = Instant::now() >= held.ready;
    EngineReport {
        engine: setup.name.clone(),
        incarnation: life,
        serial,
        model: held.model.clone().filter(|_| loaded),
        version: held.version.clone(),
        layers: held.layers,
        epoch: held.epoch,
        role: held.role,
        draining: held.leaving,
        slots: setup.slots,
        running,
        queued,
        prefill: setup.prefill,
        step: setup.step.as_micros() as u64,
        service: (setup.step * 32).as_millis() as u64,
        memory: setup.memory,
        layer: (setup.step.as_micros() as u64) / u64::from(setup.layers.count().max(1)),
        link: setup.link.as_micros() as u64,
    }
}

/// Microseconds of the wall clock, so that a later life has a higher number.
pub(crate) fn now_micros() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| d.as_micros() as u64)
}
