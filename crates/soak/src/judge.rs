//! What may not happen, judged by what callers and engines saw.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use heathpitch_standin::{ReceivedRequest, Reply};

use crate::load::{Kind, Told};
use crate::world::{EVENTS, FATAL};

/// Time beyond that of its route after which an answer is late.
const LATE: Duration = Duration::from_millis(1_000);
/// Time for which an engine that said that it leaves may be sent requests, as nodes are told, with a
/// little more for a busy machine.
const DRAIN: Duration = Duration::from_millis(2_200);
/// Time after trouble in which nothing is asked of a node as to engines that leave.
const IN_TOUCH: Duration = Duration::from_millis(3_000);
/// Time after an engine has asked for rest in which requests may come that were under way.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// Requests that may come all the same until the rest is over.
const IN_REST: usize = 2;
/// Span in which requests to an engine that names a limit are counted.
const SPAN: Duration = Duration::from_secs(4);
/// Times the limit, and requests beside it, that it may get in a span.
const OVER: (f64, f64) = (1.5, 5.0);
/// Sends of the fatal request that are allowed after that.
const AGAIN: usize = 3;
/// The account that every call belongs to.
const ACCOUNT: &str = "desk";

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Which one.
    pub promise: &'static str,
    /// Call; the run itself if there is none.
    pub id: Option<String>,
    /// What was seen.
    pub what: String,
}

/// A key that was taken away.
#[derive(Clone, Debug)]
pub struct Revoked {
    /// The key.
    pub key: String,
    /// When its removal was accepted.
    pub at: Instant,
}

/// An engine that said that it leaves.
#[derive(Clone, Debug)]
pub struct Left {
    /// Its id.
    pub engine: String,
    /// When the store had its word.
    pub at: Instant,
}

/// A time in which a node, or its path to the store, was disturbed.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// The node; none for all.
    pub node: Option<usize>,
    /// When it began.
    pub from: Instant,
    /// When it was over.
    pub until: Instant,
}

/// A time in which requests to an engine were held up, or in which it started again under its id.
#[derive(Clone, Debug)]
pub struct HeldUp {
    /// Its id.
    pub engine: String,
    /// When it began.
    pub from: Instant,
    /// When it was over.
    pub until: Instant,
}

/// What callers and engines saw in a run.
#[derive(Debug, Default)]
pub struct Evidence {
    /// Calls.
    pub told: Vec<Told>,
    /// Requests that reached engines.
    pub seen: Vec<ReceivedRequest>,
    /// Keys that were taken away.
    pub revoked: Vec<Revoked>,
    /// Time after which such a key may not work.
    pub revoke: Duration,
    /// Nodes that stood still, and when they went on.
    pub stood: Vec<(usize, Instant)>,
    /// Engines that left.
    pub left: Vec<Left>,
    /// When nodes were disturbed.
    pub troubles: Vec<Trouble>,
    /// When requests to engines were held up.
    pub held_up: Vec<HeldUp>,
}

/// # Judgement
impl Evidence {
    /// Every promise that was broken.
    pub fn judge(&self) -> Vec<Breach> {
        let mut runs: HashMap<&str, Vec<&ReceivedRequest>> = HashMap::new();
        for seen in self.seen.iter().filter(|s| s.ran) {
            runs.entry(seen.id().unwrap_or_default()).or_default().push(seen);
        }
        let of_calls = self.told.iter().flat_map(|one| {
            let runs = runs.get(one.id.as_str()).map_or(0, Vec::len);
            let broken = [
                twice(one, runs),
                refused(one, runs),
                spoilt(one),
                self.late(one),
                self.outlived(one, runs),
            ];
            let what = format!("{:?}, {runs} runs, {} ms", one.status(), one.took.as_millis());
            let breach =
                move |promise| Breach { promise, id: Some(one.id.clone()), what: what.clone() };
            broken.into_iter().flatten().map(breach).collect::<Vec<_>>()
        });
        of_calls
            .chain(self.strange())
            .chain(self.misled())
            .chain(self.repeated())
            .chain(self.unheeded())
            .chain(self.exceeded())
            .collect()
    }

