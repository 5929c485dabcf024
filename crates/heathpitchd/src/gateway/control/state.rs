//! State of all controllers, owned by the control thread.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use heathpitch_core::{EngineEntry, GatewaySettings, Millis, Name, Revision, ServiceSpec};
use heathpitch_net::{Item, LeaseId};
use heathpitch_policy::{
    Backpressure, DrainNotices, EngineStats, Followers, Incarnations, Limits, Mirror, Quarantine,
    Rights, Source, Sources,
};
use tokio::sync::Notify;

use super::ends::Ends;
use super::limit_records::Stored;
use super::looks::Lost;
use super::orders::Pending;
use super::quarantine::Entries;
use super::recovery::Watched;
use super::reports::Report;
use super::rights::Hander;
use super::tell::Large;
use crate::gateway::event::GatewayEvent;
use crate::gateway::shared::{Edges, Shared};

/// Time after the store's return in which entries that lapsed meanwhile may come back: the
/// platform promises about two seconds.
const EXPECTED_RETURN_MS: Millis = 2_500;
/// Time without a new engine after which a failure domain has settled, milliseconds: engines are listed
/// over some seconds after a start.
const SETTLE: Millis = 1_300;
/// Time between two questions to the same engine, milliseconds.
const QUESTION_AGAIN: Millis = 500;

/// Nodes of a failure domain assumed where their number is not known.
const BESIDE_UNKNOWN: u32 = 16;

/// How many nodes there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Fleet {
    /// In all.
    pub(super) nodes: u32,
    /// In this failure domain.
    pub(super) beside: u32,
}

/// Everything the controllers own.
pub(super) struct Control {
    pub(super) shared: Arc<Shared>,
    pub(super) edges: Edges,
    pub(super) entries: RefCell<HashMap<Name, Arc<EngineEntry>>>,
    /// Their lives, also of those that left a moment ago.
    pub(super) lives: RefCell<Incarnations>,
    /// Their items as the store holds them, for the nodes that this one tells.
    pub(super) mirror: RefCell<Mirror<Item>>,
    /// The configuration in force as the store holds it.
    pub(super) document: RefCell<Option<Item>>,
    /// This life of the node, which serials of `mirror` belong to.
    pub(super) life: u64,
    /// Nodes that are asked who plans while this one knows nobody; none if it is one of them.
    pub(super) seeds: Vec<Source>,
    /// Whom this node asks instead of the store.
    pub(super) sources: RefCell<Sources>,
    /// Who asks this node.
    pub(super) followers: RefCell<Followers>,
    /// Nodes of the other failure domains, as their planners say.
    pub(super) besides: RefCell<HashMap<Name, u32>>,
    /// What is told whole, and the room that the link has for it.
    pub(super) large: Large,
    /// Whether this node was the planner and has given that up without knowing the next one.
    pub(super) vacant: Cell<bool>,
    /// Whether this node read the store and looked for the planner's lease when that was last looked at.
    pub(super) turn: Cell<(bool, bool)>,
    /// Wakes those who wait for a turn of the store or of the feed.
    pub(super) turned: Notify,
    /// When each engine was listed for the first time.
    pub(super) since: RefCell<HashMap<Name, Millis>>,
    /// When an engine of this failure domain was last listed for the first time.
    pub(super) joined: Cell<Millis>,
    /// Engines that another one has taken the address of.
    pub(super) replaced: RefCell<HashSet<Name>>,
    /// Engines whose entries may have lapsed while the store was away, and since when.
    pub(super) lapsed: RefCell<HashMap<Name, Millis>>,
    /// Engines that cannot be reached.
    pub(super) lost: RefCell<HashMap<Name, Lost>>,
    /// Engines that leave or are off the list, and since when.
    pub(super) leaving: RefCell<HashMap<Name, Millis>>,
    /// Engines that say they take no new work, and until when that is believed.
    pub(super) refusing: RefCell<HashMap<Name, Millis>>,
    /// Engines asked whether they take new work, and when.
    pub(super) questioned: RefCell<HashMap<Name, Millis>>,
    /// How many nodes there are, if it is known.
    pub(super) fleet: Cell<Option<Fleet>>,
    /// What engines said of themselves.
    pub(super) reports: RefCell<HashMap<Name, Report>>,
    /// Serial of the last of them.
    pub(super) reported: Cell<u64>,
    lease: Cell<Option<LeaseId>>,
    /// Since when this node plans its failure domain, if it does.
    planned: Cell<Millis>,
    renewed: Cell<Millis>,
    pub(super) pending: RefCell<HashMap<Name, Pending>>,
    pub(super) streams: RefCell<Vec<Watched>>,
    /// What is known of engines whose connections calls lost a moment ago.
    pub(super) ends: RefCell<Ends>,
    /// Requests under which engines end, as far as this node and those that tell it know.
    pub(super) quarantine: RefCell<Quarantine>,
    /// Those of them that stand in the store.
    pub(super) quarantined: RefCell<Entries>,
    /// Orders that engines have begun, as far as is known; an engine starts with none.
    pub(super) orders: RefCell<HashMap<Name, u64>>,
    pub(super) tallies: RefCell<HashMap<Name, Arc<EngineStats>>>,
    /// What engines asked this node for; kept while it binds, also of those off the list for a moment.
    pub(super) wishes: RefCell<HashMap<Name, Arc<Backpressure>>>,
    /// Engines that said in an answer that they leave, to this node or to one that told it.
    pub(super) leavers: RefCell<DrainNotices>,
    /// Limits that engines name, to this node or to one that told it.
    pub(super) limits: RefCell<Limits>,
    /// Those of this failure domain, as the store holds them.
    pub(super) limit_record: RefCell<Stored>,
    /// Rights that this node hands out.
    pub(super) rights: RefCell<Rights>,
    /// Nodes that hand out rights to this one, by failure domain.
    pub(super) handers: RefCell<HashMap<Name, Hander>>,
    /// Revision of the store up to which its watch of the engines has told this node all changes; 0 while it does not watch.
    pub(super) engines_at: Cell<Revision>,
    /// Wakes the watch of the engines when a proof shows what it has not told.
    pub(super) engines_behind: Notify,
    /// Revision of the store at its last proof of the configuration.
    pub(super) store_at: Cell<Revision>,
    pub(super) reachable: Cell<bool>,
    pub(super) returned: Cell<Millis>,
    /// Era of the store that this node has taken note of.
    pub(super) era: Cell<u64>,
}

