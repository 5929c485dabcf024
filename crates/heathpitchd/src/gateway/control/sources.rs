//! Whom this node asks, and when it reads the store itself or looks for its planner's lease.
//!
//! [`Sources`](heathpitch_policy::Sources) decides; this keeps it told of time, answers and the store, and
//! wakes the controllers that wait for a turn.

use std::time::Duration;

use heathpitch_core::{Name, Revision};
use heathpitch_policy::{PollOutcome, Source};

use super::state::Control;
use crate::gateway::event::GatewayEvent;

/// # Sources
impl Control {
    /// The node to ask now; none while this one reads the store as its failure domain's planner, or if
    /// nodes are not to talk to each other.
    pub(super) fn next_source(&self) -> Option<Source> {
        self.shared.peer?;
        let reachable = self.reachable();
        match self.is_planner() && reachable {
            true => None,
            false => self.sources.borrow().next(self.now(), reachable).cloned(),
        }
    }

    /// Takes note of what came of asking a node.
    pub(super) fn record_poll(&self, node: &Name, outcome: PollOutcome) {
        let before = self.sources.borrow().active().cloned();
        let domain_size = self.domain_size();
        self.sources.borrow_mut().record_poll(
            node,
            outcome,
            self.now(),
            domain_size,
            &mut rand::rng(),
        );
        self.feed_changed(before, "it tells");
    }

    /// Takes note that no node is left to ask.
    pub(super) fn sources_exhausted(&self) {
        let before = self.sources.borrow().active().cloned();
        let domain_size = self.domain_size();
        self.sources.borrow_mut().sources_exhausted(self.now(), domain_size, &mut rand::rng());
        let why = if self.is_planner() { "this node plans" } else { "no source tells" };
        self.feed_changed(before, why);
    }

    /// Takes note that the planner that tells has given its lease up.
    pub(super) fn planner_released_lease(&self) {
        let domain_size = self.domain_size();
        self.sources.borrow_mut().planner_released(self.now(), domain_size, &mut rand::rng());
    }

    /// Takes note of whether this node is told what the store holds, and by whom.
    fn feed_changed(&self, before: Option<Name>, why: &str) {
        let source = self.sources.borrow().active().cloned();
        if source == before {
            return;
        }
        let feed_changed = before.is_some() != source.is_some();
        GatewayEvent::FeedChanged { planner: source, why: why.to_owned() }.log();
        if feed_changed {
            self.role_changed.notify_waiters();
        }
    }

    /// Wakes those who wait for a turn of the store, when this node has one.
    pub(super) fn update_role(&self) {
        let role = (self.reads_store(), self.may_claim());
        if self.role.replace(role) != role {
            self.role_changed.notify_waiters();
        }
    }
}

/// # Turns
impl Control {
    /// Waits until this node has to read the store itself and the store answers.
    ///
    /// While the store is away only the proof of the configuration is tried again and again; a node
    /// that knows no configuration yet tries everything. Gives whether this node was told meanwhile,
    /// so that what it read before is old.
    pub(super) async fn wait_to_read(&self) -> bool {
        let store_away = || !self.reachable() && self.shared.catalog.load().is_some();
        let mut was_fed = false;
        while !self.reads_store() || store_away() {
            was_fed |= self.has_feed();
            self.role_changed.notified().await;
        }
        was_fed
    }

    /// Waits until this node may look for the lease of its failure domain's planner.
    pub(super) async fn wait_to_claim(&self) {
        while !self.may_claim() {
            self.role_changed.notified().await;
        }
    }

    /// Waits until this node plans its failure domain.
    pub(super) async fn wait_until_planner(&self) {
        while !self.is_planner() {
            self.role_changed.notified().await;
        }
    }

    /// Waits until this node need not look for that lease any more.
    pub(super) async fn wait_until_no_claim(&self) {
        while self.may_claim() {
            self.role_changed.notified().await;
        }
    }

    /// Leaves a planner that was found time to tell, before this node looks for its lease again.
    pub(super) fn defer_claim(&self) {
        let (now, domain_size) = (self.now(), self.domain_size());
        self.sources.borrow_mut().defer_claim(now, domain_size, &mut rand::rng());
    }

    /// Reads what the store holds and watches it from there, again and again, for as long as this
    /// node has to do so itself; `retry` after a read that failed.
    pub(super) async fn read_and_watch(
        &self,
        retry: Duration,
        read: impl AsyncFn() -> Option<Revision>,
        watch: impl AsyncFn(Revision),
    ) {
        loop {
            self.wait_to_read().await;
            let found = read().await;
            // Before the wait, so that a node that is told no more reads at once.
            if found.is_none() {
                tokio::time::sleep(retry).await;
            }
            let was_fed = self.wait_to_read().await;
            if let Some(at) = found.filter(|_| !was_fed) {
                watch(at).await;
            }
        }
    }

    /// Whether this node reads the store itself.
    pub(super) fn reads_store(&self) -> bool {
        let exempt = self.shared.peer.is_none() || self.is_planner();
        !self.has_feed() && (exempt || self.sources.borrow().may_read(self.now()))
    }

    /// Whether this node looks for the lease of its failure domain's planner.
    pub(super) fn may_claim(&self) -> bool {
        let exempt = self.shared.peer.is_none() || self.is_planner();
        exempt || self.sources.borrow().may_claim(self.now())
    }

    /// Whether another node tells this one what the store holds.
    pub(super) fn has_feed(&self) -> bool {
        self.sources.borrow().active().is_some()
    }
}
