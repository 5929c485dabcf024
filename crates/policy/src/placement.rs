//! Placement: which engine of a failure domain holds which layers of which model.
//!
//! A plan changes as little as possible. It first covers models that lack layers, then assigns
//! idle engines to the models with the least capacity per demand, then moves at most one engine
//! from the model with the most to the one with the least.

use std::collections::BTreeSet;

use heathpitch_core::{LayerRange, Model, Name};

use crate::{EngineCapacity, split};

/// Ratio of headroom between two models from which an engine is moved.
const BALANCE_RATIO: f64 = 3.0;

/// Layers of a model on an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedLayers {
    /// Model.
    pub model: Name,
    /// Version of the weights.
    pub version: Name,
    /// Layers.
    pub layers: LayerRange,
}

/// An engine that a plan may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementEngine {
    /// Engine.
    pub engine: Name,
    /// Memory for weights, megabytes.
    pub memory: u64,
    /// Time of one layer for one step, microseconds.
    pub layer: u64,
    /// Time an activation takes to the next stage, microseconds.
    pub link: u64,
    /// Layers that it holds or is loading.
    pub holding: Option<LoadedLayers>,
}

/// A model and its demand, in any unit that all models share.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelDemand {
    /// Model.
    pub model: Model,
    /// Demand, above 0.
    pub demand: f64,
    /// Engines that routes allow for it; none means all.
    pub allowed: Option<BTreeSet<Name>>,
}

/// An engine that is to load other layers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Engine.
    pub engine: Name,
    /// Layers to hold.
    pub holding: LoadedLayers,
    /// Weights to load, megabytes.
    pub megabytes: u64,
    /// Why.
    pub reason: MoveReason,
}

/// Why an engine is to load other layers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveReason {
    /// Some layers of the model were held by no engine.
    Uncovered,
    /// The engine was idle and the model had the least capacity for its demand.
    Idle,
    /// Another model had much more capacity for its demand.
    Balance,
}

/// Plans the next moves of a failure domain.
///
/// # Examples
///
/// ```
/// use heathpitch_core::Model;
/// use heathpitch_policy::{PlacementEngine, ModelDemand, plan_placement};
///
/// let model = Model::new("m".parse()?, "v1".parse()?, 4);
/// let demands = [ModelDemand { model, demand: 1.0, allowed: None }];
/// let engine = |name: &str| -> Result<PlacementEngine, heathpitch_core::NameError> {
///     let engine = name.parse()?;
///     Ok(PlacementEngine { engine, memory: 1_000, layer: 100, link: 10, holding: None })
/// };
/// let moves = plan_placement(&demands, &[engine("a")?, engine("b")?]);
/// let ends: Vec<_> = moves.iter().map(|m| m.holding.layers.to_string()).collect();
/// assert_eq!(ends, ["0..2", "2..4"]);
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
pub fn plan_placement(demands: &[ModelDemand], engines: &[PlacementEngine]) -> Vec<Move> {
    let mut planner = Planner { demands, engines: engines.to_vec(), moves: Vec::new() };
    planner.cover();
    planner.use_idle();
    if planner.moves.is_empty() {
        planner.balance();
    }
    planner.moves
}

struct Planner<'a> {
    demands: &'a [ModelDemand],
    engines: Vec<PlacementEngine>,
    moves: Vec<Move>,
}

