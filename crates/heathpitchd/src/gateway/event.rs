//! Structured events of a gateway's log; their names and fields do not change between versions.

mod call_refused;
mod call_routed;
mod fields;
mod shares_changed;

use heathpitch_core::{LayerRange, Millis, Name, PromptPart, Rate, RequestFingerprint, Revision};
use heathpitch_policy::LayoutReason;
use serde::Serialize;

pub use call_refused::CallRefused;
pub use call_routed::CallRouted;
pub(crate) use fields::{parts, thousandths};
pub use shares_changed::SharesChanged;

/// A line of the log; no line contains bodies or keys.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum GatewayEvent {
    /// The node has started to listen.
    GatewayStarted {
        /// Node.
        node: Name,
        /// Failure domain.
        domain: Name,
        /// Address for callers.
        listen: String,
        /// Address of the readiness check.
        ready: String,
        /// Address of the metrics.
        metrics: String,
        /// Address for other nodes.
        peer: Option<String>,
        /// Address for calls that other nodes forward.
        forward: Option<String>,
    },
    /// The settings were reloaded.
    GatewayReloaded {
        /// Why they were rejected, if they were.
        error: Option<String>,
    },
    /// The node was asked to stop.
    GatewayStopping {
        /// Open calls.
        open: usize,
    },
    /// The node has stopped.
    GatewayStopped {
        /// Calls cut off.
        cut: usize,
    },
    /// A call was refused or given up.
    CallRefused(CallRefused),
    /// A call was sent to an engine.
    CallRouted(CallRouted),
    /// Shares start or stop limiting accounts of a service.
    SharesChanged(SharesChanged),
    /// An attempt failed.
    CallAttemptFailed {
        /// Call.
        request: String,
        /// Attempt, from 1.
        attempt: u32,
        /// Engine that it was sent to.
        engine: Name,
        /// What failed.
        error: String,
        /// Whether it is certain that the call did not run there.
        not_run: bool,
        /// Events relayed so far.
        events: u64,
        /// Fingerprint of the request, if it may have run there; calls with the same request share
        /// it.
        #[serde(rename = "print")]
        fingerprint: Option<RequestFingerprint>,
    },
    /// A call was forwarded to another node, as this one does not reach the engines of its service.
    CallForwarded {
        /// Call.
        request: String,
        /// Node that it was sent to.
        node: Name,
        /// Failure domain of that node.
        domain: Name,
        /// Service.
        service: Name,
        /// Attempts made before.
        attempts: u32,
        /// Event after which a stream resumes.
        after: Option<u64>,
        /// Time until the call's deadline.
        #[serde(rename = "left_ms")]
        remaining_ms: Millis,
    },
    /// A forwarded call got no answer of an engine.
    CallForwardFailed {
        /// Call.
        request: String,
        /// Node that it was sent to.
        node: Name,
        /// What failed.
        error: String,
        /// Whether it is certain that the call did not run there.
        not_run: bool,
        /// Events relayed so far.
        events: u64,
    },
    /// A call was not sent again, because the retry limit of its service is reached.
    RetryDenied {
        /// Call.
        request: String,
        /// Service.
        service: Name,
        /// Retries that this node's own calls earned and that it made lately.
        spent: u32,
        /// Calls that this node received lately and did not report to an issuer.
        calls: u32,
    },
    /// A request on the listener for other nodes was rejected.
    ForwardRejected {
        /// What is wrong.
        why: &'static str,
    },
    /// No engine of a service answers this node on a new connection any more, or one does again.
    ServiceReach {
        /// Service.
        service: Name,
        /// Whether the service is cut off from this node.
        cut_off: bool,
        /// Engines listed.
        engines: usize,
        /// Engines probed.
        probed: usize,
        /// How long it was cut off, if it is reached again.
        cut_ms: Option<Millis>,
    },
    /// A running stream was moved to other engines.
    CallRerouted {
        /// Call.
        request: String,
        /// Engine that it was moved off.
        #[serde(rename = "leaving")]
        moved_off: Option<Name>,
        /// Stages of the new path.
        parts: Vec<(Name, LayerRange)>,
        /// Time since anything was received.
        silent_ms: Millis,
        /// Time since the loss of the engine was noticed for this stream.
        lost_ms: Option<Millis>,
        /// Priority rank of the stream.
        rank: u8,
        /// Part of the service's demand that is more urgent, thousandths.
        urgent: u32,
        /// Forecast time to prefill its tokens at a substitute engine, if known.
        #[serde(rename = "read_ms")]
        prefill_ms: Option<Millis>,
        /// Response of the first engine.
        result: String,
    },
    /// A single answer is passed on as it arrives, since it does not fit into the memory for answers.
    AnswerRelayed {
        /// Call.
        request: String,
        /// Bytes of it that were held until then.
        held: usize,
    },
    /// A call has ended.
    CallEnded {
        /// Call.
        request: String,
        /// Status answered.
        status: u16,
        /// Whether its answer is complete.
        #[serde(rename = "whole")]
        complete: bool,
        /// Attempts made.
        attempts: u32,
        /// Events relayed.
        events: u64,
        /// Time to the head of the answer.
        first_ms: Millis,
        /// Duration of the call.
        ms: Millis,
        /// Longest pause between events.
        pause_ms: Millis,
    },
    /// A configuration was put in force.
    ConfigAdopted {
        /// Version.
        version: u64,
        /// Revision of the store.
        revision: Revision,
        /// Number of its routes.
        routes: usize,
        /// Number of its parts that cannot be used.
        rejected: usize,
        /// What delivered it: a read, a watch or a proof of the store's, or another node.
        by: &'static str,
        /// Time since the previous one was last confirmed as the newest.
        proof_ms: Option<Millis>,
    },
    /// No other node has a young enough proof of the configuration, so that this one proves it by itself.
    ConfigProofDue {
        /// Rank of this node among the standbys.
        rank: Option<usize>,
        /// Time since the configuration was last confirmed as the newest.
        proof_ms: Option<Millis>,
    },
    /// A proof of the configuration failed.
    ConfigProofFailed {
        /// Whether this node reads the store, rather than follows other nodes.
        reads: bool,
        /// Time that it took.
        ms: Millis,
        /// What failed.
        error: String,
        /// Time since the configuration was last confirmed as the newest.
        proof_ms: Option<Millis>,
        /// Time until the next proof.
        retry_ms: Millis,
    },
    /// Calls were admitted by a configuration whose proof is due for longer than other nodes or the store take.
    CallsOnOldProof {
        /// The last of them.
        request: String,
        /// Calls since the previous such line.
        calls: u64,
        /// Version of the configuration.
        config: u64,
        /// Time since it was last confirmed as the newest.
        proof_ms: Option<Millis>,
        /// Own attempts to confirm it since the store last answered one.
        attempts: u64,
        /// Time since the last of them was sent.
        attempt_ms: Option<Millis>,
    },
    /// The store counts as away, so that calls are admitted on old proofs of the configuration.
    OldProofsExcused {
        /// What shows it.
        evidence: &'static str,
        /// Time since the first attempt that the store did not answer was sent.
        ms: Millis,
        /// Time since the newest configuration was last confirmed.
        proof_ms: Option<Millis>,
        /// Own attempts to confirm it since the store last answered one.
        attempts: u64,
    },
    /// Calls waited for a proof of the configuration, as the last one was old and no attempt since had failed.
    CallsAwaitedProof {
        /// The last of them.
        request: String,
        /// Calls since the previous such line.
        calls: u64,
        /// Time for which it waited.
        ms: Millis,
        /// Whether it was `admitted`, by a proof or because the store is known to be away, or refused, as attempts were
        /// `unanswered` or `unattempted` by the end of its wait.
        outcome: &'static str,
        /// Time since the newest configuration was last confirmed.
        proof_ms: Option<Millis>,
        /// Own attempts to confirm it since the store last answered one.
        attempts: u64,
    },
    /// A thread of this node did not run for some time.
    ThreadDelayed {
        /// Thread: `control`, `proofs` for the one that proves the configuration, or `calls` for the one that serves them.
        thread: &'static str,
        /// Time for which it did not run its tasks.
        ms: Millis,
        /// Processor time that it used meanwhile: about as much if a task kept it busy, little if it had no processor.
        cpu_ms: Millis,
        /// The task that ran longest without yielding, if tasks of the thread are told apart.
        task: Option<&'static str>,
        /// Time for which it ran.
        task_ms: Option<Millis>,
        /// Tasks that ran longest in all, each with that time; what they lack to `cpu_ms` went to connections.
        tasks: Vec<(&'static str, Millis)>,
    },
    /// Nodes that poll this planner do so again after a pause in which they may have had an old configuration.
    FollowersReturned {
        /// The last of them.
        node: Name,
        /// Returns since the previous such line.
        count: u64,
        /// Time for which that node did not poll.
        silent_ms: Millis,
        /// Whether its configuration is older than the one in force here.
        outdated: bool,
    },
    /// A configuration is invalid; the previous one stays in force.
    ConfigRejected {
        /// Revision of the store; unknown if it is too large to be read.
        revision: Option<Revision>,
        /// What is wrong.
        error: String,
    },
    /// Another node did not answer a poll for the contents of the store.
    PollFailed {
        /// Node.
        node: Name,
        /// Time that the poll took.
        ms: Millis,
        /// Time since the configuration in force was last confirmed as the newest.
        proof_ms: Option<Millis>,
        /// Time since the known engines were last confirmed to match the store.
        list_ms: Option<Millis>,
        /// What failed.
        error: String,
    },
    /// A part of a configuration is invalid; the rest is in force.
    ConfigPartRejected {
        /// Revision of the store.
        revision: Revision,
        /// What is wrong, with the path of the part.
        error: String,
    },
    /// A watch of the store got no response; its keys are read again.
    WatchLost {
        /// What is watched.
        of: &'static str,
        /// Time since the watch was sent.
        asked_ms: Millis,
        /// What failed.
        error: String,
    },
    /// Engine entries were received from the store.
    #[serde(rename = "engines_heard")]
    EnginesReceived {
        /// Kind of the call that returned them.
        by: &'static str,
        /// Time since that call was sent.
        asked_ms: Millis,
        /// Number of entries or changes.
        entries: usize,
    },
    /// An engine was listed, or its entry changed.
    EngineListed {
        /// Engine.
        engine: Name,
        /// Service.
        service: Name,
        /// Failure domain.
        domain: Name,
        /// Whether it is draining.
        #[serde(rename = "leaving")]
        draining: bool,
        /// Layers that it holds.
        layers: LayerRange,
        /// Unix time of its start, milliseconds, if known.
        #[serde(rename = "born")]
        started_at: Option<Millis>,
    },
    /// Many engines were listed, or their entries changed, at once.
    EnginesListed {
        /// Engines and the layers that they hold.
        engines: Vec<(Name, LayerRange)>,
    },
    /// An engine's entry cannot be used, so that the engine is not listed.
    EngineRejected {
        /// Key of the entry.
        key: String,
        /// What is wrong.
        error: String,
    },
    /// An engine's entry was removed or cannot be parsed.
    EngineGone {
        /// Engine.
        engine: String,
        /// Why.
        why: &'static str,
    },
    /// An engine was restarted under its id: the state of its previous incarnation is dropped.
    #[serde(rename = "engine_reborn")]
    EngineRestarted {
        /// Engine.
        engine: Name,
        /// Unix time of its start, milliseconds.
        #[serde(rename = "born")]
        started_at: Option<Millis>,
        /// How this was noticed.
        by: &'static str,
    },
    /// An engine exited while it ran calls of this node: it refuses connections.
    #[serde(rename = "engine_ended")]
    EngineExited {
        /// Engine.
        engine: Name,
        /// Calls of this node that were lost with it.
        calls: usize,
        /// Those with the fewest events: fingerprints and event counts, at most sixteen.
        youngest: Vec<(RequestFingerprint, u32)>,
        /// Parts of the prompts of those that had just started, at most sixteen.
        parts: Vec<PromptPart>,
    },
    /// Another node reported engines that exited while they ran requests.
    #[serde(rename = "ends_heard")]
    ExitsReceived {
        /// Node.
        by: Name,
        /// Number of exits that are new to this node or newly cleared.
        #[serde(rename = "ends")]
        exits: usize,
    },
    /// A planner wrote engine exits without a verdict to the store.
    ExitsStored {
        /// Number of exits.
        exits: usize,
        /// Revision of the record.
        revision: Revision,
    },
    /// This node read engine exits without a verdict from the store.
    ExitsLoaded {
        /// Number of exits that are new to this node.
        exits: usize,
        /// Revision of the record.
        revision: Revision,
    },
    /// A request is not sent to any engine from now on.
    RequestHeldBack {
        /// Fingerprint of the request.
        #[serde(rename = "print")]
        fingerprint: RequestFingerprint,
        /// Engines that exited while they ran it, its events there, and the time since this became
        /// known.
        #[serde(rename = "ends")]
        exits: Vec<(Name, u32, Millis)>,
        /// Cause of the change.
        why: &'static str,
    },
    /// A request that was held back may be sent to engines again.
    RequestLetThrough {
        /// Fingerprint of the request.
        #[serde(rename = "print")]
        fingerprint: RequestFingerprint,
        /// Engines that exited while they ran it, as far as these exits still count.
        #[serde(rename = "ends")]
        exits: usize,
        /// Part of prompts that is held back for them.
        explained_by: Option<PromptPart>,
        /// Cause of the change.
        why: &'static str,
    },
    /// Recomputing what is held back took long.
    HeldUpdateSlow {
        /// Cause of the change.
        why: &'static str,
        /// Time that it took.
        ms: Millis,
    },
    /// Requests with a part of their prompts are not sent to any engine from now on.
    PartHeldBack {
        /// Fingerprint of the part.
        part: PromptPart,
        /// The only client account concerned; none if all are.
        account: Option<Name>,
        /// Engines that exited while they ran such requests, the events there, and the time since
        /// this became known.
        #[serde(rename = "ends")]
        exits: Vec<(Name, u32, Millis)>,
        /// Cause of the change.
        why: &'static str,
    },
    /// Requests with a part that was held back may be sent to engines again.
    PartLetThrough {
        /// Fingerprint of the part.
        part: PromptPart,
        /// The only client account concerned; none if all are.
        account: Option<Name>,
        /// Score by the sequential test of exits and answers.
        score: u32,
        /// What else is held back for its exits.
        explained_by: Vec<PromptPart>,
        /// Cause of the change.
        why: &'static str,
    },
    /// As many engines exited under a part of prompts as a verdict needs, and it is not held back yet.
    PartUndecided {
        /// Fingerprint of the part.
        part: PromptPart,
        /// The client account; none for all together.
        account: Option<Name>,
        /// Engines that exited under it.
        engines: usize,
        /// Known answers to it.
        answers: usize,
        /// Score by the sequential test of exits and answers.
        score: u32,
        /// Whether other requests are known to have been answered.
        others_answered: bool,
    },
    /// An engine is suspect and gets no new requests for a while.
    #[serde(rename = "engine_doubted")]
    EngineSuspected {
        /// Engine.
        engine: Name,
        /// Cause of the suspicion.
        why: &'static str,
        /// Duration of the suspicion.
        for_ms: Millis,
    },
    /// An engine asked this node to pause, announced that it drains, or changed or removed its rate
    /// limit.
    #[serde(rename = "engine_wished")]
    EngineBackpressure {
        /// Engine.
        engine: Name,
        /// What it answered: a call, by its id, or the kind of a request of this node's own.
        answer: String,
        /// Status of that response.
        status: u16,
        /// Time for which it asks this node to send nothing.
        #[serde(rename = "rest_ms")]
        pause_ms: Option<Millis>,
        /// Whether it is draining.
        #[serde(rename = "leaves")]
        draining: bool,
        /// Requests per second that it accepts from all nodes together, if it has a limit.
        limit: Option<Rate>,
    },
    /// An engine is draining by its own announcement, whatever its entry says.
    #[serde(rename = "engine_leaves")]
    EngineDraining {
        /// Engine.
        engine: Name,
        /// Age of its announcement.
        age_ms: Millis,
        /// Who received it.
        by: &'static str,
    },
    /// The planner of a failure domain wrote the rate limits of its engines to the store.
    LimitsStored {
        /// Number of engines with a limit.
        engines: usize,
        /// Revision of the record.
        revision: Revision,
    },
    /// An engine changed or removed its rate limit, as announced to this node or to another one.
    EngineLimited {
        /// Engine.
        engine: Name,
        /// Requests per second that it accepts from all nodes together, if it has a limit.
        limit: Option<Rate>,
        /// Age of its announcement.
        age_ms: Millis,
        /// Who received it.
        by: &'static str,
    },
    /// A node started or stopped issuing rights for rate-limited engines to this one.
    RightsChanged {
        /// That node, the planner of the engine's failure domain.
        planner: Name,
        /// Its failure domain.
        domain: Name,
        /// Whether it issues rights.
        active: bool,
        /// Cause of the change.
        why: String,
    },
    /// An engine that announced that it drains is still running long after and no longer says so.
    #[serde(rename = "engine_stays")]
    EngineDrainCancelled {
        /// Engine.
        engine: Name,
    },
    /// The factor by which an engine is slower than its card changed.
    #[serde(rename = "engine_paced")]
    EngineSlowdown {
        /// Engine.
        engine: Name,
        /// The factor; 1 is the card's speed.
        #[serde(rename = "pace")]
        slowdown: f64,
    },
    /// The planner has planned which engines of its failure domain should hold other layers.
    LayoutPlanned {
        /// Service.
        service: Name,
        /// Engines that the plan can use.
        engines: usize,
        /// Those that held no layers before.
        empty: usize,
        /// Copies, before, of the layer with the fewest.
        copies: usize,
        /// Engines that get orders now.
        moves: usize,
    },
    /// An engine was ordered to load layers.
    LayersOrdered {
        /// Engine.
        engine: Name,
        /// Layers.
        layers: LayerRange,
        /// Why.
        reason: LayoutReason,
        /// Orders that it had started.
        orders: u64,
        /// Its response.
        result: String,
    },
    /// The fractions of a service's calls that this node sends to other failure domains changed.
    BalanceChanged {
        /// Service.
        service: Name,
        /// Fraction of the calls by other domain.
        fractions: Vec<(Name, f64)>,
        /// Pressure of the best path by domain, of those with recent reports.
        pressures: Vec<(Name, f64)>,
    },
    /// The VM was resumed after a suspension.
    VmSuspended {
        /// Duration of the suspension.
        ms: Millis,
        /// Time since the configuration was last confirmed as the newest, including the suspension.
        proof_ms: Option<Millis>,
        /// Time since the known engines were last confirmed to match the store.
        list_ms: Option<Millis>,
    },
    /// This node became the planner of its failure domain, or ceased to be.
    DomainPlanner {
        /// Whether it is the planner now.
        active: bool,
        /// Cause of the change.
        why: &'static str,
    },
    /// Another node started or stopped feeding the contents of the store to this one.
    FeedChanged {
        /// The node, if one feeds this one now.
        planner: Option<Name>,
        /// Cause of the change.
        why: String,
    },
    /// The planner of another failure domain started or stopped feeding its engines' reports to
    /// this one.
    NeighbourChanged {
        /// That planner.
        planner: Name,
        /// Its failure domain.
        domain: Name,
        /// Why it stopped; none if it answers.
        error: Option<String>,
    },
    /// The store was restored from an older copy: later writes may be lost.
    #[serde(rename = "store_came_back")]
    StoreRestored {
        /// Previous era.
        from: u64,
        /// Current era.
        era: u64,
        /// Revision of the configuration in force, which stays in force.
        revision: Revision,
        /// Engines that were removed before and whose entries the copy may still contain.
        gone: Vec<Name>,
    },
    /// The store holds an older configuration than the one in force, which stays in force until it
    /// is written again.
    ConfigBehind {
        /// Version in the store.
        version: u64,
        /// Its revision.
        revision: Revision,
        /// Version in force.
        in_force: u64,
    },
    /// The store stopped answering, or answers again.
    StoreReachable {
        /// Whether it answers.
        reachable: bool,
        /// What failed.
        error: Option<String>,
    },
}
