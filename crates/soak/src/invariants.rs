//! Invariants, checked against the recorded history of calls and of requests that reached engines.

use std::collections::HashMap;
use std::ops::Range;
use std::time::{Duration, Instant};

use heathpitch_standin::{ReceivedRequest, Reply};

use crate::cluster::{FATAL_BODY, STREAM_EVENTS};
use crate::config_history::{CONFIG_REFUSALS, ConfigVersion, outdated_handling};
use crate::load::{CallKind, CallRecord, FATAL_PART, FATAL_PART_BODY};
use crate::retry_limit::RetryLimit;
use crate::senders::Senders;

/// Time beyond the route timeout after which an answer is late.
const DEADLINE_SLACK: Duration = Duration::from_millis(1_000);
/// Time for which a draining engine may still receive requests: the time that nodes take to learn of it,
/// with some slack for a busy machine.
const DRAIN_GRACE: Duration = Duration::from_millis(2_200);
/// Time after a disruption, a crash of engines or a new limit until all nodes have to act on what
/// they were told.
const PROPAGATION_GRACE: Duration = Duration::from_millis(3_000);
/// Time after a disruption from which a node counts as in touch.
const CONTACT_BOUND: Duration = Duration::from_millis(3_000);
/// Time after a Retry-After in which requests already in flight may arrive.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(500);
/// Further requests that may arrive until the pause is over.
const MAX_IN_PAUSE: usize = 2;
/// Window in which requests to an engine with a rate limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Requests allowed in a window: a multiple of the limit, plus a fixed number.
const LIMIT_TOLERANCE: (f64, f64) = (1.5, 5.0);
/// Further times that a fatal request may reach engines after it has crashed three, or a fatal part five.
const MAX_FATAL_REPEATS: usize = 3;
/// Account of all calls.
const ACCOUNT: &str = "desk";

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub invariant: &'static str,
    /// Id of the call; `None` if the whole run is concerned.
    pub id: Option<String>,
    /// What was observed.
    pub detail: String,
}

/// A revoked API key.
#[derive(Clone, Debug)]
pub struct RevokedKey {
    /// The key.
    pub key: String,
    /// When the store accepted its removal.
    pub at: Instant,
}

/// An engine whose store entry was marked as draining.
#[derive(Clone, Debug)]
pub struct DrainedEngine {
    /// Engine id.
    pub engine: String,
    /// When the store had the entry.
    pub at: Instant,
}

/// A time in which a node, or its link to the store, was disrupted.
#[derive(Clone, Copy, Debug)]
pub struct NodeDisruption {
    /// The node; `None` for all nodes.
    pub node: Option<usize>,
    /// When it began.
    pub from: Instant,
    /// When it was over.
    pub until: Instant,
}

/// A time in which requests to an engine may have been delayed, or in which it restarted.
#[derive(Clone, Debug)]
pub struct EngineDisruption {
    /// Engine id.
    pub engine: String,
    /// When it began.
    pub from: Instant,
    /// When it was over.
    pub until: Instant,
}

/// Calls, requests received by engines, and disruptions of a run.
#[derive(Debug, Default)]
pub struct History {
    /// Calls as seen by their callers.
    pub calls: Vec<CallRecord>,
    /// Nodes that sent calls to engines.
    pub senders: Senders,
    /// Requests that reached engines.
    pub received: Vec<ReceivedRequest>,
    /// Revoked API keys.
    pub revoked_keys: Vec<RevokedKey>,
    /// Time after which a revoked key must not work.
    pub revocation_bound: Duration,
    /// Versions of the configuration, in order of time.
    pub versions: Vec<ConfigVersion>,
    /// Paused nodes and when each resumed.
    pub pauses: Vec<(usize, Instant)>,
    /// Engines that were drained.
    pub drained: Vec<DrainedEngine>,
    /// Disruptions of nodes.
    pub node_disruptions: Vec<NodeDisruption>,
    /// Times in which all nodes and the store stood still.
    pub standstills: Vec<Range<Instant>>,
    /// Limit on retries, if one is checked.
    pub retry_limit: Option<RetryLimit>,
    /// Disruptions of engines.
    pub engine_disruptions: Vec<EngineDisruption>,
}

