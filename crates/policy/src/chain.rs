//! Chains: the cheapest path through engines that together hold every layer of a model.
//!
//! A chain may use a part of an engine's layers. The search is a dynamic program over layer
//! boundaries and the failure domain of the last stage, so that it accounts for changes of domain.

use std::collections::HashSet;
use std::sync::Arc;

use heathpitch_core::{
    Card, EngineEntry, Epoch, LayerRange, LayeredModel, Model, Name, Path, Stage,
};

/// Cost of one more stage: the delay inside a domain, milliseconds per token.
pub(crate) const HOP_COST: f64 = 0.2;
/// Cost in addition to the delay of starting in another domain and of returning answers from there,
/// which carries text only; milliseconds per token.
const REMOTE_COST: f64 = 1.5;
/// Cost in addition to the delay of continuing in another domain, milliseconds per token.
///
/// A prompt's activations occupy the link between domains, which requests use one at a time, for
/// 20 to 35 ms. If all requests of a domain cross, the link saturates, so crossing costs more than
/// a detour through the domain's slowest engines.
const CROSSING_COST: f64 = 6.0;
/// Most stages that a chain may have.
const MAX_STAGES: usize = 32;
/// Nested searches made because an engine occurs twice.
const MAX_SPLITS: u32 = 3;
/// Discount for a stage that a running request already uses: no prompt has to be prefilled again;
/// milliseconds per token.
const REUSE_BONUS: f64 = 3.0;

/// An engine that a chain may run through.
#[derive(Clone, Debug)]
pub struct ChainEngine {
    /// Entry in the engine list.
    pub entry: Arc<EngineEntry>,
    /// Its card.
    pub card: Card,
    /// Cost in addition to that of its layers, such as load or suspected failure; milliseconds per
    /// token.
    pub penalty: f64,
    /// Cost of starting here: requests waiting for prefill; milliseconds per token.
    pub start_cost: f64,
    /// Known share of its token capacity that requests would hold.
    pub utilization: f64,
    /// Whether it is known to have no capacity left.
    pub full: bool,
    /// Whether other engines are preferred for a moment because it refused a stage.
    pub deprioritized: bool,
}

/// What a chain is searched for.
#[derive(Clone, Copy, Debug)]
pub struct ChainQuery<'a> {
    /// The model.
    pub model: &'a LayeredModel,
    /// Its name.
    pub name: &'a Name,
    /// Domain of the node.
    pub home: &'a Name,
    /// Path of a running request that is to be changed; its first stage stays.
    pub current: Option<&'a Path>,
}

#[derive(Clone, Copy)]
struct Step {
    cost: f64,
    from: (usize, usize),
    candidate: usize,
}

/// Finds the cheapest chain inside the home domain if that has one with capacity, else through any
/// domain.
///
/// None if the engines do not hold every layer, or the first engine of the current path is not
/// among them.
pub fn find_local_chain(search: &ChainQuery<'_>, engines: &[ChainEngine]) -> Option<(Path, f64)> {
    match find_chain_in(search, engines, search.home) {
        Some((path, cost)) if has_capacity(&path, engines) => Some((path, cost)),
        local => find_chain(search, engines).or(local),
    }
}

/// Finds the cheapest chain that lies entirely in a domain, whether it has capacity or not.
pub fn find_chain_in(
    search: &ChainQuery<'_>,
    engines: &[ChainEngine],
    domain: &Name,
) -> Option<(Path, f64)> {
    let inside: Vec<ChainEngine> =
        engines.iter().filter(|l| &l.entry.domain == domain).cloned().collect();
    find_chain(search, &inside)
}

/// Whether no engine of a chain through some of `engines` is full or deprioritized.
pub fn has_capacity(path: &Path, engines: &[ChainEngine]) -> bool {
    let used = |l: &&ChainEngine| path.stages().iter().any(|s| s.engine == l.entry.id);
    !engines.iter().filter(used).any(|l| l.full || l.deprioritized)
}

/// Finds the cheapest chain, with its cost in milliseconds per token.
///
/// None if the engines do not hold every layer, or the first engine of the current path is not
/// among them.
pub fn find_chain(search: &ChainQuery<'_>, engines: &[ChainEngine]) -> Option<(Path, f64)> {
    let (stages, cost) = cheapest(search, engines, MAX_SPLITS)?;
    let model = Model::new(search.name.clone(), search.name.clone(), search.model.layers);
    match Path::new(&model, stages) {
        Ok(path) if path.stages().len() <= MAX_STAGES => Some((path, cost)),
        _ => None,
    }
}

