//! A run: the load, the faults of a script, the end in calm, the judgement.

use std::collections::{BTreeMap, HashSet};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

use heathpitch_standin::{LinkMode, StoreMode};
use parking_lot::Mutex;
use tokio::task::JoinSet;

use crate::judge::Breach;
use crate::load::{self, Told};
use crate::script::{Fault, Script};
use crate::world::{SoakError, World};

/// Time in calm after the last fault, in which calls are counted.
const CALM: Duration = Duration::from_millis(2_500);
/// Time from the end of the last fault to the calm: nodes have to be trusted again.
const RECOVER: Duration = Duration::from_millis(6_000);
/// Share of the calls in calm that have to be served.
const SERVED: f64 = 0.9;
/// Exit codes of a node that was told to stop: all calls ended, or some were cut off.
const STOPPED: [Option<i32>; 2] = [Some(0), Some(4)];

/// What a run saw.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakReport {
    /// Calls made.
    pub calls: usize,
    /// Calls answered with success, whole.
    pub served: usize,
    /// Share of the calls in calm that were served.
    pub calm: f64,
    /// Promises broken.
    pub breaches: Vec<Breach>,
    /// Lines of the nodes' logs that name calls of these.
    pub story: Vec<String>,
}

/// Plays a script against nodes of this binary.
///
/// # Errors
///
/// [`SoakError`] if a process cannot be started.
pub async fn run(binary: PathBuf, script: &Script) -> Result<SoakReport, SoakError> {
    let world = Arc::new(World::start(binary).await?);
    let mut breaches = Vec::new();
    if !world.ready().await {
        breaches.push(whole_run("a fleet starts", "a node was not ready in time".to_owned()));
    }
    let stop = Arc::new(AtomicBool::new(false));
    let told: Arc<Mutex<Vec<Told>>> = Arc::default();
    let tending = tokio::spawn(World::tend(world.clone()));
    let callers = tokio::spawn(load::run(world.clone(), script.seed, stop.clone(), told.clone()));
    breaches.extend(faults(&world, script).await?);
    if !world.ready().await {
        breaches.push(whole_run("a fleet recovers", "a node is not ready in calm".to_owned()));
    }
    tokio::time::sleep(RECOVER).await;
    let from = Instant::now();
    tokio::time::sleep(CALM).await;
    stop.store(true, Relaxed);
    // A caller that panicked is seen by the missing calls.
    let _ = callers.await;
    tending.abort();
    // It keeps the world, and with it the nodes, until it has ended: nodes that outlive a run ask for their
    // store at an address that a later run's engine may have.
    let _ = tending.await;
    let told = std::mem::take(&mut *told.lock());
    let calm: Vec<&Told> = told.iter().filter(|t| t.sent >= from).collect();
    let good = calm.iter().filter(|t| t.served()).count();
    let calm = good as f64 / calm.len().max(1) as f64;
    if calm < SERVED {
        let failed = told.iter().filter(|t| t.sent >= from && !t.served());
        let mut why: BTreeMap<String, usize> = BTreeMap::new();
        failed.for_each(|t| *why.entry(t.failure()).or_default() += 1);
        let what = format!("{calm:.2} served in calm: {why:?}");
        breaches.push(whole_run("a fleet recovers", what));
    }
    let told: Vec<Told> = told.into_iter().chain(world.take_fatal()).collect();
    let (calls, served) = (told.len(), told.iter().filter(|t| t.served()).count());
    breaches.extend(world.evidence(told).judge());
    let story = breaches.iter().filter_map(|b| b.id.as_deref()).flat_map(|id| world.story(id));
    let story = story.collect();
    Ok(SoakReport { calls, served, calm, breaches, story })
}

fn whole_run(promise: &'static str, what: String) -> Breach {
    Breach { promise, id: None, what }
}

/// Faults that run; a node that is being restarted is left alone.
struct Stage {
    world: Arc<World>,
    down: Mutex<HashSet<usize>>,
    serial: AtomicU64,
}

