//! Second sends, bounded for each service so that all nodes together stay within what is agreed.

use std::collections::HashMap;
use std::sync::Arc;

use heathpitch_core::{Millis, Name};
use heathpitch_policy::{RetryShare, RetryWindow};
use parking_lot::Mutex;

use crate::gateway::shared::Shared;

/// Second sends of one node, by service.
pub(crate) struct RetryBudgets {
    shared: Arc<Shared>,
    services: Mutex<HashMap<Name, RetryWindow>>,
    /// By which this node rounds its share.
    seed: f64,
}

impl RetryBudgets {
    /// RetryBudgets of which nothing is spent.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared, services: Mutex::default(), seed: rand::random() }
    }

    /// Counts a call.
    pub(crate) fn earn(&self, service: &Name) {
        let now = self.shared.now();
        let share = self.share(now);
        self.services.lock().entry(service.clone()).or_default().call(&share, now);
    }

    /// Takes a second send, if there is one.
    pub(crate) fn spend(&self, service: &Name) -> bool {
        let now = self.shared.now();
        let share = self.share(now);
        self.services.lock().entry(service.clone()).or_default().spend(&share, now)
    }

    fn share(&self, now: Millis) -> RetryShare {
        let bounds = &self.shared.settings.load().bounds;
        let agreed = RetryShare {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: (bounds.retry_window_s * 1e3) as Millis,
        };
        agreed.of_node(self.shared.table.load().fleet_size, self.seed, now)
    }
}
