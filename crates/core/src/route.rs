//! Routes and their settings.

use serde::{Deserialize, Serialize};

use crate::{Match, Millis, Name, Selector, Strategy};

/// Kind of upstreams behind a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    /// Model engines, reached by `/v1/completions` and `/v1/chat/completions`.
    #[default]
    Model,
    /// A plain service, reached by `/services/{route}/…`.
    Service,
}

/// A route: which requests it serves, from which pools and with which settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Kind of upstreams.
    #[serde(default)]
    pub kind: RouteKind,
    /// Requests that the route serves; the first matching route takes a request.
    #[serde(default)]
    pub select: Selector,
    /// Pools that may serve the requests.
    #[serde(default)]
    pub pools: Match,
    /// Request handling.
    #[serde(default)]
    pub settings: RouteSettings,
}

/// Request handling of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouteSettings {
    /// Longest time a request may take, milliseconds, 1 to 3 600 000.
    pub deadline_ms: Millis,
    /// Most attempts per request, 1 to 10.
    pub attempts: u32,
    /// Longest wait for the first token before another attempt replaces this one, milliseconds.
    pub first_ms: Millis,
    /// Shortest gap between tokens that counts as a stall, milliseconds.
    pub stall_ms: Millis,
    /// Most requests of this route that wait or run on one node.
    pub max_open: u32,
    /// Choice among engines that hold the same layers.
    pub strategy: Strategy,
}

impl Default for RouteSettings {
    fn default() -> Self {
        Self {
            deadline_ms: 60_000,
            attempts: 4,
            first_ms: 5_000,
            stall_ms: 400,
            max_open: 2_000,
            strategy: Strategy::Affinity,
        }
    }
}
