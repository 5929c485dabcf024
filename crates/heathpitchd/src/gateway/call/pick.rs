//! Choice of engines for a call.

use std::fmt;

use heathpitch_core::{Millis, Name, Path};
use heathpitch_policy::{Link, Search, find_near_chain};
use rand::Rng;

use super::admit::Call;
use crate::gateway::engine_table::{EngineTable, EngineView, Wanted};

/// What a failure domain further off costs, in requests waiting at an engine.
const AWAY: f64 = 1.5;
/// Answer tokens taken to be held, as a share of the most stated: means are far below the most.
const ANSWER_SHARE: f64 = 0.5;

/// Engines that a call must not or should not be sent to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Avoid<'a> {
    pub(crate) engines: &'a [Name],
    pub(crate) now: Millis,
}

/// The engine of a plain service with the least load, those of the own domain preferred.
pub(crate) fn engine(
    table: &EngineTable,
    service: &Name,
    home: &Name,
    avoid: Avoid<'_>,
) -> Option<EngineView> {
    let open = |s: &&EngineView| s.open(avoid.now) && !avoid.engines.contains(&s.entry.id);
    let load = |s: &EngineView| {
        let slots = f64::from(s.entry.slots.max(1));
        let waiting = f64::from(s.tally.load(avoid.now)) / slots;
        let away = if &s.entry.domain == home { 0.0 } else { AWAY / slots };
        waiting + away + rand::rng().random_range(0.0..0.05)
    };
    let views = table.of(service).iter().filter(open).map(|s| (load(s), s));
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
    let model = call.service.model.as_ref()?;
    let search = Search { model, name: &call.service.name, home, current: None };
    let usable = |s: &EngineView| s.open(avoid.now) && !avoid.engines.contains(&s.entry.id);
    let (service, tokens, now) = (&call.service.name, need(call), avoid.now);
    let links = table.links(&Wanted { service, model, tokens, now, current: None }, usable);
    let (path, _) = find_near_chain(&search, &links)?;
    let on_path = |l: &&Link| l.full && path.stages().iter().any(|s| s.engine == l.entry.id);
    let fullest = links.iter().filter(on_path).max_by(|a, b| a.share.total_cmp(&b.share));
    let full = fullest.map(|l| {
        let age = table.view(l.entry.id.as_str()).and_then(|v| v.tally.occupancy().age(now));
        Full { engine: l.entry.id.clone(), share: l.share, age }
    });
    Some(Chosen { path, full })
}

/// Tokens that a call is likely to hold.
pub(crate) fn need(call: &Call) -> f64 {
    let sizes = call.head.sizes.unwrap_or_default();
    f64::from(sizes.prompt) + f64::from(sizes.answer) * ANSWER_SHARE
}
