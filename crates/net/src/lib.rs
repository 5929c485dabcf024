//! Network layer of heathpitch.
//!
//! Servers and clients for callers, engines, the platform and other nodes. Engines and the platform
//! are each accessed through traits, so that other protocols can be supported.

mod backpressure;
mod body;
mod client;
mod connector;
mod deflate;
mod dialect;
mod engine;
mod engine_http;
mod events;
mod feed;
mod feed_codec;
mod feed_forwarder_codec;
mod feed_message;
mod feed_notice_codec;
mod feed_retry_codec;
mod forward;
mod frame;
mod framing;
mod generated;
mod head_guard;
mod listener;
mod order;
mod peer;
mod peer_codec;
mod peer_update;
mod platform;
mod platform_http;
mod pool;
mod rpc_error;
mod store;

pub use backpressure::{
    AdvertisedLimit, BackpressureSignal, EngineResponse, RetryAfterError, retry_after,
};
pub use body::{Body, BodyError, channel, empty, full, full_in_pieces, json, read};
pub use client::{Client, Response};
pub use deflate::{deflate, deflate_bytes, inflate, inflate_bytes, inflate_within};
pub use dialect::{
    CallBody, CallHead, Dialect, Dispatch, DocumentError, EngineControl, EngineLoad, EngineStatus,
    HeadError, OrderOutcome, ReleaseMode, ResponseHead, TokenCounts,
};
pub use engine::{CacheEvents, EngineClient, FrameStream, Refusal, RefusalKind, SendError};
pub use engine_http::HttpEngine;
pub use events::{EventError, Events};
pub use feed::{FeedClient, FeedServer};
pub use feed_codec::{pack, unpack};
pub use feed_message::{
    FeedCursor, FeedDemand, FeedDrain, FeedEngines, FeedExit, FeedLimit, FeedNotices,
    FeedPartAnswer, FeedPartExit, FeedPlanner, FeedPromise, FeedPromiseRate, FeedReport,
    FeedRequest, FeedResponse, FeedShare, FeedShares, NoticeCursor, RetryRequest, RetryResponse,
    RightsRequest, RightsResponse,
};
pub use forward::{ForwardHead, ForwardRefusal, ForwardedCall};
pub use frame::{Frame, GenerateCall, Hop};
pub use framing::{ConnectionHead, Framing, FramingError, keep_alive_timeout, strip_hop_by_hop};
pub use generated::{feed_capnp, peer_capnp};
pub use listener::{Bounds, Listener, serve};
pub use order::{Order, OrderError, OrderKind};
pub use peer::{PeerServer, exchange};
pub use peer_update::{Demand, Packed, Update};
pub use platform::{Lease, PlatformClient, PutError, Stored, VmList};
pub use platform_http::HttpPlatform;
pub use pool::{Connection, Pool, Reuse, SendFailure};
pub use rpc_error::RpcError;
pub use store::{
    GetResponse, Item, ItemChange, LeaseId, ListResponse, Store, StoreError, WatchResponse, Write,
};
