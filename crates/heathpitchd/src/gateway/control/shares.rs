//! Controller of the client accounts' shares.
//!
//! Every node counts the streams that callers ask of it. Nodes send their counts with their polls to
//! the planner of their failure domain, which divides by account what the domain admits and returns
//! the shares. A node without recent shares divides what it admits itself.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use heathpitch_core::{Millis, Name};
use heathpitch_net::{FeedDemand, FeedRequest, FeedShare, FeedShares};
use heathpitch_policy::{
    AccountShare, AccountShares, AnsweredPolls, Demand, DemandCount, DemandKey, DomainDemand,
    MAX_DEMAND_ENTRIES, RecentDemand,
};

use super::state::Control;
use crate::gateway::event::{GatewayEvent, SharesChanged, thousandths};

/// Interval at which shares are computed: a fraction of the time between two polls of a node, so
/// that it adds little to the age of shares.
const INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two log lines about the same service.
const LOG_INTERVAL_MS: Millis = 1_000;
/// Most accounts that are limited at a time: those with the most requests beyond their share. At 40
/// bytes each, every second answer to a node then holds 640 bytes more, or 0.8 kB/s.
const MAX_LIMITED: usize = 16;
/// Most accounts in an answer that is used.
const MAX_SHARES: usize = 64;
/// Shortest time between two answers with shares to the same node, milliseconds: they are in every
/// second answer, so that one may be lost before shares expire.
const SEND_INTERVAL_MS: Millis = 700;
/// Nodes for which the time of the last shares is kept.
const MAX_NODES: usize = 2_048;

/// Demand and shares of client accounts.
#[derive(Default)]
pub(super) struct Shares {
    /// Streams that callers asked of this node.
    own: RefCell<RecentDemand>,
    /// Streams that callers asked of the nodes that poll this one.
    followers: RefCell<DomainDemand>,
    /// The last shares from another node.
    received: RefCell<Option<AccountShares>>,
    /// The counts that the nodes polled by this one have received.
    answered: RefCell<AnsweredPolls>,
    /// Whether the published shares are based on the counts of several nodes.
    shared: Cell<bool>,
    /// Time at which shares were last sent to each node that polls this one.
    sent: RefCell<HashMap<Name, Millis>>,
    logged: RefCell<HashMap<Name, Logged>>,
}

/// Last log line about a service.
#[derive(Default)]
struct Logged {
    limited: BTreeSet<u64>,
    at: Millis,
}

/// Computes and publishes shares periodically.
pub(super) async fn run(control: Rc<Control>) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        control.publish_shares();
    }
}

/// # Demand
impl Control {
    /// Counts a stream that a caller asked of this node.
    pub(super) fn record_demand(&self, key: DemandKey, admitted: bool) {
        self.shares.own.borrow_mut().record(key, DemandCount::one(admitted), self.now());
    }

    /// Counts since the last answered poll of a node, and the position after them.
    ///
    /// Only nodes of the same failure domain get counts: accounts share the capacity of a domain.
    pub(super) fn demand_for(&self, node: &Name) -> (Vec<FeedDemand>, u64) {
        if !self.sources.borrow().is_local(node) {
            return (Vec::new(), 0);
        }
        let known = self.shares.answered.borrow().position(node);
        let mut own = self.shares.own.borrow_mut();
        let counts = own.since(known, MAX_DEMAND_ENTRIES, self.now());
        let entry = |(key, count): (DemandKey, DemandCount)| FeedDemand {
            service: key.service,
            rank: key.rank,
            account: key.account,
            asked: count.asked,
            admitted: count.admitted,
        };
        (counts.into_iter().map(entry).collect(), own.close_interval())
    }

    /// Records that a node answered a poll with counts up to this position.
    pub(super) fn demand_answered(&self, node: &Name, position: u64) {
        self.shares.answered.borrow_mut().record(node, position, self.now());
    }

    /// Records the counts of a node that polls this one; returns whether they are counted.
    pub(super) fn receive_demand(&self, request: &FeedRequest, is_known: bool) -> bool {
        let entries = request.demand.iter().filter_map(|d| {
            // The name in the configuration, so that no other one is kept.
            let service = self.service(&d.service)?.name.clone();
            let count = DemandCount { asked: d.asked, admitted: d.admitted };
            Some((DemandKey { service, rank: d.rank, account: d.account }, count))
        });
        let (entries, now) = (entries.collect(), self.now());
        let mut followers = self.shares.followers.borrow_mut();
        let received = followers.receive(&request.node, is_known, entries, now);
        if let Err(e) = received {
            log::info!("demand of node {} is not counted: {e}", request.node);
        }
        received.is_ok()
    }
}

