//! Stand-ins for what heathpitch speaks to: engines, plain services and the platform.
//!
//! Small on purpose. Each runs on a runtime of its own, so that it can be killed like a process.

mod checker;
mod deployment;
mod engine;
mod engine_http;
mod faults;
mod host;
mod model;
mod platform;
mod platform_http;
mod prefix;
mod samples;
mod service;
mod slots;
mod stage;

pub use checker::{Answer, CallError, Caller, Reply};
pub use deployment::{Deployment, DeploymentError, NodeProcess, node_binary};
pub use engine::{EngineSetup, FakeEngine};
pub use faults::Fault;
pub use model::{Answered, Kv, answer, piece};
pub use platform::{Calls, FakePlatform, PlatformFault, PlatformSetup};
pub use samples::sample;
pub use service::FakeService;
