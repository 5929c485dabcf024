//! Messages by which nodes obtain store contents and engine state from each other.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use heathpitch_core::{Forwarder, Millis, Name, PromptPart, Rate, RequestFingerprint, Revision};

use crate::Item;

/// Poll of one node by another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedRequest {
    /// Node that is polled, if its name is known. Another node that has its address by now refuses:
    /// it may belong to another fleet.
    pub to: Option<Name>,
    /// Requesting node.
    pub node: Name,
    /// Address at which it can be polled itself.
    pub address: SocketAddr,
    /// Whether its VM has the capacity for a planner's feed.
    pub can_plan: bool,
    /// Revision of its configuration; 0 for none.
    pub revision: Revision,
    /// The operator's version of its configuration; 0 for none.
    pub version: u64,
    /// Digest of its engine entries.
    pub digest: u64,
    /// What it already has from the polled node.
    pub cursor: FeedCursor,
    /// Whether only reports are requested, of engines in the failure domain of the polled node.
    pub reports_only: bool,
    /// Notices that the requesting node has learned since its last poll of the same node.
    pub notices: FeedNotices,
    /// Notices of the polled node that the requesting node already has.
    pub notice_cursor: NoticeCursor,
    /// Streams that callers asked of the requesting node since its last answered poll of the same
    /// node.
    pub demand: Vec<FeedDemand>,
    /// Returns promised by the requesting node since then.
    pub promises: Vec<FeedPromise>,
    /// How the requesting node takes calls of other nodes; none if it does not.
    pub forwarder: Option<Forwarder>,
    /// Whether nodes that take calls of others are requested.
    pub wants_forwarders: bool,
}

/// Streams of one service, rank and client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedDemand {
    /// The service.
    pub service: Name,
    /// Priority rank; 0 comes first.
    pub rank: u8,
    /// Digest of the client account; 0 for none.
    pub account: u64,
    /// Streams asked for.
    pub asked: u32,
    /// Streams admitted.
    pub admitted: u32,
}

/// Returns promised to rejected callers in one slot of time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedPromise {
    /// The service.
    pub service: Name,
    /// Time from the message to the slot, milliseconds.
    pub in_ms: Millis,
    /// Number of returns.
    pub count: u32,
}

/// Returns that one slot of a service has capacity for.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedPromiseRate {
    /// The service.
    pub service: Name,
    /// Returns per slot.
    pub per_slot: f32,
}

/// Shares of client accounts in a failure domain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FeedShares {
    /// Accounts that ask for more than their share.
    pub accounts: Vec<FeedShare>,
    /// Time since the shares were computed.
    pub age_ms: Millis,
}

/// Share of one account that asks for more.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedShare {
    /// The service.
    pub service: Name,
    /// Digest of the client account.
    pub account: u64,
    /// Part of its requests that is within its share, 0 to 1.
    pub fraction: f32,
}

/// Observations about engines, made by calls and status queries.
///
/// They are exchanged even while a node cannot reach the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedNotices {
    /// Engines that ended while they ran a request.
    pub exits: Vec<FeedExit>,
    /// Engines that are draining.
    pub drains: Vec<FeedDrain>,
    /// Rate limits advertised by engines.
    pub limits: Vec<FeedLimit>,
    /// Engines that ended while they ran a request, by the parts of its prompt.
    pub part_exits: Vec<FeedPartExit>,
    /// Answers to requests with such parts.
    pub part_answers: Vec<FeedPartAnswer>,
}

/// Position in the notices of one incarnation of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoticeCursor {
    /// Incarnation of the node.
    pub incarnation: u64,
    /// Serial of the last engine exit; 0 for none.
    pub exits: u64,
    /// Serial of the last drain notice; 0 for none.
    pub drains: u64,
    /// Serial of the last rate limit; 0 for none.
    pub limits: u64,
    /// Serial of the last engine exit under a part of a prompt; 0 for none.
    pub part_exits: u64,
    /// Serial of the last answer to a request with such a part; 0 for none.
    pub part_answers: u64,
}

/// Rate limit of an engine over all nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedLimit {
    /// The engine.
    pub engine: Name,
    /// Unix time of its start in milliseconds, if known.
    pub started_at: Option<Millis>,
    /// Its limit; `None` if it no longer advertises one.
    pub rate: Option<Rate>,
    /// Time since the engine signalled it.
    pub age_ms: Millis,
}

/// Request for rights to send requests to an engine, sent to the planner of its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RightsRequest {
    /// Requesting node.
    pub node: Name,
    /// The engine, and its rate limit as known to the requesting node.
    pub limit: FeedLimit,
    /// Number of rights requested.
    pub requested: u16,
}

/// Response to a request for rights.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RightsResponse {
    /// Whether the polled node issues rights for this engine.
    pub active: bool,
    /// Number of rights issued.
    pub issued: u16,
    /// Time after which to ask again, milliseconds.
    pub wait_ms: Millis,
}

/// Request for a retry of a call, sent to the planner of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryRequest {
    /// Service of the call.
    pub service: Name,
    /// Calls counted lately by the requesting node, which it does not use for retries itself.
    pub calls: u32,
}

/// Response to a request for a retry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryResponse {
    /// Whether the polled node issues retries for its failure domain.
    pub active: bool,
    /// Whether the retry is issued.
    pub issued: bool,
}

