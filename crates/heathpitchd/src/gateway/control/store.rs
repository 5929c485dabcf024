//! Store calls: counts them, tracks whether the store is reachable, and detects restores from an
//! older copy.

use std::time::Duration;

use heathpitch_core::{Millis, Name, Revision};
use heathpitch_net::{RpcError, StoreError};
use heathpitch_policy::{CallOutcome, EngineIncarnation};

use super::state::Control;
use crate::gateway::event::GatewayEvent;

/// # Store
impl Control {
    /// Waits for a response of the store; none once a pending long poll no longer shows that nothing
    /// has changed.
    pub(super) async fn until_store_change<T>(
        &self,
        response: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::select! {
            response = response => Some(response),
            () = self.store_changed() => None,
        }
    }

    /// Waits until a call on the store is lost, it is reachable again, its era changes, or the feed of this node ends.
    ///
    /// A store that refuses calls may still answer a pending watch.
    async fn store_changed(&self) {
        let (access, had_feed, era) = (self.access.get(), self.has_feed(), self.era.get());
        let watches_outdated = || {
            let now = self.access.get();
            now.losses() != access.losses() || now.reachable_since() != access.reachable_since()
        };
        let changed =
            || watches_outdated() || (had_feed && !self.has_feed()) || era != self.era.get();
        while !changed() {
            self.role_changed.notified().await;
        }
    }

    /// Waits before a retry, but not longer than until the store is reachable again.
    pub(super) async fn pause(&self, pause: Duration) {
        // The call is retried in either case.
        let _ = tokio::time::timeout(pause, self.role_changed.notified()).await;
    }

    /// Calls the store, counts the call, and records whether the store is reachable.
    pub(super) async fn call<T>(
        &self,
        name: &'static str,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let sent = self.now();
        let result = call.await;
        self.record_answer(name, sent, &result);
        result
    }

    /// Counts a call sent at `sent`, and records whether the store is reachable and its era.
    pub(super) fn record_answer<T>(
        &self,
        name: &'static str,
        sent: Millis,
        result: &Result<T, StoreError>,
    ) {
        self.record_call(name, sent, result);
        self.check_era();
    }

    /// Waits up to `wait` for changes under a prefix after a revision; `of` names the watched data
    /// in the log.
    ///
    /// A lost watch does not show that the store is unreachable: a connection can be lost on its
    /// own.
    pub(super) async fn watch(
        &self,
        of: &'static str,
        prefix: &str,
        after: Revision,
        wait: Millis,
    ) -> Result<heathpitch_net::WatchResponse, StoreError> {
        let sent = self.now();
        let result = self.clients.store.watch(prefix, after, wait).await;
        match &result {
            Err(StoreError::Rpc(e)) if !matches!(e, RpcError::TooLarge(_)) => {
                self.shared.metrics.store.with_label_values(&["watch", "lost"]).inc();
                let asked_ms = self.now().saturating_sub(sent);
                GatewayEvent::WatchLost { of, asked_ms, error: e.to_string() }.log();
            }
            _ => self.record_call("watch", sent, &result),
        }
        self.check_era();
        result
    }

    /// Records the era of the store's last response.
    fn check_era(&self) {
        self.observe_era(self.clients.store.era());
    }

    /// Records the era of the store, from its own response or from another node. A later era than
    /// before shows that the store was restored from an older copy.
    ///
    /// Earlier reads belong to another history then. All watches are cancelled, so that everything
    /// is read again on the usual schedule, and entries that the copy lacks are awaited as after an
    /// outage. Engines that had left stay out of use, although the copy may contain their entries.
    pub(super) fn observe_era(&self, era: u64) {
        let from = self.era.get();
        if era <= from {
            return;
        }
        self.era.set(era);
        // The first known era is no restore.
        if from == 0 {
            return;
        }
        let mut access = self.access.get();
        access.restored(self.now());
        self.access.set(access);
        let gone: Vec<Name> = {
            let entries = self.entries.borrow();
            let departing = self.departing.borrow();
            departing.keys().filter(|id| !entries.contains_key(*id)).cloned().collect()
        };
        for engine in &gone {
            let started_at = self.incarnations.borrow().started_at(engine);
            let incarnation = EngineIncarnation { engine: engine.clone(), started_at };
            self.drain_notices.borrow_mut().learn(incarnation, 0, self.now());
        }
        self.stored_quarantine.borrow_mut().forget();
        self.stored_exits.borrow_mut().forget();
        self.stored_limits.borrow_mut().forget();
        self.shared.metrics.era.set(era as i64);
        let revision = self.revision();
        GatewayEvent::StoreRestored { from, era, revision, gone }.log();
        self.role_changed.notify_waiters();
    }

    /// Counts a call sent at `sent`, and records whether the store is reachable.
    fn record_call<T>(&self, call: &'static str, sent: Millis, result: &Result<T, StoreError>) {
        let (label, outcome) = match result {
            Ok(_) => ("ok", CallOutcome::Answered),
            Err(StoreError::Conflict(_)) => ("conflict", CallOutcome::Answered),
            Err(StoreError::Compacted) => ("forgotten", CallOutcome::Answered),
            Err(StoreError::LeaseExpired) => ("lease_over", CallOutcome::Answered),
            // No request was sent.
            Err(StoreError::Restored) => return,
            Err(StoreError::Refused(_)) => ("refused", CallOutcome::Refused),
            Err(StoreError::Rpc(RpcError::TooLarge(_))) => ("too_large", CallOutcome::Answered),
            Err(StoreError::Rpc(_)) => ("lost", CallOutcome::Lost),
        };
        self.shared.metrics.store.with_label_values(&[call, label]).inc();
        let (now, mut access) = (self.now(), self.access.get());
        if outcome == CallOutcome::Answered {
            self.shared.config_proofs.set_store_answered(now);
        }
        let losses = access.losses();
        let changed = access.record(outcome, sent, now);
        self.access.set(access);
        if outcome != CallOutcome::Answered && !access.is_reachable() {
            let contenders = self.contenders();
            self.sources.borrow_mut().store_unavailable(now, contenders, &mut rand::rng());
        }
        // While the store is away, further losses must not end the waits between retries.
        if changed || (access.is_reachable() && losses != access.losses()) {
            self.role_changed.notify_waiters();
        }
        if changed {
            let reachable = access.is_reachable();
            let error = result.as_ref().err().map(|e| format!("{call}: {e}"));
            GatewayEvent::StoreReachable { reachable, error }.log();
        }
    }
}
