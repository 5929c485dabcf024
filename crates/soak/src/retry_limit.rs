//! Retries of all nodes together, as engines count them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::invariants::{History, Violation};
use crate::load::CallKind;

/// Agreed limit on retries.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimit {
    /// Retries allowed per call.
    pub ratio: f64,
    /// Retries allowed beyond that.
    pub slack: f64,
    /// Window in which they are counted.
    pub window: Duration,
}

/// # Retries
impl History {
    /// The fullest window of each service, if it contains more arrivals beyond the first of each call than allowed.
    pub(crate) fn retry_limit_exceeded(&self) -> Vec<Violation> {
        let Some(limit) = self.retry_limit else { return Vec::new() };
        [true, false].into_iter().filter_map(|streams| self.worst_window(limit, streams)).collect()
    }

    fn worst_window(&self, limit: RetryLimit, streams: bool) -> Option<Violation> {
        let calls = self.calls.iter().filter(|c| (c.kind == CallKind::Stream) == streams);
        let sent: HashMap<&str, Instant> =
            calls.map(|call| (call.id.as_str(), call.sent_at)).collect();
        let mut arrivals: HashMap<&str, Vec<Instant>> = HashMap::new();
        for request in &self.received {
            if let Some(id) = request.id().filter(|id| sent.contains_key(id)) {
                arrivals.entry(id).or_default().push(request.at);
            }
        }
        arrivals.values_mut().for_each(|times| times.sort_unstable());
        let repeats: Vec<Instant> = arrivals.values().flat_map(|t| t[1..].to_vec()).collect();
        let sent: Vec<Instant> = sent.into_values().collect();
        let within = |times: &[Instant], from: Instant| {
            times.iter().filter(|at| (from..from + limit.window).contains(at)).count()
        };
        let excess = |from: Instant| {
            // The calls of the window, or of the one before or half before if these were more.
            let earlier = [Duration::ZERO, limit.window / 2, limit.window];
            let froms = earlier.map(|earlier| from.checked_sub(earlier).unwrap_or(from));
            let calls = froms.map(|from| within(&sent, from)).into_iter().max().unwrap_or(0);
            let allowed = limit.slack + limit.ratio * calls as f64;
            let made = within(&repeats, from);
            (made as f64 > allowed).then(|| (made, format!("{made} retries of {calls} calls")))
        };
        let worst = repeats.iter().filter_map(|from| excess(*from)).max()?;
        Some(Violation {
            invariant: "retries of all nodes stay within the limit",
            id: None,
            detail: worst.1,
        })
    }
}
