//! Paths: ordered stages that run every layer of a model exactly once.

use std::sync::Arc;

use serde::Serialize;

use crate::{Epoch, LayerRange, Model, Name};

/// The part of a path that one engine runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Stage {
    /// Engine that runs the layers.
    pub engine: Name,
    /// Its `ip:port`.
    pub address: Name,
    /// Layers it runs.
    pub layers: LayerRange,
    /// Placement epoch that the engine reported for these layers.
    pub epoch: Epoch,
}

/// A complete path through one version of a model.
///
/// [`Path::new`] is the only constructor and rejects any list of stages that skips, repeats or
/// reorders a layer, so every `Path` covers each layer of the model exactly once.
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
    /// A stage has no layers.
    #[error("stage {engine} has no layers")]
    NoLayers {
        /// The stage's engine.
        engine: Name,
    },
    /// A stage does not start where the one before it ended.
    #[error("stage {engine} starts at layer {found}, expected {expected}")]
    Gap {
        /// The stage's engine.
        engine: Name,
        /// Layer at which the stage should start.
        expected: u32,
        /// Layer at which it starts.
        found: u32,
    },
    /// The path does not end at the model's last layer.
    #[error("the path ends at layer {found} of {expected}")]
    Incomplete {
        /// Number of layers of the model.
        expected: u32,
        /// Layer at which the path ends.
        found: u32,
    },
    /// An engine appears more than once.
    #[error("engine {engine} appears more than once in the path")]
    Duplicate {
        /// The engine.
        engine: Name,
    },
}

/// # Construction
impl Path {
    /// Builds a path from stages that cover `model` without gap or overlap.
    ///
    /// # Errors
    ///
    /// A [`PathError`] that names the first stage at fault.
    pub fn new(model: &Model, stages: Vec<Stage>) -> Result<Self, PathError> {
        let mut at = 0;
        for (i, stage) in stages.iter().enumerate() {
            let engine = stage.engine.clone();
            match stage.layers {
                l if l.first != at => {
                    return Err(PathError::Gap { engine, expected: at, found: l.first });
                }
                l if l.count() == 0 => return Err(PathError::NoLayers { engine }),
                _ if stages[..i].iter().any(|s| s.engine == engine) => {
                    return Err(PathError::Duplicate { engine });
                }
                l => at = l.end,
            }
        }
        match at {
            _ if stages.is_empty() => Err(PathError::Empty),
            end if end != model.layers => {
                Err(PathError::Incomplete { expected: model.layers, found: end })
            }
            _ => Ok(Self {
                model: model.name.clone(),
                version: model.version.clone(),
                stages: stages.into(),
            }),
        }
    }
}

/// # Accessors
impl Path {
    /// Model the path runs.
    pub fn model(&self) -> &Name {
        &self.model
    }

    /// Version of the model.
    pub fn version(&self) -> &Name {
        &self.version
    }

    /// Stages in layer order; there is at least one.
    pub fn stages(&self) -> &[Stage] {
        &self.stages
    }

    /// First stage, which the router sends requests to.
    pub fn head(&self) -> &Stage {
        &self.stages[0]
    }

    /// Whether `engine` runs a stage.
    pub fn uses(&self, engine: &str) -> bool {
        self.stages.iter().any(|s| s.engine.as_str() == engine)
    }
}
