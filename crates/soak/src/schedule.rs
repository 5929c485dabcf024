//! Schedules of faults, generated from a seed.

use std::ops::Range;
use std::time::Duration;

use heathpitch_standin::{Behavior, LinkMode, Scope, StoreMode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fault::{Fault, InvalidPart};

/// Nodes in a run without several configuration changes.
pub(crate) const NODES: usize = 3;
/// Nodes in a run with configuration changes: several nodes of a failure domain can be stopped beside one that runs.
pub(crate) const CONFIG_NODES: usize = 5;
/// Nodes in a run in which all of them stand still at once. All but two belong to the first failure domain, in which some
/// are no standbys of its planner.
pub(crate) const STANDSTILL_NODES: usize = 9;
/// Engines without layers in a run.
pub(crate) const PLAIN_ENGINES: usize = 3;
/// Engines that hold layers in a run: two copies of each half of the model.
pub(crate) const LAYERED_ENGINES: usize = 4;

/// Largest percentage of calls that the store refuses.
const MAX_REFUSED: u8 = 60;

/// Invalid parts that concern none of the calls.
const INVALID_PARTS: [InvalidPart; 7] = [
    ("routes", "null"),
    ("routes", r#"{"name":"odd","host":"desk.example","pathPrefix":"/odd/","kind":"unheard_of"}"#),
    ("services", r#"{"name":"odd","healthPath":"/health","maxConns":-1}"#),
    ("tenants", r#"{"name":"two\nlines","apiKeys":["key-of-lines"]}"#),
    ("tenants", "null"),
    ("limits", r#"{"maxHeaderBytes":16384,"maxBodyBytes":-1}"#),
    ("limits", "null"),
];

/// Retry-After values of engines that refuse requests.
const RETRY_AFTER_VALUES: [&str; 8] = ["3", "1", "0.7", "2.25", "0", "soon", "-1", "4"];

/// Rate limits that engines set for all nodes together, in requests per second.
const LIMIT_VALUES: [&str; 8] = ["3", "0.7", "1.5", "0", "few", "6", "2.25", "1e9"];

/// Invalid engine entries of other writers.
const FOREIGN_ENTRIES: [&str; 5] = [
    "null",
    r#"["api","127.0.0.1:9","mem",8,"ready"]"#,
    r#"{"service":"api","address":"127.0.0.1:9","zone":"mem","slots":8}"#,
    r#"{"service":"api","address":"127.0.0.1:9","zone":"mem","slots":8,"state":"asleep"}"#,
    r#"{"service":7,"address":"127.0.0.1:9","zone":"mem","slots":8,"state":"ready"}"#,
];
/// How a node's links to all engines are disrupted.
const CUT_MODES: [LinkMode; 3] = [LinkMode::Blackhole, LinkMode::Reset, LinkMode::OneWay];

/// Added to the seed, so that restarts and foreign entries are drawn from a random generator of their own.
const RESTART_SALT: u64 = 0x11fe;
/// Likewise for suspended VMs and fatal requests.
const CRASH_SALT: u64 = 0xe2d5;

/// Likewise for requests with a part of a prompt that crashes engines.
const PART_SALT: u64 = 0x9a27;

/// Likewise for backpressure from engines.
const BACKPRESSURE_SALT: u64 = 0x3e57;

/// Likewise for restores of the store.
const RESTORE_SALT: u64 = 0x4e7a;

/// Likewise for rate limits that engines set.
const LIMIT_SALT: u64 = 0x11a7;

/// Likewise for configuration changes.
const CONFIG_SALT: u64 = 0xc0f1;

/// Likewise for invalid parts of the configuration.
const PARTS_SALT: u64 = 0x1b4d;

/// Likewise for nodes that are silent beside configuration changes.
const SILENCE_SALT: u64 = 0x51e7;

/// Likewise for calls that the store refuses beside configuration changes.
const REFUSAL_SALT: u64 = 0x429a;

/// Likewise for sources that are cut off from the store.
const SOURCES_SALT: u64 = 0x50c3;

/// Likewise for times in which all nodes and the store stand still.
const STANDSTILL_SALT: u64 = 0x57d1;

/// Likewise for control threads that are held up, and for restarts of most nodes.
const HOLD_UP_SALT: u64 = 0x401d;

/// Likewise for nodes that are cut off from all engines.
const CUT_SALT: u64 = 0x0c07;

/// A fault and its start time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Time since the start of the load.
    pub at: Duration,
    /// The fault to inject.
    pub fault: Fault,
}

/// Faults of a run in order of time.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultSchedule {
    /// Seed that it was generated from.
    pub seed: u64,
    /// Nodes, in two failure domains.
    pub nodes: usize,
    /// Time within which faults start.
    pub duration: Duration,
    /// Scheduled faults.
    pub faults: Vec<ScheduledFault>,
}

/// # Construction
impl FaultSchedule {
    /// A schedule without faults.
    pub fn empty(seed: u64, duration: Duration) -> Self {
        Self { seed, nodes: NODES, duration, faults: Vec::new() }
    }

    /// Generates a schedule; faults come in bursts, so that some overlap.
    pub fn generate(seed: u64, duration: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at = Duration::from_millis(500);
        while at < duration {
            let scheduled = ScheduledFault { at, fault: random_fault(&mut rng) };
            faults.push(scheduled);
            faults.extend(follow_up(&mut rng, scheduled).into_iter().filter(|s| s.at < duration));
            let gap = if rng.random_bool(0.4) { 0..150 } else { 300..1_500 };
            at += Duration::from_millis(rng.random_range(gap));
        }
        faults.sort_by_key(|s| s.at);
        Self { seed, nodes: NODES, duration, faults }
    }
}

/// # Extensions, which leave the faults already scheduled for a seed unchanged
impl FaultSchedule {
    /// Adds suspended VMs and requests that crash engines.
    #[must_use]
    pub fn with_crashes(self) -> Self {
        self.with_faults(CRASH_SALT, 500..2_000, |rng| {
            let node = rng.random_range(0..NODES);
            let fault = if rng.random_bool(0.2) {
                Fault::SuspendVm(node)
            } else {
                Fault::FatalRequest(node)
            };
            (fault, random_millis(rng, 100..2_000))
        })
    }

    /// Adds requests of which no two are alike, with a part of a prompt that crashes engines.
    #[must_use]
    pub fn with_part_crashes(self) -> Self {
        self.with_faults(PART_SALT, 200..2_000, |rng| {
            (Fault::FatalPart(rng.random_range(0..NODES)), random_millis(rng, 100..800))
        })
    }

    /// Adds control threads that are held up, often several at once, and restarts of most nodes.
    #[must_use]
    pub fn with_hold_ups(self) -> Self {
        self.with_faults(HOLD_UP_SALT, 500..3_000, |rng| {
            let node = rng.random_range(0..NODES);
            match rng.random_bool(0.75) {
                true => (Fault::HoldUp(node), random_millis(rng, 50..2_500)),
                false => (Fault::KillOthers(node), random_millis(rng, 500..4_000)),
            }
        })
    }

    /// Adds restores of the store from an older snapshot, usually one or two.
    #[must_use]
    pub fn with_store_restores(self) -> Self {
        self.with_faults(RESTORE_SALT, 500..5_000, |rng| {
            let age = random_millis(rng, 300..3_000);
            let fault = Fault::RestoreStore(age, rng.random_range(0..200));
            (fault, age + random_millis(rng, 100..8_000))
        })
    }

    /// Adds engines that send Retry-After, or that announce draining before their entries do.
    #[must_use]
    pub fn with_backpressure(self) -> Self {
        self.with_faults(BACKPRESSURE_SALT, 300..2_000, |rng| {
            let time = random_millis(rng, 200..2_500);
            let fault = match rng.random_bool(0.7) {
                true => {
                    let value = RETRY_AFTER_VALUES[rng.random_range(0..RETRY_AFTER_VALUES.len())];
                    Fault::RetryAfter(
                        rng.random_range(0..PLAIN_ENGINES + LAYERED_ENGINES),
                        value,
                        time,
                    )
                }
                false => Fault::DrainNotice(rng.random_range(0..PLAIN_ENGINES), time),
            };
            (fault, random_millis(rng, 100..2_500))
        })
    }

    /// Adds engines that set rate limits, some for longer than the limits take to reach all nodes.
    #[must_use]
    pub fn with_limits(self) -> Self {
        self.with_faults(LIMIT_SALT, 100..1_000, |rng| {
            let limit = LIMIT_VALUES[rng.random_range(0..LIMIT_VALUES.len())];
            let time = random_millis(rng, 1_000..10_000);
            let fault =
                Fault::Limit(rng.random_range(0..PLAIN_ENGINES + LAYERED_ENGINES), limit, time);
            (fault, random_millis(rng, 200..3_000))
        })
    }

    /// Adds nodes that are cut off from all engines, sometimes several or all at once.
    #[must_use]
    pub fn with_cuts(self) -> Self {
        self.with_faults(CUT_SALT, 200..2_500, |rng| {
            let mode = CUT_MODES[rng.random_range(0..CUT_MODES.len())];
            let scope = if rng.random_bool(0.7) { Scope::All } else { Scope::New };
            let time = random_millis(rng, 300..5_000);
            let fault = Fault::CutFromEngines(rng.random_range(0..NODES), mode, scope, time);
            (fault, random_millis(rng, 50..3_000))
        })
    }

    /// Adds configuration changes, most of them while other nodes of a failure domain are stopped or cut off from the
    /// store, in a cluster of five nodes.
    #[must_use]
    pub fn with_config_changes(mut self) -> Self {
        self.nodes = CONFIG_NODES;
        let changes = self.with_faults(CONFIG_SALT, 300..1_500, |rng| {
            let fault = if rng.random_bool(0.2) { Fault::RevokeKey } else { Fault::ToggleRoute };
            (fault, random_millis(rng, 400..2_500))
        });
        changes.with_faults(SILENCE_SALT, 3_500..5_000, |rng| {
            let (node, time) =
                (rng.random_range(0..CONFIG_NODES), random_millis(rng, 3_500..9_000));
            let fault = match rng.random_bool(0.7) {
                true => Fault::PausePeers(node, time),
                false => Fault::StoreLink(node, LinkMode::Blackhole, time),
            };
            // Most start when all nodes are in touch again.
            let gap = match rng.random_bool(0.7) {
                true => time + random_millis(rng, 3_100..4_500),
                false => random_millis(rng, 300..3_000),
            };
            (fault, gap)
        })
    }

    /// Adds times in which the store refuses some calls, which is no disturbance of any node.
    #[must_use]
    pub fn with_refused_calls(self) -> Self {
        self.with_faults(REFUSAL_SALT, 300..3_000, |rng| {
            let time = random_millis(rng, 2_000..8_000);
            let fault = Fault::RefuseStoreCalls(rng.random_range(10..=MAX_REFUSED), time);
            (fault, time + random_millis(rng, 200..2_000))
        })
    }

    /// Adds times in which all other nodes of a failure domain answer polls and do not reach the store.
    #[must_use]
    pub fn with_cut_sources(self) -> Self {
        self.with_faults(SOURCES_SALT, 300..3_000, |rng| {
            let time = random_millis(rng, 2_000..9_000);
            let fault = Fault::CutPeers(rng.random_range(0..CONFIG_NODES), time);
            (fault, time + random_millis(rng, 500..5_000))
        })
    }

    /// Adds times in which all nodes and the store stand still, in a cluster of nine nodes; the store answers a little later.
    #[must_use]
    pub fn with_standstills(mut self) -> Self {
        self.nodes = STANDSTILL_NODES;
        self.with_faults(STANDSTILL_SALT, 2_500..5_000, |rng| {
            let time = random_millis(rng, 500..3_500);
            let fault = Fault::StandStill(time, random_millis(rng, 0..400));
            (fault, time + random_millis(rng, 1_500..6_000))
        })
    }

    /// Adds invalid parts of the configuration.
    #[must_use]
    pub fn with_invalid_parts(self) -> Self {
        self.with_faults(PARTS_SALT, 300..2_500, |rng| {
            let part = INVALID_PARTS[rng.random_range(0..INVALID_PARTS.len())];
            let time = random_millis(rng, 1_000..6_000);
            (Fault::InvalidPart(part, time), time + random_millis(rng, 200..2_000))
        })
    }

    /// Adds engines that restart under the same id, and entries of other writers.
    #[must_use]
    pub fn with_restarts(self) -> Self {
        self.with_faults(RESTART_SALT, 500..3_000, |rng| {
            let fault = match rng.random_bool(0.6) {
                true => Fault::RestartEngine(rng.random_range(0..PLAIN_ENGINES + LAYERED_ENGINES)),
                false => {
                    Fault::ForeignEntry(FOREIGN_ENTRIES[rng.random_range(0..FOREIGN_ENTRIES.len())])
                }
            };
            (fault, random_millis(rng, 200..4_000))
        })
    }

    /// Adds faults from `generate`, each with the time to the next; the first starts `first` milliseconds
    /// after the load.
    fn with_faults(
        mut self,
        salt: u64,
        first: Range<u64>,
        generate: impl Fn(&mut StdRng) -> (Fault, Duration),
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(self.seed.wrapping_add(salt));
        let mut at = random_millis(&mut rng, first);
        while at < self.duration {
            let (fault, gap) = generate(&mut rng);
            self.faults.push(ScheduledFault { at, fault });
            at += gap;
        }
        self.faults.sort_by_key(|s| s.at);
        self
    }
}

fn random_millis(rng: &mut StdRng, range: Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

fn random_fault(rng: &mut StdRng) -> Fault {
    let node = rng.random_range(0..NODES);
    let engine = rng.random_range(0..PLAIN_ENGINES + LAYERED_ENGINES);
    let time = Duration::from_millis(rng.random_range(200..3_000));
    match rng.random_range(0..15) {
        0 => Fault::Kill(node),
        1 | 2 => Fault::Stop(node),
        3 => Fault::Pause(node, time),
        4 => Fault::Reload(node),
        5 | 6 => Fault::StoreLink(node, random_link(rng), time),
        7 => Fault::Store(random_mode(rng), time),
        8 => Fault::CompactStore,
        9 => Fault::EngineLink(engine, random_link(rng), time),
        10 => Fault::EngineBehavior(engine, random_behavior(rng, engine), time),
        11 => Fault::ReplaceEngine(rng.random_range(0..PLAIN_ENGINES)),
        12 => Fault::ToggleRoute,
        13 => Fault::StoreBlackhole(node),
        _ => Fault::RevokeKey,
    }
}

/// Replaces an engine soon after a node's link to the store was disrupted, when the node may not yet have
/// learned of the change.
fn follow_up(rng: &mut StdRng, scheduled: ScheduledFault) -> Option<ScheduledFault> {
    let time = match scheduled.fault {
        Fault::StoreLink(_, _, time) => time,
        Fault::StoreBlackhole(_) => Duration::ZERO,
        _ => return None,
    };
    let later = Duration::from_millis(rng.random_range(0..2_500));
    Some(ScheduledFault {
        at: scheduled.at + time + later,
        fault: Fault::ReplaceEngine(rng.random_range(0..PLAIN_ENGINES)),
    })
}

fn random_link(rng: &mut StdRng) -> LinkMode {
    match rng.random_range(0..4) {
        0 => LinkMode::Delay(Duration::from_millis(rng.random_range(5..400))),
        1 => LinkMode::OneWay,
        2 => LinkMode::Blackhole,
        _ => LinkMode::Reset,
    }
}

fn random_mode(rng: &mut StdRng) -> StoreMode {
    match rng.random_range(0..3) {
        0 => StoreMode::Unavailable,
        1 => StoreMode::Hang,
        _ => StoreMode::LoseWriteResponses,
    }
}

fn random_behavior(rng: &mut StdRng, engine: usize) -> Behavior {
    match rng.random_range(0..6) {
        0 => Behavior::Refuse,
        1 => Behavior::DropConnection,
        2 => Behavior::Fail(500),
        3 if engine >= PLAIN_ENGINES => Behavior::TruncateAfter(rng.random_range(0..15)),
        3 => Behavior::WrongId,
        4 => Behavior::NoDigest,
        _ => Behavior::Hang,
    }
}
