//! What is expected of the tokens held at one engine, and what that rests on.

/// Tokens held at an engine.
///
/// Without a trend of its reports everything but `expected` is zero.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HeldForecast {
    /// Expected tokens of all nodes' requests.
    pub expected: f64,
    /// Tokens by the last reports.
    pub reported: f64,
    /// Tokens of this node's requests in the last report.
    pub reported_own: f64,
    /// Tokens of this node's requests now.
    pub own: f64,
}
