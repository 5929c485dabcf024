//! Selection of a path through a model's engines.
//!
//! Engines that hold the same layers are candidates for the same stage. A strategy picks one
//! candidate per range; a shortest-path search over layer boundaries then joins the ranges.

use std::collections::BTreeMap;

use heathpitch_core::{LayerRange, Millis, Model, Name, Path, Stage, Strategy};
use rand::Rng;

use crate::blocks::{hash_name, mix};
use crate::{BLOCK_TOKENS, Need, PrefixIndex, Upstream, predict};

/// Extra cost, as a fraction, at which the engine with the prefix is still preferred.
const AFFINITY_TOLERANCE: f64 = 0.25;
/// Fraction of a prompt's blocks assumed to be cached by the engine that its prefix is assigned to.
const ASSUMED_HIT: f64 = 0.75;
/// Cost of each additional stage, milliseconds.
const HOP_MS: f64 = 0.5;

/// Request for a path.
#[derive(Clone, Debug)]
pub struct PathRequest<'a> {
    /// Model to run.
    pub model: &'a Model,
    /// Failure domain of the node.
    pub domain: &'a Name,
    /// Prompt tokens, including those of a resumed answer.
    pub tokens: u32,
    /// Chained hashes of the prompt's blocks.
    pub chain: &'a [u64],
    /// Index of cached prompt blocks.
    pub prefixes: &'a PrefixIndex,
    /// Whether suspect engines may be used.
    pub allow_suspect: bool,
    /// Engines that already failed this request.
    pub avoid: &'a [Name],
    /// Time of the selection.
    pub now: Millis,
    /// Strategy for picking stages.
    pub strategy: Strategy,
}

/// Why there is no path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoPath {
    /// No engine in the route's pools holds a layer of the model.
    #[error("no engine of the route's pools holds the model")]
    NoEngine,
    /// The usable engines together do not hold every layer.
    #[error("the usable engines do not hold every layer")]
    Incomplete,
}

type Pick<'a> = (&'a Upstream, f64);

/// Selects the path with the shortest predicted time to first token.
///
/// `admits` returns whether an engine is in the route's pools.
///
/// # Errors
///
/// [`NoPath`] if the usable engines do not hold every layer.
pub fn choose<'a>(
    engines: &'a [Upstream],
    admits: impl Fn(&Upstream) -> bool,
    request: &PathRequest<'_>,
    rng: &mut impl Rng,
) -> Result<(Path, f64), NoPath> {
    let usable = |u: &&Upstream| {
        u.report.version == request.model.version
            && !request.avoid.contains(&u.vm.name)
            && (request.allow_suspect || !u.gauge.is_suspect(request.now))
            && admits(u)
    };
    let mut groups: BTreeMap<LayerRange, Vec<&'a Upstream>> = BTreeMap::new();
    for u in engines.iter().filter(usable) {
        groups.entry(u.report.layers).or_default().push(u);
    }
    if groups.is_empty() {
        return Err(NoPath::NoEngine);
    }
    let picks: Vec<(LayerRange, Pick<'a>)> =
        groups.iter().map(|(l, g)| (*l, pick(g, request, rng))).collect();
    join(&picks, request.model).ok_or(NoPath::Incomplete)
}

fn pick<'a>(group: &[&'a Upstream], request: &PathRequest<'_>, rng: &mut impl Rng) -> Pick<'a> {
    let with_cost = |u: &'a Upstream| (u, cost(u, request));
    let least = |a: Pick<'a>, b: Pick<'a>| if b.1 < a.1 { b } else { a };
    let any = rng.random_range(0..group.len());
    let other = match group.len() {
        1 => any,
        n => (any + rng.random_range(1..n)) % n,
    };
    match request.strategy {
        Strategy::Random => with_cost(group[any]),
        Strategy::TwoChoices => least(with_cost(group[any]), with_cost(group[other])),
        Strategy::LeastReported => {
            let reported = |u: &&&Upstream| u.report.running + u.report.queued;
            with_cost(group.iter().min_by_key(reported).copied().unwrap_or(group[any]))
        }
        Strategy::Best => group.iter().map(|u| with_cost(u)).fold(with_cost(group[any]), least),
        Strategy::Affinity => match request.chain.first() {
            Some(prefix) => pick_by_prefix(group, *prefix, request, with_cost(group[any])),
            None => least(with_cost(group[any]), with_cost(group[other])),
        },
    }
}

