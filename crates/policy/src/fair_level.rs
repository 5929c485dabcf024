//! Max-min fair division of a capacity.

/// Largest amount that everybody may get if `capacity` is divided by max-min fairness with equal
/// weights; `None` if all demands fit. Sorts the demands.
///
/// Whoever demands less than the level gets all of it; the others get the level. Takes time
/// proportional to `n log n` in the number of demands.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::fair_level;
///
/// assert_eq!(fair_level(&mut [10, 2, 30], 22.0), Some(10.0));
/// assert_eq!(fair_level(&mut [10, 2, 30], 42.0), None);
/// ```
pub fn fair_level(demands: &mut [u32], capacity: f64) -> Option<f64> {
    demands.sort_unstable();
    let mut left = capacity.max(0.0);
    for (index, demand) in demands.iter().enumerate() {
        let level = left / (demands.len() - index) as f64;
        if f64::from(*demand) > level {
            return Some(level);
        }
        left -= f64::from(*demand);
    }
    None
}