/// # Steps
impl Planner<'_> {
    /// Closes the gaps of models that lack layers, in order of demand.
    fn cover(&mut self) {
        let mut order: Vec<&ModelDemand> = self.demands.iter().collect();
        order.sort_by(|a, b| b.demand.total_cmp(&a.demand).then(a.model.name.cmp(&b.model.name)));
        for w in order {
            for gap in model_gaps(&self.engines, &w.model) {
                self.close_gap(w, gap);
            }
        }
    }

    /// Closes a gap with idle engines; if they are not enough, with spare ones as well.
    fn close_gap(&mut self, w: &ModelDemand, gap: LayerRange) {
        let mut usable: Vec<usize> = self.idle().collect();
        loop {
            let capable: Vec<EngineCapacity> =
                usable.iter().map(|i| capable(&self.engines[*i], w)).collect();
            if let Some(split) = split(&capable, gap.count()) {
                let mut at = gap.first;
                for (engine, count) in split.parts {
                    let layers = LayerRange::new(at, at + count);
                    at += count;
                    self.place(&engine, &w.model, layers, MoveReason::Uncovered);
                }
                return;
            }
            match self.next_spare(&usable, w) {
                Some(next) => usable.push(next),
                None => return,
            }
        }
    }

    /// Assigns idle engines to the layers with the least capacity, of the model with the least
    /// headroom.
    fn use_idle(&mut self) {
        loop {
            let idle: Vec<usize> = self.idle().collect();
            let served = |w: &&ModelDemand| {
                model_gaps(&self.engines, &w.model).is_empty()
                    && idle.iter().any(|i| capable(&self.engines[*i], w).room > 0)
            };
            let Some(w) = self
                .demands
                .iter()
                .filter(served)
                .min_by(|a, b| self.headroom(a).total_cmp(&self.headroom(b)))
            else {
                return;
            };
            let model = &w.model;
            let fits = |i: &usize| capable(&self.engines[*i], w).room > 0;
            let fastest = idle.into_iter().filter(fits).min_by_key(|i| self.engines[*i].layer);
            let Some(at) = fastest else { return };
            let max_layers = capable(&self.engines[at], w).room;
            let layers = self.least_served(model, max_layers);
            let engine = self.engines[at].engine.clone();
            self.place(&engine, model, layers, MoveReason::Idle);
        }
    }

    /// Moves one engine from the model with the most headroom to the one with the least.
    fn balance(&mut self) {
        let by_headroom =
            |a: &&ModelDemand, b: &&ModelDemand| self.headroom(a).total_cmp(&self.headroom(b));
        let (Some(poor), Some(rich)) =
            (self.demands.iter().min_by(by_headroom), self.demands.iter().max_by(by_headroom))
        else {
            return;
        };
        if self.headroom(rich) < self.headroom(poor) * BALANCE_RATIO {
            return;
        }
        let model = &poor.model;
        let gives = |i: &usize| {
            let e = &self.engines[*i];
            let holds = e.holding.as_ref().is_some_and(|h| h.model == rich.model.name);
            holds && capable(e, poor).room > 0 && self.can_spare(*i)
        };
        let Some(at) = (0..self.engines.len()).find(gives) else { return };
        let max_layers = capable(&self.engines[at], poor).room;
        let layers = self.least_served(model, max_layers);
        let engine = self.engines[at].engine.clone();
        self.place(&engine, model, layers, MoveReason::Balance);
    }
}

