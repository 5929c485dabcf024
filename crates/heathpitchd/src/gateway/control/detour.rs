//! Paths around lost or draining engines, and the time to prefill a stream's tokens there.

use heathpitch_core::{LayerRange, LayeredModel, Name, Path, Stage};
use heathpitch_policy::{ChainQuery, PrefillStage, find_local_chain, prefill_ms};

use super::recovery::has_restarted;
use super::state::Control;
use crate::gateway::engine_table::{
    EngineTable, EngineView, FULL_PENALTY_MS, MAX_UTILIZATION, PathQuery,
};
use crate::gateway::live::LiveStream;

/// Best path from a stream's first engine, without engines that are unreachable or draining.
///
/// With `load`, it considers what moves just ordered will add to engines.
pub(super) fn find_detour(
    control: &Control,
    live: &LiveStream,
    path: &Path,
    load: bool,
) -> Option<Path> {
    let spec = control.service(&live.service)?;
    let model: &LayeredModel = spec.model.as_ref()?;
    let table = control.shared.table.load();
    let now = control.now();
    let head = &path.head().engine;
    let usable = |s: &EngineView| {
        let (id, backpressure) = (&s.entry.id, s.stats.backpressure());
        // An engine that runs the stream already needs no new right. None is requested for a move,
        // so engines with a limit are not moved to.
        let is_open = match path.stages().iter().any(|stage| &stage.engine == id) {
            true => s.is_in_service(now) && backpressure.pause_left(now).is_none(),
            false => s.is_available(now) && backpressure.limit().rate().is_none(),
        };
        // A restarted engine lost the stream's tokens, and an unchanged path would not be ordered.
        id == head || (is_open && !control.is_unreachable(id) && !has_restarted(control, live, id))
    };
    let (service, tokens) = (&live.service, live.tokens);
    let mut engines = table
        .chain_engines(&PathQuery { service, model, tokens, now, current: Some(path) }, usable);
    if load {
        let moves = control.recovery.load.borrow();
        for engine in &mut engines {
            let capacity = model.token_capacity(&engine.card, engine.entry.layers.count());
            moves.charge(engine, capacity, now);
            let moved = moves.tokens(&engine.entry.id, now) > 0.0;
            if moved && !engine.full && engine.utilization > MAX_UTILIZATION {
                engine.full = true;
                engine.penalty += FULL_PENALTY_MS;
            }
        }
    }
    // The first engine does not change, so the others are best placed in its failure domain.
    let home = table.by_id(head.as_str())?.entry.domain.clone();
    let query = ChainQuery { model, name: &live.service, home: &home, current: Some(path) };
    find_local_chain(&query, &engines).map(|(path, _)| path)
}

/// Stages that prefill a stream's tokens if it is moved from one path to another: the first engine,
/// whose passes feed the others, and those that do not hold the tokens.
pub(super) fn prefill_stages(
    control: &Control,
    model: &LayeredModel,
    old: &Path,
    new: &Path,
) -> Vec<(Name, PrefillStage)> {
    let (table, now) = (control.shared.table.load(), control.now());
    let holds_tokens = |s: &Stage| {
        let kept = |o: &Stage| o.engine == s.engine && o.layers == s.layers;
        s.engine != new.head().engine && old.stages().iter().any(kept)
    };
    let prefilling = new.stages().iter().filter(|s| !holds_tokens(s));
    let stage = |s: &Stage| {
        let view = table.by_id(s.engine.as_str())?;
        Some((s.engine.clone(), table.prefill_stage(view, model, s.layers.count(), now)?))
    };
    prefilling.filter_map(stage).collect()
}

/// Reachable engines of a failure domain that hold a range of layers.
pub(super) fn reachable_holders<'a>(
    control: &'a Control,
    table: &'a EngineTable,
    service: &Name,
    domain: &'a Name,
    layers: LayerRange,
) -> impl Iterator<Item = &'a EngineView> {
    table.engines_of(service).iter().filter(move |v| {
        let held = v.entry.layers;
        v.entry.domain == *domain
            && held.first <= layers.first
            && layers.end <= held.end
            && !control.is_unreachable(&v.entry.id)
    })
}

/// Forecast time to prefill a stream's tokens after the loss of an engine, milliseconds: that of the
/// stage for which it takes longest, at the fastest reachable engine in the first engine's failure domain
/// that holds the same layers.
pub(super) fn substitute_prefill_ms(control: &Control, live: &LiveStream) -> Option<f64> {
    let spec = control.service(&live.service)?;
    let model = spec.model.as_ref()?;
    let (table, now) = (control.shared.table.load(), control.now());
    let path = live.path.load();
    let head = table.by_id(path.head().engine.as_str())?;
    let first = table.prefill_stage(head, model, path.head().layers.count(), now)?;
    let cost = |view, stage: &Stage| table.prefill_stage(view, model, stage.layers.count(), now);
    let substitute = |stage: &Stage| {
        let held =
            reachable_holders(control, &table, &live.service, &head.entry.domain, stage.layers)
                .filter(|v| v.entry.id != stage.engine);
        let others = held.filter_map(|v| cost(v, stage));
        let fastest =
            others.min_by(|a, b| a.busy_ms(live.tokens).total_cmp(&b.busy_ms(live.tokens)));
        fastest.or_else(|| {
            let own = table.by_id(stage.engine.as_str())?;
            cost(own, stage)
        })
    };
    let later = path.stages().iter().skip(1).filter_map(substitute);
    let alone = prefill_ms(&[first], live.tokens);
    Some(later.map(|s| prefill_ms(&[first, s], live.tokens)).fold(alone, f64::max))
}
