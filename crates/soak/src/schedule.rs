//! What goes wrong when, drawn from a seed.

use std::ops::Range;
use std::time::Duration;

use heathpitch_standin::{Behavior, LinkMode, StoreMode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Nodes of a run.
pub(crate) const NODES: usize = 3;
/// Plain engines of a run.
pub(crate) const PLAIN_ENGINES: usize = 3;
/// Engines of a run that hold layers: two copies of both halves of the model.
pub(crate) const LAYERED_ENGINES: usize = 4;

/// Something that goes wrong, or planned work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A node is killed and started anew.
    Kill(usize),
    /// A node is told to stop, with calls open, and started anew.
    Stop(usize),
    /// A node stands still.
    Pause(usize, Duration),
    /// A node reads its settings again.
    Reload(usize),
    /// A node's link to the store is spoilt.
    StoreLink(usize, LinkMode, Duration),
    /// A node's connections to the store fall silent for good; new ones work.
    StoreBlackhole(usize),
    /// The store misbehaves for all.
    Store(StoreMode, Duration),
    /// The store forgets its history.
    CompactStore,
    /// The link to an engine is spoilt.
    EngineLink(usize, LinkMode, Duration),
    /// An engine treats requests in another way.
    EngineBehavior(usize, Behavior, Duration),
    /// A plain engine leaves and another one comes.
    ReplaceEngine(usize),
    /// A route comes or goes.
    ToggleRoute,
    /// A key is taken away.
    RevokeKey,
    /// An engine starts again under its id and holds nothing.
    RestartEngine(usize),
    /// Another writer puts this in an entry's place.
    ForeignEntry(&'static str),
    /// A node's VM is suspended for ten seconds, as far as its clocks show.
    SuspendVm(usize),
    /// The request that ends every engine which begins to run it comes to a node.
    FatalRequest(usize),
    /// The store comes back from a copy this old, and has taken so many changes of others since.
    RestoreStore(Duration, u64),
    /// An engine turns everybody away for a while, and tells this Retry-After.
    RetryAfter(usize, &'static str, Duration),
    /// A plain engine says in its answers that it leaves, for a while before its entry does, and another comes.
    DrainNotice(usize, Duration),
    /// An engine names this limit of requests a second for a while.
    Limit(usize, &'static str, Duration),
}

/// What engines that turn requests away tell.
const RETRY_AFTER_VALUES: [&str; 8] = ["3", "1", "0.7", "2.25", "0", "soon", "-1", "4"];

/// What engines name that take so many requests a second from all nodes together.
const LIMIT_VALUES: [&str; 8] = ["3", "0.7", "1.5", "0", "few", "6", "2.25", "1e9"];

/// What other writers put in an entry's place.
const FOREIGN_ENTRIES: [&str; 5] = [
    "null",
    r#"["api","127.0.0.1:9","mem",8,"ready"]"#,
    r#"{"service":"api","address":"127.0.0.1:9","zone":"mem","slots":8}"#,
    r#"{"service":"api","address":"127.0.0.1:9","zone":"mem","slots":8,"state":"asleep"}"#,
    r#"{"service":7,"address":"127.0.0.1:9","zone":"mem","slots":8,"state":"ready"}"#,
];
/// Added to a seed, so that what is added to a script is not drawn with it.
const RESTART_SALT: u64 = 0x11fe;
/// The same for suspended VMs and fatal requests.
const CRASH_SALT: u64 = 0xe2d5;

/// The same for what engines ask for.
const BACKPRESSURE_SALT: u64 = 0x3e57;

/// The same for returns of the store.
const RESTORE_SALT: u64 = 0x4e7a;

/// The same for limits that engines name.
const LIMIT_SALT: u64 = 0x11a7;

/// A fault and when it begins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Time from the start of the load.
    pub at: Duration,
    /// What happens.
    pub fault: Fault,
}

/// Faults of a run, in order.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultSchedule {
    /// Seed it was drawn from.
    pub seed: u64,
    /// Time for which faults begin.
    pub duration: Duration,
    /// The faults.
    pub faults: Vec<ScheduledFault>,
}

/// # Construction
impl FaultSchedule {
    /// Draws a script; faults come in bursts, so that some overlap.
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
        Self { seed, duration, faults }
    }
}

/// # Additions, drawn apart, so that the rest of a seed's script stays as it is
impl FaultSchedule {
    /// The same with VMs that are suspended and a request that ends engines.
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

    /// The same with a store that comes back older, once or twice.
    #[must_use]
    pub fn with_store_restores(self) -> Self {
        self.with_faults(RESTORE_SALT, 500..5_000, |rng| {
            let age = random_millis(rng, 300..3_000);
            let fault = Fault::RestoreStore(age, rng.random_range(0..200));
            (fault, age + random_millis(rng, 100..8_000))
        })
    }

    /// The same with engines that ask for rest, or say that they leave before their entries do.
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

    /// The same with engines that name limits, for longer than nodes need to hear of them.
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

    /// The same with engines that start again under their ids and entries of other writers.
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

    /// The same with faults that `draw` gives, each with the time to the next; the first one comes `first`
    /// milliseconds from the start.
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

/// An engine leaves soon after a node's link to the store was spoilt: the node may not have heard of it.
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
