//! Fakes of the systems that heathpitch talks to: engines, plain services and the platform.
//!
//! Each fake runs on its own runtime, so that it can be killed like a process.

mod caller;
mod deployment;
mod engine;
mod engine_http;
mod faults;
mod host;
mod model;
mod platform;
mod platform_http;
mod prefix_cache;
mod samples;
mod service;
mod slots;
mod stage;

pub use caller::{CallError, Caller, Reply, StreamedAnswer};
pub use deployment::{Deployment, DeploymentError, NodeProcess, node_binary};
pub use engine::{EngineConfig, FakeEngine};
pub use faults::Fault;
pub use model::{KvCache, ReferenceAnswer, reference_answer, token_text};
pub use platform::{CallCounts, FakePlatform, PlatformConfig, PlatformFault};
pub use samples::sample_document;
pub use service::FakeService;