    /// The fatal request reached engines more often than agreed after it had ended three, from nodes that
    /// nothing disturbed meanwhile; or a proper one was held back with it.
    fn repeated(&self) -> Vec<Breach> {
        let fatal = |s: &&ReceivedRequest| &s.body[..] == FATAL.as_bytes();
        let mut seen: Vec<&ReceivedRequest> = self.seen.iter().filter(fatal).collect();
        seen.sort_by_key(|s| s.at);
        let third = seen.iter().filter(|s| s.ran).nth(2).map(|s| s.at);
        let node =
            |s: &ReceivedRequest| self.told.iter().find(|t| s.id() == Some(&t.id)).map(|t| t.node);
        let later = seen.into_iter().filter(|s| third.is_some_and(|at| s.at > at + IN_TOUCH));
        let more = later.filter(|s| !self.disturbed(node(s), s.at)).skip(AGAIN).map(|s| Breach {
            promise: "a request that ended three engines reaches three more at most",
            id: s.id().map(str::to_owned),
            what: format!("at {:?}", s.engine()),
        });
        let held = |t: &&Told| t.body != FATAL && t.reply.as_ref().is_some_and(is_held_back);
        let wrong = self.told.iter().filter(held).map(|t| Breach {
            promise: "proper requests are not held back",
            id: Some(t.id.clone()),
            what: t.body.clone(),
        });
        more.chain(wrong).collect()
    }

    /// The node that each call came to.
    fn nodes(&self) -> HashMap<&str, usize> {
        self.told.iter().map(|t| (t.id.as_str(), t.node)).collect()
    }

    /// Requests that reached an engine long after its word that it leaves, from nodes that nothing
    /// disturbed meanwhile; that the node which tells them was disturbed is no excuse.
    fn misled(&self) -> Vec<Breach> {
        let nodes = self.nodes();
        let late = |s: &&ReceivedRequest| {
            let left = self.left.iter().find(|l| s.engine() == Some(&l.engine));
            let node = s.id().and_then(|id| nodes.get(id)).copied();
            left.is_some_and(|l| s.at > l.at + DRAIN) && !self.disturbed(node, s.at)
        };
        let breach = |s: &ReceivedRequest| Breach {
            promise: "an engine that left gets no work",
            id: s.id().map(str::to_owned),
            what: format!("at {:?}", s.engine()),
        };
        self.seen.iter().filter(late).map(breach).collect()
    }

    /// Requests that reached an engine against what it had asked of the same node: more than two within a rest,
    /// any long after it said that it leaves. What disturbed the node or held requests up meanwhile excuses it.
    fn unheeded(&self) -> Vec<Breach> {
        let nodes = self.nodes();
        let mut visits: HashMap<(&str, usize), Vec<&ReceivedRequest>> = HashMap::new();
        for seen in &self.seen {
            let node = seen.id().and_then(|id| nodes.get(id)).copied();
            if let (Some(engine), Some(node)) = (seen.engine(), node) {
                visits.entry((engine, node)).or_default().push(seen);
            }
        }
        let mut found = Vec::new();
        for ((engine, node), seen) in visits {
            for asked in &seen {
                let later = |from: Duration| {
                    let excused =
                        |s: &&&ReceivedRequest| self.excused(engine, node, asked.at, s.at);
                    seen.iter().filter(move |s| s.at > asked.at + from).filter(move |s| !excused(s))
                };
                let rest = asked.retry_after.unwrap_or_default();
                let within = later(UNDER_WAY).filter(|s| s.at < asked.at + rest).nth(IN_REST);
                let after = later(DRAIN).next().filter(|_| asked.draining);
                let breach = |promise, s: &ReceivedRequest| Breach {
                    promise,
                    id: s.id().map(str::to_owned),
                    what: format!("at {engine}, {} ms later", (s.at - asked.at).as_millis()),
                };
                found.extend(within.map(|s| breach("an engine that asked for rest has it", s)));
                found
                    .extend(after.map(|s| breach("an engine that says it leaves gets no work", s)));
            }
        }
        found
    }

    /// Engines that got more than the limit that they named for some time allows, from all nodes together, told or
    /// not. What was disturbed itself is not counted; that the store was, or the node that hands out rights, is no excuse.
    fn exceeded(&self) -> Vec<Breach> {
        let nodes = self.nodes();
        let mut visits: HashMap<&str, Vec<&ReceivedRequest>> = HashMap::new();
        for seen in &self.seen {
            visits.entry(seen.engine().unwrap_or_default()).or_default().push(seen);
        }
        let mut found = Vec::new();
        for (engine, mut seen) in visits {
            seen.sort_by_key(|s| s.at);
            for named in seen.split(|s| s.limit.is_none()).filter(|named| !named.is_empty()) {
                let since = named[0].at + IN_TOUCH;
                let counts = |s: &&&ReceivedRequest| {
                    let node = s.id().and_then(|id| nodes.get(id));
                    let from = s.at.checked_sub(IN_TOUCH).unwrap_or(s.at);
                    s.at >= since && !node.is_some_and(|n| self.excused(engine, *n, from, s.at))
                };
                let counted: Vec<&&ReceivedRequest> = named.iter().filter(counts).collect();
                let over = |(i, first): (usize, &&&ReceivedRequest)| {
                    let span = counted[i..].iter().take_while(|s| s.at < first.at + SPAN);
                    let most = span.clone().filter_map(|s| s.limit).fold(0.0, f64::max);
                    let allowed = OVER.0 * most * SPAN.as_secs_f64() + OVER.1;
                    let came = span.count();
                    (came as f64 > allowed)
                        .then(|| format!("{came} at {engine}, {allowed:.0} allowed"))
                };
                found.extend(counted.iter().enumerate().find_map(over).map(|what| Breach {
                    promise: "all nodes together keep the limit that an engine names",
                    id: None,
                    what,
                }));
            }
        }
        found
    }