/// Begins every fault at its time and waits until all have ended.
async fn faults(world: &Arc<World>, script: &Script) -> Result<Vec<Breach>, SoakError> {
    let stage =
        Arc::new(Stage { world: world.clone(), down: Mutex::default(), serial: AtomicU64::new(1) });
    let start = Instant::now();
    let mut running = JoinSet::new();
    for step in &script.steps {
        tokio::time::sleep(step.at.saturating_sub(start.elapsed())).await;
        let stage = stage.clone();
        let fault = step.fault;
        running.spawn(async move { stage.play(fault).await });
    }
    let mut breaches = Vec::new();
    while let Some(ended) = running.join_next().await {
        match ended {
            Ok(result) => breaches.extend(result?),
            Err(e) => breaches.push(whole_run("a fault ends", e.to_string())),
        }
    }
    Ok(breaches)
}

impl Stage {
    /// Plays a fault and takes note of whom it disturbed.
    async fn play(&self, fault: Fault) -> Result<Option<Breach>, SoakError> {
        let from = Instant::now();
        let breach = self.strike(fault).await;
        match fault {
            Fault::Kill(node)
            | Fault::Stop(node)
            | Fault::Pause(node, _)
            | Fault::StoreLink(node, ..)
            | Fault::Suspend(node)
            | Fault::StoreLoss(node) => self.world.disturbed(Some(node), from),
            Fault::Store(..) | Fault::Return(..) => self.world.disturbed(None, from),
            Fault::EngineLink(engine, ..) | Fault::Rebirth(engine) => {
                self.world.held_up(engine, from);
            }
            _ => {}
        }
        breach
    }

    async fn strike(&self, fault: Fault) -> Result<Option<Breach>, SoakError> {
        let world = &self.world;
        let serial = self.serial.fetch_add(1, Relaxed);
        match fault {
            Fault::Kill(node) => return self.restart(node, "KILL").await,
            Fault::Stop(node) => return self.restart(node, "TERM").await,
            Fault::Pause(node, time) => world.pause(node, time).await?,
            Fault::Reload(node) => world.signal(node, "HUP")?,
            Fault::StoreLink(node, link, time) => {
                world.store_link(node, link);
                tokio::time::sleep(time).await;
                world.store_link(node, LinkMode::Pass);
            }
            Fault::StoreLoss(node) => world.lose_store(node),
            Fault::Store(mode, time) => {
                world.store_mode(mode);
                tokio::time::sleep(time).await;
                world.store_mode(StoreMode::Up);
            }
            Fault::Forget => world.store.compact(),
            Fault::EngineLink(engine, link, time) => {
                world.engine_link(engine, link);
                tokio::time::sleep(time).await;
                world.engine_link(engine, LinkMode::Pass);
            }
            Fault::Engine(engine, play, time) => {
                world.engine_play(engine, Some(play));
                tokio::time::sleep(time).await;
                world.engine_play(engine, None);
            }
            Fault::Replace(engine) => world.replace(engine, serial)?,
            Fault::Route => world.turn_route(),
            Fault::Revoke => world.revoke_key(serial),
            Fault::Rebirth(engine) => world.rebirth(engine),
            Fault::Foreign(text) => world.write_foreign(serial, text),
            Fault::Suspend(node) => world.signal(node, "USR2")?,
            Fault::Fatal(node) => world.send_fatal(node, serial).await,
            Fault::Return(age, changes) => world.return_store(age, changes).await,
            Fault::Tire(engine, rest, time) => {
                world.tire(engine, Some(rest));
                tokio::time::sleep(time).await;
                world.tire(engine, None);
            }
            Fault::Limit(engine, limit, time) => {
                let engine = world.engine(engine);
                engine.set_limits(&[limit]);
                tokio::time::sleep(time).await;
                engine.set_limits(&[]);
            }
            Fault::Word(engine, time) => {
                world.engine(engine).set_draining(true);
                tokio::time::sleep(time).await;
                world.replace(engine, serial)?;
            }
        }
        Ok(None)
    }

    /// Ends a node and starts it anew.
    async fn restart(&self, node: usize, signal: &str) -> Result<Option<Breach>, SoakError> {
        if !self.down.lock().insert(node) {
            return Ok(None);
        }
        let code = self.world.end(node, signal).await?;
        self.world.begin(node)?;
        self.down.lock().remove(&node);
        let bad = signal == "TERM" && !STOPPED.contains(&code);
        Ok(bad.then(|| {
            whole_run("a node stops when told", format!("node {node} ended with {code:?}"))
        }))
    }
}
