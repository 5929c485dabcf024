//! Versions of the configuration, and which of them may be in force for a call.

use std::time::{Duration, Instant};

use crate::load::{CallKind, CallRecord};

/// Agreed time from the acceptance of a configuration until nodes in touch serve by it.
const APPLY_BOUND: Duration = Duration::from_millis(2_000);

/// Refusals by a node that has no configuration, cannot use a part of it, or has no young enough proof of it.
pub(crate) const CONFIG_REFUSALS: [(&str, &str); 2] = [("unconfigured", ""), ("stale_keys", "")];

/// A version of the configuration.
#[derive(Clone, Debug)]
pub struct ConfigVersion {
    /// When it was sent to the store.
    pub sent: Instant,
    /// When the store had accepted it.
    pub accepted: Instant,
    /// Whether it has the route that is added and removed.
    pub has_added: bool,
    /// API keys.
    pub keys: Vec<String>,
}

impl ConfigVersion {
    /// Whether it allows a call.
    fn allows(&self, call: &CallRecord) -> bool {
        self.keys.contains(&call.key) && (self.has_added || call.kind != CallKind::Added)
    }
}

/// Why a call, of which `runs` runs were seen, was not handled by a version that may be in force; `versions` are in
/// order of time. The call counts as taken by a node in touch.
pub(crate) fn outdated_handling(
    versions: &[ConfigVersion],
    call: &CallRecord,
    runs: usize,
) -> Option<&'static str> {
    let in_force = versions.iter().rposition(|v| v.accepted + APPLY_BOUND < call.sent_at)?;
    let end = call.sent_at + call.elapsed;
    let possible = || versions[in_force..].iter().filter(|v| v.sent <= end);
    match call.status() {
        Some(401 | 403 | 404) if possible().all(|v| v.allows(call)) => {
            Some("calls that the configuration allows are not denied")
        }
        Some(503) if call.is_refused_as(&CONFIG_REFUSALS) && possible().all(|v| v.allows(call)) => {
            Some("calls that the configuration allows are served beside its invalid parts")
        }
        _ if runs > 0 && !possible().any(|v| v.allows(call)) => {
            Some("calls run only as a configuration in force allows")
        }
        _ => None,
    }
}
