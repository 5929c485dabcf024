//! The newest configuration, if this node cannot use it.
//!
//! The one before stays in force without further proofs, so that its keys end with the bound on their revocation. Nodes
//! tell each other that the rejected one is still the newest, as they do of one that is in force: otherwise each of them
//! would ask the store, and would serve no list of engines to others.

use std::error::Error;

use heathpitch_core::{Catalog, Millis, Revision};
use heathpitch_policy::Freshness;

use super::state::Control;
use crate::gateway::event::GatewayEvent;

/// Stands between nodes for a revision that is unknown and newer than all others.
const UNKNOWN_REVISION: Revision = Revision(u64::MAX);

/// A configuration that cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RejectedConfig {
    /// The one of this revision.
    Decoded(Revision),
    /// One that is too large to be read, so that its revision is unknown.
    TooLarge,
}

impl RejectedConfig {
    /// Its revision, if that is known.
    pub(super) fn revision(self) -> Option<Revision> {
        match self {
            Self::Decoded(revision) => Some(revision),
            Self::TooLarge => None,
        }
    }
}

/// The rejection of the newest configuration.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rejection {
    config: RejectedConfig,
    /// When it was last confirmed as the newest.
    confirmed: Freshness,
}

/// # Rejected configuration
impl Control {
    /// The newest configuration, if it cannot be used.
    pub(super) fn rejected_config(&self) -> Option<RejectedConfig> {
        self.rejection.get().map(|rejection| rejection.config)
    }

    /// Records that the newest configuration cannot be used.
    pub(super) fn reject_config(&self, config: RejectedConfig, error: &dyn Error) {
        if self.rejected_config() == Some(config) {
            return;
        }
        self.rejection.set(Some(Rejection { config, confirmed: Freshness::default() }));
        self.shared.metrics.config_rejected.set(1);
        self.proof_basis_changed.notify_one();
        GatewayEvent::ConfigRejected { revision: config.revision(), error: error.to_string() }
            .log();
    }

    /// Records that a configuration is in force, and was the newest one known to the store.
    pub(super) fn clear_rejected_config(&self, in_force: &Catalog) {
        let rejected = self.rejected_config().and_then(RejectedConfig::revision);
        if rejected.is_some_and(|revision| revision > in_force.revision) {
            return;
        }
        self.rejection.set(None);
        self.proof_basis_changed.notify_one();
        let rejects_parts = !in_force.rejected().errors.is_empty();
        self.shared.metrics.config_rejected.set(rejects_parts.into());
    }

    /// Records that a call sent at `sent` showed the rejected configuration as the newest.
    pub(super) fn confirm_rejected_config(&self, sent: Millis) {
        if let Some(mut rejection) = self.rejection.get() {
            rejection.confirmed.prove(sent);
            self.shared.config_proofs.confirm(sent);
            self.rejection.set(Some(rejection));
            self.proof_basis_changed.notify_one();
        }
    }

    /// Revision of the newest configuration that this node knows of, in force or rejected.
    pub(super) fn newest_revision(&self) -> Revision {
        match self.rejected_config() {
            Some(rejected) => rejected.revision().unwrap_or(UNKNOWN_REVISION),
            None => self.revision(),
        }
    }

    /// The same among those that this node has received, and need not be sent again.
    pub(super) fn received_revision(&self) -> Revision {
        let rejected = self.rejected_config().and_then(RejectedConfig::revision);
        rejected.unwrap_or_else(|| self.revision())
    }

    /// When that configuration was last confirmed as the newest.
    pub(super) fn newest_freshness(&self) -> Freshness {
        match self.rejection.get() {
            Some(rejection) => rejection.confirmed,
            None => **self.shared.config_freshness.load(),
        }
    }
}
