//! Runs a fault schedule under load, measures recovery afterwards and checks the recorded history.

use std::collections::{BTreeMap, HashSet};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

use heathpitch_standin::{LinkMode, LogLine, StoreMode};
use parking_lot::Mutex;
use tokio::task::JoinSet;

use crate::cluster::{FATAL_BODY, TestCluster};
use crate::error::SoakError;
use crate::fault::Fault;
use crate::invariants::Violation;
use crate::load::{self, CallKind, CallRecord, FATAL_PART_BODY};
use crate::schedule::FaultSchedule;

/// Time after recovery in which the success rate is measured.
const MEASUREMENT_TIME: Duration = Duration::from_millis(2_500);
/// Time from the end of the last fault to the measurement: suspicion of engines and nodes has to clear first.
const RECOVERY_TIME: Duration = Duration::from_millis(6_000);
/// Time between requests with the fatal part meanwhile.
const FATAL_PART_INTERVAL: Duration = Duration::from_millis(300);
/// First serial of these requests.
const RECOVERY_SERIALS: u64 = 1_000_000;
/// Smallest share of calls that have to succeed after recovery.
const MIN_RECOVERY_RATE: f64 = 0.9;
/// Exit codes of a node after SIGTERM: 0 if all calls had ended, 4 if some were cut off.
const SHUTDOWN_CODES: [Option<i32>; 2] = [Some(0), Some(4)];

/// Results of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakReport {
    /// Calls made.
    pub calls: usize,
    /// Calls with a complete successful answer.
    pub succeeded: usize,
    /// Share of calls that succeeded after recovery.
    pub recovery_rate: f64,
    /// Invariants that were violated.
    pub violations: Vec<Violation>,
    /// Log lines of all nodes, each after its node, if an invariant was violated.
    pub log: Vec<String>,
    /// Those of them that mention the calls of the violations.
    pub request_logs: Vec<String>,
}

/// Runs a fault schedule against nodes started from `binary`.
///
/// # Errors
///
/// [`SoakError`] if a process cannot be started or signalled.
pub async fn run(binary: PathBuf, schedule: &FaultSchedule) -> Result<SoakReport, SoakError> {
    let cluster = Arc::new(TestCluster::start(binary, schedule.nodes).await?);
    let mut violations = Vec::new();
    if !cluster.wait_ready().await {
        violations.push(run_violation(
            "all nodes become ready",
            "a node was not ready in time after start".to_owned(),
        ));
    }
    let stop = Arc::new(AtomicBool::new(false));
    let calls: Arc<Mutex<Vec<CallRecord>>> = Arc::default();
    let replacing = tokio::spawn(TestCluster::replace_exited(cluster.clone()));
    let callers =
        tokio::spawn(load::run(cluster.clone(), schedule.seed, stop.clone(), calls.clone()));
    violations.extend(inject_faults(&cluster, schedule).await?);
    if !cluster.wait_ready().await {
        violations.push(run_violation(
            "the fleet recovers",
            "a node was not ready in time after the last fault".to_owned(),
        ));
    }
    recover(&cluster, schedule).await;
    let from = Instant::now();
    tokio::time::sleep(MEASUREMENT_TIME).await;
    stop.store(true, Relaxed);
    // A caller that panicked shows up as missing calls.
    let _ = callers.await;
    replacing.abort();
    // The task keeps the cluster, and so its nodes, alive until it has ended. Nodes that outlive their run
    // keep connecting to their store's address, which may belong to an engine of a later run.
    let _ = replacing.await;
    let calls = std::mem::take(&mut *calls.lock());
    // The route of the others may be absent.
    let counts = |c: &&CallRecord| c.sent_at >= from && c.kind != CallKind::Added;
    let recovered: Vec<&CallRecord> = calls.iter().filter(counts).collect();
    let good = recovered.iter().filter(|c| c.succeeded()).count();
    let recovery_rate = good as f64 / recovered.len().max(1) as f64;
    if recovery_rate < MIN_RECOVERY_RATE {
        let failed = recovered.iter().filter(|c| !c.succeeded());
        let mut failures: BTreeMap<String, usize> = BTreeMap::new();
        failed.for_each(|c| *failures.entry(c.failure()).or_default() += 1);
        let detail = format!("{recovery_rate:.2} of calls succeeded after recovery: {failures:?}");
        violations.push(run_violation("the fleet recovers", detail));
    }
    let calls: Vec<CallRecord> = calls.into_iter().chain(cluster.take_fatal_calls()).collect();
    let (total, succeeded) = (calls.len(), calls.iter().filter(|c| c.succeeded()).count());
    violations.extend(cluster.history(calls).check());
    let lines = if violations.is_empty() { Vec::new() } else { cluster.log() };
    let is_violated = |line: &LogLine| {
        let request = line["request"].as_str();
        request.is_some() && violations.iter().any(|v| v.id.as_deref() == request)
    };
    let text = |(node, line): &(usize, LogLine)| format!("n{node} {line}");
    let log = lines.iter().map(text).collect();
    let request_logs = lines.iter().filter(|(_, line)| is_violated(line)).map(text).collect();
    Ok(SoakReport { calls: total, succeeded, recovery_rate, violations, log, request_logs })
}

