//! A run: the load, the faults of a script, the end in calm, the judgement.

use std::collections::{BTreeMap, HashSet};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

use heathpitch_standin::{LinkMode, StoreMode};
use parking_lot::Mutex;
use tokio::task::JoinSet;

use crate::cluster::{SoakError, TestCluster};
use crate::invariants::Violation;
use crate::load::{self, CallRecord};
use crate::schedule::{Fault, FaultSchedule};

/// Time in calm after the last fault, in which calls are counted.
const MEASUREMENT_TIME: Duration = Duration::from_millis(2_500);
/// Time from the end of the last fault to the calm: nodes have to be trusted again.
const RECOVERY_TIME: Duration = Duration::from_millis(6_000);
/// Share of the calls in calm that have to be served.
const MIN_RECOVERY_RATE: f64 = 0.9;
/// Exit codes of a node that was told to stop: all calls ended, or some were cut off.
const SHUTDOWN_CODES: [Option<i32>; 2] = [Some(0), Some(4)];

/// What a run saw.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakReport {
    /// Calls made.
    pub calls: usize,
    /// Calls answered with success, whole.
    pub succeeded: usize,
    /// Share of the calls in calm that were served.
    pub recovery_rate: f64,
    /// Promises broken.
    pub violations: Vec<Violation>,
    /// Lines of the nodes' logs that name calls of these.
    pub request_logs: Vec<String>,
}

/// Plays a script against nodes of this binary.
///
/// # Errors
///
/// [`SoakError`] if a process cannot be started.
pub async fn run(binary: PathBuf, schedule: &FaultSchedule) -> Result<SoakReport, SoakError> {
    let cluster = Arc::new(TestCluster::start(binary).await?);
    let mut violations = Vec::new();
    if !cluster.wait_ready().await {
        violations.push(run_violation("a fleet starts", "a node was not ready in time".to_owned()));
    }
    let stop = Arc::new(AtomicBool::new(false));
    let calls: Arc<Mutex<Vec<CallRecord>>> = Arc::default();
    let replacing = tokio::spawn(TestCluster::replace_exited(cluster.clone()));
    let callers =
        tokio::spawn(load::run(cluster.clone(), schedule.seed, stop.clone(), calls.clone()));
    violations.extend(inject_faults(&cluster, schedule).await?);
    if !cluster.wait_ready().await {
        violations
            .push(run_violation("a fleet recovers", "a node is not ready in calm".to_owned()));
    }
    tokio::time::sleep(RECOVERY_TIME).await;
    let from = Instant::now();
    tokio::time::sleep(MEASUREMENT_TIME).await;
    stop.store(true, Relaxed);
    // A caller that panicked is seen by the missing calls.
    let _ = callers.await;
    replacing.abort();
    // It keeps the world, and with it the nodes, until it has ended: nodes that outlive a run ask for their
    // store at an address that a later run's engine may have.
    let _ = replacing.await;
    let calls = std::mem::take(&mut *calls.lock());
    let recovered: Vec<&CallRecord> = calls.iter().filter(|t| t.sent_at >= from).collect();
    let good = recovered.iter().filter(|t| t.succeeded()).count();
    let recovery_rate = good as f64 / recovered.len().max(1) as f64;
    if recovery_rate < MIN_RECOVERY_RATE {
        let failed = calls.iter().filter(|t| t.sent_at >= from && !t.succeeded());
        let mut failures: BTreeMap<String, usize> = BTreeMap::new();
        failed.for_each(|t| *failures.entry(t.failure()).or_default() += 1);
        let detail = format!("{recovery_rate:.2} of calls succeeded after recovery: {failures:?}");
        violations.push(run_violation("a fleet recovers", detail));
    }
    let calls: Vec<CallRecord> = calls.into_iter().chain(cluster.take_fatal_calls()).collect();
    let (total, succeeded) = (calls.len(), calls.iter().filter(|t| t.succeeded()).count());
    violations.extend(cluster.history(calls).check());
    let request_logs =
        violations.iter().filter_map(|b| b.id.as_deref()).flat_map(|id| cluster.request_log(id));
    let request_logs = request_logs.collect();
    Ok(SoakReport { calls: total, succeeded, recovery_rate, violations, request_logs })
}

fn run_violation(invariant: &'static str, detail: String) -> Violation {
    Violation { invariant, id: None, detail }
}

/// Faults that run; a node that is being restarted is left alone.
struct Injector {
    cluster: Arc<TestCluster>,
    restarting: Mutex<HashSet<usize>>,
    serial: AtomicU64,
}

