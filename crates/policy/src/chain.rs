//! Chains: the cheapest way through engines that together hold every layer of a model.
//!
//! A chain may run part of what an engine holds. The search goes over layer boundaries and the
//! failure domain that the last part stands in, so that changes of domain are paid for.

use std::collections::HashSet;
use std::sync::Arc;

use heathpitch_core::{
    Card, EngineEntry, Epoch, LayerRange, LayeredModel, Model, Name, Path, Stage,
};

/// Cost of one more part: the delay inside a domain, milliseconds a token.
pub(crate) const HOP: f64 = 0.2;
/// Cost of starting in another domain, and of answers that come from there, beside the delay:
/// text only, milliseconds a token.
const AWAY: f64 = 1.5;
/// Cost of going on in another domain beside the delay: a prompt's activations take 20 to 35 ms of
/// the pipe that all requests share, one after the other. A whole domain that crosses fills it, so
/// this is more than a detour through a domain's slowest engines; milliseconds a token.
const CROSSING: f64 = 6.0;
/// Most parts that a chain may have.
const PARTS_MOST: usize = 32;
/// Times that a search is parted because an engine stands twice.
const SPLITS: u32 = 3;
/// What a part that a running request already uses is worth: nothing has to be read again.
const KEPT: f64 = 3.0;

/// An engine that a chain may run through.
#[derive(Clone, Debug)]
pub struct Link {
    /// The engine.
    pub entry: Arc<EngineEntry>,
    /// Its card.
    pub card: Card,
    /// Cost beside that of its layers: load, doubt; milliseconds a token.
    pub penalty: f64,
    /// Cost of starting here: requests that wait for their prompt to be read; milliseconds a token.
    pub start: f64,
    /// Share of its room that requests would hold, as far as is known.
    pub share: f64,
    /// Whether it has no room, as far as is known.
    pub full: bool,
    /// Whether others are preferred to it for a moment: it refused its part.
    pub crowded: bool,
}

/// What a chain is looked for.
#[derive(Clone, Copy, Debug)]
pub struct Search<'a> {
    /// The model.
    pub model: &'a LayeredModel,
    /// Its name.
    pub name: &'a Name,
    /// Domain of the node.
    pub home: &'a Name,
    /// Chain of a running request that is to be changed: its first part stays.
    pub current: Option<&'a Path>,
}

#[derive(Clone, Copy)]
struct Step {
    cost: f64,
    from: (usize, usize),
    link: usize,
}

/// The cheapest chain inside the home domain if that has one with room, else through any domain.
///
/// None if the links do not hold every layer, or the first part of the current chain is not among
/// them.
pub fn find_near_chain(search: &Search<'_>, links: &[Link]) -> Option<(Path, f64)> {
    let near: Vec<Link> =
        links.iter().filter(|l| &l.entry.domain == search.home).cloned().collect();
    let full = |path: &Path| {
        let used = |l: &&Link| path.stages().iter().any(|s| s.engine == l.entry.id);
        near.iter().filter(used).any(|l| l.full || l.crowded)
    };
    match find_chain(search, &near) {
        Some((path, cost)) if !full(&path) => Some((path, cost)),
        near => find_chain(search, links).or(near),
    }
}

/// The cheapest chain, with its cost in milliseconds a token.
///
/// None if the links do not hold every layer, or the first part of the current chain is not among
/// them.
pub fn find_chain(search: &Search<'_>, links: &[Link]) -> Option<(Path, f64)> {
    let (stages, cost) = cheapest(search, links, SPLITS)?;
    let model = Model::new(search.name.clone(), search.name.clone(), search.model.layers);
    match Path::new(&model, stages) {
        Ok(path) if path.stages().len() <= PARTS_MOST => Some((path, cost)),
        _ => None,
    }
}

/// The cheapest stages. Where an engine stands twice they are sought anew with the one and with the other part of
/// its layers alone, at most `splits` times one in the other: all that lies between may cost far more there.
fn cheapest(search: &Search<'_>, links: &[Link], splits: u32) -> Option<(Vec<Stage>, f64)> {
    let mut table = Table::new(search, links)?;
    table.fill();
    let stages = table.best()?;
    let again = twice(&stages).filter(|_| splits > 0);
    let stages = merge(stages);
    let cost = table.price(&stages);
    let Some((engine, between)) = again else { return Some((stages, cost)) };
    let Some(at) = links.iter().position(|l| l.entry.id == engine) else {
        return Some((stages, cost));
    };
    let held = links[at].entry.layers;
    let with = |layers| {
        let mut links = links.to_vec();
        links[at].entry = Arc::new(EngineEntry { layers, ..(*links[at].entry).clone() });
        cheapest(search, &links, splits - 1)
    };
    let before = with(LayerRange::new(held.first, between.end));
    let after = with(LayerRange::new(between.first, held.end));
    let found = [Some((stages, cost)), before, after].into_iter().flatten();
    found.min_by(|a, b| a.1.total_cmp(&b.1))
}

