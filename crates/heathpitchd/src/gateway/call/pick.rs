//! Choice of an engine or a path for a call.

use std::fmt;

use heathpitch_core::{Millis, Name, Path};
use heathpitch_policy::{ChainEngine, ChainQuery, Pressure, find_local_chain};
use rand::Rng;

use super::admit::Call;
use crate::gateway::balance::{Locality, chain_within};
use crate::gateway::engine_table::{EngineTable, EngineView, PathQuery};
use crate::gateway::forecast::PressureQuery;

/// Cost of an engine in another failure domain, in requests waiting at an engine.
const REMOTE_PENALTY_REQUESTS: f64 = 1.5;
/// Time for which other engines are preferred to one that refused a call without a `Retry-After`
/// time.
pub(crate) const REJECTION_COOLDOWN_MS: Millis = 600;
/// Cost of an engine that has just refused a call, as a share of its slots: as if it were full. It
/// would be chosen again and again otherwise: refusing at once leaves it with almost no load.
const REJECTION_PENALTY: f64 = 1.0;
/// Interval at which an engine that ramps up after a pause admits one more request: about the time
/// of a response.
const RAMP_UP_MS: Millis = 100;
/// Answer tokens expected, as a share of the stated maximum: the mean is far below it.
const EXPECTED_ANSWER_SHARE: f64 = 0.5;

/// Engines that a call is not sent to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Avoid<'a> {
    pub(crate) engines: &'a [Name],
    pub(crate) now: Millis,
}

impl Avoid<'_> {
    fn allows(&self, view: &EngineView) -> bool {
        view.is_available(self.now) && !self.engines.contains(&view.entry.id)
    }
}

/// The least loaded engine of a plain service, preferring those of the own failure domain.
pub(crate) fn engine(
    table: &EngineTable,
    service: &Name,
    home: &Name,
    avoid: Avoid<'_>,
) -> Option<EngineView> {
    let load = |s: &EngineView| {
        let slots = f64::from(s.entry.slots.max(1));
        let waiting = f64::from(s.stats.load(avoid.now)) / slots;
        let remote = if &s.entry.domain == home { 0.0 } else { REMOTE_PENALTY_REQUESTS / slots };
        let rejection = if s.stats.is_deprioritized(avoid.now) { REJECTION_PENALTY } else { 0.0 };
        waiting + remote + rejection + rand::rng().random_range(0.0..0.05)
    };
    let open = table.engines_of(service).iter().filter(|s| avoid.allows(s));
    let views = open.map(|s| (load(s), s));
    views.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, s)| s.clone())
}

/// A chosen path.
pub(crate) struct Chosen {
    pub(crate) path: Path,
    /// The fullest of its engines, if that one has no capacity for the call.
    pub(crate) full: Option<Full>,
    /// Load of the path once it runs the call.
    pub(crate) pressure: Pressure,
    pub(crate) locality: Locality,
}

/// An engine without capacity for a call.
#[derive(Clone, Debug)]
pub(crate) struct Full {
    engine: Name,
    /// Share of its token capacity that requests would hold.
    utilization: f64,
    /// Age of its report; none if only this node's own requests are known.
    report_age: Option<Millis>,
}

impl fmt::Display for Full {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "engine {} of the best path is at {:.2} of its token capacity",
            self.engine, self.utilization
        )?;
        match self.report_age {
            Some(age) => write!(f, " by its report of {age} ms ago"),
            None => f.write_str(" by this node's own count"),
        }
    }
}

