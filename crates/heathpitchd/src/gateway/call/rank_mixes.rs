//! Recent demand of each service by rank.

use std::collections::HashMap;

use heathpitch_core::{Millis, Name};
use heathpitch_policy::RankMix;
use parking_lot::Mutex;

/// Services whose demand is kept; more than configurations have.
const MAX_SERVICES: usize = 256;

/// Recent demand at one node, by service.
#[derive(Debug, Default)]
pub(crate) struct RankMixes {
    services: Mutex<HashMap<Name, RankMix>>,
}

impl RankMixes {
    /// Counts a stream, and returns the part of the service's recent streams that is more urgent.
    pub(crate) fn record(&self, service: &Name, rank: u8, now: Millis) -> f64 {
        let mut services = self.services.lock();
        if services.len() >= MAX_SERVICES && !services.contains_key(service) {
            services.clear();
        }
        let mix = services.entry(service.clone()).or_default();
        mix.record(rank, now);
        mix.urgent_share(rank, now)
    }
}