/// Begins every fault at its time and waits until all have ended.
async fn inject_faults(
    cluster: &Arc<TestCluster>,
    schedule: &FaultSchedule,
) -> Result<Vec<Violation>, SoakError> {
    let injector = Arc::new(Injector {
        cluster: cluster.clone(),
        restarting: Mutex::default(),
        serial: AtomicU64::new(1),
    });
    let start = Instant::now();
    let mut running = JoinSet::new();
    for scheduled in &schedule.faults {
        tokio::time::sleep(scheduled.at.saturating_sub(start.elapsed())).await;
        let injector = injector.clone();
        let fault = scheduled.fault;
        running.spawn(async move { injector.inject(fault).await });
    }
    let mut violations = Vec::new();
    while let Some(ended) = running.join_next().await {
        match ended {
            Ok(result) => violations.extend(result?),
            Err(e) => violations.push(run_violation("a fault ends", e.to_string())),
        }
    }
    Ok(violations)
}

impl Injector {
    /// Plays a fault and takes note of whom it disturbed.
    async fn inject(&self, fault: Fault) -> Result<Option<Violation>, SoakError> {
        let from = Instant::now();
        let violation = self.apply(fault).await;
        match fault {
            Fault::Kill(node)
            | Fault::Stop(node)
            | Fault::Pause(node, _)
            | Fault::StoreLink(node, ..)
            | Fault::SuspendVm(node)
            | Fault::StoreBlackhole(node) => self.cluster.record_node_disruption(Some(node), from),
            Fault::Store(..) | Fault::RestoreStore(..) => {
                self.cluster.record_node_disruption(None, from)
            }
            Fault::EngineLink(engine, ..) | Fault::RestartEngine(engine) => {
                self.cluster.record_engine_disruption(engine, from);
            }
            _ => {}
        }
        violation
    }

    async fn apply(&self, fault: Fault) -> Result<Option<Violation>, SoakError> {
        let cluster = &self.cluster;
        let serial = self.serial.fetch_add(1, Relaxed);
        match fault {
            Fault::Kill(node) => return self.restart_node(node, "KILL").await,
            Fault::Stop(node) => return self.restart_node(node, "TERM").await,
            Fault::Pause(node, duration) => cluster.pause_node(node, duration).await?,
            Fault::Reload(node) => cluster.signal_node(node, "HUP")?,
            Fault::StoreLink(node, link, duration) => {
                cluster.set_store_link(node, link);
                tokio::time::sleep(duration).await;
                cluster.set_store_link(node, LinkMode::Pass);
            }
            Fault::StoreBlackhole(node) => cluster.blackhole_store(node),
            Fault::Store(mode, duration) => {
                cluster.set_store_mode(mode);
                tokio::time::sleep(duration).await;
                cluster.set_store_mode(StoreMode::Up);
            }
            Fault::CompactStore => cluster.store.compact(),
            Fault::EngineLink(engine, link, duration) => {
                cluster.set_engine_link(engine, link);
                tokio::time::sleep(duration).await;
                cluster.set_engine_link(engine, LinkMode::Pass);
            }
            Fault::EngineBehavior(engine, behavior, duration) => {
                cluster.set_engine_behavior(engine, Some(behavior));
                tokio::time::sleep(duration).await;
                cluster.set_engine_behavior(engine, None);
            }
            Fault::ReplaceEngine(engine) => cluster.replace_engine(engine, serial)?,
            Fault::ToggleRoute => cluster.toggle_route(),
            Fault::RevokeKey => cluster.revoke_key(serial),
            Fault::RestartEngine(engine) => cluster.restart_engine(engine),
            Fault::ForeignEntry(text) => cluster.write_foreign_entry(serial, text),
            Fault::SuspendVm(node) => cluster.signal_node(node, "USR2")?,
            Fault::FatalRequest(node) => cluster.send_fatal_request(node, serial).await,
            Fault::RestoreStore(age, changes) => cluster.restore_store(age, changes).await,
            Fault::RetryAfter(engine, value, duration) => {
                cluster.set_retry_after(engine, Some(value));
                tokio::time::sleep(duration).await;
                cluster.set_retry_after(engine, None);
            }
            Fault::Limit(engine, limit, duration) => {
                let engine = cluster.engine(engine);
                engine.set_limits(&[limit]);
                tokio::time::sleep(duration).await;
                engine.set_limits(&[]);
            }
            Fault::DrainNotice(engine, duration) => {
                cluster.engine(engine).set_draining(true);
                tokio::time::sleep(duration).await;
                cluster.replace_engine(engine, serial)?;
            }
        }
        Ok(None)
    }

    /// Ends a node and starts it anew.
    async fn restart_node(
        &self,
        node: usize,
        signal: &str,
    ) -> Result<Option<Violation>, SoakError> {
        if !self.restarting.lock().insert(node) {
            return Ok(None);
        }
        let code = self.cluster.stop_node(node, signal).await?;
        self.cluster.start_node(node)?;
        self.restarting.lock().remove(&node);
        let bad = signal == "TERM" && !SHUTDOWN_CODES.contains(&code);
        Ok(bad.then(|| {
            run_violation("a node stops when told", format!("node {node} ended with {code:?}"))
        }))
    }
}
