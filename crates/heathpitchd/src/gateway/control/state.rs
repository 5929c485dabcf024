//! State shared by all controllers, owned by the control thread.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use heathpitch_core::{EngineEntry, GatewaySettings, Millis, Name, Revision, ServiceSpec};
use heathpitch_net::{Item, LeaseId};
use heathpitch_policy::{
    Backpressure, DrainNotices, EngineStats, Followers, Incarnations, Limits, Mirror, PartEvidence,
    PartQuarantine, Quarantine, Rights, Source, Sources, StoreAccess,
};
use tokio::sync::Notify;

use super::connectivity::ServiceConnectivity;
use super::engine_exits::EngineExits;
use super::exit_records::StoredExits;
use super::feed_server::FullTransfers;
use super::forwarders::KnownForwarders;
use super::held_updates::HeldUpdates;
use super::limit_records::StoredLimits;
use super::moves::RecoveryState;
use super::orders::PendingOrder;
use super::planner_clients::PlannerClients;
use super::quarantine_store::StoredEntries;
use super::reachability::Unreachable;
use super::recovery::TrackedStream;
use super::rejected_config::Rejection;
use super::rejected_entries::RejectedEntries;
use super::reports::Report;
use super::retries::Retries;
use super::rights::RightsIssuer;
use super::shares::Shares;
use crate::gateway::event::GatewayEvent;
use crate::gateway::line_limiter::LineLimiter;
use crate::gateway::shared::{Clients, Shared};

/// Time after the store's return within which entries that lapsed during the outage may reappear. The
/// platform restores them within about two seconds.
const EXPECTED_RETURN_MS: Millis = 2_500;
/// Time without an answer of another node after which this one is isolated: all its sources have been polled.
const ISOLATION_MS: Millis = 1_000;
/// Nodes that an isolated one takes turns with: its turn comes within 2.7 s, before it counts as in touch again.
const ISOLATED_CONTENDERS: u32 = 4;
/// Time without a new engine after which a failure domain counts as settled. Engines are listed over
/// several seconds after a start.
const SETTLE_MS: Millis = 1_300;
/// Minimum time between two status queries to the same engine.
const STATUS_QUERY_INTERVAL_MS: Millis = 500;

/// Number of nodes assumed for a failure domain of unknown size.
const DEFAULT_DOMAIN_SIZE: u32 = 16;

/// Number of nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Fleet {
    /// In the fleet.
    pub(super) fleet_size: u32,
    /// In the failure domain of this node.
    pub(super) domain_size: u32,
}

