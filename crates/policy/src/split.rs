//! Partitioning of consecutive layers over unequal engines.

use heathpitch_core::Name;

/// Most engines for which all subsets are searched.
const MAX_EXACT: usize = 10;

/// Capacity and speed of one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCapacity {
    /// Engine.
    pub engine: Name,
    /// Layers that fit into its memory.
    pub room: u32,
    /// Time of one layer per step, microseconds.
    pub layer: u64,
    /// Transfer time of an activation to the next stage, microseconds.
    pub link: u64,
}

/// Layers assigned to each engine, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// Engines with their number of layers, none of them 0.
    pub parts: Vec<(Name, u32)>,
    /// Time of the slowest stage, microseconds.
    pub slowest: u64,
}

/// Partitions `layers` over the fewest engines that can hold them, minimizing the time of the
/// slowest stage.
///
/// Fewer stages mean fewer hops for each token, and leave engines free for complete replicas, which
/// add the same throughput. The result is exact for up to ten engines; beyond that only the fastest
/// and the largest engines are tried.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{EngineCapacity, split};
///
/// let engine = |name: &str, room, layer| -> Result<EngineCapacity, heathpitch_core::NameError> {
///     Ok(EngineCapacity { engine: name.parse()?, room, layer, link: 0 })
/// };
/// let both = [engine("quick", 20, 100)?, engine("slow", 20, 300)?];
/// let split = split(&both, 24).expect("both together hold 24 layers");
/// assert_eq!(split.parts.iter().map(|p| p.1).collect::<Vec<_>>(), [18, 6]);
/// assert_eq!(split.slowest, 1_800);
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
pub fn split(engines: &[EngineCapacity], layers: u32) -> Option<Split> {
    if layers == 0 {
        return None;
    }
    (1..=engines.len()).find_map(|count| match engines.len() {
        n if n <= MAX_EXACT => best_subset(engines, layers, count),
        _ => greedy_subset(engines, layers, count),
    })
}

/// Best split over all subsets of `count` engines.
fn best_subset(engines: &[EngineCapacity], layers: u32, count: usize) -> Option<Split> {
    let masks = (1_u32..1 << engines.len()).filter(|m| m.count_ones() as usize == count);
    let chosen = |mask: u32| -> Vec<&EngineCapacity> {
        engines.iter().enumerate().filter(|(i, _)| mask >> i & 1 == 1).map(|(_, e)| e).collect()
    };
    masks.filter_map(|m| fill(&chosen(m), layers)).min_by_key(|s| s.slowest)
}

/// Better split of the `count` fastest and the `count` largest engines.
fn greedy_subset(engines: &[EngineCapacity], layers: u32, count: usize) -> Option<Split> {
    let mut fastest: Vec<&EngineCapacity> = engines.iter().collect();
    fastest.sort_by_key(|e| (e.layer, e.link));
    let mut largest: Vec<&EngineCapacity> = engines.iter().collect();
    largest.sort_by_key(|e| (std::cmp::Reverse(e.room), e.layer));
    let tried = [&fastest[..count], &largest[..count]];
    tried.into_iter().filter_map(|c| fill(c, layers)).min_by_key(|s| s.slowest)
}

/// Assigns each engine the layers it can run within the shortest stage time that places all layers.
fn fill(engines: &[&EngineCapacity], layers: u32) -> Option<Split> {
    let total: u64 = engines.iter().map(|e| u64::from(e.room)).sum();
    if total < u64::from(layers) || engines.len() > layers as usize {
        return None;
    }
    let fits =
        |time: u64| -> u64 { engines.iter().map(|e| u64::from(layers_within(e, time))).sum() };
    let (mut low, mut high) = (0, max_time(engines));
    while low < high {
        let middle = low + (high - low) / 2;
        match fits(middle) >= u64::from(layers) {
            true => high = middle,
            false => low = middle + 1,
        }
    }
    let mut parts: Vec<(usize, u32)> =
        engines.iter().map(|e| layers_within(e, low)).enumerate().collect();
    let mut extra = parts.iter().map(|p| p.1).sum::<u32>().saturating_sub(layers);
    // Surplus layers are removed from the slowest stage first, since it was the last to fit.
    while extra > 0 {
        let time = |p: &(usize, u32)| u64::from(p.1) * engines[p.0].layer + engines[p.0].link;
        let part = parts.iter_mut().filter(|p| p.1 > 0).max_by_key(|p| time(p))?;
        part.1 -= 1;
        extra -= 1;
    }
    let used = |p: &&(usize, u32)| p.1 > 0;
    let time = |p: &(usize, u32)| u64::from(p.1) * engines[p.0].layer + engines[p.0].link;
    let slowest = parts.iter().filter(used).map(time).max()?;
    let named = parts.iter().filter(used).map(|p| (engines[p.0].engine.clone(), p.1));
    Some(Split { parts: named.collect(), slowest })
}

/// Layers that an engine can run within `time`.
fn layers_within(engine: &EngineCapacity, time: u64) -> u32 {
    let layers = time.saturating_sub(engine.link) / engine.layer.max(1);
    layers.min(engine.room.into()) as u32
}

/// Upper bound of the stage time.
fn max_time(engines: &[&EngineCapacity]) -> u64 {
    let time = |e: &&EngineCapacity| u64::from(e.room) * e.layer.max(1) + e.link;
    engines.iter().map(time).max().unwrap_or(0)
}
