//! What may not happen, judged by what callers and engines saw.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use heathpitch_standin::{ReceivedRequest, Reply};

use crate::cluster::{FATAL_BODY, STREAM_EVENTS};
use crate::load::{CallKind, CallRecord};

/// Time beyond that of its route after which an answer is late.
const DEADLINE_SLACK: Duration = Duration::from_millis(1_000);
/// Time for which an engine that said that it leaves may be sent requests, as nodes are told, with a
/// little more for a busy machine.
const DRAIN_GRACE: Duration = Duration::from_millis(2_200);
/// Time after trouble in which nothing is asked of a node as to engines that leave.
const PROPAGATION_GRACE: Duration = Duration::from_millis(3_000);
/// Time after an engine has asked for rest in which requests may come that were under way.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(500);
/// Requests that may come all the same until the rest is over.
const MAX_IN_PAUSE: usize = 2;
/// Span in which requests to an engine that names a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Times the limit, and requests beside it, that it may get in a span.
const LIMIT_TOLERANCE: (f64, f64) = (1.5, 5.0);
/// Sends of the fatal request that are allowed after that.
const MAX_FATAL_REPEATS: usize = 3;
/// The account that every call belongs to.
const ACCOUNT: &str = "desk";

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which one.
    pub invariant: &'static str,
    /// Call; the run itself if there is none.
    pub id: Option<String>,
    /// What was seen.
    pub detail: String,
}

/// A key that was taken away.
#[derive(Clone, Debug)]
pub struct RevokedKey {
    /// The key.
    pub key: String,
    /// When its removal was accepted.
    pub at: Instant,
}

/// An engine that said that it leaves.
#[derive(Clone, Debug)]
pub struct DrainedEngine {
    /// Its id.
    pub engine: String,
    /// When the store had its word.
    pub at: Instant,
}

/// A time in which a node, or its path to the store, was disturbed.
#[derive(Clone, Copy, Debug)]
pub struct NodeDisruption {
    /// The node; none for all.
    pub node: Option<usize>,
    /// When it began.
    pub from: Instant,
    /// When it was over.
    pub until: Instant,
}

/// A time in which requests to an engine were held up, or in which it started again under its id.
#[derive(Clone, Debug)]
pub struct EngineDisruption {
    /// Its id.
    pub engine: String,
    /// When it began.
    pub from: Instant,
    /// When it was over.
    pub until: Instant,
}

/// What callers and engines saw in a run.
#[derive(Debug, Default)]
pub struct History {
    /// Calls.
    pub calls: Vec<CallRecord>,
    /// Requests that reached engines.
    pub received: Vec<ReceivedRequest>,
    /// Keys that were taken away.
    pub revoked_keys: Vec<RevokedKey>,
    /// Time after which such a key may not work.
    pub revocation_bound: Duration,
    /// Nodes that stood still, and when they went on.
    pub pauses: Vec<(usize, Instant)>,
    /// Engines that left.
    pub drained: Vec<DrainedEngine>,
    /// When nodes were disturbed.
    pub node_disruptions: Vec<NodeDisruption>,
    /// When requests to engines were held up.
    pub engine_disruptions: Vec<EngineDisruption>,
}

