//! Publishes the engine table, a snapshot of the engines for request threads.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use heathpitch_core::{EntryState, LayerRange, Name};
use heathpitch_policy::{Backpressure, EngineStats, primaries};

use super::state::Control;
use crate::gateway::engine_table::{EngineTable, EngineView};

/// Engine, its step factor, and the layers that it holds.
type LayerHolder<'a> = (&'a Name, f64, LayerRange);

/// # Publishing
impl Control {
    /// Engines of the primary chains of each failure domain, which requests normally run through.
    fn primaries(&self) -> HashSet<Name> {
        let Some(catalog) = self.shared.catalog.load_full() else { return HashSet::new() };
        let entries = self.entries.borrow();
        // Holders by service and failure domain.
        let mut holders: HashMap<(&Name, &Name), Vec<LayerHolder<'_>>> = HashMap::new();
        for e in entries.values() {
            let holds = e.state == EntryState::Ready && e.layers.count() > 0;
            let model = catalog.services.get(&e.service).and_then(|s| s.model.as_ref());
            let card = model.zip(e.card.as_ref()).and_then(|(m, card)| m.card(card.as_str()));
            if let Some(card) = card.filter(|_| holds && !self.is_unreachable(&e.id)) {
                let step_factor = card.step_factor * self.slowdown(&e.id);
                holders.entry((&e.service, &e.domain)).or_default().push((
                    &e.id,
                    step_factor,
                    e.layers,
                ));
            }
        }
        let mut found = HashSet::new();
        for ((service, _), held) in holders {
            let model = catalog.services.get(service).and_then(|s| s.model.as_ref());
            let layers = model.map_or(0, |m| m.layers);
            found.extend(primaries(layers, held.into_iter()).into_iter().cloned());
        }
        found
    }

    /// Nodes of this failure domain that send as many calls as this one: calls that others forward are sent here
    /// in their place.
    fn sending_nodes(&self) -> u32 {
        let domain_size = self.fleet.get().map_or(1, |f| f.domain_size.max(1));
        let (open, forwarded) = (
            self.shared.open_calls.load(Relaxed).max(1) as f64,
            self.shared.open_forwarded.load(Relaxed) as f64,
        );
        let own_share = 1.0 - (forwarded / open).min(1.0);
        (f64::from(domain_size) * own_share).round().max(1.0) as u32
    }

    /// Publishes the engine table.
    pub(super) fn publish(&self) {
        let catalog = self.shared.catalog.load();
        let mut services: HashMap<Name, Vec<EngineView>> = HashMap::new();
        let primaries = self.primaries();
        let mut stats = self.engine_stats.borrow_mut();
        let entries = self.entries.borrow();
        stats.retain(|engine, _| entries.contains_key(engine));
        let (mut backpressure, now) = (self.backpressure.borrow_mut(), self.now());
        // A call may still be running at an unlisted engine, and its response may carry
        // backpressure.
        let in_use = |b: &Arc<Backpressure>| Arc::strong_count(b) > 1 || b.is_active(now);
        backpressure.retain(|engine, b| entries.contains_key(engine) || in_use(b));
        for entry in entries.values() {
            if self.replaced.borrow().contains(&entry.id) {
                continue;
            }
            let model = catalog.as_ref().and_then(|c| c.services.get(&entry.service));
            let model = model.and_then(|s| s.model.as_ref());
            let card = entry.card.as_ref().and_then(|c| model?.card(c.as_str())).cloned();
            let signals = backpressure
                .entry(entry.id.clone())
                .or_insert_with(|| self.new_backpressure(entry));
            let slot = stats.entry(entry.id.clone());
            let engine_stats =
                slot.or_insert_with(|| Arc::new(EngineStats::new(signals.clone()))).clone();
            let is_primary = primaries.contains(&entry.id);
            let view = EngineView { entry: entry.clone(), card, stats: engine_stats, is_primary };
            services.entry(entry.service.clone()).or_default().push(view);
        }
        self.shared.metrics.engines.set(entries.len() as i64);
        let fleet_size = self.fleet.get().map(|f| f.fleet_size);
        self.shared.metrics.nodes.set(i64::from(fleet_size.unwrap_or(0)));
        let domain_size = self.sending_nodes();
        let forecast = self.shared.settings.load().load.forecast.is_on();
        let table = EngineTable { services, domain_size, fleet_size, forecast };
        self.shared.table.store(Arc::new(table));
    }
}
