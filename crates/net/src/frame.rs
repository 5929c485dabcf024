//! What a router and an engine say to each other about one request.

use heathpitch_core::{Attempt, Epoch, LayerRange, Name, Priority};
use serde::{Deserialize, Serialize};

/// One stage of the path a request takes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hop {
    /// Engine.
    pub engine: Name,
    /// Its `ip:port`.
    pub address: Name,
    /// Layers it is to run.
    pub layers: LayerRange,
    /// Placement epoch the router saw; another epoch refuses.
    pub epoch: Epoch,
}

/// A request as it is sent to the head of a path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GenerateCall {
    /// Id of the request, minted by the router.
    pub request: String,
    /// Attempt within the request.
    pub attempt: Attempt,
    /// Model.
    pub model: Name,
    /// Version of the weights.
    pub version: Name,
    /// Client account; salts the prefix cache.
    pub account: Name,
    /// Priority in the batch.
    pub priority: Priority,
    /// Prompt text.
    pub prompt: String,
    /// Tokens of the answer that were sent already.
    pub resumed: Vec<u32>,
    /// Tokens wanted in the whole answer, those resumed included.
    pub wanted: u32,
    /// Options of the caller that the router passes on as they are, such as `temperature`.
    #[serde(default)]
    pub options: serde_json::Value,
    /// Stages in layer order, the head first.
    pub hops: Vec<Hop>,
}

/// One line of an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Frame {
    /// A token.
    Token {
        /// Id of the request.
        request: String,
        /// Attempt it belongs to.
        attempt: Attempt,
        /// Position in the whole answer, from 0.
        position: u32,
        /// Id of the token.
        token: u32,
        /// Text of the token.
        text: String,
        /// Layers it ran.
        layers: u32,
    },
    /// The answer is whole.
    End {
        /// Id of the request.
        request: String,
        /// Attempt it belongs to.
        attempt: Attempt,
        /// Tokens in the whole answer.
        count: u32,
        /// Whether the model ended it, rather than the wanted length.
        stopped: bool,
    },
    /// A stage failed.
    Fault {
        /// Id of the request.
        request: String,
        /// Attempt it belongs to.
        attempt: Attempt,
        /// Engine at fault.
        engine: Name,
        /// What happened, for the log.
        message: String,
    },
}
