//! Event: the shares of client accounts.

use heathpitch_core::Name;
use serde::Serialize;

/// Shares start or stop limiting accounts of a service.
#[derive(Clone, Debug, Serialize)]
pub struct SharesChanged {
    /// Service.
    pub service: Name,
    /// Accounts that are limited, and the part of their requests that is within their share; at
    /// most sixteen, those with the smallest first.
    pub limited: Vec<(Name, f64)>,
    /// Number of accounts that are limited.
    pub count: usize,
    /// Number of those that were not limited before.
    pub began: usize,
    /// Number of accounts that are no longer limited.
    pub ended: usize,
}