/// # Checks
impl History {
    /// All violations in this history.
    pub fn check(&self) -> Vec<Violation> {
        let mut runs: HashMap<&str, Vec<&ReceivedRequest>> = HashMap::new();
        for request in self.received.iter().filter(|s| s.ran) {
            runs.entry(request.id().unwrap_or_default()).or_default().push(request);
        }
        let of_calls = self.calls.iter().flat_map(|call| {
            let runs = runs.get(call.id.as_str()).map_or(0, Vec::len);
            let violated = [
                duplicate_run(call, runs),
                false_not_run(call, runs),
                corrupt_answer(call),
                self.late_answer(call),
                self.revoked_key_used(call, runs),
                self.outdated_config(call, runs),
            ];
            let detail =
                format!("{:?}, {runs} runs, {} ms", call.status(), call.elapsed.as_millis());
            let violation = move |invariant| Violation {
                invariant,
                id: Some(call.id.clone()),
                detail: detail.clone(),
            };
            violated.into_iter().flatten().map(violation).collect::<Vec<_>>()
        });
        of_calls
            .chain(self.altered_requests())
            .chain(self.sent_after_drain())
            .chain(self.fatal_repeats())
            .chain(self.fatal_part_repeats())
            .chain(self.ignored_backpressure())
            .chain(self.limit_exceeded())
            .chain(self.retry_limit_exceeded())
            .collect()
    }

    /// Repeats of the fatal request beyond the allowed number after it had crashed three engines, from nodes
    /// that were not disrupted; and normal requests that were held back.
    fn fatal_repeats(&self) -> Vec<Violation> {
        let fatal = |s: &&ReceivedRequest| &s.body[..] == FATAL_BODY.as_bytes();
        let mut received: Vec<&ReceivedRequest> = self.received.iter().filter(fatal).collect();
        received.sort_by_key(|s| s.at);
        let third = received.iter().filter(|s| s.ran).nth(2).map(|s| s.at);
        let node =
            |s: &ReceivedRequest| self.calls.iter().find(|c| s.id() == Some(&c.id)).map(|c| c.node);
        let later =
            received.into_iter().filter(|s| third.is_some_and(|at| s.at > at + PROPAGATION_GRACE));
        let repeats = later
            .filter(|s| !self.was_disrupted(node(s), s.at))
            .skip(MAX_FATAL_REPEATS)
            .map(|s| Violation {
                invariant: "a request that crashed three engines reaches at most three more",
                id: s.id().map(str::to_owned),
                detail: format!("at {:?}", s.engine()),
            });
        let is_fatal = |body: &str| body == FATAL_BODY || body.starts_with(FATAL_PART_BODY);
        let held =
            |t: &&CallRecord| !is_fatal(&t.body) && t.reply.as_ref().is_some_and(is_held_back);
        let wrongly_held = self.calls.iter().filter(held).map(|t| Violation {
            invariant: "normal requests are not held back",
            id: Some(t.id.clone()),
            detail: t.body.clone(),
        });
        repeats.chain(wrongly_held).collect()
    }