/// Finds the cheapest stages.
///
/// If an engine occurs twice, merging its stages has it run all layers in between as well, which
/// may cost far more there. The search is then repeated with either part of its layers alone,
/// nested at most `splits` times.
fn cheapest(
    search: &ChainQuery<'_>,
    engines: &[ChainEngine],
    splits: u32,
) -> Option<(Vec<Stage>, f64)> {
    let mut table = Table::new(search, engines)?;
    table.fill();
    let stages = table.best()?;
    let repeated = find_repeated(&stages).filter(|_| splits > 0);
    let stages = merge(stages);
    let cost = table.price(&stages);
    let Some((engine, between)) = repeated else { return Some((stages, cost)) };
    let Some(at) = engines.iter().position(|l| l.entry.id == engine) else {
        return Some((stages, cost));
    };
    let held = engines[at].entry.layers;
    let with = |layers| {
        let mut engines = engines.to_vec();
        engines[at].entry = Arc::new(EngineEntry { layers, ..(*engines[at].entry).clone() });
        cheapest(search, &engines, splits - 1)
    };
    let before = with(LayerRange::new(held.first, between.end));
    let after = with(LayerRange::new(between.first, held.end));
    let found = [Some((stages, cost)), before, after].into_iter().flatten();
    found.min_by(|a, b| a.1.total_cmp(&b.1))
}

/// Finds an engine that occurs twice, and the layers between its stages.
fn find_repeated(stages: &[Stage]) -> Option<(Name, LayerRange)> {
    stages.iter().enumerate().find_map(|(i, first)| {
        let second = stages[i + 1..].iter().find(|s| s.engine == first.engine)?;
        let between = LayerRange::new(first.layers.end, second.layers.first);
        Some((first.engine.clone(), between))
    })
}

/// Merges the stages of an engine that occurs twice; it holds the layers in between as well.
fn merge(stages: Vec<Stage>) -> Vec<Stage> {
    let mut merged: Vec<Stage> = Vec::new();
    for stage in stages {
        match merged.iter().position(|s| s.engine == stage.engine) {
            Some(at) => {
                merged.truncate(at + 1);
                merged[at].layers.end = stage.layers.end;
            }
            None => merged.push(stage),
        }
    }
    merged
}

struct Table<'a> {
    search: &'a ChainQuery<'a>,
    engines: &'a [ChainEngine],
    cuts: Vec<u32>,
    domains: Vec<&'a Name>,
    start: (usize, usize),
    fixed_stage: Option<Stage>,
    best: Vec<Vec<Option<Step>>>,
}

/// # Construction
impl<'a> Table<'a> {
    fn new(search: &'a ChainQuery<'a>, engines: &'a [ChainEngine]) -> Option<Self> {
        let fixed_stage = search.current.map(|path| path.head().clone());
        let first = fixed_stage.as_ref().map_or(0, |h| h.layers.end);
        let layers = search.model.layers;
        let ends = engines.iter().flat_map(|l| [l.entry.layers.first, l.entry.layers.end]);
        let mut cuts: Vec<u32> = ends.chain([first, layers]).collect();
        cuts.retain(|c| (first..=layers).contains(c));
        cuts.sort_unstable();
        cuts.dedup();
        let mut domains: Vec<&Name> = engines.iter().map(|l| &l.entry.domain).collect();
        domains.push(search.home);
        domains.sort();
        domains.dedup();
        let holds = |l: &&ChainEngine| fixed_stage.as_ref().is_some_and(|h| h.engine == l.entry.id);
        let at = match (&fixed_stage, engines.iter().find(holds)) {
            (Some(_), None) => return None,
            (Some(_), Some(candidate)) => &candidate.entry.domain,
            (None, _) => search.home,
        };
        let start = (0, domains.binary_search(&at).ok()?);
        let best = vec![vec![None; domains.len()]; cuts.len()];
        Some(Self { search, engines, cuts, domains, start, fixed_stage, best })
    }
}

