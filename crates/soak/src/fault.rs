//! Faults that a run injects.

use std::time::Duration;

use heathpitch_standin::{Behavior, LinkMode, Scope, StoreMode};

/// A part of a configuration that nodes cannot use: its section, and its JSON.
pub type InvalidPart = (&'static str, &'static str);

/// A fault or an operator action.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Kills a node and starts it again.
    Kill(usize),
    /// Shuts a node down while calls are open and starts it again.
    Stop(usize),
    /// Stops a node process with SIGSTOP for a time.
    Pause(usize, Duration),
    /// Stops all other nodes of a node's failure domain with SIGSTOP for a time.
    PausePeers(usize, Duration),
    /// Stops all nodes and the store for the first time, as on a machine that stands still, and the store for the second one
    /// longer; adds or removes a route as this begins.
    StandStill(Duration, Duration),
    /// Has a node reload its settings.
    Reload(usize),
    /// Cuts all other nodes of a node's failure domain off from the store for a time; they go on answering polls.
    CutPeers(usize, Duration),
    /// Disrupts a node's link to the store.
    StoreLink(usize, LinkMode, Duration),
    /// Drops all traffic on a node's open connections to the store; new connections work.
    StoreBlackhole(usize),
    /// Makes the store fail for all nodes.
    Store(StoreMode, Duration),
    /// Has the store refuse a percentage of the calls that are no watches, as it does beyond its rates.
    RefuseStoreCalls(u8, Duration),
    /// Compacts the store's history.
    CompactStore,
    /// Disrupts the link to an engine.
    EngineLink(usize, LinkMode, Duration),
    /// Changes how an engine answers requests.
    EngineBehavior(usize, Behavior, Duration),
    /// Drains a plain engine and starts another one.
    ReplaceEngine(usize),
    /// Adds or removes a route.
    ToggleRoute,
    /// Revokes an API key.
    RevokeKey,
    /// Keeps an invalid part in the configuration for a time.
    InvalidPart(InvalidPart, Duration),
    /// Restarts an engine under the same id, without any layers.
    RestartEngine(usize),
    /// Writes this value of another writer as an engine entry.
    ForeignEntry(&'static str),
    /// Holds up a node's control thread, as a task that runs for long does.
    HoldUp(usize),
    /// Kills all nodes but one at the same moment and starts them again.
    KillOthers(usize),
    /// Makes a node's clocks show that its VM was suspended for ten seconds.
    SuspendVm(usize),
    /// Sends a node the request that crashes every engine which starts to run it.
    FatalRequest(usize),
    /// Sends a node a new request with the part of a prompt that crashes every engine which starts to run it.
    FatalPart(usize),
    /// Restores the store from a snapshot of this age, with this many later changes by others.
    RestoreStore(Duration, u64),
    /// Has an engine refuse all requests with this Retry-After value.
    RetryAfter(usize, &'static str, Duration),
    /// Has a plain engine announce draining in its answers, this long before its entry does and another
    /// engine replaces it.
    DrainNotice(usize, Duration),
    /// Has an engine set this rate limit in requests per second.
    Limit(usize, &'static str, Duration),
    /// Disrupts the links of a node to all engines, for all its connections or for new ones.
    CutFromEngines(usize, LinkMode, Scope, Duration),
}