/// The cheapest path through the engines of a layered model: within the failure domain that the call
/// was drawn for, or else the own one, if that holds the model and has capacity, else through any
/// engines.
pub(crate) fn path(
    table: &EngineTable,
    call: &Call,
    home: &Name,
    drawn: Option<&Name>,
    avoid: Avoid<'_>,
) -> Option<Chosen> {
    let now = avoid.now;
    let (path, engines) = chain(table, call, home, drawn, now, |s| avoid.allows(s))?;
    let on_path = |l: &&ChainEngine| path.stages().iter().any(|s| s.engine == l.entry.id);
    let pressure = pressure(table, call, &path, avoid);
    let full_on_path = engines.iter().filter(|l| l.full && on_path(l));
    let full = full_on_path.max_by(|a, b| a.utilization.total_cmp(&b.utilization)).map(|l| {
        let report_age =
            table.by_id(l.entry.id.as_str()).and_then(|v| v.stats.occupancy().age(now));
        Full { engine: l.entry.id.clone(), utilization: l.utilization, report_age }
    });
    let locality = Locality::of(&path, table, home, drawn);
    Some(Chosen { path, full, pressure, locality })
}

/// Load of a path once it runs the call.
fn pressure(table: &EngineTable, call: &Call, path: &Path, avoid: Avoid<'_>) -> Pressure {
    let Some(model) = &call.service.model else { return Pressure::default() };
    let query = PressureQuery {
        service: &call.service.name,
        model,
        prompt: call.head.sizes.map_or(model.typical_prompt, |s| f64::from(s.prompt)),
        latency: Some(call.route.latency_target_ms),
        now: avoid.now,
    };
    table.pressure(&query, path, |s| avoid.allows(s))
}

/// The cheapest path through usable engines, and all the engines considered.
fn chain(
    table: &EngineTable,
    call: &Call,
    home: &Name,
    drawn: Option<&Name>,
    now: Millis,
    usable: impl Fn(&EngineView) -> bool,
) -> Option<(Path, Vec<ChainEngine>)> {
    let model = call.service.model.as_ref()?;
    let (service, tokens) = (&call.service.name, expected_tokens(call));
    let engines =
        table.chain_engines(&PathQuery { service, model, tokens, now, current: None }, usable);
    let query = ChainQuery { model, name: service, home, current: None };
    let balanced = drawn.and_then(|domain| chain_within(&query, &engines, domain));
    let path = match balanced {
        Some(path) => path,
        None => find_local_chain(&query, &engines)?.0,
    };
    Some((path, engines))
}

/// Whether an engine or a path could take a call if this node suspected none.
pub(crate) fn is_blocked_by_suspicion(
    table: &EngineTable,
    call: &Call,
    home: &Name,
    now: Millis,
) -> bool {
    match call.service.model {
        Some(_) => {
            chain(table, call, home, None, now, |s| s.is_available_but_suspect(now)).is_some()
        }
        None => {
            let engines = table.engines_of(&call.service.name);
            engines.iter().any(|s| s.is_available_but_suspect(now))
        }
    }
}

/// Time until an engine or a path may take a call, if only paused engines or exhausted rate limits
/// prevent that now; none if anything else does.
pub(crate) fn backpressure_left(
    table: &EngineTable,
    call: &Call,
    home: &Name,
    now: Millis,
) -> Option<Millis> {
    let wait = |s: &EngineView| {
        let backpressure = s.stats.backpressure();
        backpressure.pause_left(now).max(backpressure.limit().wait_left(now)).unwrap_or(RAMP_UP_MS)
    };
    if call.service.model.is_none() {
        let in_service =
            || table.engines_of(&call.service.name).iter().filter(|s| s.is_in_service(now));
        let all_wait = in_service().all(|s| !s.is_available(now));
        return in_service().map(wait).min().filter(|_| all_wait);
    }
    let (path, _) = chain(table, call, home, None, now, |s| s.is_in_service(now))?;
    let engines = path.stages().iter().filter_map(|stage| table.by_id(stage.engine.as_str()));
    engines.filter(|s| !s.is_available(now)).map(wait).max()
}

/// Tokens that a call is expected to hold.
pub(super) fn expected_tokens(call: &Call) -> f64 {
    let sizes = call.head.sizes.unwrap_or_default();
    f64::from(sizes.prompt) + f64::from(sizes.answer) * EXPECTED_ANSWER_SHARE
}
