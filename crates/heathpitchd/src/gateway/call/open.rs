//! Counts of open calls and of what they hold at engines.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use heathpitch_policy::EngineStats;

use crate::gateway::shared::Shared;

/// Counts a call until it is dropped.
pub(crate) struct OpenCall(Arc<Shared>);

impl OpenCall {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        shared.open_calls.fetch_add(1, Relaxed);
        shared.metrics.open.inc();
        Self(shared)
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.open_calls.fetch_sub(1, Relaxed);
        self.0.metrics.open.dec();
    }
}

/// Counts a request that waits for its first answer until it is dropped.
pub(crate) struct Waiting(Arc<EngineStats>);

impl Waiting {
    pub(crate) fn new(stats: Arc<EngineStats>) -> Self {
        stats.wait_began();
        Self(stats)
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.wait_ended();
    }
}

/// Counts a call's tokens at engines until it is dropped.
pub(crate) struct Held {
    shared: Arc<Shared>,
    tallies: Vec<Arc<EngineStats>>,
    tokens: u64,
}

impl Held {
    pub(crate) fn new(shared: Arc<Shared>, tallies: Vec<Arc<EngineStats>>, tokens: u64) -> Self {
        let now = shared.now();
        tallies.iter().for_each(|t| t.open(tokens, now));
        Self { shared, tallies, tokens }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.tallies.iter().for_each(|t| t.close(self.tokens, now));
    }
}