    /// Whether a node was disturbed, or requests to an engine held up, between two moments.
    fn excused(&self, engine: &str, node: usize, from: Instant, until: Instant) -> bool {
        let of = |t: &&Trouble| t.node == Some(node);
        let disturbed = self.troubles.iter().filter(of).any(|t| t.from <= until && t.until >= from);
        let of = |h: &&HeldUp| h.engine == engine;
        let held = self.held_up.iter().filter(of).any(|h| h.from <= until && h.until >= from);
        let stood = self.stood.iter().any(|(n, at)| *n == node && *at >= from);
        disturbed || held || stood
    }

    /// Whether a node was disturbed at a moment, or shortly before.
    fn disturbed(&self, node: Option<usize>, at: Instant) -> bool {
        let of = |t: &&Trouble| t.node.is_none() || t.node == node;
        self.troubles.iter().filter(of).any(|t| t.from <= at && at <= t.until + IN_TOUCH)
    }

    /// Requests at engines that no caller sent as they are.
    fn strange(&self) -> Vec<Breach> {
        let bodies: HashMap<&str, &str> =
            self.told.iter().map(|t| (t.id.as_str(), t.body.as_str())).collect();
        let strange = |s: &&ReceivedRequest| {
            let sent = s.id().and_then(|id| bodies.get(id));
            sent.map(|b| b.as_bytes()) != Some(&s.body[..]) || s.account() != Some(ACCOUNT)
        };
        let breach = |s: &ReceivedRequest| Breach {
            promise: "engines run what callers sent",
            id: s.id().map(str::to_owned),
            what: format!("{} {} for {:?}", s.method, s.target, s.account()),
        };
        self.seen.iter().filter(strange).map(breach).collect()
    }

    /// An answer came long after its route's time.
    fn late(&self, one: &Told) -> Option<&'static str> {
        let route = one.kind.limit();
        // A node that stood still says nothing meanwhile.
        let stood = self.stood.iter().any(|(node, end)| *node == one.node && *end >= one.sent);
        let late = one.took > route + LATE && one.reply.is_some() && !stood;
        late.then_some("an answer within the route's time")
    }

    /// A key worked after the time agreed from its removal.
    fn outlived(&self, one: &Told, runs: usize) -> Option<&'static str> {
        let gone = self.revoked.iter().find(|r| r.key == one.key)?;
        let over = one.sent > gone.at + self.revoke && runs > 0;
        over.then_some("a key that was taken away ends")
    }
}

/// Whether a call was refused because engines ended under its request.
fn is_held_back(reply: &Reply) -> bool {
    reply.status == 503 && String::from_utf8_lossy(&reply.body).contains("\"held_back\"")
}

/// A call that may run once ran more often.
fn twice(one: &Told, runs: usize) -> Option<&'static str> {
    (one.kind == Kind::Book && runs > 1).then_some("at most once")
}

/// A call that may run once was said not to have run, but did.
fn refused(one: &Told, runs: usize) -> Option<&'static str> {
    let denied = matches!(one.status(), Some(408 | 421 | 429 | 503));
    (one.kind == Kind::Book && denied && runs > 0).then_some("not run is true")
}

/// A success is not whole, not its own or not stamped; or a stream lacks an event or has one twice.
fn spoilt(one: &Told) -> Option<&'static str> {
    let reply = one.reply.as_ref().filter(|r| r.status == 200)?;
    let events = reply.events();
    let own = match one.kind {
        Kind::Get | Kind::Book => !reply.complete || reply.body == one.body.as_bytes(),
        Kind::Tell => events.iter().copied().eq(1..=events.len() as u64),
    };
    let complete = one.kind != Kind::Tell || !reply.complete || events.len() as u64 == EVENTS;
    let good = own && complete && reply.digest().is_some();
    (!good).then_some("whole and own answers")
}
