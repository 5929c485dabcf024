//! Routes of pass-through calls.
//!
//! A pass-through call is a request whose body the router does not interpret: it is matched by host
//! and path, forwarded to one engine or through a path of engines, and answered with the engine's
//! response bytes.

use std::sync::Arc;

use crate::{Millis, Name};

/// Whether a call may be retried after a failed dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    AtMostOnce,
    /// A stream of numbered events; if resumable, another engine may continue after the last one.
    Stream {
        /// Whether another engine may continue the stream.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether a call that may already have run can be sent again.
    pub fn retryable(self) -> bool {
        match self {
            CallKind::Idempotent => true,
            CallKind::AtMostOnce => false,
            CallKind::Stream { resumable } => resumable,
        }
    }

    /// Whether the response is an event stream.
    pub fn streams(self) -> bool {
        matches!(self, CallKind::Stream { .. })
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: Name,
    /// Weight relative to the route's other targets.
    pub weight: u32,
}

/// A route of pass-through calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRoute {
    /// Name of the route.
    pub name: Name,
    /// Host that requests are matched by.
    pub host: Arc<str>,
    /// Path prefix that requests are matched by.
    pub prefix: Arc<str>,
    /// Weighted services that requests are split over; never empty.
    pub targets: Vec<Target>,
    /// Whether calls may be retried.
    pub kind: CallKind,
    /// Longest time a request may take.
    pub timeout_ms: Millis,
    /// Target latency of a response, or of a stream's first event.
    pub latency_target_ms: Millis,
    /// Longest acceptable pause between events of a stream.
    pub max_pause_ms: Option<Millis>,
    /// Most engines that one request may be sent to.
    pub attempts: u32,
    /// Priority rank; 0 comes first.
    pub rank: u8,
    /// Whether requests are accepted without a key.
    pub public: bool,
}

impl CallRoute {
    /// Picks a service by weight from a random `draw` in `0.0..1.0`.
    pub fn target(&self, draw: f64) -> &Name {
        let total: u32 = self.targets.iter().map(|t| t.weight).sum();
        let mut left = draw * f64::from(total);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return &target.service;
            }
        }
        &self.targets[self.targets.len() - 1].service
    }
}
