//! Routes of pass-through calls.
//!
//! A pass-through call is a request whose body the router does not read: it is matched by host
//! and path, carried to one engine or through a path of engines, and answered with that engine's
//! bytes.

use std::sync::Arc;

use crate::{Millis, Name};

/// What may be done again when a dispatch fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    AtMostOnce,
    /// A series of numbered events; may be taken up elsewhere after the last one, if resumable.
    Stream {
        /// Whether another engine may continue it.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether a call that may have run can be sent again.
    pub fn retryable(self) -> bool {
        match self {
            CallKind::Idempotent => true,
            CallKind::AtMostOnce => false,
            CallKind::Stream { resumable } => resumable,
        }
    }

    /// Whether answers are streams of events.
    pub fn streams(self) -> bool {
        matches!(self, CallKind::Stream { .. })
    }
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Service.
    pub service: Name,
    /// Its share, in relation to those of the other targets.
    pub weight: u32,
}

/// A route of pass-through calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRoute {
    /// Name of the route.
    pub name: Name,
    /// Host it serves.
    pub host: Arc<str>,
    /// Prefix of the paths it serves.
    pub prefix: Arc<str>,
    /// Services behind it; never empty.
    pub targets: Vec<Target>,
    /// What may be repeated.
    pub kind: CallKind,
    /// Longest time a request may be held.
    pub timeout_ms: Millis,
    /// Time within which an answer, or a stream's first event, is worth most.
    pub latency_target_ms: Millis,
    /// Longest pause between events that a caller takes well.
    pub pause_ms: Option<Millis>,
    /// Engines that one request may be sent to.
    pub attempts: u32,
    /// Rank, 0 first.
    pub rank: u8,
    /// Whether requests need no key.
    pub public: bool,
}

impl CallRoute {
    /// The target for a draw of `0.0..1.0`.
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