    /// Requests with the fatal part beyond the allowed number after it had crashed five engines, from nodes that were
    /// not disrupted.
    fn fatal_part_repeats(&self) -> Vec<Violation> {
        let has_part = |s: &ReceivedRequest| {
            s.header("x-prefix-hash").is_some_and(|parts| parts.contains(FATAL_PART))
        };
        let sent = self.sent();
        let fatal = || sent.iter().filter(|(s, _)| has_part(s));
        let Some(fifth) = fatal().filter(|(s, _)| s.ran).nth(4).map(|(s, _)| s.at) else {
            return Vec::new();
        };
        let later = fatal().filter(|(s, _)| s.at > fifth + PROPAGATION_GRACE);
        let counted = later.filter(|(s, node)| !self.was_disrupted(*node, s.at));
        let violation = |(s, node): &(&ReceivedRequest, Option<usize>)| Violation {
            invariant: "a part of prompts that crashed five engines reaches at most three more",
            id: s.id().map(str::to_owned),
            detail: format!("at {:?} by node {node:?}", s.engine()),
        };
        counted.skip(MAX_FATAL_REPEATS).map(violation).collect()
    }

    /// Requests in order of their receipt, with the node that sent each.
    fn sent(&self) -> Vec<(&ReceivedRequest, Option<usize>)> {
        let callers: HashMap<&str, usize> =
            self.calls.iter().map(|call| (call.id.as_str(), call.node)).collect();
        let mut received: Vec<&ReceivedRequest> = self.received.iter().collect();
        received.sort_by_key(|s| s.at);
        let mut earlier: HashMap<_, usize> = HashMap::new();
        let sender = |s: &ReceivedRequest, nth| {
            let caller = callers.get(s.id()?)?;
            Some(self.senders.sender(s, nth, *caller))
        };
        let numbered = received.into_iter().map(|s| {
            let count = earlier.entry((s.id(), s.engine())).or_default();
            *count += 1;
            (s, *count - 1)
        });
        numbered.map(|(s, nth)| (s, sender(s, nth))).collect()
    }

    /// Requests that reached a draining engine after the grace period, from nodes that were not disrupted
    /// themselves. A disruption of the node that informs them is no excuse.
    fn sent_after_drain(&self) -> Vec<Violation> {
        let late = |(s, node): &(&ReceivedRequest, Option<usize>)| {
            let drained = self.drained.iter().find(|l| s.engine() == Some(&l.engine));
            drained.is_some_and(|l| s.at > l.at + DRAIN_GRACE) && !self.was_disrupted(*node, s.at)
        };
        let violation = |s: &ReceivedRequest| Violation {
            invariant: "a drained engine receives no requests",
            id: s.id().map(str::to_owned),
            detail: format!("at {:?}", s.engine()),
        };
        self.sent().into_iter().filter(late).map(|(s, _)| violation(s)).collect()
    }

    /// Requests that ignored what an engine had asked of the same node: more than two during a pause, or any
    /// after the grace period of a drain notice. A disruption of the node or the engine in between excuses them.
    fn ignored_backpressure(&self) -> Vec<Violation> {
        let mut by_pair: HashMap<(&str, usize), Vec<&ReceivedRequest>> = HashMap::new();
        for (request, node) in self.sent() {
            if let (Some(engine), Some(node)) = (request.engine(), node) {
                by_pair.entry((engine, node)).or_default().push(request);
            }
        }
        let mut found = Vec::new();
        for ((engine, node), received) in by_pair {
            for asking in &received {
                let later = |from: Duration| {
                    let excused =
                        |s: &&&ReceivedRequest| self.is_excused(engine, node, asking.at, s.at);
                    received
                        .iter()
                        .filter(move |s| s.at > asking.at + from)
                        .filter(move |s| !excused(s))
                };
                let pause = asking.retry_after.unwrap_or_default();
                let within =
                    later(IN_FLIGHT_GRACE).filter(|s| s.at < asking.at + pause).nth(MAX_IN_PAUSE);
                let after = later(DRAIN_GRACE).next().filter(|_| asking.draining);
                let violation = |invariant, s: &ReceivedRequest| Violation {
                    invariant,
                    id: s.id().map(str::to_owned),
                    detail: format!(
                        "at {engine} by node {node}, {} ms after its answer to {:?}",
                        (s.at - asking.at).as_millis(),
                        asking.id()
                    ),
                };
                found.extend(within.map(|s| violation("an engine's Retry-After is respected", s)));
                found.extend(after.map(|s| {
                    violation("an engine that announced draining receives no requests", s)
                }));
            }
        }
        found
    }

