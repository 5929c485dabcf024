//! Choice of the node to poll, and of when this node reads the store or claims the planner's lease itself.
//!
//! [`Sources`](heathpitch_policy::Sources) decides; this module supplies it with time, poll outcomes and the state
//! of the store, and wakes the controllers waiting for a change of role.

use std::time::Duration;

use heathpitch_core::{Millis, Name, Revision};
use heathpitch_policy::{PollOutcome, Source};

use super::state::Control;
use crate::gateway::event::GatewayEvent;

/// # Sources
impl Control {
    /// Returns the node to poll now besides those whose answers are pending; none while this node is planner and
    /// reaches the store, or if it has no feed address.
    pub(super) fn next_source(&self, pending: &[Name]) -> Option<Source> {
        self.shared.peer?;
        let reachable = self.reachable();
        match self.is_planner() && reachable {
            true => None,
            false => {
                let sources = self.sources.borrow();
                sources.next_besides(pending, self.now(), reachable).cloned()
            }
        }
    }

    /// Records the outcome of polling a node.
    pub(super) fn record_poll(&self, node: &Name, outcome: PollOutcome) {
        let before = self.sources.borrow().active().cloned();
        let contenders = self.contenders();
        if outcome == PollOutcome::Fresh {
            if !self.shared.is_informed() {
                self.flush_held();
            }
            self.shared.set_informed();
        }
        self.sources.borrow_mut().record_poll(
            node,
            outcome,
            self.now(),
            contenders,
            &mut rand::rng(),
        );
        self.feed_changed(before, "it answers polls");
    }

    /// Records that no node polled since `since` has sent data, or that none is left to poll.
    pub(super) fn sources_exhausted(&self, since: Millis) {
        let before = self.sources.borrow().active().cloned();
        let contenders = self.contenders();
        self.sources.borrow_mut().sources_exhausted(since, contenders, &mut rand::rng());
        let why = if self.is_planner() { "this node is the planner" } else { "no source answers" };
        self.feed_changed(before, why);
    }

    /// Records that the planner polled has released its lease.
    pub(super) fn planner_released_lease(&self) {
        let contenders = self.contenders();
        self.sources.borrow_mut().planner_released(self.now(), contenders, &mut rand::rng());
    }

    /// Logs a change of the active source, and wakes waiting controllers if the feed began or ended.
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

    /// Recomputes this node's role and wakes waiting controllers if it changed.
    pub(super) fn update_role(&self) {
        let role = (self.reads_store(), self.may_claim());
        if self.role.replace(role) != role {
            self.role_changed.notify_waiters();
        }
    }
}

/// # Role
impl Control {
    /// Waits until this node has to read the store itself and the store answers.
    ///
    /// While the store is unreachable only the proof of the configuration is retried; a node without any
    /// configuration retries all calls. Returns whether the feed was active meanwhile, in which case earlier
    /// reads are out of date.
    pub(super) async fn wait_to_read(&self) -> bool {
        let store_unreachable = || !self.reachable() && self.shared.catalog.load().is_some();
        let mut had_feed = false;
        while !self.reads_store() || store_unreachable() {
            had_feed |= self.has_feed();
            self.role_changed.notified().await;
        }
        had_feed
    }

    /// Waits until this node may look up the planners and what is held back: to claim the lease, or because it
    /// needs the store and knows nothing of either yet.
    pub(super) async fn wait_to_look_up(&self) {
        while !self.may_claim() && (self.shared.is_informed() || !self.reads_store()) {
            self.role_changed.notified().await;
        }
    }

    /// Waits until this node is the planner of its failure domain.
    pub(super) async fn wait_until_planner(&self) {
        while !self.is_planner() {
            self.role_changed.notified().await;
        }
    }

    /// Waits until this node becomes planner, if it is not, and then until it no longer is.
    pub(super) async fn wait_until_role_ends(&self) {
        self.wait_until_planner().await;
        while self.is_planner() {
            self.role_changed.notified().await;
        }
    }

    /// Waits until this node may no longer claim the lease of its failure domain's planner.
    pub(super) async fn wait_until_no_claim(&self) {
        while self.may_claim() {
            self.role_changed.notified().await;
        }
    }

    /// Gives a planner just found time to answer polls before this node may claim its lease again.
    pub(super) fn defer_claim(&self) {
        let (now, contenders) = (self.now(), self.contenders());
        self.sources.borrow_mut().defer_claim(now, contenders, &mut rand::rng());
    }

    /// Repeatedly reads from the store and watches from the revision read, whenever this node has to read the
    /// store itself; waits `retry` after a failed read.
    pub(super) async fn read_and_watch(
        &self,
        retry: Duration,
        read: impl AsyncFn() -> Option<Revision>,
        watch: impl AsyncFn(Revision),
    ) {
        loop {
            self.wait_to_read().await;
            let found = read().await;
            // Before `wait_to_read`, so that a node whose feed ends reads at once.
            if found.is_none() {
                tokio::time::sleep(retry).await;
            }
            let had_feed = self.wait_to_read().await;
            if let Some(at) = found.filter(|_| !had_feed) {
                watch(at).await;
            }
        }
    }

    /// Whether this node reads the store itself.
    pub(super) fn reads_store(&self) -> bool {
        let exempt = self.shared.peer.is_none() || self.is_planner();
        !self.has_feed() && (exempt || self.sources.borrow().may_read(self.now()))
    }

    /// Whether this node may claim the lease of its failure domain's planner.
    pub(super) fn may_claim(&self) -> bool {
        let exempt = self.shared.peer.is_none() || self.is_planner();
        exempt || self.sources.borrow().may_claim(self.now())
    }

    /// Rank of this node among the standbys of its failure domain's planner.
    pub(super) fn standby_rank(&self) -> Option<usize> {
        self.sources.borrow().standby_rank()
    }

    /// Whether another node serves this one the contents of the store.
    pub(super) fn has_feed(&self) -> bool {
        self.sources.borrow().active().is_some()
    }
}
