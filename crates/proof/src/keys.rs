//! Simulation of idempotency keys: nodes that claim, dispatch, pause and crash, and a store whose
//! responses get lost.

use std::collections::{BTreeMap, HashMap};

use heathpitch_core::{Evidence, Incarnation, Millis, Name, Outcome, Revision, digest};
use heathpitch_policy::{
    ClaimAction, ClaimDecision, ClaimEvent, ClaimPage, Claims, IdempotencyTable, KeyState,
    StoredAnswer, decide_claim,
};

use crate::run::{Entropy, RunStats};
use crate::violation::{Property, Violation};

const NODES: usize = 3;
const KEYS: usize = 24;
/// Capacity of an idempotency table, less than the number of keys so that it evicts some.
const TABLE_CAPACITY: usize = 8;

#[derive(Debug)]
struct Node {
    incarnation: Incarnation,
    claims: Claims,
    idempotency: IdempotencyTable,
    /// By claim: number of the key, whether the table held it as not dispatched, and body.
    pending: HashMap<u64, (usize, bool, u64)>,
    paused: bool,
}

#[derive(Debug)]
enum Message {
    Read(u32),
    Write(u32, Revision, ClaimPage),
    Response(ClaimEvent),
}

#[derive(Debug)]
struct Envelope {
    node: usize,
    incarnation: Incarnation,
    message: Message,
    /// Whether the node no longer waits for the response.
    abandoned: bool,
}

#[derive(Debug, Default)]
struct Store {
    pages: HashMap<u32, (Revision, ClaimPage)>,
    revision: u64,
}

#[derive(Debug)]
struct Cluster {
    nodes: Vec<Node>,
    in_flight: Vec<Envelope>,
    store: Store,
    now: Millis,
    last_id: u64,
    /// Executions by key.
    executions: BTreeMap<usize, u32>,
    /// Dispatched requests: node, its incarnation, and key.
    open: Vec<(usize, Incarnation, usize)>,
}

pub(crate) fn run(operations: &[u64], stats: &mut RunStats) -> Result<(), Violation> {
    let mut cluster = Cluster {
        nodes: (0..NODES).map(|i| node(i, i as u64 + 1)).collect(),
        in_flight: Vec::new(),
        store: Store::default(),
        now: 0,
        last_id: NODES as u64 + 1,
        executions: BTreeMap::new(),
        open: Vec::new(),
    };
    for number in operations {
        stats.operations += 1;
        cluster.apply_operation(&mut Entropy::new(*number), stats)?;
    }
    cluster.nodes.iter_mut().for_each(|n| n.paused = false);
    while let Some(envelope) = cluster.in_flight.pop() {
        cluster.deliver(envelope, stats)?;
    }
    Ok(())
}

fn node(i: usize, incarnation: u64) -> Node {
    let incarnation = Incarnation(incarnation);
    Node {
        incarnation,
        claims: Claims::new(name(i), incarnation),
        idempotency: IdempotencyTable::with_capacity(TABLE_CAPACITY),
        pending: HashMap::new(),
        paused: false,
    }
}

fn name(i: usize) -> Name {
    digest(&[&[i as u8]])
}

fn key(i: usize) -> Name {
    digest(&[b"key", &[i as u8]])
}

impl Cluster {
    fn apply_operation(
        &mut self,
        entropy: &mut Entropy,
        stats: &mut RunStats,
    ) -> Result<(), Violation> {
        let kind = entropy.below(24);
        let node = entropy.below(NODES);
        let index = entropy.below(self.in_flight.len());
        match kind {
            0..=6 => return self.request(node, entropy.below(KEYS), entropy.below(12) == 0, stats),
            7 => {
                stats.fault("node killed");
                self.last_id += 1;
                self.nodes[node] = self::node(node, self.last_id);
            }
            8 => {
                stats.fault("node paused");
                self.nodes[node].paused = true;
            }
            9 | 10 => self.nodes[node].paused = false,
            11 => {
                self.now += 1 + entropy.below(1_500) as Millis;
                return self.on(node, ClaimEvent::Tick, stats);
            }
            12 if !self.in_flight.is_empty() => return self.lose(index, true, stats),
            13 if !self.in_flight.is_empty() => return self.lose(index, false, stats),
            14 | 15 if !self.open.is_empty() => self.finish_request(entropy, stats),
            _ if !self.in_flight.is_empty() => {
                let envelope = self.in_flight.swap_remove(index);
                return self.deliver(envelope, stats);
            }
            _ => {}
        }
        Ok(())
    }

    /// Delivers a client's request with a key to a node.
    fn request(
        &mut self,
        at: usize,
        number: usize,
        other_body: bool,
        stats: &mut RunStats,
    ) -> Result<(), Violation> {
        if self.nodes[at].paused {
            return Ok(());
        }
        let body = body(number) + u64::from(other_body);
        let digest = key(number);
        let not_dispatched = match self.nodes[at].idempotency.start(&digest, body) {
            KeyState::New => false,
            KeyState::NotDispatched => true,
            _ => {
                stats.event("found in the idempotency table");
                return Ok(());
            }
        };
        self.last_id += 1;
        let id = self.last_id;
        self.nodes[at].pending.insert(id, (number, not_dispatched, body));
        let event = ClaimEvent::Claim { id, digest, body, nonce: id };
        self.on(at, event, stats)
    }

