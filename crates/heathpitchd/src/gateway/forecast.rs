//! Forecast of a path's load, from the engine table.
//!
//! The decisions are [`heathpitch_policy::LayerLoad`], [`heathpitch_policy::start_ms`] and the trends
//! in [`heathpitch_policy::EngineStats`]; this module looks up what they need.

use heathpitch_core::{LayeredModel, Millis, Path, Stage};
use heathpitch_policy::{LayerLoad, PrefillStage, Pressure, start_ms};

use super::call::Call;
use super::engine_table::{EngineTable, EngineView, MAX_UTILIZATION};

/// # Forecasts
impl EngineTable {
    /// Load of a path at the time at which it would run the call, whose alternatives are `usable`
    /// engines.
    pub(crate) fn pressure(
        &self,
        call: &Call,
        path: &Path,
        now: Millis,
        usable: impl Fn(&EngineView) -> bool,
    ) -> Pressure {
        let (service, route) = (&call.service, &call.route);
        let Some(model) = &service.model else { return Pressure::default() };
        let stages: Vec<_> = path.stages().iter().filter_map(|s| self.stage(s)).collect();
        let mut domains: Vec<_> = stages.iter().map(|(_, view)| &view.entry.domain).collect();
        domains.sort();
        domains.dedup();
        let mut memory: f64 = 0.0;
        for domain in domains {
            let in_domain = |s: &&EngineView| &s.entry.domain == domain;
            let engines = self.engines_of(&service.name).iter().filter(in_domain);
            let layers = self.layer_load(model, engines.filter(|s| usable(s)), now);
            let here = stages.iter().filter(|(_, view)| in_domain(view));
            memory = here.map(|(stage, _)| layers.share(stage.layers)).fold(memory, f64::max);
        }
        // A typical size, so that a large request is not admitted less often than a small one.
        let fullest = stages.iter().map(|(_, view)| {
            let held = view.stats.held_known(self.domain_size, now) + model.mean_tokens();
            capacity(view, model).map_or(0.0, |capacity| held / capacity)
        });
        let prompt = call.head.sizes.map_or(model.typical_prompt, |s| f64::from(s.prompt));
        let start_ms = self.start_ms(model, &stages, prompt, now);
        Pressure {
            memory: fullest.fold(memory, f64::max) / MAX_UTILIZATION,
            start: start_ms / route.latency_target_ms.max(1) as f64,
        }
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