    /// Engines that received more requests than their rate limit allows, from all nodes together, whether or
    /// not these had learned of it. Requests of disrupted nodes or to disrupted engines are not counted; a
    /// disruption of the store, or of the node that issues rights, is no excuse.
    fn limit_exceeded(&self) -> Vec<Violation> {
        let mut by_engine: HashMap<&str, Vec<(&ReceivedRequest, Option<usize>)>> = HashMap::new();
        for (request, node) in self.sent() {
            let engine = request.engine().unwrap_or_default();
            by_engine.entry(engine).or_default().push((request, node));
        }
        let mut found = Vec::new();
        for (engine, received) in by_engine {
            let all_limited = received.split(|(s, _)| s.limit.is_none());
            for limited in all_limited.filter(|limited| !limited.is_empty()) {
                let since = limited[0].0.at + PROPAGATION_GRACE;
                let counts = |(s, node): &&(&ReceivedRequest, Option<usize>)| {
                    let from = s.at.checked_sub(PROPAGATION_GRACE).unwrap_or(s.at);
                    s.at >= since && !node.is_some_and(|n| self.is_excused(engine, n, from, s.at))
                };
                let counted: Vec<&ReceivedRequest> =
                    limited.iter().filter(counts).map(|(s, _)| *s).collect();
                let excess = |(i, first): (usize, &&ReceivedRequest)| {
                    let window = counted[i..].iter().take_while(|s| s.at < first.at + LIMIT_WINDOW);
                    let limit = window.clone().filter_map(|s| s.limit).fold(0.0, f64::max);
                    let allowed =
                        LIMIT_TOLERANCE.0 * limit * LIMIT_WINDOW.as_secs_f64() + LIMIT_TOLERANCE.1;
                    let count = window.count();
                    (count as f64 > allowed)
                        .then(|| format!("{count} requests at {engine}, {allowed:.0} allowed"))
                };
                found.extend(counted.iter().enumerate().find_map(excess).map(|detail| Violation {
                    invariant: "all nodes together respect the rate limit of an engine",
                    id: None,
                    detail,
                }));
            }
        }
        found
    }

    /// Whether the node or the engine was disrupted, or the node was paused, between two moments.
    fn is_excused(&self, engine: &str, node: usize, from: Instant, until: Instant) -> bool {
        let matches = |t: &&NodeDisruption| t.node == Some(node);
        let node_disrupted = self
            .node_disruptions
            .iter()
            .filter(matches)
            .any(|t| t.from <= until && t.until >= from);
        let matches = |h: &&EngineDisruption| h.engine == engine;
        let engine_disrupted = self
            .engine_disruptions
            .iter()
            .filter(matches)
            .any(|h| h.from <= until && h.until >= from);
        let paused = self.pauses.iter().any(|(n, at)| *n == node && *at >= from);
        node_disrupted || engine_disrupted || paused
    }

    /// Whether a node was disrupted at a moment or shortly before.
    fn was_disrupted(&self, node: Option<usize>, at: Instant) -> bool {
        let matches = |t: &&NodeDisruption| t.node.is_none() || t.node == node;
        self.node_disruptions
            .iter()
            .filter(matches)
            .any(|t| t.from <= at && at <= t.until + PROPAGATION_GRACE)
    }

