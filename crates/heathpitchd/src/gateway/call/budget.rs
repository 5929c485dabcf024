//! Second sends, bounded for each service so that all nodes together stay within what is agreed.

use std::collections::HashMap;
use std::sync::Arc;

use heathpitch_core::{Millis, Name};
use heathpitch_policy::{RetryShare, RetryWindow};
use parking_lot::Mutex;

use crate::gateway::shared::Shared;

/// Share of the agreed ratio and slack that is used: calls and second sends arrive at an engine
/// later than they are counted here.
const MARGIN: f64 = 0.85;
/// Least slack of a node: one second send.
const SLACK_LEAST: f64 = 1.0;

/// Second sends of one node, by service.
pub(crate) struct Budgets {
    shared: Arc<Shared>,
    services: Mutex<HashMap<Name, RetryWindow>>,
}

impl Budgets {
    /// Budgets of which nothing is spent.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared, services: Mutex::default() }
    }

    /// Counts a call.
    pub(crate) fn earn(&self, service: &Name) {
        let (share, now) = (self.share(), self.shared.now());
        self.services.lock().entry(service.clone()).or_default().call(&share, now);
    }

    /// Takes a second send, if there is one.
    pub(crate) fn spend(&self, service: &Name) -> bool {
        let (share, now) = (self.share(), self.shared.now());
        self.services.lock().entry(service.clone()).or_default().spend(&share, now)
    }

    fn share(&self) -> RetryShare {
        let bounds = &self.shared.settings.load().bounds;
        let nodes = self.shared.table.load().sharers();
        let slack = bounds.retry_slack * MARGIN / f64::from(nodes);
        RetryShare {
            ratio: bounds.retry_ratio * MARGIN,
            slack: slack.max(SLACK_LEAST),
            window: (bounds.retry_window_s * 1e3) as Millis,
        }
    }
}
