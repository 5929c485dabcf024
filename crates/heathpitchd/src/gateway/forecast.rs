//! Load of a path, forecast or by the last reports, from the engine table.
//!
//! The decisions are [`heathpitch_policy::LayerLoad`], [`heathpitch_policy::start_ms`] and the trends
//! in [`heathpitch_policy::EngineStats`]; this module looks up what they need.

use heathpitch_core::{LayeredModel, Millis, Name, Path, Stage};
use heathpitch_policy::{LayerLoad, PrefillStage, Pressure, start_ms};

use super::engine_table::{EngineTable, EngineView, MAX_UTILIZATION};

/// A request whose effect on the load of a path is asked for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PressureQuery<'a> {
    pub(crate) service: &'a Name,
    pub(crate) model: &'a LayeredModel,
    /// Tokens of its prompt.
    pub(crate) prompt: f64,
    /// Latency target of its first event; none if the wait doesn't matter.
    pub(crate) latency: Option<Millis>,
    pub(crate) now: Millis,
}

/// # Pressure
impl EngineTable {
    /// Load of a path once it runs a request whose alternatives are `usable` engines: at the time at
    /// which the request would run where the load is forecast, else by the last reports.
    pub(crate) fn pressure(
        &self,
        query: &PressureQuery<'_>,
        path: &Path,
        usable: impl Fn(&EngineView) -> bool,
    ) -> Pressure {
        let &PressureQuery { model, prompt, now, .. } = query;
        let stages: Vec<_> = path.stages().iter().filter_map(|s| self.stage(s)).collect();
        let (memory, wait_ms) = if self.forecast {
            // A node's own requests, scaled up to those of all nodes, show single engines as full that are
            // not: streams were rejected at the usual load. Over all engines of a layer this evens out.
            let memory = self.layer_share(query, &stages, usable);
            (memory, self.start_ms(model, &stages, prompt, now))
        } else {
            let held = |view: &EngineView| view.stats.occupancy().held(self.domain_size, now);
            let wait_ms = stages.first().map_or(0.0, |(_, head)| head.stats.wait_ms(now));
            (fullest(query, &stages, held), wait_ms)
        };
        let start = query.latency.map_or(0.0, |target| wait_ms / target.max(1) as f64);
        Pressure { memory: memory / MAX_UTILIZATION, start }
    }

    /// Largest expected memory use of the layers of these stages, each over the engines of the failure
    /// domain in which it runs.
    fn layer_share(
        &self,
        query: &PressureQuery<'_>,
        stages: &[(&Stage, &EngineView)],
        usable: impl Fn(&EngineView) -> bool,
    ) -> f64 {
        let mut domains: Vec<_> = stages.iter().map(|(_, view)| &view.entry.domain).collect();
        domains.sort();
        domains.dedup();
        let mut largest: f64 = 0.0;
        for domain in domains {
            let in_domain = |s: &&EngineView| &s.entry.domain == domain;
            let engines = self.engines_of(query.service).iter().filter(in_domain);
            let layers = self.layer_load(query.model, engines.filter(|s| usable(s)), query.now);
            let here = stages.iter().filter(|(_, view)| in_domain(view));
            largest = here.map(|(stage, _)| layers.share(stage.layers)).fold(largest, f64::max);
        }
        largest
    }

    /// Expected memory use of the layers that these engines hold.
    fn layer_load<'a>(
        &self,
        model: &LayeredModel,
        engines: impl Iterator<Item = &'a EngineView>,
        now: Millis,
    ) -> LayerLoad {
        let mut load = LayerLoad::new(model.layers, self.domain_size, model.mean_tokens());
        for engine in engines {
            let held = engine.stats.held_forecast(self.domain_size, now);
            load.add(engine.entry.layers, held, capacity(engine, model).unwrap_or(0.0));
        }
        load
    }

    /// Expected wait for the first event of a request with `prompt` tokens on a path with these
    /// stages, milliseconds: at least what this node measured.
    fn start_ms(
        &self,
        model: &LayeredModel,
        stages: &[(&Stage, &EngineView)],
        prompt: f64,
        now: Millis,
    ) -> f64 {
        let Some((_, head)) = stages.first() else { return 0.0 };
        let costs = stages
            .iter()
            .filter_map(|(stage, view)| self.prefill_stage(view, model, stage.layers.count(), now));
        let costs: Vec<PrefillStage> = costs.collect();
        start_ms(&costs, queued_tokens(head, model, now), prompt).max(head.stats.wait_ms(now))
    }

    /// Cost of `count` layers at an engine; none if its card is unknown.
    pub(crate) fn prefill_stage(
        &self,
        engine: &EngineView,
        model: &LayeredModel,
        count: u32,
        now: Millis,
    ) -> Option<PrefillStage> {
        let held = engine.stats.held_known(self.domain_size, now);
        let slowdown = engine.stats.slowdown(now);
        Some(PrefillStage::new(model, engine.card.as_ref()?, count, held, slowdown))
    }

    fn stage<'a>(&'a self, stage: &'a Stage) -> Option<(&'a Stage, &'a EngineView)> {
        Some((stage, self.by_id(stage.engine.as_str())?))
    }
}

/// Largest memory use of an engine of these stages that holds `held` tokens, with one more request of
/// typical size: the size of a request must not decide whether it is admitted.
fn fullest(
    query: &PressureQuery<'_>,
    stages: &[(&Stage, &EngineView)],
    held: impl Fn(&EngineView) -> f64,
) -> f64 {
    let used = |view: &EngineView| {
        let capacity = capacity(view, query.model)?;
        Some((held(view) + query.model.mean_tokens()) / capacity)
    };
    stages.iter().filter_map(|(_, view)| used(view)).fold(0.0, f64::max)
}

/// Tokens of requests that fit into an engine; none if its card is unknown or holds no layers.
fn capacity(engine: &EngineView, model: &LayeredModel) -> Option<f64> {
    let count = engine.entry.layers.count();
    let capacity = model.token_capacity(engine.card.as_ref()?, count).max(1.0);
    (count > 0).then_some(capacity)
}

/// Prompt tokens queued at an engine.
fn queued_tokens(engine: &EngineView, model: &LayeredModel, now: Millis) -> f64 {
    engine.stats.queue_forecast(model.slots, now) * model.typical_prompt
}