/// # Shares
impl Control {
    /// Shares for a node that polls this one; none if it got them just before, or if only this
    /// node's own counts are known.
    pub(super) fn shares_for(&self, node: &Name) -> Option<FeedShares> {
        let (now, mut sent) = (self.now(), self.shares.sent.borrow_mut());
        let due = sent.get(node).is_none_or(|at| now >= at + SEND_INTERVAL_MS);
        if !due || !self.shares.shared.get() {
            return None;
        }
        if sent.len() >= MAX_NODES {
            sent.retain(|_, at| now < *at + SEND_INTERVAL_MS);
        }
        sent.insert(node.clone(), now);
        let shares = self.shared.shares.load();
        let share = |s: AccountShare| FeedShare {
            service: s.service,
            account: s.account,
            fraction: s.fraction as f32,
        };
        let accounts = shares.limited().take(MAX_SHARES).map(share).collect();
        Some(FeedShares { accounts, age_ms: shares.age(now) })
    }

    /// Records shares from the answer of a node to a poll sent at `sent`.
    pub(super) fn receive_shares(&self, node: &Name, shares: &FeedShares, sent: Millis) {
        let count = shares.accounts.len();
        if !self.sources.borrow().is_local(node) || count > MAX_SHARES {
            log::info!("shares of node {node} for {count} accounts are not used");
            return;
        }
        // The name in the configuration, so that no other one is kept.
        let share = |s: &FeedShare| {
            let service = self.service(&s.service)?.name.clone();
            Some(AccountShare { service, account: s.account, fraction: f64::from(s.fraction) })
        };
        let (at, now) = (sent.saturating_sub(shares.age_ms), self.now());
        let received = AccountShares::received(shares.accounts.iter().filter_map(share), at);
        let known = self.shares.received.borrow().as_ref().map(|known| known.age(now));
        let age = received.age(now);
        if !received.is_current(now) || known.is_some_and(|known| known < age) {
            log::info!("shares of node {node} are not used: they are {age} ms old");
            return;
        }
        self.shares.received.replace(Some(received));
        self.publish_shares();
    }

    /// Publishes the shares that apply now: as planner, those of the counts of all nodes; else those
    /// received; else those of the counts known to this node.
    fn publish_shares(&self) {
        let (now, own) = (self.now(), self.shares.own.borrow());
        let followers = self.shares.followers.borrow();
        let received = self.shares.received.borrow();
        let received = received.as_ref().filter(|r| r.is_current(now) && !self.is_planner());
        let has_followers = !followers.recent().is_empty(now);
        let shares = match received {
            Some(received) => received.clone(),
            None => AccountShares::divide(&[&own, followers.recent()], MAX_LIMITED, now),
        };
        self.shares.shared.set(received.is_some() || self.is_planner() || has_followers);
        self.log_shares(&shares, now);
        self.shared.shares.store(Arc::new(shares));
    }

    /// Logs which accounts begin or cease to be limited.
    fn log_shares(&self, shares: &AccountShares, now: Millis) {
        let mut limited: HashMap<Name, BTreeSet<u64>> = HashMap::new();
        for share in shares.limited() {
            limited.entry(share.service).or_default().insert(share.account);
        }
        let mut logged = self.shares.logged.borrow_mut();
        for service in limited.keys().filter(|s| self.service(s).is_some()) {
            logged.entry(service.clone()).or_default();
        }
        logged.retain(|service, _| self.service(service).is_some());
        for (service, last) in logged.iter_mut() {
            let limited = limited.remove(service).unwrap_or_default();
            if limited == last.limited || now < last.at + LOG_INTERVAL_MS {
                continue;
            }
            GatewayEvent::SharesChanged(SharesChanged {
                service: service.clone(),
                limited: self.account_shares(shares, service),
                count: limited.len(),
                began: limited.difference(&last.limited).count(),
                ended: last.limited.difference(&limited).count(),
            })
            .log();
            *last = Logged { limited, at: now };
        }
    }

    /// Names and shares of the accounts of a service that are limited most.
    fn account_shares(&self, shares: &AccountShares, service: &Name) -> Vec<(Name, f64)> {
        let catalog = self.shared.catalog.load();
        let accounts = catalog.as_ref().map_or(&[][..], |c| c.accounts());
        let now = self.now();
        let fraction = |a: &Name| shares.fraction(service, Demand::key(a), now);
        let fractions = accounts.iter().map(|a| (a, fraction(a)));
        let limited = fractions.filter(|(_, f)| *f < 1.0).map(|(a, f)| (a.clone(), thousandths(f)));
        let mut limited: Vec<(Name, f64)> = limited.collect();
        limited.sort_by(|a, b| a.1.total_cmp(&b.1));
        limited.truncate(MAX_LIMITED);
        limited
    }
}