/// An engine that stands twice, and the layers between its parts.
fn twice(stages: &[Stage]) -> Option<(Name, LayerRange)> {
    stages.iter().enumerate().find_map(|(i, first)| {
        let second = stages[i + 1..].iter().find(|s| s.engine == first.engine)?;
        let between = LayerRange::new(first.layers.end, second.layers.first);
        Some((first.engine.clone(), between))
    })
}

/// Has an engine that stands twice run all that lies between, which it holds as well.
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
    search: &'a Search<'a>,
    links: &'a [Link],
    cuts: Vec<u32>,
    domains: Vec<&'a Name>,
    start: (usize, usize),
    head: Option<Stage>,
    best: Vec<Vec<Option<Step>>>,
}

/// # Construction
impl<'a> Table<'a> {
    fn new(search: &'a Search<'a>, links: &'a [Link]) -> Option<Self> {
        let head = search.current.map(|path| path.head().clone());
        let first = head.as_ref().map_or(0, |h| h.layers.end);
        let layers = search.model.layers;
        let ends = links.iter().flat_map(|l| [l.entry.layers.first, l.entry.layers.end]);
        let mut cuts: Vec<u32> = ends.chain([first, layers]).collect();
        cuts.retain(|c| (first..=layers).contains(c));
        cuts.sort_unstable();
        cuts.dedup();
        let mut domains: Vec<&Name> = links.iter().map(|l| &l.entry.domain).collect();
        domains.push(search.home);
        domains.sort();
        domains.dedup();
        let holds = |l: &&Link| head.as_ref().is_some_and(|h| h.engine == l.entry.id);
        let at = match (&head, links.iter().find(holds)) {
            (Some(_), None) => return None,
            (Some(_), Some(link)) => &link.entry.domain,
            (None, _) => search.home,
        };
        let start = (0, domains.binary_search(&at).ok()?);
        let best = vec![vec![None; domains.len()]; cuts.len()];
        Some(Self { search, links, cuts, domains, start, head, best })
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
                for link in 0..self.links.len() {
                    self.extend((cut, domain), so_far, link);
                }
            }
        }
    }

    fn extend(&mut self, from: (usize, usize), so_far: f64, link: usize) {
        let l = &self.links[link];
        let at = self.cuts[from.0];
        let is_head = self.head.as_ref().is_some_and(|h| h.engine == l.entry.id);
        if is_head || l.entry.layers.first > at || l.entry.layers.end <= at {
            return;
        }
        let Ok(domain) = self.domains.binary_search(&&l.entry.domain) else { return };
        let begins = from == self.start && self.head.is_none();
        let start = if begins { l.start } else { 0.0 };
        let entry = so_far + l.penalty + start + self.hop(from.1, domain, !begins);
        for to in from.0 + 1..self.cuts.len() {
            if self.cuts[to] > l.entry.layers.end {
                break;
            }
            let part = LayerRange::new(at, self.cuts[to]);
            let cost = entry + self.work(l, part);
            match self.best[to][domain] {
                Some(old) if old.cost <= cost => {}
                _ => self.best[to][domain] = Some(Step { cost, from, link }),
            }
        }
    }

    /// Cost of a step from one domain to another; `on` if a running request goes on there.
    fn hop(&self, from: usize, to: usize, on: bool) -> f64 {
        match from == to {
            true => HOP,
            false => {
                let delay = self.search.model.delay(self.domains[from], self.domains[to]);
                HOP + delay + if on { CROSSING } else { AWAY }
            }
        }
    }

    fn work(&self, link: &Link, part: LayerRange) -> f64 {
        let model = self.search.model;
        let share = f64::from(part.count()) / f64::from(model.layers);
        let kept = self.search.current.is_some_and(|path| {
            path.stages().iter().any(|s| s.engine == link.entry.id && s.layers == part)
        });
        let bonus = if kept { KEPT } else { 0.0 };
        model.step_ms * link.card.step_factor * share - bonus
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

    /// Cost of a whole chain, its unchanged first part left out.
    fn price(&self, stages: &[Stage]) -> f64 {
        let mut at = self.start.1;
        let mut cost = 0.0;
        for stage in stages.iter().skip(usize::from(self.head.is_some())) {
            let Some(link) = self.links.iter().find(|l| l.entry.id == stage.engine) else {
                continue;
            };
            let domain = self.domains.binary_search(&&link.entry.domain).unwrap_or(at);
            let begins = stage.layers.first == 0;
            let start = if begins { link.start } else { 0.0 };
            let hop = self.hop(at, domain, !begins);
            cost += link.penalty + start + hop + self.work(link, stage.layers);
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
            let entry = &self.links[step.link].entry;
            stages.push(Stage {
                engine: entry.id.clone(),
                address: entry.address.into(),
                layers: LayerRange::new(self.cuts[step.from.0], self.cuts[at.0]),
                epoch: Epoch::default(),
            });
            at = step.from;
        }
        stages.extend(self.head.clone());
        stages.reverse();
        Some(stages)
    }
}
