//! Calls on the store: counted, with what they say of whether it answers and whether it came back older.

use std::time::Duration;

use heathpitch_core::{Millis, Name, Revision};
use heathpitch_net::StoreError;
use heathpitch_policy::EngineIncarnation;

use super::state::Control;
use crate::gateway::event::GatewayEvent;

/// # Store
impl Control {
    /// Waits for an answer of the store, but not once what its silence says is in doubt; none then.
    pub(super) async fn until_doubt<T>(&self, answer: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            answer = answer => Some(answer),
            () = self.store_doubted() => None,
        }
    }

    /// Waits until the store ceases to answer or the node that told this one ceases to tell.
    async fn store_doubted(&self) {
        let (reachable, fed, era) = (self.reachable.get(), self.fed(), self.era.get());
        let turned = || (reachable && !self.reachable.get()) || (fed && !self.fed());
        let lost = || turned() || era != self.era.get();
        while !lost() {
            self.turned.notified().await;
        }
    }

    /// Waits for a while, but not beyond the store's return.
    pub(super) async fn pause(&self, pause: Duration) {
        // Either way the call is tried again.
        let _ = tokio::time::timeout(pause, self.turned.notified()).await;
    }

    /// Makes a call on the store, counts it and takes note of whether the store answers.
    pub(super) async fn call<T>(
        &self,
        name: &'static str,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let sent = self.now();
        let result = call.await;
        self.note(name, sent, &result);
        self.look_at_era();
        result
    }

    /// Waits up to `wait` for changes under a prefix after a revision, of something that the log names.
    ///
    /// A watch that is lost says nothing of the store: connections are lost alone, too.
    pub(super) async fn watch(
        &self,
        of: &'static str,
        prefix: &str,
        after: Revision,
        wait: Millis,
    ) -> Result<heathpitch_net::WatchResponse, StoreError> {
        let sent = self.now();
        let result = self.edges.store.watch(prefix, after, wait).await;
        match &result {
            Err(StoreError::Rpc(e)) => {
                self.shared.metrics.store.with_label_values(&["watch", "lost"]).inc();
                let asked_ms = self.now().saturating_sub(sent);
                GatewayEvent::WatchLost { of, asked_ms, error: e.to_string() }.log();
            }
            _ => self.note("watch", sent, &result),
        }
        self.look_at_era();
        result
    }

    /// Takes note of the era that the store's last answer told.
    fn look_at_era(&self) {
        self.hear_era(self.edges.store.era());
    }

    /// Takes note that the store has come back from an older copy of itself, if its own answers, or what a node that
    /// heard from it tells, are of a later era than before.
    ///
    /// What was read before is of another history. All watches are given up, so that everything is read anew at the
    /// usual turns, and entries that the copy does not have are waited for as after an outage. Engines that had
    /// gone do not come back with their entries, which the copy may have.
    pub(super) fn hear_era(&self, era: u64) {
        let from = self.era.get();
        if era <= from {
            return;
        }
        self.era.set(era);
        // The first one that is heard is no return.
        if from == 0 {
            return;
        }
        self.returned.set(self.now());
        let gone: Vec<Name> = {
            let entries = self.entries.borrow();
            let leaving = self.leaving.borrow();
            leaving.keys().filter(|id| !entries.contains_key(*id)).cloned().collect()
        };
        for engine in &gone {
            let born = self.lives.borrow().born(engine);
            let life = EngineIncarnation { engine: engine.clone(), born };
            self.leavers.borrow_mut().learn(life, 0, self.now());
        }
        self.quarantined.borrow_mut().forget();
        self.limit_record.borrow_mut().forget();
        self.shared.metrics.era.set(era as i64);
        let revision = self.revision();
        GatewayEvent::StoreRestored { from, era, revision, gone }.log();
        self.turned.notify_waiters();
    }

    /// Counts a call, sent at `sent`, and takes note of whether the store answers.
    ///
    /// One that was sent before the store's return and is lost afterwards says nothing of it any more:
    /// taken for a second outage, it held the news of a configuration back by 0.17 s.
    fn note<T>(&self, call: &'static str, sent: Millis, result: &Result<T, StoreError>) {
        let (word, answers) = match result {
            Ok(_) => ("ok", true),
            Err(StoreError::Conflict(_)) => ("conflict", true),
            Err(StoreError::Compacted) => ("forgotten", true),
            Err(StoreError::LeaseExpired) => ("lease_over", true),
            // Nothing was asked.
            Err(StoreError::Restored) => return,
            Err(StoreError::Refused(_)) => ("refused", false),
            Err(StoreError::Rpc(_)) => ("lost", false),
        };
        self.shared.metrics.store.with_label_values(&[call, word]).inc();
        if !answers {
            let (now, beside) = (self.now(), self.beside());
            self.sources.borrow_mut().store_unavailable(now, beside, &mut rand::rng());
        }
        if answers == self.reachable.get() || (!answers && sent < self.returned.get()) {
            return;
        }
        self.reachable.set(answers);
        if answers {
            self.returned.set(self.now());
        }
        self.turned.notify_waiters();
        let error = result.as_ref().err().map(|e| format!("{call}: {e}"));
        GatewayEvent::StoreReachable { reachable: answers, error }.log();
    }
}
