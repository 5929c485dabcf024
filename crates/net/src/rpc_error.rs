//! Failures of calls to engines, the platform and peers.

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RpcError {
    /// No connection was made: nothing left this process.
    #[error("no connection: {0}")]
    Connect(String),
    /// The connection was lost, or the time was over, after something may have left.
    #[error("lost: {0}")]
    Lost(String),
    /// The other side answered with an HTTP error.
    #[error("status {0}")]
    Status(u16),
    /// The answer is not what the protocol says.
    #[error("malformed answer: {0}")]
    Malformed(String),
    /// The answer is larger than its bound, bytes.
    #[error("answer above {0} bytes")]
    TooLarge(usize),
}
