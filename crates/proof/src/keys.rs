//! World of keys: nodes that claim, dispatch, pause and die, and a store that loses answers.

use std::collections::{BTreeMap, HashMap};

use heathpitch_core::{Evidence, Incarnation, Millis, Name, Outcome, Revision, digest};
use heathpitch_policy::{
    ClaimAction, ClaimDecision, ClaimEvent, ClaimPage, Claims, IdempotencyTable, KeyState,
    StoredAnswer, decide_claim,
};

use crate::breach::{Breach, Promise};
use crate::tally::{Draw, Tally};

const NODES: usize = 3;
const KEYS: usize = 24;
/// Keys a ledger remembers: few, so that it forgets.
const ROOM: usize = 8;

#[derive(Debug)]
struct Node {
    life: Incarnation,
    claims: Claims,
    ledger: IdempotencyTable,
    asks: HashMap<u64, (usize, bool, u64)>,
    paused: bool,
}

#[derive(Debug)]
enum Message {
    Read(u32),
    Write(u32, Revision, ClaimPage),
    Answer(ClaimEvent),
}

#[derive(Debug)]
struct Letter {
    node: usize,
    life: Incarnation,
    message: Message,
    /// Nobody waits for the answer any more.
    orphan: bool,
}

#[derive(Debug, Default)]
struct Store {
    pages: HashMap<u32, (Revision, ClaimPage)>,
    revision: u64,
}

#[derive(Debug)]
struct Keys {
    nodes: Vec<Node>,
    letters: Vec<Letter>,
    store: Store,
    now: Millis,
    next: u64,
    ran: BTreeMap<usize, u32>,
    open: Vec<(usize, Incarnation, usize)>,
}

pub(crate) fn run(operations: &[u64], tally: &mut Tally) -> Result<(), Breach> {
    let mut world = Keys {
        nodes: (0..NODES).map(|i| node(i, i as u64 + 1)).collect(),
        letters: Vec::new(),
        store: Store::default(),
        now: 0,
        next: NODES as u64 + 1,
        ran: BTreeMap::new(),
        open: Vec::new(),
    };
    for number in operations {
        tally.operations += 1;
        world.operate(&mut Draw::new(*number), tally)?;
    }
    world.nodes.iter_mut().for_each(|n| n.paused = false);
    while let Some(letter) = world.letters.pop() {
        world.carry(letter, tally)?;
    }
    Ok(())
}

fn node(i: usize, life: u64) -> Node {
    let life = Incarnation(life);
    Node {
        life,
        claims: Claims::new(name(i), life),
        ledger: IdempotencyTable::with_capacity(ROOM),
        asks: HashMap::new(),
        paused: false,
    }
}

fn name(i: usize) -> Name {
    digest(&[&[i as u8]])
}

fn key(i: usize) -> Name {
    digest(&[b"key", &[i as u8]])
}

impl Keys {
    fn operate(&mut self, draw: &mut Draw, tally: &mut Tally) -> Result<(), Breach> {
        let kind = draw.below(24);
        let node = draw.below(NODES);
        let letter = draw.below(self.letters.len());
        match kind {
            0..=6 => return self.ask(node, draw.below(KEYS), draw.below(12) == 0, tally),
            7 => {
                tally.fault("node killed");
                self.next += 1;
                self.nodes[node] = self::node(node, self.next);
            }
            8 => {
                tally.fault("node paused");
                self.nodes[node].paused = true;
            }
            9 | 10 => self.nodes[node].paused = false,
            11 => {
                self.now += 1 + draw.below(1_500) as Millis;
                return self.on(node, ClaimEvent::Tick, tally);
            }
            12 if !self.letters.is_empty() => return self.lose(letter, true, tally),
            13 if !self.letters.is_empty() => return self.lose(letter, false, tally),
            14 | 15 if !self.open.is_empty() => self.end(draw, tally),
            _ if !self.letters.is_empty() => {
                let letter = self.letters.swap_remove(letter);
                return self.carry(letter, tally);
            }
            _ => {}
        }
        Ok(())
    }

    /// A caller's request with a key arrives at a node.
    fn ask(
        &mut self,
        at: usize,
        number: usize,
        other_body: bool,
        tally: &mut Tally,
    ) -> Result<(), Breach> {
        if self.nodes[at].paused {
            return Ok(());
        }
        let body = body(number) + u64::from(other_body);
        let digest = key(number);
        let idle = match self.nodes[at].ledger.start(&digest, body) {
            KeyState::New => false,
            KeyState::NotDispatched => true,
            _ => {
                tally.event("found in the ledger");
                return Ok(());
            }
        };
        self.next += 1;
        let id = self.next;
        self.nodes[at].asks.insert(id, (number, idle, body));
        let event = ClaimEvent::Claim { id, digest, body, nonce: id };
        self.on(at, event, tally)
    }