/// # Search
impl Table<'_> {
    fn fill(&mut self) {
        for cut in 0..self.cuts.len() {
            for domain in 0..self.domains.len() {
                let so_far = match self.best[cut][domain] {
                    _ if (cut, domain) == self.start => 0.0,
                    Some(step) => step.cost,
                    None => continue,
                };
                for candidate in 0..self.engines.len() {
                    self.extend((cut, domain), so_far, candidate);
                }
            }
        }
    }

    fn extend(&mut self, from: (usize, usize), so_far: f64, candidate: usize) {
        let l = &self.engines[candidate];
        let at = self.cuts[from.0];
        let is_fixed = self.fixed_stage.as_ref().is_some_and(|h| h.engine == l.entry.id);
        if is_fixed || l.entry.layers.first > at || l.entry.layers.end <= at {
            return;
        }
        let Ok(domain) = self.domains.binary_search(&&l.entry.domain) else { return };
        let starts_path = from == self.start && self.fixed_stage.is_none();
        let start = if starts_path { l.start_cost } else { 0.0 };
        let entry = so_far + l.penalty + start + self.hop(from.1, domain, !starts_path);
        for to in from.0 + 1..self.cuts.len() {
            if self.cuts[to] > l.entry.layers.end {
                break;
            }
            let part = LayerRange::new(at, self.cuts[to]);
            let cost = entry + self.work(l, part);
            match self.best[to][domain] {
                Some(old) if old.cost <= cost => {}
                _ => self.best[to][domain] = Some(Step { cost, from, candidate }),
            }
        }
    }

    /// Cost of a step between domains; `carries_activations` if not only text crosses.
    fn hop(&self, from: usize, to: usize, carries_activations: bool) -> f64 {
        match from == to {
            true => HOP_COST,
            false => {
                let delay = self.search.model.delay(self.domains[from], self.domains[to]);
                HOP_COST + delay + if carries_activations { CROSSING_COST } else { REMOTE_COST }
            }
        }
    }

    fn work(&self, candidate: &ChainEngine, part: LayerRange) -> f64 {
        let model = self.search.model;
        let share = f64::from(part.count()) / f64::from(model.layers);
        let kept = self.search.current.is_some_and(|path| {
            path.stages().iter().any(|s| s.engine == candidate.entry.id && s.layers == part)
        });
        let bonus = if kept { REUSE_BONUS } else { 0.0 };
        model.step_ms * candidate.card.step_factor * share - bonus
    }

    fn best(&self) -> Option<Vec<Stage>> {
        let last = self.cuts.len() - 1;
        let total = |domain: usize| {
            let step = self.best[last][domain]?;
            Some((domain, step.cost + self.hop(domain, self.start.1, false)))
        };
        let ends = (0..self.domains.len()).filter_map(total);
        let (domain, _) = ends.min_by(|a, b| a.1.total_cmp(&b.1))?;
        self.trace((last, domain))
    }

    /// Cost of a chain without its fixed first stage.
    fn price(&self, stages: &[Stage]) -> f64 {
        let mut at = self.start.1;
        let mut cost = 0.0;
        for stage in stages.iter().skip(usize::from(self.fixed_stage.is_some())) {
            let Some(candidate) = self.engines.iter().find(|l| l.entry.id == stage.engine) else {
                continue;
            };
            let domain = self.domains.binary_search(&&candidate.entry.domain).unwrap_or(at);
            let starts_path = stage.layers.first == 0;
            let start = if starts_path { candidate.start_cost } else { 0.0 };
            let hop = self.hop(at, domain, !starts_path);
            cost += candidate.penalty + start + hop + self.work(candidate, stage.layers);
            at = domain;
        }
        cost + self.hop(at, self.start.1, false)
    }

    fn trace(&self, end: (usize, usize)) -> Option<Vec<Stage>> {
        let mut stages = Vec::new();
        let mut at = end;
        let mut seen = HashSet::new();
        while at != self.start {
            let step = self.best[at.0][at.1]?;
            if !seen.insert(at) {
                return None;
            }
            let entry = &self.engines[step.candidate].entry;
            stages.push(Stage {
                engine: entry.id.clone(),
                address: entry.address.into(),
                layers: LayerRange::new(self.cuts[step.from.0], self.cuts[at.0]),
                epoch: Epoch::default(),
            });
            at = step.from;
        }
        stages.extend(self.fixed_stage.clone());
        stages.reverse();
        Some(stages)
    }
}
