//! Snapshot of the listed engines that the traffic thread routes by.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use heathpitch_core::{Card, EngineEntry, EntryState, LayeredModel, Millis, Name, Path};
use heathpitch_policy::{ChainEngine, EngineStats};
use rand::Rng;

use super::reach::ServiceReach;

/// Share of an engine's token capacity above which it gets no new requests: beyond it, requests
/// evict each other's tokens and have to be prefilled again.
pub(crate) const MAX_UTILIZATION: f64 = 0.95;
/// Cost of an engine without capacity, milliseconds per token: more than a path through another
/// failure domain.
pub(crate) const FULL_PENALTY_MS: f64 = 16.0;
/// Cost of an engine at full utilization, milliseconds per token: about two hops.
const UTILIZATION_PENALTY_MS: f64 = 0.4;
/// Time to the first event that is no reason to start at another engine, milliseconds: that of a
/// failure domain under normal load.
const NORMAL_WAIT_MS: f64 = 90.0;
/// Tokens over which a wait is spread: a path through another failure domain costs about as much
/// as a third of the latency target.
const WAIT_SPREAD_TOKENS: f64 = 50.0;
/// Cost of an engine that holds an extra copy of layers, milliseconds per token: more than any
/// detour within a failure domain, so that the engine stays free to load other layers.
const REPLICA_PENALTY_MS: f64 = 0.6;
/// Random cost between equal engines, milliseconds per token, so that nodes do not all choose the
/// same one.
const JITTER_MS: f64 = 0.02;

/// An engine and what this node knows of it.
#[derive(Clone, Debug)]
pub(crate) struct EngineView {
    pub(crate) entry: Arc<EngineEntry>,
    pub(crate) card: Option<Card>,
    pub(crate) stats: Arc<EngineStats>,
    /// Whether it belongs to the primary chain, rather than holding an extra copy.
    pub(crate) is_primary: bool,
}

impl EngineView {
    /// Whether it may be sent new requests.
    pub(crate) fn is_available(&self, now: Millis) -> bool {
        self.is_in_service(now) && self.stats.backpressure().admits(now)
    }

    /// Whether at most backpressure keeps it from new requests: it is neither draining nor suspect.
    pub(crate) fn is_in_service(&self, now: Millis) -> bool {
        !self.is_draining() && !self.stats.gauge().is_suspect(now)
    }

    /// Whether it would be sent new requests if this node did not suspect it.
    pub(crate) fn is_available_but_suspect(&self, now: Millis) -> bool {
        !self.is_draining() && self.stats.backpressure().admits(now)
    }

    fn is_draining(&self) -> bool {
        self.entry.state == EntryState::Draining || self.stats.backpressure().is_draining()
    }
}

/// What a path has to serve.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PathQuery<'a> {
    pub(crate) service: &'a Name,
    pub(crate) model: &'a LayeredModel,
    /// Tokens that the request is expected to hold.
    pub(crate) tokens: f64,
    pub(crate) now: Millis,
    /// Path of a running request, whose engines already hold its tokens.
    pub(crate) current: Option<&'a Path>,
}

impl PathQuery<'_> {
    fn is_on_current(&self, engine: &Name) -> bool {
        self.current.is_some_and(|path| path.stages().iter().any(|s| &s.engine == engine))
    }
}

/// All listed engines, by service.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineTable {
    pub(crate) services: HashMap<Name, Vec<EngineView>>,
    /// Nodes of this failure domain, at least 1.
    pub(crate) domain_size: u32,
    /// Nodes of the fleet, if known.
    pub(crate) fleet_size: Option<u32>,
    /// Whether memory and queues of engines are forecast.
    pub(crate) forecast: bool,
}

impl EngineTable {
    /// Engines of a service.
    pub(crate) fn engines_of(&self, service: &Name) -> &[EngineView] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// How well this node reaches the engines of a service.
    pub(crate) fn reach(&self, service: &Name, now: Millis) -> ServiceReach {
        let engines = self.engines_of(service);
        let contact_at = engines.iter().filter_map(|v| v.stats.contact_at()).max();
        ServiceReach {
            listed: engines.len(),
            suspect: engines.iter().filter(|v| v.stats.gauge().is_suspect(now)).count(),
            contact_age: contact_at.map(|at| now.saturating_sub(at)),
        }
    }

    /// Usable engines that a path may run through, with their costs for this request.
    pub(crate) fn chain_engines(
        &self,
        query: &PathQuery<'_>,
        usable: impl Fn(&EngineView) -> bool,
    ) -> Vec<ChainEngine> {
        let &PathQuery { service, model, now, .. } = query;
        let chain_engine = |s: &EngineView| {
            let card = s.card.clone()?;
            let on_current = query.is_on_current(&s.entry.id);
            let need = if on_current { 0.0 } else { query.tokens };
            let capacity = model.token_capacity(&card, s.entry.layers.count()).max(1.0);
            // Nodes that all saw the forecast would choose the same engine until its next report. The
            // estimate by this node's own requests differs by node and spreads them.
            let held = s.stats.occupancy().held(self.domain_size, now);
            let utilization = (held + need) / capacity;
            let card = Card { step_factor: card.step_factor * s.stats.slowdown(now), ..card };
            // An engine that is almost empty takes any request that fits it at all.
            let occupied = held > capacity * (1.0 - MAX_UTILIZATION) || need > capacity;
            let full = !on_current && occupied && utilization > MAX_UTILIZATION;
            let deprioritized = !on_current && s.stats.is_deprioritized(now);
            let jitter = rand::rng().random_range(0.0..JITTER_MS);
            let replica = if s.is_primary { 0.0 } else { REPLICA_PENALTY_MS };
            let unavailable = if full || deprioritized { FULL_PENALTY_MS } else { 0.0 };
            let penalty =
                UTILIZATION_PENALTY_MS * utilization * utilization + unavailable + replica + jitter;
            let wait = s.stats.wait_ms(now) - NORMAL_WAIT_MS;
            let start_cost = wait.max(0.0) / WAIT_SPREAD_TOKENS;
            Some(ChainEngine {
                entry: s.entry.clone(),
                card,
                penalty,
                start_cost,
                utilization,
                full,
                deprioritized,
            })
        };
        let views = self.engines_of(service).iter();
        views.filter(|s| s.entry.layers.count() > 0 && usable(s)).filter_map(chain_engine).collect()
    }

    /// The engine at this address.
    pub(crate) fn by_address(&self, address: SocketAddr) -> Option<&EngineView> {
        self.services.values().flatten().find(|s| s.entry.address == address)
    }

    /// The listed engines after the first one of a path.
    pub(crate) fn downstream_of(&self, path: &Path) -> Vec<&EngineView> {
        path.stages().iter().skip(1).filter_map(|s| self.by_id(s.engine.as_str())).collect()
    }

    /// The engine with this id.
    pub(crate) fn by_id(&self, engine: &str) -> Option<&EngineView> {
        self.services.values().flatten().find(|s| s.entry.id.as_str() == engine)
    }
}