/// State of the controllers.
pub(super) struct Control {
    pub(super) shared: Arc<Shared>,
    pub(super) clients: Clients,
    pub(super) entries: RefCell<HashMap<Name, Arc<EngineEntry>>>,
    /// Entries of engines that cannot be used.
    pub(super) rejected_entries: RefCell<RejectedEntries>,
    /// Current incarnations of engines, including those removed recently.
    pub(super) incarnations: RefCell<Incarnations>,
    /// Items of the engines as the store holds them, served to nodes that poll this one.
    pub(super) mirror: RefCell<Mirror<Item>>,
    /// Stored item of the configuration in force.
    pub(super) document: RefCell<Option<Item>>,
    /// Rejection of the newest configuration, if it cannot be used.
    pub(super) rejection: Cell<Option<Rejection>>,
    /// Random id of this run of the node; serials of `mirror` are valid within it.
    pub(super) incarnation: u64,
    /// Nodes polled for the current planner while none is known; empty if this node is a seed itself.
    pub(super) seeds: Vec<Source>,
    /// Nodes polled instead of the store.
    pub(super) sources: RefCell<Sources>,
    /// Nodes that poll this one.
    pub(super) followers: RefCell<Followers>,
    /// Bound on the log of those that poll again after a pause.
    pub(super) returned: LineLimiter,
    /// Sizes of the other failure domains, as reported by their planners.
    pub(super) domain_sizes: RefCell<HashMap<Name, u32>>,
    /// Full answers to followers, and their share of the link.
    pub(super) full_transfers: FullTransfers,
    /// Whether this node released the planner's lease and knows of no successor.
    pub(super) planner_released: Cell<bool>,
    /// Last computed role: whether this node reads the store, and whether it may claim the planner's lease.
    pub(super) role: Cell<(bool, bool)>,
    /// Notified when this node's role, the reachability of the store or the state of the feed changes.
    pub(super) role_changed: Notify,
    /// Notified when there is another configuration to prove.
    pub(super) proof_basis_changed: Notify,
    /// Time at which each engine was first listed.
    pub(super) listed_since: RefCell<HashMap<Name, Millis>>,
    /// Time at which the newest engine of this failure domain was first listed.
    pub(super) last_join: Cell<Millis>,
    /// Engines whose address now belongs to another engine.
    pub(super) replaced: RefCell<HashSet<Name>>,
    /// Engines whose entries may have lapsed during an outage of the store, with the time they went missing.
    pub(super) lapsed: RefCell<HashMap<Name, Millis>>,
    /// Engines that accept no connection.
    pub(super) unreachable: RefCell<HashMap<Name, Unreachable>>,
    /// Engines that are draining or no longer listed, with the time this began.
    pub(super) departing: RefCell<HashMap<Name, Millis>>,
    /// Engines that reported not to accept new work, with the time until which this holds.
    pub(super) refusing: RefCell<HashMap<Name, Millis>>,
    /// Time of the last status query to each engine.
    pub(super) status_queried: RefCell<HashMap<Name, Millis>>,
    /// Number of nodes, if known.
    pub(super) fleet: Cell<Option<Fleet>>,
    /// Latest reports of engines.
    pub(super) reports: RefCell<HashMap<Name, Report>>,
    /// Serial of the newest report.
    pub(super) report_serial: Cell<u64>,
    lease: Cell<Option<LeaseId>>,
    /// Time at which this node became planner; meaningful only while `lease` is set.
    planner_since: Cell<Millis>,
    renewed: Cell<Millis>,
    pub(super) pending: RefCell<HashMap<Name, PendingOrder>>,
    pub(super) streams: RefCell<Vec<TrackedStream>>,
    /// Moves of streams off lost engines.
    pub(super) recovery: RecoveryState,
    /// Recently lost connections of calls, and the engines found to have exited.
    pub(super) engine_exits: RefCell<EngineExits>,
    /// Requests suspected of crashing engines, from this node's evidence and that received from others.
    pub(super) quarantine: RefCell<Quarantine>,
    pub(super) part_quarantine: RefCell<PartQuarantine>,
    /// Changes of both that are not judged yet.
    pub(super) held_updates: HeldUpdates,
    /// What was last logged of parts that several engines exited under and that are not held back.
    pub(super) logged_parts: RefCell<Vec<PartEvidence>>,
    /// Quarantine entries present in the store.
    pub(super) stored_quarantine: RefCell<StoredEntries>,
    /// Engine exits without a verdict as the store holds them.
    pub(super) stored_exits: RefCell<StoredExits>,
    /// Highest number of orders each engine is known to have begun; an engine starts with none.
    pub(super) orders: RefCell<HashMap<Name, u64>>,
    pub(super) engine_stats: RefCell<HashMap<Name, Arc<EngineStats>>>,
    /// Backpressure signalled by engines, kept while in effect, also for engines briefly missing from the list.
    pub(super) backpressure: RefCell<HashMap<Name, Arc<Backpressure>>>,
    /// Engines that announced in a response that they drain, to this node or to another one.
    pub(super) drain_notices: RefCell<DrainNotices>,
    /// Limits advertised by engines, to this node or to another one.
    pub(super) limits: RefCell<Limits>,
    /// Limits of this failure domain as the store holds them.
    pub(super) stored_limits: RefCell<StoredLimits>,
    /// Demand and shares of client accounts.
    pub(super) shares: Shares,
    /// Services that this node does not reach.
    pub(super) connectivity: RefCell<ServiceConnectivity>,
    /// Nodes that take calls of others.
    pub(super) known_forwarders: KnownForwarders,
    /// Notified when this node needs nodes to forward calls to.
    pub(super) forwarders_wanted: Notify,
    /// Rights issued by this node.
    pub(super) rights: RefCell<Rights>,
    /// Nodes that issue rights to this one, by failure domain.
    pub(super) rights_issuers: RefCell<HashMap<Name, RightsIssuer>>,
    /// Kept connections to planners.
    pub(super) planner_clients: PlannerClients,
    /// Retries issued by this node and requested from others.
    pub(super) retries: Retries,
    /// Store revision up to which the watch of engines has delivered all changes; 0 while there is no watch.
    pub(super) engines_revision: Cell<Revision>,
    /// Notified when a proof shows a store revision that the watch of engines has not delivered.
    pub(super) engines_outdated: Notify,
    /// Store revision at the last proof of the configuration.
    pub(super) store_revision: Cell<Revision>,
    /// Time at which another node last answered a poll.
    pub(super) last_answer: Cell<Millis>,
    /// Whether the store answers this node.
    pub(super) access: Cell<StoreAccess>,
    /// Latest known era of the store.
    pub(super) era: Cell<u64>,
}