/// # Construction
impl Control {
    /// State of a node that knows nothing yet.
    pub(super) fn new(shared: Arc<Shared>, edges: Edges) -> Self {
        let (settings, now) = (shared.settings.load_full(), shared.now());
        Self {
            edges,
            entries: RefCell::default(),
            lives: RefCell::default(),
            mirror: RefCell::default(),
            document: RefCell::default(),
            seeds: seeds(&settings, shared.peer),
            life: rand::random(),
            sources: RefCell::new(Sources::new(
                settings.node.clone(),
                settings.domain.clone(),
                now,
            )),
            followers: RefCell::default(),
            besides: RefCell::default(),
            large: Large::new(settings.vm, now),
            vacant: Cell::new(false),
            turn: Cell::new((false, true)),
            shared,
            turned: Notify::new(),
            since: RefCell::default(),
            joined: Cell::new(0),
            replaced: RefCell::default(),
            lapsed: RefCell::default(),
            lost: RefCell::default(),
            leaving: RefCell::default(),
            refusing: RefCell::default(),
            questioned: RefCell::default(),
            fleet: Cell::new(None),
            reports: RefCell::default(),
            reported: Cell::new(0),
            lease: Cell::new(None),
            planned: Cell::new(0),
            renewed: Cell::new(0),
            pending: RefCell::default(),
            streams: RefCell::default(),
            ends: RefCell::default(),
            quarantine: RefCell::default(),
            quarantined: RefCell::default(),
            orders: RefCell::default(),
            tallies: RefCell::default(),
            wishes: RefCell::default(),
            leavers: RefCell::default(),
            limits: RefCell::default(),
            limit_record: RefCell::default(),
            rights: RefCell::default(),
            handers: RefCell::default(),
            engines_at: Cell::new(Revision(0)),
            engines_behind: Notify::new(),
            store_at: Cell::new(Revision(0)),
            reachable: Cell::new(true),
            returned: Cell::new(0),
            era: Cell::new(0),
        }
    }
}

