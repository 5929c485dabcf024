//! Water-filling: how much load loaded failure domains hand over so that pressures become equal.
//!
//! Every node computes the flows between all domains from the same reports and uses only those of its
//! own domain. The flows of different domains into one domain therefore share its free capacity
//! instead of each using all of it.

use heathpitch_core::Name;

/// Pressure up to which a domain keeps its calls: below it, first events are early enough.
const KEEP_LEVEL: f64 = 0.5;
/// Pressure up to which a domain is filled by others. The rest covers the growth of its own demand
/// until the next reports.
pub(crate) const FILL_LEVEL: f64 = 0.9;
/// Pressure by which a relieved domain stays above those that relieve it, so that reports that are
/// slightly off don't move calls to the more loaded domain.
const MARGIN: f64 = 0.05;
/// Halvings of the interval that contains the level: enough for a precision of 1e-9.
const HALVINGS: u32 = 32;

/// A domain's pressure and the load at which the pressure is 1.0.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Level<'a> {
    pub(crate) domain: &'a Name,
    pub(crate) pressure: f64,
    /// Tokens.
    pub(crate) capacity: f64,
    /// Whether other domains may hand load to it.
    pub(crate) is_open: bool,
}

impl Level<'_> {
    /// Load above this pressure, tokens.
    fn above(&self, level: f64) -> f64 {
        (self.pressure - level.max(KEEP_LEVEL)).max(0.0) * self.capacity
    }

    /// Load that raises an open domain to just below this pressure, tokens.
    fn room(&self, level: f64) -> f64 {
        match self.is_open {
            true => ((level - MARGIN).min(FILL_LEVEL) - self.pressure).max(0.0) * self.capacity,
            false => 0.0,
        }
    }
}

/// Load that domain `home` hands to each of the domains so that pressures become equal, tokens.
///
/// The sum over all homes is at most the free capacity of an open domain, and 0 for others.
pub(crate) fn flows(levels: &[Level<'_>], home: &Name) -> Vec<f64> {
    let level = equal_level(levels);
    let excess = levels.iter().find(|l| l.domain == home).map_or(0.0, |l| l.above(level));
    let rooms: Vec<f64> = levels.iter().map(|l| l.room(level)).collect();
    let (all_excess, all_rooms) =
        (levels.iter().map(|l| l.above(level)).sum::<f64>(), rooms.iter().sum::<f64>());
    match all_rooms > 0.0 && all_excess > 0.0 {
        true => {
            let used = (all_excess / all_rooms).min(1.0);
            rooms.iter().map(|room| room * used * (excess / all_excess)).collect()
        }
        false => vec![0.0; levels.len()],
    }
}

/// Pressure at which the load above it fits into the room below it.
fn equal_level(levels: &[Level<'_>]) -> f64 {
    let highest = levels.iter().map(|l| l.pressure).fold(0.0, f64::max) + MARGIN;
    let fits = |level: f64| {
        let above: f64 = levels.iter().map(|l| l.above(level)).sum();
        above <= levels.iter().map(|l| l.room(level)).sum()
    };
    let (mut low, mut high) = (0.0, highest);
    for _ in 0..HALVINGS {
        let middle = (low + high) / 2.0;
        match fits(middle) {
            true => high = middle,
            false => low = middle,
        }
    }
    high
}