    fn on(&mut self, at: usize, event: ClaimEvent, tally: &mut Tally) -> Result<(), Breach> {
        let node = &mut self.nodes[at];
        let life = node.life;
        for action in node.claims.on(event, self.now, self.now) {
            let message = match action {
                ClaimAction::Read(page) => Message::Read(page),
                ClaimAction::Write(page, expect, content) => Message::Write(page, expect, content),
                ClaimAction::Answer(id, verdict) => {
                    self.answered(at, id, verdict, tally)?;
                    continue;
                }
            };
            self.letters.push(Letter { node: at, life, message, orphan: false });
        }
        Ok(())
    }

    fn answered(
        &mut self,
        at: usize,
        id: u64,
        verdict: heathpitch_policy::Verdict,
        tally: &mut Tally,
    ) -> Result<(), Breach> {
        let node = &mut self.nodes[at];
        let Some((number, idle, asked)) = node.asks.remove(&id) else { return Ok(()) };
        let digest = key(number);
        match decide_claim(verdict, idle, node.life, asked) {
            ClaimDecision::Run if node.ledger.dispatch(&digest) => {
                tally.event("dispatched");
                self.open.push((at, self.nodes[at].life, number));
                let ran = self.ran.entry(number).or_default();
                *ran += 1;
                let ran = *ran;
                Breach::unless(ran <= 1, Promise::AtMostOnce, || {
                    format!("key {number} was dispatched {ran} times")
                })
            }
            ClaimDecision::Run => Ok(()),
            ClaimDecision::Unavailable | ClaimDecision::Full => {
                tally.event("not claimed");
                node.ledger.release(&digest);
                Ok(())
            }
            ClaimDecision::Forward { .. }
            | ClaimDecision::MayHaveRun(_)
            | ClaimDecision::Mismatch => {
                tally.event("another's or spent");
                node.ledger.forget(&digest);
                Ok(())
            }
        }
    }

    /// A message reaches the store, or an answer its node.
    fn carry(&mut self, letter: Letter, tally: &mut Tally) -> Result<(), Breach> {
        let Letter { node, life, message, orphan } = letter;
        let event = match message {
            Message::Read(page) => {
                let found = self.store.pages.get(&page).cloned();
                let revision = found.as_ref().map_or(Revision(0), |f| f.0);
                ClaimEvent::Read(page, revision, found.map(|f| f.1))
            }
            Message::Write(page, expect, content) => self.store.write(page, expect, content),
            Message::Answer(event) => {
                let here = self.nodes[node].life == life;
                match here {
                    true if self.nodes[node].paused => {
                        let message = Message::Answer(event);
                        self.letters.push(Letter { node, life, message, orphan });
                    }
                    true => return self.on(node, event, tally),
                    false => {}
                }
                return Ok(());
            }
        };
        if !orphan {
            let message = Message::Answer(event);
            self.letters.push(Letter { node, life, message, orphan });
        }
        Ok(())
    }

    /// A message or its answer is lost; with `late` a request takes effect all the same, later.
    fn lose(&mut self, at: usize, late: bool, tally: &mut Tally) -> Result<(), Breach> {
        let letter = &mut self.letters[at];
        let (node, life, orphan) = (letter.node, letter.life, letter.orphan);
        let event = match &letter.message {
            _ if orphan => return Ok(()),
            Message::Read(page) | Message::Answer(ClaimEvent::Read(page, ..)) => {
                ClaimEvent::ReadFailed(*page)
            }
            Message::Write(page, ..)
            | Message::Answer(ClaimEvent::Written(page, _) | ClaimEvent::Conflict(page)) => {
                ClaimEvent::WriteUnknown(*page)
            }
            Message::Answer(_) => return Ok(()),
        };
        match (&letter.message, late) {
            (Message::Answer(_), _) => {
                tally.fault("answer lost after the effect");
                self.letters.swap_remove(at);
            }
            (_, true) => {
                tally.fault("call given up, effect later");
                letter.orphan = true;
            }
            (_, false) => {
                tally.fault("call lost");
                self.letters.swap_remove(at);
            }
        }
        let message = Message::Answer(event);
        self.letters.push(Letter { node, life, message, orphan: false });
        Ok(())
    }

    /// A dispatched request ends: whole, or with proof that it did not run.
    fn end(&mut self, draw: &mut Draw, tally: &mut Tally) {
        let (at, life, number) = self.open.swap_remove(draw.below(self.open.len()));
        let node = &mut self.nodes[at];
        if node.life != life {
            return;
        }
        match Evidence::new().not_run() {
            Some(proof) if draw.below(3) == 0 => {
                tally.event("proved not run");
                node.ledger.mark_not_run(&key(number), proof);
                self.ran.entry(number).and_modify(|n| *n -= 1);
            }
            _ => {
                tally.event("ended");
                let body = vec![0; 8].into();
                let outcome = Outcome::Done;
                let record = StoredAnswer { status: 200, media: String::new(), body, outcome };
                node.ledger.finish(&key(number), record, self.now);
            }
        }
    }
}

impl Store {
    fn write(&mut self, page: u32, expect: Revision, content: ClaimPage) -> ClaimEvent {
        let stands = self.pages.get(&page).map_or(Revision(0), |p| p.0);
        if stands != expect {
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
