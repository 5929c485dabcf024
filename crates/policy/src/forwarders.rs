//! Choice of the node that a call is forwarded to.

use heathpitch_core::{Forwarder, Millis, Name};
use rand::Rng;
use rand::seq::SliceRandom;

/// Nodes of the own failure domain in a sample.
const LOCAL_SAMPLE: usize = 4;
/// Nodes of each other failure domain in a sample.
const REMOTE_SAMPLE: usize = 2;
/// Most nodes in a sample.
const MAX_SAMPLE: usize = 16;
/// Cost of a node of another failure domain, relative to one with the same load in the own domain.
const REMOTE_FACTOR: f64 = 2.0;
/// Random part of the cost, so that nodes that know the same sample do not all choose the same node.
const JITTER: f64 = 0.3;
/// Time for which a node is known that later samples lack.
const RETENTION_MS: Millis = 10_000;
/// Time for which a node that could not be reached gets no calls.
const UNREACHABLE_MS: Millis = 1_500;
/// Time for which a node that cannot serve a service gets no calls for it.
const DECLINED_MS: Millis = 1_000;

/// A node, and what this node knows of it.
#[derive(Clone, Debug)]
struct Known {
    forwarder: Forwarder,
    /// Time of the last sample that it was in.
    sampled_at: Millis,
    /// Calls of this node that are open there.
    in_flight: u32,
    unreachable_until: Millis,
    /// Services that it declined, with the time until which this holds.
    declined: Vec<(Name, Millis)>,
}

impl Known {
    fn new(forwarder: Forwarder, now: Millis) -> Self {
        let declined = Vec::new();
        Self { forwarder, sampled_at: now, in_flight: 0, unreachable_until: 0, declined }
    }
}

/// Nodes that a node may forward calls to.
///
/// # Examples
///
/// ```
/// use heathpitch_core::{ForwardToken, Forwarder};
/// use heathpitch_policy::Forwarders;
///
/// let node = |node: &str, domain: &str| Forwarder {
///     node: node.parse().unwrap(),
///     domain: domain.parse().unwrap(),
///     address: ([10, 0, 0, 1], 1).into(),
///     token: ForwardToken::new([0; 16]),
///     open: 10,
///     unserved: Vec::new(),
/// };
/// let mut known = Forwarders::default();
/// known.replace(vec![node("n2", "mem"), node("n3", "atl")], 0);
/// let (service, home) = ("llm".parse().unwrap(), "mem".parse().unwrap());
/// let mut rng = rand::rng();
/// let chosen = known.choose(&service, &home, &[], 0, &mut rng).unwrap();
/// assert_eq!(chosen.node.as_str(), "n2", "of the own failure domain");
/// known.record_unreachable(&chosen.node, 0);
/// assert_eq!(known.choose(&service, &home, &[], 0, &mut rng).unwrap().node.as_str(), "n3");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Forwarders {
    known: Vec<Known>,
}

/// # Updates
impl Forwarders {
    /// Puts the nodes of a sample of `now` in place of those known for long.
    ///
    /// A planner that has just begun knows few nodes, so that those of recent samples are kept beside them.
    pub fn replace(&mut self, sample: Vec<Forwarder>, now: Millis) {
        let old = std::mem::take(&mut self.known);
        let is_same =
            |k: &Known, f: &Forwarder| k.forwarder.node == f.node && k.forwarder.token == f.token;
        let known = |forwarder: Forwarder| match old.iter().find(|k| is_same(k, &forwarder)) {
            Some(old) => Known { forwarder, sampled_at: now, ..old.clone() },
            None => Known::new(forwarder, now),
        };
        self.known = sample.into_iter().take(MAX_SAMPLE).map(known).collect();
        let is_new = |k: &Known| self.known.iter().any(|n| n.forwarder.node == k.forwarder.node);
        // Calls that are open at a node count until they end.
        let is_kept =
            |k: &&Known| !is_new(k) && (k.in_flight > 0 || now < k.sampled_at + RETENTION_MS);
        let kept: Vec<Known> = old.iter().filter(is_kept).take(MAX_SAMPLE).cloned().collect();
        self.known.extend(kept);
    }

    /// Records that a call ended that was forwarded to a node.
    pub fn record_end(&mut self, node: &Name) {
        if let Some(known) = self.known.iter_mut().find(|k| &k.forwarder.node == node) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }

    /// Records that a node could not be reached.
    pub fn record_unreachable(&mut self, node: &Name, now: Millis) {
        if let Some(known) = self.known.iter_mut().find(|k| &k.forwarder.node == node) {
            known.unreachable_until = now + UNREACHABLE_MS;
        }
    }

    /// Records that a node cannot serve a service.
    pub fn record_declined(&mut self, node: &Name, service: &Name, now: Millis) {
        if let Some(known) = self.known.iter_mut().find(|k| &k.forwarder.node == node) {
            known.declined.retain(|(s, until)| now < *until && s != service);
            known.declined.push((service.clone(), now + DECLINED_MS));
        }
    }
}

/// # Choice
impl Forwarders {
    /// Chooses a node that serves a service, except those in `avoid`, and counts a call to it.
    ///
    /// The node with the fewest open calls is chosen, preferably in the failure domain `home`.
    pub fn choose(
        &mut self,
        service: &Name,
        home: &Name,
        avoid: &[Name],
        now: Millis,
        rng: &mut impl Rng,
    ) -> Option<Forwarder> {
        let serves = |k: &&mut Known| {
            !avoid.contains(&k.forwarder.node)
                && !k.forwarder.unserved.contains(service)
                && now >= k.unreachable_until
                && !k.declined.iter().any(|(s, until)| s == service && now < *until)
        };
        let mut cost = |k: &Known| {
            let open = f64::from(k.forwarder.open) + f64::from(k.in_flight) + 1.0;
            let distance = if &k.forwarder.domain == home { 1.0 } else { REMOTE_FACTOR };
            open * distance * rng.random_range(1.0..1.0 + JITTER)
        };
        let costs = self.known.iter_mut().filter(serves).map(|k| (cost(k), k));
        let (_, chosen) = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
        chosen.in_flight += 1;
        Some(chosen.forwarder.clone())
    }
}

/// A sample of nodes for a node in the failure domain `home`: a few of each domain, those that serve most
/// services first.
pub fn sample_forwarders<'a>(
    all: impl Iterator<Item = &'a Forwarder>,
    home: &Name,
    rng: &mut impl Rng,
) -> Vec<Forwarder> {
    let mut shuffled: Vec<&Forwarder> = all.collect();
    shuffled.shuffle(rng);
    // The sort is stable, so that nodes that serve as much stay in random order.
    shuffled.sort_by_key(|f| (&f.domain != home, f.unserved.len()));
    let mut sample: Vec<Forwarder> = Vec::new();
    for forwarder in shuffled {
        let limit = if &forwarder.domain == home { LOCAL_SAMPLE } else { REMOTE_SAMPLE };
        let taken = sample.iter().filter(|f| f.domain == forwarder.domain).count();
        if taken < limit && sample.len() < MAX_SAMPLE {
            sample.push(forwarder.clone());
        }
    }
    sample
}
