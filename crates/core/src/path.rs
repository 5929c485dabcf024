//! Paths: ordered stages that run every layer of a model exactly once.

use std::sync::Arc;

use serde::Serialize;

use crate::{Epoch, LayerRange, Model, Name};

/// One engine's part of a path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Stage {
    /// Engine that runs the layers.
    pub engine: Name,
    /// Its `ip:port`.
    pub address: Name,
    /// Layers it runs.
    pub layers: LayerRange,
    /// Placement epoch the engine reported for these layers.
    pub epoch: Epoch,
}

/// A whole path through one version of a model.
///
/// A value can only be built by [`Path::new`], which refuses any list of stages that skips,
/// repeats or reorders a layer, so holding a `Path` is the proof that it tiles the model.
///
/// # Examples
///
/// ```
/// use heathpitch_core::{Epoch, LayerRange, Model, Path, Stage};
///
/// let model = Model::new("tickets".parse()?, "v1".parse()?, 4);
/// let stage = |name: &str, first, end| -> Result<Stage, heathpitch_core::NameError> {
///     let layers = LayerRange::new(first, end);
///     Ok(Stage { engine: name.parse()?, address: "127.0.0.1:1".parse()?, layers, epoch: Epoch(0) })
/// };
/// assert!(Path::new(&model, vec![stage("a", 0, 2)?, stage("b", 2, 4)?]).is_ok());
/// assert!(Path::new(&model, vec![stage("a", 0, 2)?, stage("b", 3, 4)?]).is_err());
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Path {
    model: Name,
    version: Name,
    stages: Arc<[Stage]>,
}

/// Why a list of stages is not a path.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PathError {
    /// There are no stages.
    #[error("a path needs at least one stage")]
    Empty,
    /// A stage holds no layer.
    #[error("stage {engine} holds no layer")]
    NoLayers {
        /// The stage's engine.
        engine: Name,
    },
    /// A stage does not start where the one before it ended.
    #[error("stage {engine} starts at layer {found}, expected {wanted}")]
    Gap {
        /// The stage's engine.
        engine: Name,
        /// Layer the stage should start at.
        wanted: u32,
        /// Layer it starts at.
        found: u32,
    },
    /// The last stage does not end at the model's last layer.
    #[error("the path ends at layer {found} of {wanted}")]
    Short {
        /// Layers of the model.
        wanted: u32,
        /// Layers covered.
        found: u32,
    },
    /// The same engine stands twice.
    #[error("engine {engine} stands twice in the path")]
    Twice {
        /// The engine.
        engine: Name,
    },
}

/// # Construction
impl Path {
    /// Checks that `stages` tile `model` and wraps them.
    ///
    /// # Errors
    ///
    /// A [`PathError`] that names the first stage out of place.
    pub fn new(model: &Model, stages: Vec<Stage>) -> Result<Self, PathError> {
        let mut at = 0;
        for (i, stage) in stages.iter().enumerate() {
            let engine = stage.engine.clone();
            match stage.layers {
                l if l.first != at => {
                    return Err(PathError::Gap { engine, wanted: at, found: l.first });
                }
                l if l.count() == 0 => return Err(PathError::NoLayers { engine }),
                _ if stages[..i].iter().any(|s| s.engine == engine) => {
                    return Err(PathError::Twice { engine });
                }
                l => at = l.end,
            }
        }
        match at {
            _ if stages.is_empty() => Err(PathError::Empty),
            end if end != model.layers => {
                Err(PathError::Short { wanted: model.layers, found: end })
            }
            _ => Ok(Self {
                model: model.name.clone(),
                version: model.version.clone(),
                stages: stages.into(),
            }),
        }
    }
}

/// # Reading
impl Path {
    /// Model the path runs.
    pub fn model(&self) -> &Name {
        &self.model
    }

    /// Version of the model.
    pub fn version(&self) -> &Name {
        &self.version
    }

    /// Stages in layer order; never empty.
    pub fn stages(&self) -> &[Stage] {
        &self.stages
    }

    /// First stage, the one the router talks to.
    pub fn head(&self) -> &Stage {
        &self.stages[0]
    }

    /// Whether `engine` runs a stage.
    pub fn uses(&self, engine: &str) -> bool {
        self.stages.iter().any(|s| s.engine.as_str() == engine)
    }
}
