//! Which node sent each request to an engine, by what running nodes have logged.

use std::collections::HashMap;

use heathpitch_standin::{LogLine, ReceivedRequest};

/// Sends of calls to engines and to other nodes.
#[derive(Clone, Debug, Default)]
pub struct Senders {
    /// Nodes that sent a call to an engine, by call and engine, in order of time.
    routed: HashMap<(String, String), Vec<(u64, usize)>>,
    /// Nodes that calls were forwarded to last, by call.
    forwarded: HashMap<String, usize>,
}

/// # Records
impl Senders {
    /// Records a line that a node logged of a call; those of its sends come first.
    pub fn record(&mut self, node: usize, line: &LogLine) {
        let text = |key: &str| line[key].as_str().map(str::to_owned);
        let Some(call) = text("request") else { return };
        let at = line["at"].as_u64().unwrap_or_default();
        match (text("event").as_deref(), text("engine"), text("node")) {
            (Some("call_routed"), Some(engine), _) => {
                let sends = self.routed.entry((call, engine)).or_default();
                sends.push((at, node));
                sends.sort_unstable();
            }
            (Some("call_attempt_failed"), Some(engine), _) if is_unsent(line) => {
                let Some(sends) = self.routed.get_mut(&(call, engine)) else { return };
                if let Some(i) = sends.iter().rposition(|send| send.0 <= at && send.1 == node) {
                    sends.remove(i);
                }
            }
            (Some("call_forwarded"), _, Some(to)) => {
                let number = to.trim_start_matches('n').split('-').next();
                if let Some(number) = number.and_then(|n| n.parse().ok()) {
                    self.forwarded.insert(call, number);
                }
            }
            _ => {}
        }
    }
}

/// Whether a failed attempt did not reach its engine.
fn is_unsent(line: &LogLine) -> bool {
    line["error"].as_str().is_some_and(|error| error.starts_with("not sent"))
}

/// # Queries
impl Senders {
    /// Node that sent the request to its engine, the `nth` with this id there; `caller` is the one that the call was
    /// sent to, which is taken where no line tells more.
    pub(crate) fn sender(&self, request: &ReceivedRequest, nth: usize, caller: usize) -> usize {
        let (Some(call), Some(engine)) = (request.id(), request.engine()) else { return caller };
        let sends = self.routed.get(&(call.to_owned(), engine.to_owned()));
        let logged = sends.and_then(|sends| sends.get(nth).or(sends.last())).map(|(_, node)| *node);
        logged.or_else(|| self.forwarded.get(call).copied()).unwrap_or(caller)
    }
}
