//! Choice of engines for a call.

use std::fmt;

use heathpitch_core::{Millis, Name, Path};
use heathpitch_policy::{ChainEngine, ChainQuery, find_local_chain};
use rand::Rng;

use super::admit::Call;
use crate::gateway::engine_table::{EngineTable, EngineView, PathQuery};

/// What a failure domain further off costs, in requests waiting at an engine.
const AWAY: f64 = 1.5;
/// Time for which other engines are preferred to one that turned a call away and named no time, milliseconds.
pub(crate) const REJECTION_COOLDOWN_MS: Millis = 600;
/// What an engine that turned a call away a moment ago costs, in shares of its slots: as if it were full. It has
/// next to no load else, as it answers at once, and would be chosen again and again.
const TURNED_AWAY: f64 = 1.0;
/// Time in which an engine that is taken up again after its rest takes one more, milliseconds: that of an answer.
const TAKING_UP: Millis = 100;
/// Answer tokens taken to be held, as a share of the most stated: means are far below the most.
const ANSWER_SHARE: f64 = 0.5;

/// Engines that a call must not or should not be sent to.
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

/// The engine of a plain service with the least load, those of the own domain preferred.
pub(crate) fn engine(
    table: &EngineTable,
    service: &Name,
    home: &Name,
    avoid: Avoid<'_>,
) -> Option<EngineView> {
    let load = |s: &EngineView| {
        let slots = f64::from(s.entry.slots.max(1));
        let waiting = f64::from(s.stats.load(avoid.now)) / slots;
        let away = if &s.entry.domain == home { 0.0 } else { AWAY / slots };
        let crowded = if s.stats.is_deprioritized(avoid.now) { TURNED_AWAY } else { 0.0 };
        waiting + away + crowded + rand::rng().random_range(0.0..0.05)
    };
    let open = table.engines_of(service).iter().filter(|s| avoid.allows(s));
    let views = open.map(|s| (load(s), s));
    views.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, s)| s.clone())
}

/// A path, and what speaks against it.
pub(crate) struct Chosen {
    pub(crate) path: Path,
    /// The fullest of its engines, if that has no room for the call.
    pub(crate) full: Option<Full>,
}

/// An engine without room for a call.
#[derive(Clone, Debug)]
pub(crate) struct Full {
    engine: Name,
    /// Share of its room that requests hold.
    share: f64,
    /// Age of the report that this rests on; none if only own requests are known.
    age: Option<Millis>,
}

impl fmt::Display for Full {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "engine {} of the best path holds {:.2} of its room", self.engine, self.share)?;
        match self.age {
            Some(age) => write!(f, " by its report of {age} ms ago"),
            None => f.write_str(" by this node's own count"),
        }
    }
}

/// The cheapest path through the engines of a layered model: inside the own domain if it holds
/// the model and has room, else through any.
pub(crate) fn path(
    table: &EngineTable,
    call: &Call,
    home: &Name,
    avoid: Avoid<'_>,
) -> Option<Chosen> {
    let now = avoid.now;
    let (path, links) = chain(table, call, home, now, |s| avoid.allows(s))?;
    let on_path = |l: &&ChainEngine| l.full && path.stages().iter().any(|s| s.engine == l.entry.id);
    let fullest =
        links.iter().filter(on_path).max_by(|a, b| a.utilization.total_cmp(&b.utilization));
    let full = fullest.map(|l| {
        let age = table.by_id(l.entry.id.as_str()).and_then(|v| v.stats.occupancy().age(now));
        Full { engine: l.entry.id.clone(), share: l.utilization, age }
    });
    Some(Chosen { path, full })
}

/// The cheapest path through engines that can be used, and the links it was sought among.
fn chain(
    table: &EngineTable,
    call: &Call,
    home: &Name,
    now: Millis,
    usable: impl Fn(&EngineView) -> bool,
) -> Option<(Path, Vec<ChainEngine>)> {
    let model = call.service.model.as_ref()?;
    let (service, tokens) = (&call.service.name, need(call));
    let links =
        table.chain_engines(&PathQuery { service, model, tokens, now, current: None }, usable);
    let search = ChainQuery { model, name: service, home, current: None };
    let (path, _) = find_local_chain(&search, &links)?;
    Some((path, links))
}

/// Time until an engine, or a path, may take a call that none can take now only because engines rest, or name
/// limits that are used up; none if something else is missing too.
pub(crate) fn rest(table: &EngineTable, call: &Call, home: &Name, now: Millis) -> Option<Millis> {
    let left = |s: &EngineView| {
        let wish = s.stats.backpressure();
        wish.pause_left(now).max(wish.limit().wait_left(now)).unwrap_or(TAKING_UP)
    };
    if call.service.model.is_none() {
        let working =
            || table.engines_of(&call.service.name).iter().filter(|s| s.is_in_service(now));
        let rests = working().all(|s| !s.is_available(now));
        return working().map(left).min().filter(|_| rests);
    }
    let (path, _) = chain(table, call, home, now, |s| s.is_in_service(now))?;
    let resting = path.stages().iter().filter_map(|stage| table.by_id(stage.engine.as_str()));
    resting.filter(|s| !s.is_available(now)).map(left).max()
}

/// Tokens that a call is likely to hold.
pub(crate) fn need(call: &Call) -> f64 {
    let sizes = call.head.sizes.unwrap_or_default();
    f64::from(sizes.prompt) + f64::from(sizes.answer) * ANSWER_SHARE
}
