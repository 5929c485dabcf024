//! How much of a service's recent demand is more urgent than a given rank.
//!
//! Headroom for more urgent ranks is kept in proportion to the demand that it protects: a rank that
//! the configuration knows but nobody uses takes nothing from the others.

use heathpitch_core::Millis;

/// Time constant of the counts, milliseconds: long enough for a node with few requests a second to
/// see every rank, short enough to follow a burst of one kind of request.
const WINDOW_MS: f64 = 10_000.0;
/// Count below which a rank is forgotten.
const MIN_COUNT: f64 = 0.01;

/// Recent demand of a service by rank.
///
/// Soft state: without it, no rank counts as less urgent than another.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::RankMix;
///
/// let mut mix = RankMix::default();
/// (0..6).for_each(|_| mix.record(0, 1_000));
/// (0..2).for_each(|_| mix.record(4, 1_000));
/// assert_eq!(mix.urgent_share(0, 1_000), 0.0);
/// assert_eq!(mix.urgent_share(4, 1_000), 0.75);
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RankMix {
    /// Decayed counts, ascending by rank; at most one for each of 256 ranks.
    counts: Vec<(u8, f64)>,
    at: Millis,
}

/// # Events
impl RankMix {
    /// Counts a stream of this rank at `now`.
    pub fn record(&mut self, rank: u8, now: Millis) {
        let kept = (-(now.saturating_sub(self.at) as f64) / WINDOW_MS).exp();
        self.at = self.at.max(now);
        self.counts.iter_mut().for_each(|(_, count)| *count *= kept);
        self.counts.retain(|(_, count)| *count >= MIN_COUNT);
        match self.counts.binary_search_by_key(&rank, |(r, _)| *r) {
            Ok(i) => self.counts[i].1 += 1.0,
            Err(i) => self.counts.insert(i, (rank, 1.0)),
        }
    }
}

/// # Reading
impl RankMix {
    /// Part of the streams counted at `now` that is more urgent than this rank, 0 to 1.
    pub fn urgent_share(&self, rank: u8, now: Millis) -> f64 {
        let is_recent = now.saturating_sub(self.at) as f64 <= WINDOW_MS;
        let all: f64 = self.counts.iter().map(|(_, count)| count).sum();
        let urgent =
            self.counts.iter().filter(|(r, _)| *r < rank).map(|(_, count)| count).sum::<f64>();
        if is_recent && all > 0.0 { urgent / all } else { 0.0 }
    }
}
