//! Values of several events' fields.

use heathpitch_core::{LayerRange, Name, Path};

/// Stages of a path, as events show them.
pub(crate) fn parts(path: Option<&Path>) -> Vec<(Name, LayerRange)> {
    let stages = path.map_or(&[][..], Path::stages);
    stages.iter().map(|s| (s.engine.clone(), s.layers)).collect()
}

/// A fraction as events show it, to three decimals.
pub(crate) fn thousandths(fraction: f64) -> f64 {
    (fraction * 1e3).round() / 1e3
}