/// Waits until suspicions have cleared; requests with the fatal part go on, as disrupted nodes are not judged.
async fn recover(cluster: &TestCluster, schedule: &FaultSchedule) {
    let end = Instant::now() + RECOVERY_TIME;
    let has_part = schedule.faults.iter().any(|s| matches!(s.fault, Fault::FatalPart(_)));
    for serial in 0.. {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        if has_part {
            let body = format!("{FATAL_PART_BODY} of recovery {serial}");
            let node = serial as usize % cluster.node_count();
            cluster.send_fatal_request(node, RECOVERY_SERIALS + serial, body).await;
        }
        tokio::time::sleep(left.min(FATAL_PART_INTERVAL)).await;
    }
}

fn run_violation(invariant: &'static str, detail: String) -> Violation {
    Violation { invariant, id: None, detail }
}

/// Injects faults; a node that is already restarting is not restarted again.
struct Injector {
    cluster: Arc<TestCluster>,
    restarting: Mutex<HashSet<usize>>,
    serial: AtomicU64,
}

/// Starts every fault at its scheduled time and waits until all have ended.
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
    while let Some(joined) = running.join_next().await {
        match joined {
            Ok(result) => violations.extend(result?),
            Err(e) => violations.push(run_violation("fault injection completes", e.to_string())),
        }
    }
    Ok(violations)
}

impl Injector {
    /// Injects a fault and records which node or engine it disrupted.
    async fn inject(&self, fault: Fault) -> Result<Option<Violation>, SoakError> {
        let from = Instant::now();
        let violation = self.apply(fault).await;
        match fault {
            Fault::Kill(node)
            | Fault::Stop(node)
            | Fault::Pause(node, _)
            | Fault::StoreLink(node, ..)
            | Fault::SuspendVm(node)
            | Fault::CutFromEngines(node, ..)
            | Fault::StoreBlackhole(node) => self.cluster.record_node_disruption(Some(node), from),
            Fault::PausePeers(node, _) | Fault::CutPeers(node, _) => {
                let peers = self.cluster.domain_peers(node).into_iter();
                peers.for_each(|peer| self.cluster.record_node_disruption(Some(peer), from));
            }
            Fault::KillOthers(node) => {
                let others = (0..self.cluster.node_count()).filter(|other| *other != node);
                others.for_each(|other| self.cluster.record_node_disruption(Some(other), from));
            }
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
            Fault::PausePeers(node, duration) => {
                let peers = cluster.domain_peers(node).into_iter();
                let paused = peers.map(|peer| cluster.pause_node(peer, duration));
                futures::future::try_join_all(paused).await?;
            }
            Fault::StandStill(duration, delay) => cluster.stand_still(duration, delay).await?,
            Fault::CutPeers(node, duration) => {
                let set = |mode| {
                    let peers = cluster.domain_peers(node).into_iter();
                    peers.for_each(|peer| cluster.set_store_link(peer, mode));
                };
                set(LinkMode::Blackhole);
                tokio::time::sleep(duration).await;
                set(LinkMode::Pass);
            }
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
            Fault::RefuseStoreCalls(percentage, duration) => {
                cluster.set_store_mode(StoreMode::RefuseCalls(percentage));
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
            Fault::InvalidPart(part, duration) => {
                cluster.set_invalid_part(Some(part));
                tokio::time::sleep(duration).await;
                cluster.set_invalid_part(None);
            }
            Fault::RestartEngine(engine) => cluster.restart_engine(engine),
            Fault::ForeignEntry(text) => cluster.write_foreign_entry(serial, text),
            Fault::SuspendVm(node) => cluster.signal_node(node, "USR2")?,
            Fault::HoldUp(node) => cluster.signal_node(node, "USR1")?,
            Fault::KillOthers(node) => {
                let others = (0..cluster.node_count()).filter(|other| *other != node);
                let killed = others.map(|other| self.restart_node(other, "KILL"));
                futures::future::try_join_all(killed).await?;
            }
            Fault::FatalRequest(node) => {
                cluster.send_fatal_request(node, serial, FATAL_BODY.to_owned()).await;
            }
            Fault::FatalPart(node) => {
                let body = format!("{FATAL_PART_BODY} {serial}");
                cluster.send_fatal_request(node, serial, body).await;
            }
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
            Fault::CutFromEngines(node, mode, scope, duration) => {
                cluster.cut_from_engines(node, Some((mode, scope)));
                tokio::time::sleep(duration).await;
                cluster.cut_from_engines(node, None);
            }
            Fault::DrainNotice(engine, duration) => {
                cluster.engine(engine).set_draining(true);
                tokio::time::sleep(duration).await;
                cluster.replace_engine(engine, serial)?;
            }
        }
        Ok(None)
    }

    /// Stops a node with a signal and starts it again.
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
        let unclean = signal == "TERM" && !SHUTDOWN_CODES.contains(&code);
        Ok(unclean.then(|| {
            run_violation("a node shuts down cleanly", format!("node {node} exited with {code:?}"))
        }))
    }
}
