//! What nodes ask each other instead of the store, and what they tell.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use heathpitch_core::{Millis, Name, Rate, RequestPrint, Revision};

use crate::Item;

/// What a node asks another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedRequest {
    /// Node that asks.
    pub node: Name,
    /// Where it can be asked itself.
    pub address: SocketAddr,
    /// Whether its VM can carry what a planner tells.
    pub able: bool,
    /// Revision of the configuration that it has; 0 for none.
    pub revision: Revision,
    /// The operator's version of it; 0 for none.
    pub version: u64,
    /// Digest of the engines' entries that it has.
    pub digest: u64,
    /// What it knows of the one it asks.
    pub known: FeedCursor,
    /// Whether only reports are wanted, of engines in the failure domain of the node asked.
    pub reports: bool,
    /// What this node learned of engines since it asked the same one last.
    pub news: FeedNotices,
    /// Up to where the news are known that the node asked told.
    pub notice_cursor: NoticeCursor,
}

/// What calls and questions of nodes met at engines, told whether or not a node hears from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedNotices {
    /// Ends of engines under requests.
    pub ends: Vec<FeedExit>,
    /// Engines that say they leave.
    pub leaves: Vec<FeedDrain>,
    /// Limits that engines name.
    pub limits: Vec<FeedLimit>,
}

/// A place in the news that one life of a node tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoticeCursor {
    /// The node's life.
    pub life: u64,
    /// Serial of the last end; 0 for none.
    pub ends: u64,
    /// Serial of the last engine that says it leaves; 0 for none.
    pub leaves: u64,
    /// Serial of the last word on a limit; 0 for none.
    pub limits: u64,
}

/// What an engine says of the requests that it takes from all nodes together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedLimit {
    /// The engine.
    pub engine: Name,
    /// Unix time of its start, milliseconds, if it tells that.
    pub born: Option<Millis>,
    /// Its limit; none if it names none any more.
    pub rate: Option<Rate>,
    /// How long ago it said so.
    pub age_ms: Millis,
}

/// A node asks the one that plans an engine's failure domain for rights to send requests there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RightsRequest {
    /// Node that asks.
    pub node: Name,
    /// The engine, and what that node knows of its limit.
    pub limit: FeedLimit,
    /// Requests that it wants to send.
    pub wanted: u16,
}

/// What it is handed out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RightsResponse {
    /// Whether the node asked hands out rights for this engine.
    pub active: bool,
    /// Rights.
    pub given: u16,
    /// Time after which asking again is worth it, milliseconds.
    pub wait_ms: Millis,
}

/// An engine said in an answer that it leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedDrain {
    /// The engine.
    pub engine: Name,
    /// Unix time of its start, milliseconds, if it tells that.
    pub born: Option<Millis>,
    /// How long ago it said so.
    pub age_ms: Millis,
}

/// The end of an engine while a request that it had just begun ran there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedExit {
    /// The request.
    pub print: RequestPrint,
    /// The engine.
    pub engine: Name,
    /// Unix time of the engine's start, milliseconds, if it tells that.
    pub born: Option<Millis>,
    /// Events that the request had brought there.
    pub events: u32,
    /// How often the request came again long after.
    pub renewed: u32,
    /// Whether it says nothing of the request any more.
    pub void: bool,
    /// For how long it has been known.
    pub age_ms: Millis,
}

/// Up to where one node has followed another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedCursor {
    /// Life of the node followed that the serials belong to.
    pub life: u64,
    /// Serial of the last change of engines; 0 for none.
    pub serial: u64,
    /// Serial of the last report; 0 for none.
    pub reported: u64,
}

/// What a node tells.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FeedResponse {
    /// Whether the rest is young enough to be taken.
    pub live: bool,
    /// Up to where this is known once it is taken.
    pub known: FeedCursor,
    /// Engines' entries.
    pub engines: FeedEngines,
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// The configuration with its value deflated, if the one asking has an older one.
    pub config: Option<Item>,
    /// Whether something large is held back, because the link is full.
    pub busy: bool,
    /// Age of the proof that the configuration is the newest.
    pub proof_ms: Millis,
    /// Age of the proof that the engines' entries are those of the store.
    pub list_ms: Millis,
    /// Nodes of the fleet; 0 if they are not known.
    pub nodes: u32,
    /// Nodes of the failure domain; 0 if they are not known.
    pub beside: u32,
    /// What engines said of themselves.
    pub reports: Vec<FeedReport>,
    /// Planners of all failure domains that are known.
    pub planners: Vec<FeedPlanner>,
    /// Whether the one asked was the planner of its failure domain and has given that up.
    pub vacant: bool,
    /// Nodes that read the store if the planner does not, in their order.
    pub standbys: Vec<(Name, SocketAddr)>,
    /// What this node learned of engines.
    pub news: FeedNotices,
    /// Up to where that is known once it is taken.
    pub notice_cursor: NoticeCursor,
}

/// Engines' entries, as they are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedEngines {
    /// All there are, packed by [`pack`](crate::pack).
    Whole(Bytes),
    /// What changed since the serial asked from.
    Changes {
        /// Entries that are new or changed.
        items: Vec<Item>,
        /// Keys of entries that are gone.
        gone: Vec<Arc<str>>,
    },
}

impl Default for FeedEngines {
    fn default() -> Self {
        Self::Changes { items: Vec::new(), gone: Vec::new() }
    }
}

/// What an engine said of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedReport {
    /// The engine.
    pub engine: Name,
    /// Factor by which it is slower than its card.
    pub pace: f64,
    /// Tokens that requests hold there.
    pub held: f64,
    /// Age of its report.
    pub age_ms: Millis,
}

/// The planner of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedPlanner {
    /// The failure domain.
    pub domain: Name,
    /// The node that plans it.
    pub node: Name,
    /// Where it is asked.
    pub address: SocketAddr,
    /// Revision of its entry in the store.
    pub revision: Revision,
}
