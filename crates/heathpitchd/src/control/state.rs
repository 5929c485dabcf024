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

use super::{Addresses, Edges};
use crate::shared::Shared;
use crate::snapshot::View;

/// Cache events read per second, in kilobytes.
const EVENT_RATE: f64 = 4.0;
/// Cache events read at once, in kilobytes.
const EVENT_BURST: f64 = 256.0;
/// Time between two snapshots of nodes, milliseconds.
const VIEW_PERIOD: Millis = 200;
/// Time after which the fleet is published anew although nothing was heard, milliseconds.
const FLEET_PERIOD: Millis = 500;

/// Everything the controllers own.
pub(crate) struct Control {
    pub(super) shared: Arc<Shared>,
    pub(super) edges: Edges,
    pub(super) replica: RefCell<Replica>,
    pub(super) config: RefCell<Packed>,
    pub(super) vms: RefCell<Packed>,
    pub(super) health: RefCell<Health>,
    pub(super) members: RefCell<Members>,
    pub(super) claims: RefCell<Claims>,
    pub(super) replies: RefCell<HashMap<u64, oneshot::Sender<Verdict>>>,
    pub(super) demand: RefCell<Demand>,
    pub(super) prefixes: RefCell<PrefixIndex>,
    pub(super) reading: RefCell<Bucket>,
    pub(super) due: RefCell<HashMap<Name, Millis>>,
    pub(super) entries: RefCell<HashMap<Name, u32>>,
    pub(super) rng: RefCell<SmallRng>,
    pub(super) news: Notify,
    pub(super) next_ask: Cell<u64>,
    pub(super) next_beat: Cell<Millis>,
    pub(super) fleet_dirty: Cell<bool>,
    pub(super) reachable: Cell<Option<bool>>,
    viewed: Cell<Millis>,
    fleeted: Cell<Millis>,
}

/// # Construction
impl Control {
    /// State of a node that knows nothing but its settings.
    pub(super) fn new(shared: Arc<Shared>, edges: Edges, addresses: Addresses) -> Self {
        let settings = &shared.settings;
        let me = Member {
            node: settings.node.clone(),
            life: shared.life,
            beat: 0,
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
            edges,
            replica: RefCell::default(),
            config: RefCell::default(),
            vms: RefCell::default(),
            health: RefCell::default(),
            members: RefCell::new(members),
            claims: RefCell::new(Claims::new(settings.node.clone(), shared.life)),
            replies: RefCell::default(),
            demand: RefCell::default(),
            prefixes: RefCell::default(),
            reading: RefCell::new(Bucket::new(EVENT_RATE, EVENT_BURST, 0)),
            due: RefCell::default(),
            entries: RefCell::default(),
            rng: RefCell::new(SmallRng::from_os_rng()),
            news: Notify::new(),
            next_ask: Cell::new(0),
            next_beat: Cell::new(0),
            fleet_dirty: Cell::new(true),
            reachable: Cell::new(None),
            viewed: Cell::new(0),
            fleeted: Cell::new(0),
            shared,
        }
    }
}

/// # Reading
impl Control {
    /// Now, on the node's clock.
    pub(super) fn now(&self) -> Millis {
        self.shared.now()
    }

    /// Time until this node's next poll of something that its failure domain polls together.
    pub(super) fn wait(&self, period: Millis) -> Millis {
        let nodes = self.members.borrow().domain_size(self.now());
        SharedPolling::new(period).next_wait(nodes, &mut *self.rng.borrow_mut())
    }

    /// Nodes of the fleet that can be reached: those of this failure domain, and those listed of
    /// each other one of which any node is heard.
    fn nodes(&self, now: Millis) -> u32 {
        let members = self.members.borrow();
        let mut others: Vec<&Name> = members.alive(now).iter().map(|m| &m.domain).collect();
        others.sort();
        let near = members.domain_size(now) as u32;
        let entries = self.entries.borrow();
        let far = others.chunk_by(|a, b| a == b).filter(|d| *d[0] != members.me().domain);
        let listed = |d: &[&Name]| entries.get(d[0]).copied().unwrap_or(0).max(d.len() as u32);
        near + far.map(listed).sum::<u32>()
    }
}

/// # Publishing
impl Control {
    /// Publishes what has changed.
    pub(super) fn publish(&self) {
        let now = self.now();
        self.shared.beat.store(now, Relaxed);
        if self.fleet_dirty.get() || now >= self.fleeted.get() + FLEET_PERIOD {
            self.fleet_dirty.set(false);
            self.fleeted.set(now);
            let fleet = self.health.borrow().fleet(now);
            let count = fleet.len() + fleet.services.len();
            self.shared.metrics.upstreams.set(count as i64);
            self.shared.fleet.store(Arc::new(fleet));
            self.shared.prefixes.store(Arc::new(self.prefixes.borrow().clone()));
        }
        if now >= self.viewed.get() + VIEW_PERIOD {
            self.viewed.set(now);
            let polled = self.edges.client.bytes();
            let counter = self.shared.metrics.bytes.with_label_values(&["polls"]);
            counter.inc_by(polled.saturating_sub(counter.get()));
            self.shared.view.store(Arc::new(self.view(now)));
        }
    }

    fn view(&self, now: Millis) -> View {
        let health = self.health.borrow();
        let standing = |vm: &Arc<heathpitch_core::Vm>| {
            Some((vm.name.clone(), health.status(vm.name.as_str(), now)?))
        };
        let mut upstreams: Vec<_> = health.targets().filter_map(standing).collect();
        upstreams.sort_by(|a, b| a.0.cmp(&b.0));
        let members: Vec<Member> = self.members.borrow().alive(now).into_iter().cloned().collect();
        self.shared.metrics.members.set(members.len() as i64 + 1);
        let nodes = self.nodes(now);
        let shares = self.demand.borrow().shares(nodes);
        View { members, nodes, shares, upstreams, list: health.list() }
    }

    /// Peers to try: those of the settings and the entry VMs listed as live.
    pub(super) fn reseed(&self, vms: &[heathpitch_core::Vm]) {
        let live = vms.iter().filter(|v| v.role == VmRole::Entry && v.state == VmState::Live);
        let mut entries: HashMap<Name, u32> = HashMap::new();
        for vm in live.clone() {
            *entries.entry(vm.domain.clone()).or_default() += 1;
        }
        *self.entries.borrow_mut() = entries;
        let listed = live.map(|v| v.address.clone());
        self.members.borrow_mut().set_seeds(seeds(&self.shared).into_iter().chain(listed));
    }
}

fn seeds(shared: &Shared) -> Vec<Name> {
    let seeds = &shared.settings.peer.seeds;
    seeds.iter().filter_map(|s| s.to_string().parse().ok()).collect()
}