/// Notice that an engine is draining.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedDrain {
    /// The engine.
    pub engine: Name,
    /// Unix time of its start in milliseconds, if known.
    pub started_at: Option<Millis>,
    /// Time since the engine signalled it.
    pub age_ms: Millis,
}

/// Notice that an engine ended while it ran a request that it had just started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedExit {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// The engine.
    pub engine: Name,
    /// Unix time of the engine's start in milliseconds, if known.
    pub started_at: Option<Millis>,
    /// Events of the response before the engine ended.
    pub events: u32,
    /// How often the request was seen again much later.
    pub renewed: u32,
    /// Whether it no longer counts as evidence against the request.
    pub cleared: bool,
    /// Time since it was first known.
    pub age_ms: Millis,
}

/// Notice that an engine ended while it ran a request with a part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedPartExit {
    /// Digest of the service.
    pub service: u64,
    /// The part.
    pub part: PromptPart,
    /// Digest of the client account; 0 for none.
    pub account: u64,
    /// The engine.
    pub engine: Name,
    /// Unix time of the engine's start in milliseconds, if known.
    pub started_at: Option<Millis>,
    /// Events of the response before the engine ended.
    pub events: u32,
    /// Position of the part in the prompt, from 0.
    pub position: u8,
    /// Whether requests of the service without the part were answered since.
    pub others_answered: bool,
    /// Whether the part itself was answered in the minutes before.
    pub answered_before: bool,
    /// The request, if known.
    pub request: Option<RequestFingerprint>,
    /// How often the part was seen again much later.
    pub renewed: u32,
    /// Whether it no longer counts as evidence against the part.
    pub cleared: bool,
    /// Time since it was first known.
    pub age_ms: Millis,
}

/// Notice of an answer to a request with a part of a prompt that engines had ended under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedPartAnswer {
    /// Digest of the service.
    pub service: u64,
    /// The part.
    pub part: PromptPart,
    /// Digest of the client account; 0 for none.
    pub account: u64,
    /// Digest of the engine's incarnation.
    pub engine: u64,
    /// Tells answers of one engine apart.
    pub id: u64,
    /// Time since the answer.
    pub age_ms: Millis,
}

/// Position of a follower in the feed of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedCursor {
    /// Incarnation of the followed node that the serials belong to.
    pub incarnation: u64,
    /// Serial of the last change of engine entries; 0 for none.
    pub serial: u64,
    /// Serial of the last report; 0 for none.
    pub reported: u64,
}

/// Response to a poll.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FeedResponse {
    /// Whether the rest is recent enough to be used.
    pub fresh: bool,
    /// Position of the follower after this response.
    pub cursor: FeedCursor,
    /// Engine entries.
    pub engines: FeedEngines,
    /// Revision of the active configuration.
    pub revision: Revision,
    /// The configuration with its value compressed, if the requesting node has an older one.
    pub config: Option<Item>,
    /// Whether large data is withheld because the link is at capacity.
    pub withheld: bool,
    /// Time since the configuration was verified to be the latest.
    pub config_age_ms: Millis,
    /// Time since the engine entries were verified against the store.
    pub entries_age_ms: Millis,
    /// Number of nodes in the fleet; 0 if unknown.
    pub fleet_size: u32,
    /// Number of nodes in the failure domain; 0 if unknown.
    pub domain_size: u32,
    /// State reported by engines.
    pub reports: Vec<FeedReport>,
    /// Known planners of all failure domains.
    pub planners: Vec<FeedPlanner>,
    /// Whether the polled node was the planner of its failure domain and has released that role.
    pub planner_released: bool,
    /// Standbys that read the store if the planner does not, in order of priority.
    pub standbys: Vec<(Name, SocketAddr)>,
    /// Notices that the polled node has learned.
    pub notices: FeedNotices,
    /// Position in the notices after this response.
    pub notice_cursor: NoticeCursor,
    /// Shares of client accounts, if the polled node has computed them.
    pub shares: Option<FeedShares>,
    /// Outstanding promised returns to the failure domain.
    pub promises: Vec<FeedPromise>,
    /// Returns that a slot has capacity for, by service.
    pub promise_rates: Vec<FeedPromiseRate>,
    /// Some nodes that take calls of others, if requested.
    pub forwarders: Vec<Forwarder>,
}

/// Engine entries in a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedEngines {
    /// All entries, encoded by [`pack`](crate::pack).
    Full(Bytes),
    /// Changes since the serial given in the poll.
    Changes {
        /// New and changed entries.
        items: Vec<Item>,
        /// Keys of deleted entries.
        removed: Vec<Arc<str>>,
    },
}

impl Default for FeedEngines {
    fn default() -> Self {
        Self::Changes { items: Vec::new(), removed: Vec::new() }
    }
}

/// State reported by an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedReport {
    /// The engine.
    pub engine: Name,
    /// Factor by which it is slower than expected for its accelerator.
    pub slowdown: f64,
    /// Tokens held by requests.
    pub held_tokens: f64,
    /// Requests that wait for their start.
    pub queued: u32,
    /// Age of the report.
    pub age_ms: Millis,
}

/// The planner of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedPlanner {
    /// The failure domain.
    pub domain: Name,
    /// The planner.
    pub node: Name,
    /// Address at which it can be polled.
    pub address: SocketAddr,
    /// Revision of its entry in the store.
    pub revision: Revision,
}
