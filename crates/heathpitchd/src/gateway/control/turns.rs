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
        match self.plans() && reachable {
            true => None,
            false => self.sources.borrow().next(self.now(), reachable).cloned(),
        }
    }

    /// Takes note of what came of asking a node.
    pub(super) fn heard(&self, node: &Name, heard: PollOutcome) {
        let before = self.sources.borrow().active().cloned();
        let beside = self.beside();
        self.sources.borrow_mut().record_poll(node, heard, self.now(), beside, &mut rand::rng());
        self.feed_changed(before, "it tells");
    }

    /// Takes note that no node is left to ask.
    pub(super) fn silent(&self) {
        let before = self.sources.borrow().active().cloned();
        let beside = self.beside();
        self.sources.borrow_mut().sources_exhausted(self.now(), beside, &mut rand::rng());
        let why = if self.plans() { "this node plans" } else { "no source tells" };
        self.feed_changed(before, why);
    }

    /// Takes note that the planner that tells has given its lease up.
    pub(super) fn vacate(&self) {
        let beside = self.beside();
        self.sources.borrow_mut().planner_released(self.now(), beside, &mut rand::rng());
    }

    /// Takes note of whether this node is told what the store holds, and by whom.
    fn feed_changed(&self, before: Option<Name>, why: &str) {
        let teller = self.sources.borrow().active().cloned();
        if teller == before {
            return;
        }
        let turned = before.is_some() != teller.is_some();
        GatewayEvent::FeedChanged { planner: teller, why: why.to_owned() }.log();
        if turned {
            self.turned.notify_waiters();
        }
    }

    /// Wakes those who wait for a turn of the store, when this node has one.
    pub(super) fn look_at_turn(&self) {
        let turn = (self.reads(), self.claims());
        if self.turn.replace(turn) != turn {
            self.turned.notify_waiters();
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
    pub(super) async fn direct(&self) -> bool {
        let away = || !self.reachable() && self.shared.catalog.load().is_some();
        let mut fed = false;
        while !self.reads() || away() {
            fed |= self.fed();
            self.turned.notified().await;
        }
        fed
    }

    /// Waits until this node may look for the lease of its failure domain's planner.
    pub(super) async fn claim(&self) {
        while !self.claims() {
            self.turned.notified().await;
        }
    }

    /// Waits until this node plans its failure domain.
    pub(super) async fn planning(&self) {
        while !self.plans() {
            self.turned.notified().await;
        }
    }

    /// Waits until this node need not look for that lease any more.
    pub(super) async fn unclaim(&self) {
        while self.claims() {
            self.turned.notified().await;
        }
    }

    /// Leaves a planner that was found time to tell, before this node looks for its lease again.
    pub(super) fn put_claim_off(&self) {
        let (now, beside) = (self.now(), self.beside());
        self.sources.borrow_mut().defer_claim(now, beside, &mut rand::rng());
    }

    /// Reads what the store holds and watches it from there, again and again, for as long as this
    /// node has to do so itself; `retry` after a read that failed.
    pub(super) async fn keep(
        &self,
        retry: Duration,
        read: impl AsyncFn() -> Option<Revision>,
        watch: impl AsyncFn(Revision),
    ) {
        loop {
            self.direct().await;
            let found = read().await;
            // Before the wait, so that a node that is told no more reads at once.
            if found.is_none() {
                tokio::time::sleep(retry).await;
            }
            let told = self.direct().await;
            if let Some(at) = found.filter(|_| !told) {
                watch(at).await;
            }
        }
    }

    /// Whether this node reads the store itself.
    pub(super) fn reads(&self) -> bool {
        let alone = self.shared.peer.is_none() || self.plans();
        !self.fed() && (alone || self.sources.borrow().may_read(self.now()))
    }

    /// Whether this node looks for the lease of its failure domain's planner.
    pub(super) fn claims(&self) -> bool {
        let alone = self.shared.peer.is_none() || self.plans();
        alone || self.sources.borrow().may_claim(self.now())
    }

    /// Whether another node tells this one what the store holds.
    pub(super) fn fed(&self) -> bool {
        self.sources.borrow().active().is_some()
    }
}
