//! Routes and their settings.

use serde::{Deserialize, Serialize};

use crate::{Match, Millis, Name, Selector, Strategy};

/// What a route leads to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    /// Model engines, reached by `/v1/completions` and `/v1/chat/completions`.
    #[default]
    Model,
    /// A plain service, reached by `/services/{route}/…`.
    Service,
}

/// A route: who is served, from where, and how.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// What the route leads to.
    #[serde(default)]
    pub kind: RouteKind,
    /// Requests served; the first route that serves a request takes it.
    #[serde(default)]
    pub select: Selector,
    /// Pools that may serve them.
    #[serde(default)]
    pub pools: Match,
    /// How requests are handled.
    #[serde(default)]
    pub settings: RouteSettings,
}

/// How the requests of a route are handled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouteSettings {
    /// Longest time a request may take, milliseconds, 1 to 3 600 000.
    pub deadline_ms: Millis,
    /// Attempts a request may make, 1 to 10.
    pub attempts: u32,
    /// Longest wait for the first token before an attempt is replaced, milliseconds.
    pub first_ms: Millis,
    /// Shortest silence between tokens that counts as a stall, milliseconds.
    pub stall_ms: Millis,
    /// Requests waiting or running on one node over this route.
    pub max_open: u32,
    /// How engines are picked among those that hold the same layers.
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