/// # Queries
impl Planner<'_> {
    fn idle(&self) -> impl Iterator<Item = usize> {
        (0..self.engines.len()).filter(|i| self.is_idle(&self.engines[*i]))
    }

    fn is_idle(&self, engine: &PlacementEngine) -> bool {
        let Some(h) = &engine.holding else { return true };
        let same = |w: &ModelDemand| w.model.name == h.model && w.model.version == h.version;
        !self.demands.iter().any(same)
    }

    /// An engine that its model can spare, from the model with the most headroom.
    fn next_spare(&self, taken: &[usize], w: &ModelDemand) -> Option<usize> {
        let headroom = |i: &usize| {
            let name = self.engines[*i].holding.as_ref().map(|h| &h.model);
            let of = self.demands.iter().find(|w| Some(&w.model.name) == name);
            of.map_or(f64::INFINITY, |w| self.headroom(w))
        };
        let usable = |i: &usize| {
            !taken.contains(i) && capable(&self.engines[*i], w).room > 0 && self.can_spare(*i)
        };
        let spare = (0..self.engines.len()).filter(usable);
        spare.max_by(|a, b| headroom(a).total_cmp(&headroom(b)))
    }

    fn can_spare(&self, at: usize) -> bool {
        let Some(holding) = &self.engines[at].holding else { return true };
        let Some(w) = self.demands.iter().find(|w| w.model.name == holding.model) else {
            return true;
        };
        let mut without = self.engines.clone();
        without.remove(at);
        model_gaps(&without, &w.model) == model_gaps(&self.engines, &w.model)
    }

    /// Steps per second that the layer with the least capacity can run, divided by demand.
    fn headroom(&self, w: &ModelDemand) -> f64 {
        let layers = 0..w.model.layers;
        let least = layers.map(|l| self.capacity(&w.model, l)).min_by(f64::total_cmp);
        least.unwrap_or(0.0) / w.demand.max(f64::MIN_POSITIVE)
    }

    fn capacity(&self, model: &Model, layer: u32) -> f64 {
        let holds = |h: &&LoadedLayers| holds_layer(h, model, layer);
        let time = |e: &PlacementEngine, h: &LoadedLayers| {
            u64::from(h.layers.count()) * e.layer.max(1) + e.link
        };
        let of = |e: &PlacementEngine| {
            e.holding.as_ref().filter(holds).map(|h| 1_000_000.0 / time(e, h) as f64)
        };
        self.engines.iter().filter_map(of).sum()
    }

    /// The layers with the least capacity, at most `max_layers` of them; the range of an existing
    /// stage if it fits.
    fn least_served(&self, model: &Model, max_layers: u32) -> LayerRange {
        let capacity = |l: &u32| self.capacity(model, *l);
        let layer =
            (0..model.layers).min_by(|a, b| capacity(a).total_cmp(&capacity(b))).unwrap_or(0);
        let stages = self.engines.iter().filter_map(|e| e.holding.as_ref());
        let around = stages.filter(|h| holds_layer(h, model, layer)).map(|h| h.layers);
        let smallest = around.min_by_key(|l| l.count());
        match smallest {
            Some(l) if l.count() <= max_layers => l,
            _ => LayerRange::new(layer, (layer + max_layers).min(model.layers)),
        }
    }

    fn place(&mut self, engine: &Name, model: &Model, layers: LayerRange, reason: MoveReason) {
        let Some(e) = self.engines.iter_mut().find(|e| e.engine == *engine) else { return };
        let (name, version) = (model.name.clone(), model.version.clone());
        let holding = LoadedLayers { model: name, version, layers };
        let before = e.holding.as_ref().filter(|h| h.model == holding.model);
        let kept = before.map_or(0, |h| overlap(h.layers, layers));
        let megabytes = u64::from(layers.count() - kept) * u64::from(model.layer_mb);
        e.holding = Some(holding.clone());
        self.moves.push(Move { engine: engine.clone(), holding, megabytes, reason });
    }
}

/// Layers of a model that no engine holds.
pub fn model_gaps(engines: &[PlacementEngine], model: &Model) -> Vec<LayerRange> {
    let mut held = BTreeSet::new();
    for h in engines.iter().filter_map(|e| e.holding.as_ref()) {
        if h.model == model.name && h.version == model.version {
            held.extend(h.layers.first..h.layers.end);
        }
    }
    let mut gaps: Vec<LayerRange> = Vec::new();
    for layer in (0..model.layers).filter(|l| !held.contains(l)) {
        match gaps.last_mut() {
            Some(gap) if gap.end == layer => gap.end += 1,
            _ => gaps.push(LayerRange::new(layer, layer + 1)),
        }
    }
    gaps
}

fn capable(engine: &PlacementEngine, w: &ModelDemand) -> EngineCapacity {
    let admitted = w.allowed.as_ref().is_none_or(|a| a.contains(&engine.engine));
    let room = engine.memory / u64::from(w.model.layer_mb.max(1));
    EngineCapacity {
        engine: engine.engine.clone(),
        room: if admitted { room.min(u32::MAX.into()) as u32 } else { 0 },
        layer: engine.layer,
        link: engine.link,
    }
}

fn holds_layer(h: &LoadedLayers, model: &Model, layer: u32) -> bool {
    h.model == model.name
        && h.version == model.version
        && (h.layers.first..h.layers.end).contains(&layer)
}

fn overlap(a: LayerRange, b: LayerRange) -> u32 {
    a.end.min(b.end).saturating_sub(a.first.max(b.first))
}