    fn on(&mut self, at: usize, event: ClaimEvent, stats: &mut RunStats) -> Result<(), Violation> {
        let node = &mut self.nodes[at];
        let incarnation = node.incarnation;
        for action in node.claims.on(event, self.now, self.now) {
            let message = match action {
                ClaimAction::Read(page) => Message::Read(page),
                ClaimAction::Write(page, expect, content) => Message::Write(page, expect, content),
                ClaimAction::Answer(id, verdict) => {
                    self.apply_verdict(at, id, verdict, stats)?;
                    continue;
                }
            };
            self.in_flight.push(Envelope { node: at, incarnation, message, abandoned: false });
        }
        Ok(())
    }

    fn apply_verdict(
        &mut self,
        at: usize,
        id: u64,
        verdict: heathpitch_policy::Verdict,
        stats: &mut RunStats,
    ) -> Result<(), Violation> {
        let node = &mut self.nodes[at];
        let Some((number, not_dispatched, body)) = node.pending.remove(&id) else { return Ok(()) };
        let digest = key(number);
        match decide_claim(verdict, not_dispatched, node.incarnation, body) {
            ClaimDecision::Run if node.idempotency.dispatch(&digest) => {
                stats.event("dispatched");
                self.open.push((at, self.nodes[at].incarnation, number));
                let executions = self.executions.entry(number).or_default();
                *executions += 1;
                let executions = *executions;
                Violation::unless(executions <= 1, Property::AtMostOnce, || {
                    format!("key {number} was dispatched {executions} times")
                })
            }
            ClaimDecision::Run => Ok(()),
            ClaimDecision::Unavailable | ClaimDecision::Full => {
                stats.event("not claimed");
                node.idempotency.release(&digest);
                Ok(())
            }
            ClaimDecision::Forward { .. }
            | ClaimDecision::MayHaveRun(_)
            | ClaimDecision::Mismatch => {
                stats.event("owned by another node or not runnable");
                node.idempotency.forget(&digest);
                Ok(())
            }
        }
    }

    /// Delivers a message to the store, or a response to its node.
    fn deliver(&mut self, envelope: Envelope, stats: &mut RunStats) -> Result<(), Violation> {
        let Envelope { node, incarnation, message, abandoned } = envelope;
        let event = match message {
            Message::Read(page) => {
                let stored = self.store.pages.get(&page).cloned();
                let revision = stored.as_ref().map_or(Revision(0), |s| s.0);
                ClaimEvent::Read(page, revision, stored.map(|s| s.1))
            }
            Message::Write(page, expect, content) => self.store.write(page, expect, content),
            Message::Response(event) => {
                let same_incarnation = self.nodes[node].incarnation == incarnation;
                match same_incarnation {
                    true if self.nodes[node].paused => {
                        let message = Message::Response(event);
                        self.in_flight.push(Envelope { node, incarnation, message, abandoned });
                    }
                    true => return self.on(node, event, stats),
                    false => {}
                }
                return Ok(());
            }
        };
        if !abandoned {
            let message = Message::Response(event);
            self.in_flight.push(Envelope { node, incarnation, message, abandoned });
        }
        Ok(())
    }

    /// Loses a message or its response; with `late`, a request to the store still takes effect
    /// later.
    fn lose(&mut self, at: usize, late: bool, stats: &mut RunStats) -> Result<(), Violation> {
        let envelope = &mut self.in_flight[at];
        let (node, incarnation, abandoned) =
            (envelope.node, envelope.incarnation, envelope.abandoned);
        let event = match &envelope.message {
            _ if abandoned => return Ok(()),
            Message::Read(page) | Message::Response(ClaimEvent::Read(page, ..)) => {
                ClaimEvent::ReadFailed(*page)
            }
            Message::Write(page, ..)
            | Message::Response(ClaimEvent::Written(page, _) | ClaimEvent::Conflict(page)) => {
                ClaimEvent::WriteUnknown(*page)
            }
            Message::Response(_) => return Ok(()),
        };
        match (&envelope.message, late) {
            (Message::Response(_), _) => {
                stats.fault("response lost after the effect");
                self.in_flight.swap_remove(at);
            }
            (_, true) => {
                stats.fault("call timed out, effect later");
                envelope.abandoned = true;
            }
            (_, false) => {
                stats.fault("call lost");
                self.in_flight.swap_remove(at);
            }
        }
        let message = Message::Response(event);
        self.in_flight.push(Envelope { node, incarnation, message, abandoned: false });
        Ok(())
    }

    /// Ends a dispatched request, either complete or with evidence that it did not run.
    fn finish_request(&mut self, entropy: &mut Entropy, stats: &mut RunStats) {
        let (at, incarnation, number) = self.open.swap_remove(entropy.below(self.open.len()));
        let node = &mut self.nodes[at];
        if node.incarnation != incarnation {
            return;
        }
        match Evidence::new().not_run() {
            Some(evidence) if entropy.below(3) == 0 => {
                stats.event("not run, with evidence");
                node.idempotency.mark_not_run(&key(number), evidence);
                self.executions.entry(number).and_modify(|n| *n -= 1);
            }
            _ => {
                stats.event("ended");
                let body = vec![0; 8].into();
                let outcome = Outcome::Done;
                let record = StoredAnswer { status: 200, media: String::new(), body, outcome };
                node.idempotency.finish(&key(number), record, self.now);
            }
        }
    }
}

impl Store {
    fn write(&mut self, page: u32, expect: Revision, content: ClaimPage) -> ClaimEvent {
        let current = self.pages.get(&page).map_or(Revision(0), |p| p.0);
        if current != expect {
            return ClaimEvent::Conflict(page);
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        self.pages.insert(page, (revision, content));
        ClaimEvent::Written(page, revision)
    }
}

fn body(number: usize) -> u64 {
    number as u64 * 2
}