/// Seeds of a node that other nodes ask at `own`.
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
    /// Now, on the node's clock.
    pub(super) fn now(&self) -> Millis {
        self.shared.now()
    }

    /// Whether this node was told to stop.
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

    /// Nodes of this failure domain, or as many as are assumed.
    pub(super) fn beside(&self) -> u32 {
        self.fleet.get().map_or(BESIDE_UNKNOWN, |f| f.beside)
    }

    /// Whether the store answers.
    pub(super) fn reachable(&self) -> bool {
        self.reachable.get()
    }

    /// A service of the configuration in force.
    pub(super) fn service(&self, name: &Name) -> Option<Arc<ServiceSpec>> {
        self.shared.catalog.load().as_ref()?.services.get(name).cloned()
    }

    /// Time for which entries that are missing may still come back.
    pub(super) fn patience(&self) -> Millis {
        match self.reachable.get() {
            true => (self.returned.get() + EXPECTED_RETURN_MS).saturating_sub(self.now()),
            false => EXPECTED_RETURN_MS,
        }
    }

    /// Whether engines of this failure domain are still coming up.
    pub(super) fn settles(&self) -> bool {
        self.now() < self.joined.get() + SETTLE
    }

    /// Whether an engine says that it takes no new work.
    pub(super) fn is_refusing(&self, engine: &Name) -> bool {
        self.refusing.borrow().get(engine).is_some_and(|until| self.now() < *until)
    }

    /// Whether an engine cannot be reached.
    pub(super) fn is_lost(&self, engine: &Name) -> bool {
        self.lost.borrow().contains_key(engine)
    }
}

/// # Doubt
impl Control {
    /// Keeps new work from an engine for a while, because of `why`.
    pub(super) fn doubt(&self, engine: &Name, why: &'static str, for_ms: Millis) {
        if let Some(tally) = self.tallies.borrow().get(engine) {
            tally.gauge().suspect_until(self.now() + for_ms);
        }
        GatewayEvent::EngineSuspected { engine: engine.clone(), why, for_ms }.log();
    }

    /// Lifts the doubt.
    pub(super) fn trust(&self, engine: &Name) {
        if let Some(tally) = self.tallies.borrow().get(engine) {
            tally.gauge().clear_suspicion();
        }
    }
}

/// # Questions
impl Control {
    /// Whether an engine may be asked for its state now; at most twice a second.
    pub(super) fn may_question(&self, engine: &Name) -> bool {
        let now = self.now();
        let mut questioned = self.questioned.borrow_mut();
        let due = questioned.get(engine).is_none_or(|at| now >= at + QUESTION_AGAIN);
        if due {
            questioned.insert(engine.clone(), now);
        }
        due
    }
}

/// # Planner
impl Control {
    /// Lease by which this node plans its failure domain.
    pub(super) fn lease(&self) -> Option<LeaseId> {
        self.lease.get()
    }

    /// Whether this node plans its failure domain.
    pub(super) fn plans(&self) -> bool {
        self.lease.get().is_some()
    }

    /// Begins to plan by a lease, or ceases to plan.
    pub(super) fn plan_by(&self, lease: Option<LeaseId>) {
        self.lease.set(lease);
        self.renewed.set(self.now());
        self.planned.set(self.now());
        // What an earlier planner handed out is not known to this one, nor what a later one will be.
        self.rights.borrow_mut().clear();
        self.turned.notify_waiters();
    }

    /// Since when this node plans its failure domain.
    pub(super) fn planned(&self) -> Option<Millis> {
        self.plans().then(|| self.planned.get())
    }

    /// Takes note that the lease was renewed by a call sent at `sent`.
    pub(super) fn lease_renewed(&self, sent: Millis) {
        self.renewed.set(sent);
    }

    /// Whether the lease may be over without this node having heard of it.
    pub(super) fn lease_doubted(&self) -> bool {
        self.now() >= self.renewed.get() + super::nodes::PLANNER_TTL
    }
}
