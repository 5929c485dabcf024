//! Snapshot of the upstreams for the request path.

use std::collections::HashMap;
use std::sync::Arc;

use heathpitch_core::{Labels, Millis, Name, Vm};

use crate::{EngineReport, Gauge};

/// A model engine that may take new work.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its VM.
    pub vm: Arc<Vm>,
    /// Latest report.
    pub report: Arc<EngineReport>,
    /// When the report was received.
    pub seen: Millis,
    /// This node's open requests at that time.
    pub open_at_report: u32,
    /// This node's current counts.
    pub gauge: Arc<Gauge>,
}

/// A plain service that may take new work.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// Its VM.
    pub vm: Arc<Vm>,
    /// This node's current counts.
    pub gauge: Arc<Gauge>,
    /// Reported load: requests running and queued.
    pub load: u32,
}

/// An immutable snapshot of the upstreams.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Engines by the model they hold.
    pub engines: HashMap<Name, Vec<Upstream>>,
    /// Plain services.
    pub services: Vec<ServiceView>,
}

impl Fleet {
    /// Engines that hold a layer of `model`.
    pub fn engines_for(&self, model: &Name) -> &[Upstream] {
        self.engines.get(model).map_or(&[], Vec::as_slice)
    }

    /// Number of engines that may take new work.
    pub fn len(&self) -> usize {
        self.engines.values().map(Vec::len).sum()
    }

    /// Whether no engine may take new work.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Upstream {
    /// Labels of the VM, by which pools select.
    pub fn labels(&self) -> &Labels {
        &self.vm.labels
    }
}
