//! Engine fixtures shared by the tests.

#![allow(dead_code, reason = "each test file uses only some of these")]
#![allow(clippy::unwrap_used, reason = "a failed set-up fails the test")]

use std::sync::Arc;

use heathpitch_core::{Epoch, Incarnation, Labels, LayerRange, Model, Name, Vm, VmRole, VmState};
use heathpitch_policy::{EngineReport, EngineRole, Gauge, Upstream};

pub(crate) fn name(text: &str) -> Name {
    text.parse().unwrap()
}

pub(crate) fn model(layers: u32) -> Model {
    Model::new(name("m"), name("v1"), layers)
}

pub(crate) fn vm(engine: &str) -> Vm {
    Vm {
        name: name(engine),
        role: VmRole::Engine,
        address: name("127.0.0.1:1"),
        domain: name("d"),
        accelerator: None,
        labels: Labels::default(),
        state: VmState::Live,
    }
}

pub(crate) fn report(engine: &str, first: u32, end: u32) -> EngineReport {
    EngineReport {
        engine: name(engine),
        incarnation: Incarnation(1),
        serial: 1,
        model: Some(name("m")),
        version: name("v1"),
        layers: LayerRange::new(first, end),
        epoch: Epoch(0),
        role: EngineRole::Both,
        draining: false,
        slots: 8,
        running: 0,
        queued: 0,
        prefill: 10_000.0,
        step: 10_000,
        service: 500,
        memory: 8_000,
        layer: 1_000,
        link: 100,
    }
}

pub(crate) fn upstream(report: EngineReport) -> Upstream {
    Upstream {
        vm: Arc::new(vm(report.engine.as_str())),
        report: Arc::new(report),
        seen: 1_000,
        open_at_report: 0,
        gauge: Arc::new(Gauge::default()),
    }
}
