//! Events of a gateway's log, each with a stable name.

use heathpitch_core::{LayerRange, Millis, Name, Path, Rate, RequestFingerprint, Revision};
use heathpitch_policy::LayoutReason;
use serde::Serialize;

/// A line of the log; neither bodies nor keys stand in any.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum GatewayEvent {
    /// The node listens.
    GatewayStarted {
        /// Node.
        node: Name,
        /// Failure domain.
        domain: Name,
        /// Address for callers.
        listen: String,
        /// Address of the balancer's check.
        ready: String,
        /// Address of metrics.
        metrics: String,
        /// Address for other nodes.
        peer: Option<String>,
    },
    /// Settings were read again.
    GatewayReloaded {
        /// What is wrong with them, if they were not taken.
        error: Option<String>,
    },
    /// The node was told to stop.
    GatewayStopping {
        /// Calls open.
        open: usize,
    },
    /// The node has stopped.
    GatewayStopped {
        /// Calls cut off.
        cut: usize,
    },
    /// A call was refused or given up.
    CallRefused {
        /// Call.
        request: String,
        /// Status answered.
        status: u16,
        /// Stable kind.
        kind: &'static str,
        /// What was found.
        detail: String,
        /// When the caller is told to come back.
        back_ms: Option<Millis>,
        /// Version of the configuration in force.
        config: u64,
        /// Age of the proof that it is the newest.
        proof_ms: Option<Millis>,
    },
    /// A call was sent to an engine.
    CallRouted {
        /// Call.
        request: String,
        /// Client account.
        account: Option<Name>,
        /// Route.
        route: Name,
        /// Attempt, from 1.
        attempt: u32,
        /// Engine asked.
        engine: Name,
        /// Other parts of the path.
        parts: Vec<(Name, LayerRange)>,
        /// Event after which a stream goes on.
        after: Option<u64>,
        /// Time left.
        left_ms: Millis,
        /// Version of the configuration in force.
        config: u64,
        /// Age of the proof that the engines known are those that the store lists.
        list_ms: Option<Millis>,
    },
    /// An attempt failed.
    CallAttemptFailed {
        /// Call.
        request: String,
        /// Attempt, from 1.
        attempt: u32,
        /// Engine asked.
        engine: Name,
        /// What happened.
        error: String,
        /// Whether it is certain that the call did not run there.
        not_run: bool,
        /// Events passed on so far.
        events: u64,
        /// Print of the request, if it may have run there: the same for calls that are the same request.
        print: Option<RequestFingerprint>,
    },
    /// A running call was moved to other engines.
    CallRerouted {
        /// Call.
        request: String,
        /// Engine that is left.
        leaving: Option<Name>,
        /// Parts of the new path.
        parts: Vec<(Name, LayerRange)>,
        /// How long nothing had been heard.
        silent_ms: Millis,
        /// What the first engine said.
        result: String,
    },
    /// A call is over.
    CallEnded {
        /// Call.
        request: String,
        /// Status answered.
        status: u16,
        /// Whether its answer is whole.
        whole: bool,
        /// Attempts made.
        attempts: u32,
        /// Events passed on.
        events: u64,
        /// Time to the head of the answer.
        first_ms: Millis,
        /// Time taken.
        ms: Millis,
        /// Longest pause between events.
        pause_ms: Millis,
    },
    /// A configuration is in force.
    ConfigAdopted {
        /// Version.
        version: u64,
        /// Revision of the store.
        revision: Revision,
        /// Routes in it.
        routes: usize,
    },
    /// A configuration cannot be used; the one before stays in force.
    ConfigRejected {
        /// Revision of the store.
        revision: Revision,
        /// What is wrong.
        error: String,
    },
    /// A watch got no answer; what it watched is read anew.
    WatchLost {
        /// What it watched.
        of: &'static str,
        /// How long ago it was asked.
        asked_ms: Millis,
        /// What failed.
        error: String,
    },
    /// The store told of engines.
    #[serde(rename = "engines_heard")]
    EnginesReceived {
        /// Call that it answered.
        by: &'static str,
        /// How long ago that call was sent.
        asked_ms: Millis,
        /// Entries or changes told.
        entries: usize,
    },
    /// An engine is listed, or its entry changed.
    EngineListed {
        /// Engine.
        engine: Name,
        /// Service.
        service: Name,
        /// Failure domain.
        domain: Name,
        /// Whether it leaves.
        leaving: bool,
        /// Layers it holds.
        layers: LayerRange,
        /// Unix time of its start, milliseconds, if it tells that.
        born: Option<Millis>,
    },
    /// Many engines are listed, or their entries changed, at once.
    EnginesListed {
        /// Engines, and the layers they hold.
        engines: Vec<(Name, LayerRange)>,
    },
    /// An engine's entry is gone or cannot be read.
    EngineGone {
        /// Engine.
        engine: String,
        /// Why.
        why: &'static str,
    },
    /// An engine has started again under its id: what was known of its last life is forgotten.
    #[serde(rename = "engine_reborn")]
    EngineRestarted {
        /// Engine.
        engine: Name,
        /// Unix time of its start, milliseconds.
        born: Option<Millis>,
        /// What told of it.
        by: &'static str,
    },
    /// An engine has ended while calls of this node ran there: it refuses connections.
    EngineEnded {
        /// Engine.
        engine: Name,
        /// Calls of this node that were lost with it.
        calls: usize,
        /// Those that had brought least: their prints and events, at most sixteen.
        youngest: Vec<(RequestFingerprint, u32)>,
    },
    /// Another node told of engines that ended under requests.
    #[serde(rename = "ends_heard")]
    ExitsReceived {
        /// Node.
        by: Name,
        /// Ends that are new to this node, or void since.
        ends: usize,
    },
    /// A request is sent nowhere any more.
    RequestHeldBack {
        /// Print of the request.
        print: RequestFingerprint,
        /// Engines that ended under it: events it had brought, and how long ago that became known.
        ends: Vec<(Name, u32, Millis)>,
        /// What decided it.
        why: &'static str,
    },
    /// A request that was held back may be sent again.
    RequestLetThrough {
        /// Print of the request.
        print: RequestFingerprint,
        /// What decided it.
        why: &'static str,
    },
    /// An engine is kept from new work.
    #[serde(rename = "engine_doubted")]
    EngineSuspected {
        /// Engine.
        engine: Name,
        /// What it did.
        why: &'static str,
        /// For how long.
        for_ms: Millis,
    },
    /// An engine asked this node for rest, said that it leaves, or named another limit than before, or none any more.
    #[serde(rename = "engine_wished")]
    EngineBackpressure {
        /// Engine.
        engine: Name,
        /// What it answered: a call, by its id, or a question of this node's own.
        answer: String,
        /// Status of that answer.
        status: u16,
        /// Time for which it wants nothing from this node, if it says so.
        rest_ms: Option<Millis>,
        /// Whether it leaves.
        leaves: bool,
        /// Requests a second that it takes from all nodes together, if it names a limit.
        limit: Option<Rate>,
    },
    /// An engine leaves by its own word, whatever its entry says.
    #[serde(rename = "engine_leaves")]
    EngineDraining {
        /// Engine.
        engine: Name,
        /// How long ago it said so.
        age_ms: Millis,
        /// Who heard it.
        by: &'static str,
    },
    /// The planner of a failure domain wrote the limits of its engines to the store.
    LimitsStored {
        /// Engines that name a limit.
        engines: usize,
        /// Revision of the record.
        revision: Revision,
    },
    /// An engine named another limit than was known, or none any more, to this node or to another one.
    EngineLimited {
        /// Engine.
        engine: Name,
        /// Requests a second that it takes from all nodes together, if it names a limit.
        limit: Option<Rate>,
        /// How long ago it said so.
        age_ms: Millis,
        /// Who heard it.
        by: &'static str,
    },
    /// A node began or ceased to hand out rights for engines that name a limit to this one.
    RightsChanged {
        /// That node, the planner of the engine's failure domain.
        planner: Name,
        /// Its failure domain.
        domain: Name,
        /// Whether it hands out rights.
        active: bool,
        /// What decided it.
        why: String,
    },
    /// An engine that said that it leaves is still there long after, and does not say so any more.
    #[serde(rename = "engine_stays")]
    EngineDrainCancelled {
        /// Engine.
        engine: Name,
    },
    /// An engine is slower than its card by another factor than before.
    #[serde(rename = "engine_paced")]
    EngineSlowdown {
        /// Engine.
        engine: Name,
        /// The factor, 1 if it is as it should be.
        pace: f64,
    },
    /// The planner has worked out which engines of its failure domain are to hold other layers.
    LayoutPlanned {
        /// Service.
        service: Name,
        /// Engines that can be planned with.
        engines: usize,
        /// How many of them hold nothing before.
        empty: usize,
        /// Copies, before, of the layer that has the fewest.
        copies: usize,
        /// Engines that are ordered now.
        moves: usize,
    },
    /// An engine was ordered to hold layers.
    LayersOrdered {
        /// Engine.
        engine: Name,
        /// Layers.
        layers: LayerRange,
        /// Why.
        reason: LayoutReason,
        /// Orders it had begun.
        orders: u64,
        /// What it said.
        result: String,
    },
    /// The VM was suspended, and goes on.
    VmSuspended {
        /// For how long.
        ms: Millis,
        /// Age of the proof that the configuration is the newest, now that this counts.
        proof_ms: Option<Millis>,
        /// Age of the proof that the engines known are those that the store lists.
        list_ms: Option<Millis>,
    },
    /// This node began or ceased to plan its failure domain.
    DomainPlanner {
        /// Whether it plans now.
        active: bool,
        /// What decided it.
        why: &'static str,
    },
    /// Another node begins or ceases to tell this one what the store holds.
    FeedChanged {
        /// The node, if one tells it now.
        planner: Option<Name>,
        /// What decided it.
        why: String,
    },
    /// The planner of another failure domain begins or ceases to tell this one its engines' reports.
    NeighbourChanged {
        /// That planner.
        planner: Name,
        /// Its failure domain.
        domain: Name,
        /// What it failed with; none if it answers.
        error: Option<String>,
    },
    /// The store has come back from an older copy of itself: what was written there since may be gone.
    #[serde(rename = "store_came_back")]
    StoreRestored {
        /// Era before.
        from: u64,
        /// Era now.
        era: u64,
        /// Revision of the configuration in force, which stays.
        revision: Revision,
        /// Engines that went before, whose entries the copy may have.
        gone: Vec<Name>,
    },
    /// A configuration that the store holds is older than the one in force, which stays until it is written again.
    ConfigBehind {
        /// Version that the store holds.
        version: u64,
        /// Its revision.
        revision: Revision,
        /// Version in force.
        in_force: u64,
    },
    /// The store does not answer, or answers again.
    StoreReachable {
        /// Whether it answers.
        reachable: bool,
        /// What failed.
        error: Option<String>,
    },
}

/// Parts of a path as events show them.
pub(crate) fn parts(path: Option<&Path>) -> Vec<(Name, LayerRange)> {
    let stages = path.map_or(&[][..], Path::stages);
    stages.iter().map(|s| (s.engine.clone(), s.layers)).collect()
}