/// Picks the engine that the prefix is assigned to, or that caches most of it, unless `any` is
/// clearly cheaper.
///
/// Assignment uses rendezvous hashing, so that all nodes agree on it without communication.
fn pick_by_prefix<'a>(
    group: &[&'a Upstream],
    prefix: u64,
    request: &PathRequest<'_>,
    any: Pick<'a>,
) -> Pick<'a> {
    let rank = |u: &&&Upstream| mix(prefix, hash_name(&u.vm.name, 5));
    let hit = |u: &&&Upstream| request.prefixes.hit(u.vm.name.as_str(), request.chain);
    let assigned = group.iter().max_by_key(rank).copied();
    let assigned = assigned.map(|u| (u, cost_with(u, request, assumed_hit(u, request))));
    let holder = group.iter().filter(|u| hit(u) > 0).max_by_key(hit).copied();
    let holder = holder.map(|u| (u, cost(u, request)));
    let best = match (assigned, holder) {
        (Some(a), Some(h)) if h.1 <= a.1 => h,
        (Some(a), _) => a,
        (None, _) => any,
    };
    if best.1 <= any.1 * (1.0 + AFFINITY_TOLERANCE) { best } else { any }
}

/// Blocks assumed to be cached by the engine that a prefix is assigned to. It receives all prompts
/// with that prefix, even if the index does not show them yet.
fn assumed_hit(u: &Upstream, request: &PathRequest<'_>) -> usize {
    let known = request.prefixes.hit(u.vm.name.as_str(), request.chain);
    known.max((request.chain.len() as f64 * ASSUMED_HIT) as usize)
}

/// Predicted cost of an engine, less its known prefix hit.
fn cost(u: &Upstream, request: &PathRequest<'_>) -> f64 {
    cost_with(u, request, request.prefixes.hit(u.vm.name.as_str(), request.chain))
}

fn cost_with(u: &Upstream, request: &PathRequest<'_>, blocks: usize) -> f64 {
    let tokens = request.tokens.saturating_sub((blocks * BLOCK_TOKENS) as u32);
    predict(u, &Need { tokens, domain: request.domain, now: request.now })
}

/// Joins the picked ranges into the cheapest path; a stage may run part of the layers its engine
/// holds.
fn join(picks: &[(LayerRange, Pick<'_>)], model: &Model) -> Option<(Path, f64)> {
    let ends = picks.iter().flat_map(|(l, _)| [l.first, l.end]);
    let mut cuts: Vec<u32> = ends.filter(|c| *c <= model.layers).chain([0]).collect();
    cuts.sort_unstable();
    cuts.dedup();
    let mut best: Vec<Option<(f64, usize, usize)>> = vec![None; cuts.len()];
    best[0] = Some((0.0, 0, 0));
    for at in 0..cuts.len() {
        let Some((prefix_cost, ..)) = best[at] else {
            continue;
        };
        for (p, (held, (_, cost))) in picks.iter().enumerate() {
            if held.first > cuts[at] {
                continue;
            }
            let reach = (at + 1..cuts.len()).take_while(|to| cuts[*to] <= held.end);
            for to in reach {
                let part = f64::from(cuts[to] - cuts[at]) / f64::from(held.count().max(1));
                let total = prefix_cost + cost * part.max(0.5) + HOP_MS;
                match best[to] {
                    Some((old, ..)) if old <= total => {}
                    _ => best[to] = Some((total, at, p)),
                }
            }
        }
    }
    let goal = cuts.iter().position(|c| *c == model.layers)?;
    let total = best[goal]?.0;
    let stages = trace(&best, &cuts, picks, goal)?;
    Path::new(model, stages).ok().map(|path| (path, total))
}

/// Stages of the cheapest path, followed back from `goal`.
fn trace(
    best: &[Option<(f64, usize, usize)>],
    cuts: &[u32],
    picks: &[(LayerRange, Pick<'_>)],
    goal: usize,
) -> Option<Vec<Stage>> {
    let mut stages = Vec::new();
    let mut at = goal;
    while at > 0 {
        let (_, from, p) = best[at]?;
        let (_, (u, _)) = picks[p];
        stages.push(Stage {
            engine: u.vm.name.clone(),
            address: u.vm.address.clone(),
            layers: LayerRange::new(cuts[from], cuts[at]),
            epoch: u.report.epoch,
        });
        at = from;
    }
    stages.reverse();
    Some(stages)
}
