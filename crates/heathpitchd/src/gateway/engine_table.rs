//! Engines as traffic threads see them: an immutable snapshot.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use heathpitch_core::{Card, EngineEntry, EntryState, LayeredModel, Millis, Name, Path};
use heathpitch_policy::{ChainEngine, EngineStats};
use rand::Rng;

/// Share of an engine's room beyond which it takes no new requests: beside it requests make each other be read anew.
const ROOM_SHARE: f64 = 0.95;
/// Cost of an engine without room, milliseconds a token: more than a path through another domain.
const FULL: f64 = 16.0;
/// Cost of an engine whose room is all taken, milliseconds a token: about two hops.
const LOADED: f64 = 0.4;
/// Wait for a first event that is no reason to start elsewhere, milliseconds: that of a domain with
/// its usual load.
const WAIT_USUAL: f64 = 90.0;
/// Tokens over which a wait is shared out: a path through another domain is worth about a third of
/// the time in which first events are wanted.
const WAIT_SPREAD: f64 = 50.0;
/// Cost of an engine that stands in for others, milliseconds a token: more than any detour inside a
/// domain, so that it is free to take other layers.
const REPLICA_PENALTY: f64 = 0.6;
/// Spread of costs between engines that are alike, milliseconds a token: nodes do not all choose
/// the same one.
const JITTER: f64 = 0.02;

/// An engine and what this node knows of it.
#[derive(Clone, Debug)]
pub(crate) struct EngineView {
    pub(crate) entry: Arc<EngineEntry>,
    pub(crate) card: Option<Card>,
    pub(crate) stats: Arc<EngineStats>,
    /// Whether requests run through it by rule.
    pub(crate) is_primary: bool,
}

impl EngineView {
    /// Whether it may be sent new work.
    pub(crate) fn is_available(&self, now: Millis) -> bool {
        self.is_in_service(now) && self.stats.backpressure().admits(now)
    }

    /// Whether nothing but a rest keeps it from new work.
    pub(crate) fn is_in_service(&self, now: Millis) -> bool {
        let leaves =
            self.entry.state == EntryState::Leaving || self.stats.backpressure().is_draining();
        !leaves && !self.stats.gauge().is_suspect(now)
    }
}

/// What a path is looked for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PathQuery<'a> {
    pub(crate) service: &'a Name,
    pub(crate) model: &'a LayeredModel,
    /// Tokens that the request is likely to hold.
    pub(crate) tokens: f64,
    pub(crate) now: Millis,
    /// Path of a running request, whose engines hold its tokens already.
    pub(crate) current: Option<&'a Path>,
}

impl PathQuery<'_> {
    fn keeps(&self, engine: &Name) -> bool {
        self.current.is_some_and(|path| path.stages().iter().any(|s| &s.engine == engine))
    }
}

/// All engines listed, by service.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineTable {
    pub(crate) services: HashMap<Name, Vec<EngineView>>,
    /// Nodes of this failure domain, at least 1.
    pub(crate) domain_size: u32,
    /// Nodes of the fleet, if they are known.
    pub(crate) fleet_size: Option<u32>,
}

impl EngineTable {
    /// Engines of a service.
    pub(crate) fn engines_of(&self, service: &Name) -> &[EngineView] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Engines that a path may run through for a request.
    pub(crate) fn chain_engines(
        &self,
        wanted: &PathQuery<'_>,
        usable: impl Fn(&EngineView) -> bool,
    ) -> Vec<ChainEngine> {
        let &PathQuery { service, model, now, .. } = wanted;
        let link = |s: &EngineView| {
            let card = s.card.clone()?;
            let kept = wanted.keeps(&s.entry.id);
            let need = if kept { 0.0 } else { wanted.tokens };
            let room = model.token_capacity(&card, s.entry.layers.count()).max(1.0);
            let held = s.stats.occupancy().held(self.domain_size, now);
            let share = (held + need) / room;
            let card = Card { step_factor: card.step_factor * s.stats.slowdown(now), ..card };
            // One that is all but empty takes a request that fits it at all.
            let taken = held > room * (1.0 - ROOM_SHARE) || need > room;
            let full = !kept && taken && share > ROOM_SHARE;
            let crowded = !kept && s.stats.is_deprioritized(now);
            let jitter = rand::rng().random_range(0.0..JITTER);
            let stand_in = if s.is_primary { 0.0 } else { REPLICA_PENALTY };
            let none = if full || crowded { FULL } else { 0.0 };
            let penalty = LOADED * share * share + none + stand_in + jitter;
            let wait = s.stats.wait_ms(now) - WAIT_USUAL;
            let start = wait.max(0.0) / WAIT_SPREAD;
            Some(ChainEngine {
                entry: s.entry.clone(),
                card,
                penalty,
                start_cost: start,
                utilization: share,
                full,
                deprioritized: crowded,
            })
        };
        let views = self.engines_of(service).iter();
        views.filter(|s| s.entry.layers.count() > 0 && usable(s)).filter_map(link).collect()
    }

    /// The engine at this address.
    pub(crate) fn by_address(&self, address: SocketAddr) -> Option<&EngineView> {
        self.services.values().flatten().find(|s| s.entry.address == address)
    }

    /// The engines behind the first of a path, as far as they are listed.
    pub(crate) fn downstream_of(&self, path: &Path) -> Vec<&EngineView> {
        path.stages().iter().skip(1).filter_map(|s| self.by_id(s.engine.as_str())).collect()
    }

    /// The engine of this id.
    pub(crate) fn by_id(&self, engine: &str) -> Option<&EngineView> {
        self.services.values().flatten().find(|s| s.entry.id.as_str() == engine)
    }
}