/// # Construction
impl Control {
    /// Creates the state of a node that has just started.
    pub(super) fn new(shared: Arc<Shared>, clients: Clients) -> Self {
        let (settings, now) = (shared.settings.load_full(), shared.now());
        Self {
            clients,
            entries: RefCell::default(),
            rejected_entries: RefCell::default(),
            incarnations: RefCell::default(),
            mirror: RefCell::default(),
            document: RefCell::default(),
            rejection: Cell::new(None),
            seeds: seeds(&settings, shared.peer),
            incarnation: rand::random(),
            sources: RefCell::new(Sources::new(
                settings.node.clone(),
                settings.domain.clone(),
                now,
            )),
            followers: RefCell::default(),
            returned: LineLimiter::default(),
            domain_sizes: RefCell::default(),
            full_transfers: FullTransfers::new(settings.vm, now),
            planner_released: Cell::new(false),
            role: Cell::new((false, true)),
            shared,
            role_changed: Notify::new(),
            proof_basis_changed: Notify::new(),
            listed_since: RefCell::default(),
            last_join: Cell::new(0),
            replaced: RefCell::default(),
            lapsed: RefCell::default(),
            unreachable: RefCell::default(),
            departing: RefCell::default(),
            refusing: RefCell::default(),
            status_queried: RefCell::default(),
            fleet: Cell::new(None),
            reports: RefCell::default(),
            report_serial: Cell::new(0),
            lease: Cell::new(None),
            planner_since: Cell::new(0),
            renewed: Cell::new(0),
            pending: RefCell::default(),
            streams: RefCell::default(),
            recovery: RecoveryState::default(),
            engine_exits: RefCell::default(),
            quarantine: RefCell::default(),
            part_quarantine: RefCell::default(),
            held_updates: HeldUpdates::default(),
            logged_parts: RefCell::default(),
            stored_quarantine: RefCell::default(),
            orders: RefCell::default(),
            engine_stats: RefCell::default(),
            backpressure: RefCell::default(),
            drain_notices: RefCell::default(),
            limits: RefCell::default(),
            stored_exits: RefCell::default(),
            stored_limits: RefCell::default(),
            shares: Shares::default(),
            connectivity: RefCell::default(),
            known_forwarders: KnownForwarders::default(),
            forwarders_wanted: Notify::new(),
            rights: RefCell::default(),
            rights_issuers: RefCell::default(),
            planner_clients: PlannerClients::default(),
            retries: Retries::default(),
            engines_revision: Cell::new(Revision(0)),
            engines_outdated: Notify::new(),
            store_revision: Cell::new(Revision(0)),
            last_answer: Cell::new(now),
            access: Cell::default(),
            era: Cell::new(0),
        }
    }
}

/// Seeds of a node whose own feed address is `own`.
fn seeds(settings: &GatewaySettings, own: Option<SocketAddr>) -> Vec<Source> {
    if own.is_none_or(|own| settings.seeds.contains(&own)) {
        return Vec::new();
    }
    let seed = |(number, address): (usize, &SocketAddr)| {
        Some(Source { node: format!("seed-{number}").parse().ok()?, address: *address })
    };
    settings.seeds.iter().enumerate().filter_map(seed).collect()
}

/// # Reading
impl Control {
    /// Current time on the node's clock.
    pub(super) fn now(&self) -> Millis {
        self.shared.now()
    }

    /// Whether this node was asked to stop.
    pub(super) fn stopping(&self) -> bool {
        self.shared.stopping.load(Relaxed)
    }

    /// Failure domain of this node.
    pub(super) fn domain(&self) -> Name {
        self.shared.settings.load().domain.clone()
    }

    /// Name of this node.
    pub(super) fn node(&self) -> Name {
        self.shared.settings.load().node.clone()
    }

    /// Number of nodes of this failure domain, or a default while it is unknown.
    pub(super) fn domain_size(&self) -> u32 {
        self.fleet.get().map_or(DEFAULT_DOMAIN_SIZE, |f| f.domain_size)
    }

    /// Number of nodes of this failure domain that may need the store at the same time as this one.
    ///
    /// While other nodes answer, whichever of them gets an answer of the store first serves it to this one. A node that
    /// none answers depends on its own calls, and must not wait as long as its whole failure domain would.
    pub(super) fn contenders(&self) -> u32 {
        match self.now() >= self.last_answer.get() + ISOLATION_MS {
            true => self.domain_size().min(ISOLATED_CONTENDERS),
            false => self.domain_size(),
        }
    }