/// # Judgement
impl History {
    /// Every promise that was broken.
    pub fn check(&self) -> Vec<Violation> {
        let mut runs: HashMap<&str, Vec<&ReceivedRequest>> = HashMap::new();
        for seen in self.received.iter().filter(|s| s.ran) {
            runs.entry(seen.id().unwrap_or_default()).or_default().push(seen);
        }
        let of_calls = self.calls.iter().flat_map(|call| {
            let runs = runs.get(call.id.as_str()).map_or(0, Vec::len);
            let violated = [
                duplicate_run(call, runs),
                false_not_run(call, runs),
                corrupt_answer(call),
                self.late_answer(call),
                self.revoked_key_used(call, runs),
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
            .chain(self.ignored_backpressure())
            .chain(self.limit_exceeded())
            .collect()
    }

    /// The fatal request reached engines more often than agreed after it had ended three, from nodes that
    /// nothing disturbed meanwhile; or a proper one was held back with it.
    fn fatal_repeats(&self) -> Vec<Violation> {
        let fatal = |s: &&ReceivedRequest| &s.body[..] == FATAL_BODY.as_bytes();
        let mut seen: Vec<&ReceivedRequest> = self.received.iter().filter(fatal).collect();
        seen.sort_by_key(|s| s.at);
        let third = seen.iter().filter(|s| s.ran).nth(2).map(|s| s.at);
        let node =
            |s: &ReceivedRequest| self.calls.iter().find(|t| s.id() == Some(&t.id)).map(|t| t.node);
        let later =
            seen.into_iter().filter(|s| third.is_some_and(|at| s.at > at + PROPAGATION_GRACE));
        let more = later
            .filter(|s| !self.was_disrupted(node(s), s.at))
            .skip(MAX_FATAL_REPEATS)
            .map(|s| Violation {
                invariant: "a request that ended three engines reaches three more at most",
                id: s.id().map(str::to_owned),
                detail: format!("at {:?}", s.engine()),
            });
        let held =
            |t: &&CallRecord| t.body != FATAL_BODY && t.reply.as_ref().is_some_and(is_held_back);
        let wrong = self.calls.iter().filter(held).map(|t| Violation {
            invariant: "proper requests are not held back",
            id: Some(t.id.clone()),
            detail: t.body.clone(),
        });
        more.chain(wrong).collect()
    }

    /// The node that each call came to.
    fn nodes_by_call(&self) -> HashMap<&str, usize> {
        self.calls.iter().map(|t| (t.id.as_str(), t.node)).collect()
    }

    /// Requests that reached an engine long after its word that it leaves, from nodes that nothing
    /// disturbed meanwhile; that the node which tells them was disturbed is no excuse.
    fn sent_after_drain(&self) -> Vec<Violation> {
        let nodes = self.nodes_by_call();
        let late = |s: &&ReceivedRequest| {
            let left = self.drained.iter().find(|l| s.engine() == Some(&l.engine));
            let node = s.id().and_then(|id| nodes.get(id)).copied();
            left.is_some_and(|l| s.at > l.at + DRAIN_GRACE) && !self.was_disrupted(node, s.at)
        };
        let violation = |s: &ReceivedRequest| Violation {
            invariant: "an engine that left gets no work",
            id: s.id().map(str::to_owned),
            detail: format!("at {:?}", s.engine()),
        };
        self.received.iter().filter(late).map(violation).collect()
    }

    /// Requests that reached an engine against what it had asked of the same node: more than two within a rest,
    /// any long after it said that it leaves. What disturbed the node or held requests up meanwhile excuses it.
    fn ignored_backpressure(&self) -> Vec<Violation> {
        let nodes = self.nodes_by_call();
        let mut by_pair: HashMap<(&str, usize), Vec<&ReceivedRequest>> = HashMap::new();
        for seen in &self.received {
            let node = seen.id().and_then(|id| nodes.get(id)).copied();
            if let (Some(engine), Some(node)) = (seen.engine(), node) {
                by_pair.entry((engine, node)).or_default().push(seen);
            }
        }
        let mut found = Vec::new();
        for ((engine, node), seen) in by_pair {
            for asked in &seen {
                let later = |from: Duration| {
                    let excused =
                        |s: &&&ReceivedRequest| self.is_excused(engine, node, asked.at, s.at);
                    seen.iter().filter(move |s| s.at > asked.at + from).filter(move |s| !excused(s))
                };
                let pause = asked.retry_after.unwrap_or_default();
                let within =
                    later(IN_FLIGHT_GRACE).filter(|s| s.at < asked.at + pause).nth(MAX_IN_PAUSE);
                let after = later(DRAIN_GRACE).next().filter(|_| asked.draining);
                let violation = |invariant, s: &ReceivedRequest| Violation {
                    invariant,
                    id: s.id().map(str::to_owned),
                    detail: format!("at {engine}, {} ms later", (s.at - asked.at).as_millis()),
                };
                found.extend(within.map(|s| violation("an engine that asked for rest has it", s)));
                found.extend(
                    after.map(|s| violation("an engine that says it leaves gets no work", s)),
                );
            }
        }
        found
    }

    /// Engines that got more than the limit that they named for some time allows, from all nodes together, told or
    /// not. What was disturbed itself is not counted; that the store was, or the node that hands out rights, is no excuse.
    fn limit_exceeded(&self) -> Vec<Violation> {
        let nodes = self.nodes_by_call();
        let mut by_engine: HashMap<&str, Vec<&ReceivedRequest>> = HashMap::new();
        for seen in &self.received {
            by_engine.entry(seen.engine().unwrap_or_default()).or_default().push(seen);
        }
        let mut found = Vec::new();
        for (engine, mut seen) in by_engine {
            seen.sort_by_key(|s| s.at);
            for limited in seen.split(|s| s.limit.is_none()).filter(|limited| !limited.is_empty()) {
                let since = limited[0].at + PROPAGATION_GRACE;
                let counts = |s: &&&ReceivedRequest| {
                    let node = s.id().and_then(|id| nodes.get(id));
                    let from = s.at.checked_sub(PROPAGATION_GRACE).unwrap_or(s.at);
                    s.at >= since && !node.is_some_and(|n| self.is_excused(engine, *n, from, s.at))
                };
                let counted: Vec<&&ReceivedRequest> = limited.iter().filter(counts).collect();
                let excess = |(i, first): (usize, &&&ReceivedRequest)| {
                    let window = counted[i..].iter().take_while(|s| s.at < first.at + LIMIT_WINDOW);
                    let limit = window.clone().filter_map(|s| s.limit).fold(0.0, f64::max);
                    let allowed =
                        LIMIT_TOLERANCE.0 * limit * LIMIT_WINDOW.as_secs_f64() + LIMIT_TOLERANCE.1;
                    let count = window.count();
                    (count as f64 > allowed)
                        .then(|| format!("{count} at {engine}, {allowed:.0} allowed"))
                };
                found.extend(counted.iter().enumerate().find_map(excess).map(|detail| Violation {
                    invariant: "all nodes together keep the limit that an engine names",
                    id: None,
                    detail,
                }));
            }
        }
        found
    }

    /// Whether a node was disturbed, or requests to an engine held up, between two moments.
    fn is_excused(&self, engine: &str, node: usize, from: Instant, until: Instant) -> bool {
        let of = |t: &&NodeDisruption| t.node == Some(node);
        let disturbed =
            self.node_disruptions.iter().filter(of).any(|t| t.from <= until && t.until >= from);
        let of = |h: &&EngineDisruption| h.engine == engine;
        let held =
            self.engine_disruptions.iter().filter(of).any(|h| h.from <= until && h.until >= from);
        let paused = self.pauses.iter().any(|(n, at)| *n == node && *at >= from);
        disturbed || held || paused
    }

    /// Whether a node was disturbed at a moment, or shortly before.
    fn was_disrupted(&self, node: Option<usize>, at: Instant) -> bool {
        let of = |t: &&NodeDisruption| t.node.is_none() || t.node == node;
        self.node_disruptions
            .iter()
            .filter(of)
            .any(|t| t.from <= at && at <= t.until + PROPAGATION_GRACE)
    }

    /// Requests at engines that no caller sent as they are.
    fn altered_requests(&self) -> Vec<Violation> {
        let bodies: HashMap<&str, &str> =
            self.calls.iter().map(|t| (t.id.as_str(), t.body.as_str())).collect();
        let altered = |s: &&ReceivedRequest| {
            let sent = s.id().and_then(|id| bodies.get(id));
            sent.map(|b| b.as_bytes()) != Some(&s.body[..]) || s.account() != Some(ACCOUNT)
        };
        let violation = |s: &ReceivedRequest| Violation {
            invariant: "engines run what callers sent",
            id: s.id().map(str::to_owned),
            detail: format!("{} {} for {:?}", s.method, s.target, s.account()),
        };
        self.received.iter().filter(altered).map(violation).collect()
    }

    /// An answer came long after its route's time.
    fn late_answer(&self, call: &CallRecord) -> Option<&'static str> {
        let route = call.kind.timeout();
        // A node that stood still says nothing meanwhile.
        let paused =
            self.pauses.iter().any(|(node, end)| *node == call.node && *end >= call.sent_at);
        let late = call.elapsed > route + DEADLINE_SLACK && call.reply.is_some() && !paused;
        late.then_some("an answer within the route's time")
    }

    /// A key worked after the time agreed from its removal.
    fn revoked_key_used(&self, call: &CallRecord, runs: usize) -> Option<&'static str> {
        let revoked = self.revoked_keys.iter().find(|r| r.key == call.key)?;
        let over = call.sent_at > revoked.at + self.revocation_bound && runs > 0;
        over.then_some("a key that was taken away ends")
    }
}

/// Whether a call was refused because engines ended under its request.
fn is_held_back(reply: &Reply) -> bool {
    reply.status == 503 && String::from_utf8_lossy(&reply.body).contains("\"held_back\"")
}

/// A call that may run once ran more often.
fn duplicate_run(call: &CallRecord, runs: usize) -> Option<&'static str> {
    (call.kind == CallKind::AtMostOnce && runs > 1).then_some("at most once")
}

/// A call that may run once was said not to have run, but did.
fn false_not_run(call: &CallRecord, runs: usize) -> Option<&'static str> {
    let denied = matches!(call.status(), Some(408 | 421 | 429 | 503));
    (call.kind == CallKind::AtMostOnce && denied && runs > 0).then_some("not run is true")
}

/// A success is not whole, not its own or not stamped; or a stream lacks an event or has one twice.
fn corrupt_answer(call: &CallRecord) -> Option<&'static str> {
    let reply = call.reply.as_ref().filter(|r| r.status == 200)?;
    let events = reply.events();
    let own = match call.kind {
        CallKind::Idempotent | CallKind::AtMostOnce => {
            !reply.complete || reply.body == call.body.as_bytes()
        }
        CallKind::Stream => events.iter().copied().eq(1..=events.len() as u64),
    };
    let complete =
        call.kind != CallKind::Stream || !reply.complete || events.len() as u64 == STREAM_EVENTS;
    let good = own && complete && reply.digest().is_some();
    (!good).then_some("whole and own answers")
}
