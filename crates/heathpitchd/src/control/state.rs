//! State of all controllers, owned by the control thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use heathpitch_core::{Millis, Name, Revision, VmRole, VmState};
use heathpitch_net::Packed;
use heathpitch_policy::{
    Bucket, Claims, Demand, Health, Member, MemberState, Members, PrefixIndex, Replica,
    SharedPolling, Verdict,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{Notify, oneshot};

use super::{Addresses, Clients};
use crate::shared::Shared;
use crate::snapshot::View;

/// Rate limit for reading cache events, in kilobytes per second.
const EVENT_RATE_KB_S: f64 = 4.0;
/// Burst limit for reading cache events, in kilobytes.
const EVENT_BURST_KB: f64 = 256.0;
/// Interval between two snapshots of nodes.
const VIEW_INTERVAL_MS: Millis = 200;
/// Interval after which the fleet is published even without a change.
const FLEET_INTERVAL_MS: Millis = 500;

/// State of all controllers.
pub(crate) struct Control {
    pub(super) shared: Arc<Shared>,
    pub(super) clients: Clients,
    pub(super) replica: RefCell<Replica>,
    pub(super) config: RefCell<Packed>,
    pub(super) vms: RefCell<Packed>,
    pub(super) health: RefCell<Health>,
    pub(super) members: RefCell<Members>,
    pub(super) claims: RefCell<Claims>,
    pub(super) replies: RefCell<HashMap<u64, oneshot::Sender<Verdict>>>,
    pub(super) demand: RefCell<Demand>,
    pub(super) prefixes: RefCell<PrefixIndex>,
    pub(super) event_budget: RefCell<Bucket>,
    pub(super) next_polls: RefCell<HashMap<Name, Millis>>,
    pub(super) entry_counts: RefCell<HashMap<Name, u32>>,
    pub(super) rng: RefCell<SmallRng>,
    pub(super) documents_changed: Notify,
    pub(super) next_claim: Cell<u64>,
    pub(super) next_heartbeat: Cell<Millis>,
    pub(super) fleet_dirty: Cell<bool>,
    pub(super) reachable: Cell<Option<bool>>,
    view_published: Cell<Millis>,
    fleet_published: Cell<Millis>,
}

/// # Construction
impl Control {
    /// Initial state.
    pub(super) fn new(shared: Arc<Shared>, clients: Clients, addresses: Addresses) -> Self {
        let settings = &shared.settings;
        let me = Member {
            node: settings.node.clone(),
            incarnation: shared.incarnation,
            heartbeat: 0,
            domain: settings.domain.clone(),
            peer: addresses.peer,
            caller: addresses.caller,
            admin: addresses.admin,
            state: MemberState::Ready,
            config: Revision(0),
            age: 0,
        };
        let mut members = Members::new(me, settings.timing.peer_ms);
        members.set_seeds(seeds(&shared));
        Self {
            clients,
            replica: RefCell::default(),
            config: RefCell::default(),
            vms: RefCell::default(),
            health: RefCell::default(),
            members: RefCell::new(members),
            claims: RefCell::new(Claims::new(settings.node.clone(), shared.incarnation)),
            replies: RefCell::default(),
            demand: RefCell::default(),
            prefixes: RefCell::default(),
            event_budget: RefCell::new(Bucket::new(EVENT_RATE_KB_S, EVENT_BURST_KB, 0)),
            next_polls: RefCell::default(),
            entry_counts: RefCell::default(),
            rng: RefCell::new(SmallRng::from_os_rng()),
            documents_changed: Notify::new(),
            next_claim: Cell::new(0),
            next_heartbeat: Cell::new(0),
            fleet_dirty: Cell::new(true),
            reachable: Cell::new(None),
            view_published: Cell::new(0),
            fleet_published: Cell::new(0),
            shared,
        }
    }
}

/// # Reading
impl Control {
    /// Current time of the node's clock.
    pub(super) fn now(&self) -> Millis {
        self.shared.now()
    }

    /// Time until this node's next poll of a resource that its failure domain polls jointly.
    pub(super) fn next_wait(&self, period: Millis) -> Millis {
        let nodes = self.members.borrow().domain_size(self.now());
        SharedPolling::new(period).next_wait(nodes, &mut *self.rng.borrow_mut())
    }

    /// Number of reachable nodes: those of this failure domain, and those listed for each other
    /// failure domain with at least one live node.
    fn fleet_size(&self, now: Millis) -> u32 {
        let members = self.members.borrow();
        let mut domains: Vec<&Name> = members.alive(now).iter().map(|m| &m.domain).collect();
        domains.sort();
        let local = members.domain_size(now) as u32;
        let entries = self.entry_counts.borrow();
        let remote = domains.chunk_by(|a, b| a == b).filter(|d| *d[0] != members.me().domain);
        let listed = |d: &[&Name]| entries.get(d[0]).copied().unwrap_or(0).max(d.len() as u32);
        local + remote.map(listed).sum::<u32>()
    }
}

/// # Publishing
impl Control {
    /// Publishes the snapshots that have changed or are due.
    pub(super) fn publish(&self) {
        let now = self.now();
        self.shared.control_heartbeat.store(now, Relaxed);
        if self.fleet_dirty.get() || now >= self.fleet_published.get() + FLEET_INTERVAL_MS {
            self.fleet_dirty.set(false);
            self.fleet_published.set(now);
            let fleet = self.health.borrow().fleet(now);
            let count = fleet.len() + fleet.services.len();
            self.shared.metrics.upstreams.set(count as i64);
            self.shared.fleet.store(Arc::new(fleet));
            self.shared.prefixes.store(Arc::new(self.prefixes.borrow().clone()));
        }
        if now >= self.view_published.get() + VIEW_INTERVAL_MS {
            self.view_published.set(now);
            let received = self.clients.client.bytes();
            let counter = self.shared.metrics.bytes.with_label_values(&["polls"]);
            counter.inc_by(received.saturating_sub(counter.get()));
            self.shared.view.store(Arc::new(self.view(now)));
        }
    }

    fn view(&self, now: Millis) -> View {
        let health = self.health.borrow();
        let status = |vm: &Arc<heathpitch_core::Vm>| {
            Some((vm.name.clone(), health.status(vm.name.as_str(), now)?))
        };
        let mut upstreams: Vec<_> = health.targets().filter_map(status).collect();
        upstreams.sort_by(|a, b| a.0.cmp(&b.0));
        let members: Vec<Member> = self.members.borrow().alive(now).into_iter().cloned().collect();
        self.shared.metrics.members.set(members.len() as i64 + 1);
        let fleet_size = self.fleet_size(now);
        let shares = self.demand.borrow().shares(fleet_size);
        View { members, fleet_size, shares, upstreams, vm_list: health.list() }
    }

    /// Updates the seed peers: those of the settings and the entry VMs listed as live.
    pub(super) fn update_seeds(&self, vms: &[heathpitch_core::Vm]) {
        let live = vms.iter().filter(|v| v.role == VmRole::Entry && v.state == VmState::Live);
        let mut entries: HashMap<Name, u32> = HashMap::new();
        for vm in live.clone() {
            *entries.entry(vm.domain.clone()).or_default() += 1;
        }
        *self.entry_counts.borrow_mut() = entries;
        let listed = live.map(|v| v.address.clone());
        self.members.borrow_mut().set_seeds(seeds(&self.shared).into_iter().chain(listed));
    }
}

fn seeds(shared: &Shared) -> Vec<Name> {
    let seeds = &shared.settings.peer.seeds;
    seeds.iter().filter_map(|s| s.to_string().parse().ok()).collect()
}
