//! Failures of remote calls to engines, the platform and peers.

/// Error of a remote call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RpcError {
    /// No connection was established: nothing was sent.
    #[error("connection failed: {0}")]
    Connect(String),
    /// The connection was lost or the call timed out; the request may have been received.
    #[error("connection lost: {0}")]
    Lost(String),
    /// The remote side answered with an HTTP error status.
    #[error("HTTP status {0}")]
    Status(u16),
    /// The response violates the protocol.
    #[error("malformed response: {0}")]
    Malformed(String),
    /// The response exceeds the size limit, in bytes.
    #[error("response exceeds {0} bytes")]
    TooLarge(usize),
}