    /// Whether the store answers.
    pub(super) fn reachable(&self) -> bool {
        self.access.get().is_reachable()
    }

    /// A service of the configuration in force.
    pub(super) fn service(&self, name: &Name) -> Option<Arc<ServiceSpec>> {
        self.shared.catalog.load().as_ref()?.services.get(name).cloned()
    }

    /// Remaining time in which missing entries may still reappear after an outage of the store.
    pub(super) fn lapse_grace(&self) -> Millis {
        let access = self.access.get();
        match access.is_reachable() {
            true => (access.reachable_since() + EXPECTED_RETURN_MS).saturating_sub(self.now()),
            false => EXPECTED_RETURN_MS,
        }
    }

    /// Whether engines of this failure domain are still being listed after a start.
    pub(super) fn is_settling(&self) -> bool {
        self.now() < self.last_join.get() + SETTLE_MS
    }

    /// Whether an engine reported that it accepts no new work.
    pub(super) fn is_refusing(&self, engine: &Name) -> bool {
        self.refusing.borrow().get(engine).is_some_and(|until| self.now() < *until)
    }

    /// Whether an engine is unreachable.
    pub(super) fn is_unreachable(&self, engine: &Name) -> bool {
        self.unreachable.borrow().contains_key(engine)
    }
}

/// # Suspicion
impl Control {
    /// Sends no new work to an engine for `for_ms`; `why` is logged.
    pub(super) fn suspect(&self, engine: &Name, why: &'static str, for_ms: Millis) {
        if let Some(stats) = self.engine_stats.borrow().get(engine) {
            stats.gauge().suspect_until(self.now() + for_ms);
        }
        GatewayEvent::EngineSuspected { engine: engine.clone(), why, for_ms }.log();
    }

    /// Ends the suspicion of an engine.
    pub(super) fn clear_suspicion(&self, engine: &Name) {
        if let Some(stats) = self.engine_stats.borrow().get(engine) {
            stats.gauge().clear_suspicion();
        }
    }
}

/// # Status queries
impl Control {
    /// Whether an engine may be queried for its status now, which is allowed twice a second.
    pub(super) fn may_query_status(&self, engine: &Name) -> bool {
        let now = self.now();
        let mut queried = self.status_queried.borrow_mut();
        let due = queried.get(engine).is_none_or(|at| now >= at + STATUS_QUERY_INTERVAL_MS);
        if due {
            queried.insert(engine.clone(), now);
        }
        due
    }
}

/// # Planner
impl Control {
    /// Lease under which this node is planner.
    pub(super) fn lease(&self) -> Option<LeaseId> {
        self.lease.get()
    }

    /// Whether this node is the planner of its failure domain.
    pub(super) fn is_planner(&self) -> bool {
        self.lease.get().is_some()
    }

    /// Makes this node planner under a lease, or ends that role.
    pub(super) fn set_planner_lease(&self, lease: Option<LeaseId>) {
        self.lease.set(lease);
        self.renewed.set(self.now());
        self.planner_since.set(self.now());
        // Rights issued by the planner before or after this one are unknown here.
        self.rights.borrow_mut().clear();
        self.set_retry_issuer(lease.is_some());
        self.shared.retry_book.lock().set_planner(lease.is_some(), self.now());
        self.role_changed.notify_waiters();
    }

    /// Time at which this node became planner, if it is.
    pub(super) fn planner_since(&self) -> Option<Millis> {
        self.is_planner().then(|| self.planner_since.get())
    }

    /// Records a renewal of the lease by a call sent at `sent`.
    pub(super) fn lease_renewed(&self, sent: Millis) {
        self.renewed.set(sent);
    }

    /// Whether no other node can plan this failure domain at the same time, as far as this one can tell: its lease is
    /// proven, or more than half of the domain's nodes still poll it.
    pub(super) fn is_only_planner(&self) -> bool {
        let present = self.followers.borrow().present(self.now());
        !self.lease_may_have_expired() || 2 * (present + 1) > self.domain_size()
    }

    /// Time from which the lease may have expired without this node knowing.
    pub(super) fn leased_until(&self) -> Millis {
        self.renewed.get() + super::nodes::PLANNER_TTL_MS
    }

    /// Whether the lease may have expired without this node knowing.
    pub(super) fn lease_may_have_expired(&self) -> bool {
        self.now() >= self.leased_until()
    }
}
