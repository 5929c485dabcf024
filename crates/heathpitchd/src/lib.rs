//! The heathpitch node, as a library and as the program `heathpitchd`.
//!
//! It runs in one of two modes: a [`Node`] serves model requests over paths of engines and forwards
//! requests to plain services; a [`Gateway`] forwards calls to the engines listed in a platform's
//! store.
//!
//! In both modes one control thread owns what is known of the configuration, of other nodes and of
//! upstreams, and publishes it as immutable snapshots. Traffic threads read the snapshots and run
//! each request through a filter chain.

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
pub use gateway::{
    CallRefused, CallRouted, Clients, GATEWAY_METRICS, Gateway, GatewayEvent, SharesChanged,
};
pub use logs::{LogError, LogGuard, init as init_logs};
pub use metrics::METRICS;
pub use node::Node;
pub use start_error::StartError;