    /// Requests at engines that differ from what the caller sent.
    fn altered_requests(&self) -> Vec<Violation> {
        let bodies: HashMap<&str, &str> =
            self.calls.iter().map(|t| (t.id.as_str(), t.body.as_str())).collect();
        let altered = |s: &&ReceivedRequest| {
            let sent = s.id().and_then(|id| bodies.get(id));
            sent.map(|b| b.as_bytes()) != Some(&s.body[..]) || s.account() != Some(ACCOUNT)
        };
        let violation = |s: &ReceivedRequest| Violation {
            invariant: "engines receive requests unchanged",
            id: s.id().map(str::to_owned),
            detail: format!("{} {} for {:?}", s.method, s.target, s.account()),
        };
        self.received.iter().filter(altered).map(violation).collect()
    }

    /// An answer arrived long after the route timeout.
    fn late_answer(&self, call: &CallRecord) -> Option<&'static str> {
        let timeout = call.kind.timeout();
        // A paused node cannot answer.
        let paused =
            self.pauses.iter().any(|(node, end)| *node == call.node && *end >= call.sent_at);
        let late = call.elapsed > timeout + DEADLINE_SLACK && call.reply.is_some() && !paused;
        late.then_some("answers arrive within the route timeout")
    }

    /// A key worked beyond the revocation bound.
    fn revoked_key_used(&self, call: &CallRecord, runs: usize) -> Option<&'static str> {
        let revoked = self.revoked_keys.iter().find(|r| r.key == call.key)?;
        let expired = call.sent_at > revoked.at + self.revocation_bound && runs > 0;
        expired.then_some("revoked keys stop working")
    }
}

/// # Configuration
impl History {
    /// A call that a node in touch took was not handled by a configuration that may be in force.
    fn outdated_config(&self, call: &CallRecord, runs: usize) -> Option<&'static str> {
        let end = call.sent_at + call.elapsed;
        let disrupted = |d: &NodeDisruption| {
            d.node.is_none_or(|node| node == call.node)
                && d.from <= end
                && d.until + CONTACT_BOUND >= call.sent_at
        };
        let in_touch = !self.node_disruptions.iter().any(disrupted);
        let stood_still =
            |s: &Range<Instant>| s.start <= end && s.end + CONTACT_BOUND >= call.sent_at;
        // A node that cannot prove its configuration yet refuses calls, but serves none by an older one.
        let is_refusal = call.is_refused_as(&CONFIG_REFUSALS);
        let excused = is_refusal && self.standstills.iter().any(stood_still);
        outdated_handling(&self.versions, call, runs).filter(|_| in_touch && !excused)
    }
}

/// Whether a call was refused because its request had crashed engines.
fn is_held_back(reply: &Reply) -> bool {
    reply.status == 503 && String::from_utf8_lossy(&reply.body).contains("\"held_back\"")
}

/// A call that may run at most once ran more than once.
fn duplicate_run(call: &CallRecord, runs: usize) -> Option<&'static str> {
    (call.kind == CallKind::AtMostOnce && runs > 1)
        .then_some("non-idempotent calls run at most once")
}

/// A call that may run at most once was reported as not run, but ran.
fn false_not_run(call: &CallRecord, runs: usize) -> Option<&'static str> {
    let denied = matches!(call.status(), Some(408 | 421 | 429 | 503));
    (call.kind == CallKind::AtMostOnce && denied && runs > 0)
        .then_some("calls reported as not run did not run")
}

/// A successful answer is incomplete, belongs to another call or has no digest, or a stream lacks or
/// repeats an event.
fn corrupt_answer(call: &CallRecord) -> Option<&'static str> {
    let reply = call.reply.as_ref().filter(|r| r.status == 200)?;
    let events = reply.events();
    let unmodified = match call.kind {
        CallKind::Idempotent | CallKind::AtMostOnce | CallKind::Added => {
            !reply.complete || reply.body == call.body.as_bytes()
        }
        CallKind::Stream => events.iter().copied().eq(1..=events.len() as u64),
    };
    let complete =
        call.kind != CallKind::Stream || !reply.complete || events.len() as u64 == STREAM_EVENTS;
    let valid = unmodified && complete && reply.digest().is_some();
    (!valid).then_some("answers are complete and unmodified")
}
