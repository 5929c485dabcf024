//! Edges of heathpitch.
//!
//! Servers and clients for callers, engines, the platform and other nodes. The engine and the
//! platform each stand behind one trait, so that another protocol can be slotted in.

mod body;
mod client;
mod deflate;
mod dialect;
mod edge_error;
mod engine;
mod engine_http;
mod events;
mod feed;
mod feed_codec;
mod feed_message;
mod frame;
mod generated;
mod listener;
mod order;
mod peer;
mod peer_codec;
mod peer_update;
mod platform;
mod platform_http;
mod pool;
mod store;
mod wish;

pub use body::{Body, BodyError, channel, empty, full, json, read};
pub use client::{Client, Response};
pub use deflate::{deflate, deflate_bytes, inflate, inflate_bytes};
pub use dialect::{
    AnswerHead, CallBody, CallHead, Dialect, Dispatch, DocumentError, EngineLoad, EngineStatus,
    HeadError, Ordered, Orders, Release, TokenSizes,
};
pub use edge_error::EdgeError;
pub use engine::{CacheEvents, EngineEdge, FrameStream, Refusal, RefusalKind, SendError};
pub use engine_http::HttpEngine;
pub use events::{EventError, Events};
pub use feed::{FeedClient, FeedServer};
pub use feed_codec::{pack, unpack};
pub use feed_message::{
    FeedAsk, FeedEnd, FeedEngines, FeedKnown, FeedLeave, FeedLimit, FeedMark, FeedNews,
    FeedPlanner, FeedReport, FeedTold, RightAsk, RightTold,
};
pub use frame::{Frame, GenerateCall, Hop};
pub use generated::{feed_capnp, peer_capnp};
pub use listener::{Bounds, Listener, serve};
pub use order::{Order, OrderError, OrderKind};
pub use peer::{PeerServer, exchange};
pub use peer_update::{Demand, Packed, Update};
pub use platform::{Lease, PlatformEdge, PutError, Stored, VmList};
pub use platform_http::HttpPlatform;
pub use pool::{Connection, Pool, Reuse, SendFailure, keep_time, strip_hop};
pub use store::{Found, Item, ItemChange, LeaseId, Listing, Store, StoreError, Watched, Write};
pub use wish::{Answered, EngineWish, LimitWord, RestError, retry_after};
