//! Edges of heathpitch.
//!
//! Servers and clients for callers, engines, the platform and other nodes. The engine and the
//! platform each stand behind one trait, so that another protocol can be slotted in.

mod body;
mod client;
mod deflate;
mod edge_error;
mod engine;
mod engine_http;
mod frame;
mod generated;
mod listener;
mod order;
mod peer;
mod peer_codec;
mod peer_update;
mod platform;
mod platform_http;

pub use body::{Body, BodyError, channel, empty, full, json, read};
pub use client::{Client, Response};
pub use deflate::{deflate, inflate};
pub use edge_error::EdgeError;
pub use engine::{CacheEvents, EngineEdge, FrameStream, Refusal, RefusalKind, SendError};
pub use engine_http::HttpEngine;
pub use frame::{Frame, GenerateCall, Hop};
pub use generated::peer_capnp;
pub use listener::{Bounds, Listener, serve};
pub use order::{Order, OrderError, OrderKind};
pub use peer::{PeerServer, exchange};
pub use peer_update::{Demand, Packed, Update};
pub use platform::{Lease, PlatformEdge, PutError, Stored, VmList};
pub use platform_http::HttpPlatform;
