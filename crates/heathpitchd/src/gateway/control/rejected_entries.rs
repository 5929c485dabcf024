//! Entries of engines that cannot be used, as they are reported.
//!
//! Engines write their entries about once a second, so that each error is logged once for an entry.

use std::collections::HashMap;
use std::sync::Arc;

use heathpitch_net::{DocumentError, Item};

use super::state::Control;
use crate::gateway::event::GatewayEvent;

/// Most entries that are reported at a time.
const MAX_ENTRIES: usize = 1_024;

/// What is wrong with entries, by their keys.
pub(super) type RejectedEntries = HashMap<Arc<str>, String>;

/// # Rejected entries
impl Control {
    /// Reports an entry that cannot be used.
    pub(super) fn reject_entry(&self, error: &DocumentError) {
        let mut rejected = self.rejected_entries.borrow_mut();
        let known = rejected.get(&error.key);
        if known == Some(&error.message) || (known.is_none() && rejected.len() >= MAX_ENTRIES) {
            return;
        }
        rejected.insert(error.key.clone(), error.message.clone());
        self.shared.metrics.engines_rejected.set(rejected.len() as i64);
        GatewayEvent::EngineRejected { key: error.key.to_string(), error: error.message.clone() }
            .log();
    }

    /// Records that the entry under a key can be used, or is gone.
    pub(super) fn clear_rejected_entry(&self, key: &str) {
        let mut rejected = self.rejected_entries.borrow_mut();
        if rejected.remove(key).is_some() {
            self.shared.metrics.engines_rejected.set(rejected.len() as i64);
        }
    }

    /// Forgets the entries that a whole list does not hold.
    pub(super) fn retain_rejected_entries(&self, listed: &[Item]) {
        if self.rejected_entries.borrow().is_empty() {
            return;
        }
        let mut rejected = self.rejected_entries.borrow_mut();
        rejected.retain(|key, _| listed.iter().any(|item| item.key == *key));
        self.shared.metrics.engines_rejected.set(rejected.len() as i64);
    }
}
