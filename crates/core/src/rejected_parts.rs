//! Parts of a configuration that cannot be used while the rest is in force.

use std::sync::Arc;

/// Parts of a configuration that cannot be used.
///
/// What they would have allowed is unknown, so that calls that they may concern are refused rather than denied.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RejectedParts {
    /// What is wrong, with the path of each part.
    pub errors: Vec<String>,
    /// Routes.
    pub routes: Vec<RejectedRoute>,
    /// Whether a client account, and so some API keys, are missing.
    pub accounts: bool,
    /// Whether the limits on callers are missing, so that those in force before hold.
    pub limits: bool,
}

impl RejectedParts {
    /// Length of the longest prefix of a rejected route that may match a path of a host.
    pub(crate) fn longest_prefix(&self, host: &str, path: &str) -> Option<usize> {
        self.routes.iter().filter_map(|route| route.matched(host, path)).max()
    }
}

/// What is known of a route that cannot be used.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RejectedRoute {
    /// Its host in lower case, if that can be read.
    pub host: Option<Arc<str>>,
    /// Its path prefix, if that can be read.
    pub prefix: Option<Arc<str>>,
}

impl RejectedRoute {
    /// Length of its prefix if it may match a path of a host; 0 if the prefix is unknown, so that all other routes
    /// that match are preferred.
    fn matched(&self, host: &str, path: &str) -> Option<usize> {
        let is_host = self.host.as_ref().is_none_or(|h| **h == *host);
        let prefix = self.prefix.as_deref().unwrap_or_default();
        (is_host && path.starts_with(prefix)).then_some(prefix.len())
    }
}
