//! Guards that count open calls, waiting requests and held tokens.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use heathpitch_policy::EngineStats;

use crate::gateway::shared::Shared;

/// Counts an open call until dropped.
pub(crate) struct OpenCall {
    shared: Arc<Shared>,
    is_forwarded: bool,
}

impl OpenCall {
    pub(crate) fn new(shared: Arc<Shared>, is_forwarded: bool) -> Self {
        shared.open_calls.fetch_add(1, Relaxed);
        shared.open_forwarded.fetch_add(is_forwarded.into(), Relaxed);
        shared.metrics.open.inc();
        Self { shared, is_forwarded }
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.shared.open_calls.fetch_sub(1, Relaxed);
        self.shared.open_forwarded.fetch_sub(self.is_forwarded.into(), Relaxed);
        self.shared.metrics.open.dec();
    }
}

/// Counts a request that waits for its first response until dropped.
pub(crate) struct WaitingRequest(Arc<EngineStats>);

impl WaitingRequest {
    pub(crate) fn new(stats: Arc<EngineStats>) -> Self {
        stats.wait_began();
        Self(stats)
    }
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        self.0.wait_ended();
    }
}

/// Counts a call's tokens on its engines until dropped.
pub(crate) struct HeldTokens {
    shared: Arc<Shared>,
    stats: Vec<Arc<EngineStats>>,
    tokens: u64,
}

impl HeldTokens {
    pub(crate) fn new(shared: Arc<Shared>, stats: Vec<Arc<EngineStats>>, tokens: u64) -> Self {
        let now = shared.now();
        stats.iter().for_each(|t| t.open(tokens, now));
        Self { shared, stats, tokens }
    }
}

impl Drop for HeldTokens {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.stats.iter().for_each(|t| t.close(self.tokens, now));
    }
}
