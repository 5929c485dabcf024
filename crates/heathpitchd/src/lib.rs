//! The heathpitch node.
//!
//! One control thread owns configuration, membership, health and claims and publishes immutable
//! snapshots. Traffic threads read the snapshots and run each request through a filter chain.

mod admin;
mod clock;
mod control;
mod event;
mod filters;
mod gateway;
mod logs;
mod metrics;
mod node;
mod shared;
mod snapshot;
mod start_error;
mod traffic;

pub use event::Event;
pub use gateway::{Clients, GATEWAY_METRICS, Gateway, GatewayEvent};
pub use logs::{LogError, LogGuard, init as init_logs};
pub use metrics::METRICS;
pub use node::Node;
pub use start_error::StartError;
