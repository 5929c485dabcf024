//! What controllers know of engines, published for traffic as one snapshot.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use heathpitch_core::{EntryState, LayerRange, Name};
use heathpitch_policy::{Backpressure, EngineStats, primaries};

use super::state::Control;
use crate::gateway::engine_table::{EngineTable, EngineView};

/// An engine, its pace, and the layers that it holds.
type Holder<'a> = (&'a Name, f64, LayerRange);

/// # Publishing
impl Control {
    /// Engines that requests run through by rule, in each failure domain.
    fn primaries(&self) -> HashSet<Name> {
        let Some(catalog) = self.shared.catalog.load_full() else { return HashSet::new() };
        let entries = self.entries.borrow();
        // By service and failure domain, in one walk.
        let mut holders: HashMap<(&Name, &Name), Vec<Holder<'_>>> = HashMap::new();
        for e in entries.values() {
            let holds = e.state == EntryState::Ready && e.layers.count() > 0;
            let model = catalog.services.get(&e.service).and_then(|s| s.model.as_ref());
            let card = model.zip(e.card.as_ref()).and_then(|(m, card)| m.card(card.as_str()));
            if let Some(card) = card.filter(|_| holds && !self.is_lost(&e.id)) {
                let pace = card.step_factor * self.slowness(&e.id);
                holders.entry((&e.service, &e.domain)).or_default().push((&e.id, pace, e.layers));
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

    /// Publishes the engines for traffic.
    pub(super) fn publish(&self) {
        let catalog = self.shared.catalog.load();
        let mut services: HashMap<Name, Vec<EngineView>> = HashMap::new();
        let primaries = self.primaries();
        let mut tallies = self.tallies.borrow_mut();
        let entries = self.entries.borrow();
        tallies.retain(|engine, _| entries.contains_key(engine));
        let (mut wishes, now) = (self.wishes.borrow_mut(), self.now());
        // Of one off the list a call may still be at work, whose answer asks for something.
        let kept = |w: &Arc<Backpressure>| Arc::strong_count(w) > 1 || w.is_active(now);
        wishes.retain(|engine, w| entries.contains_key(engine) || kept(w));
        for entry in entries.values() {
            if self.replaced.borrow().contains(&entry.id) {
                continue;
            }
            let model = catalog.as_ref().and_then(|c| c.services.get(&entry.service));
            let model = model.and_then(|s| s.model.as_ref());
            let card = entry.card.as_ref().and_then(|c| model?.card(c.as_str())).cloned();
            let wish = wishes.entry(entry.id.clone()).or_insert_with(|| self.new_wish(entry));
            let tally = tallies.entry(entry.id.clone());
            let tally = tally.or_insert_with(|| Arc::new(EngineStats::of(wish.clone()))).clone();
            let main = primaries.contains(&entry.id);
            let view = EngineView { entry: entry.clone(), card, stats: tally, is_primary: main };
            services.entry(entry.service.clone()).or_default().push(view);
        }
        self.shared.metrics.engines.set(entries.len() as i64);
        let nodes = self.fleet.get().map(|f| f.nodes);
        self.shared.metrics.nodes.set(i64::from(nodes.unwrap_or(0)));
        let beside = self.fleet.get().map_or(1, |f| f.beside.max(1));
        let table = EngineTable { services, domain_size: beside, fleet_size: nodes };
        self.shared.table.store(Arc::new(table));
    }
}
