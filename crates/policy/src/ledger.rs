//! What one node life has done with requests that may not be repeated.
//!
//! The ledger is the only place that lets such a request be dispatched, and it does so once per
//! key. Answers are kept for repeats within bounds of time and memory; beyond them only the fact
//! that the request ran is kept, and beyond that an unknown key counts as run.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::switch::{Mechanism, on};
use heathpitch_core::{Invariant, Millis, Name, NotRun, Outcome, check};

/// Time an answer is kept, milliseconds.
const KEEP: Millis = 600_000;
/// Bytes of answers kept.
const MAX_BYTES: usize = 4 << 20;
/// Keys remembered.
const MAX_KEYS: usize = 10_000;

/// An answer kept for repeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// HTTP status it was given with.
    pub status: u16,
    /// Media type of the body.
    pub media: String,
    /// Body, whole.
    pub body: Arc<[u8]>,
    /// What became of the request.
    pub outcome: Outcome,
}

/// What a request with a key finds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// The ledger does not know the key.
    New,
    /// This life knows the key and certainly never dispatched it.
    Idle,
    /// The first request with this key is still open.
    Running,
    /// It is over; this was its answer.
    Finished(Record),
    /// It is over; the answer is no longer kept.
    Spent(Outcome),
    /// The key was used with another body.
    Mismatch,
}

#[derive(Clone, Debug)]
enum State {
    Idle,
    /// Its claim is asked for; `idle` if this life knew before that it never dispatched it.
    Claiming {
        idle: bool,
    },
    Dispatched,
    Finished(Record),
    Spent(Outcome),
}

#[derive(Clone, Debug)]
struct Entry {
    body: Option<u64>,
    state: State,
}

/// Keys seen by this node life.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{Ledger, Start};
///
/// let key: heathpitch_core::Name = "k".parse()?;
/// let mut ledger = Ledger::new();
/// assert_eq!(ledger.start(&key, 1), Start::New);
/// assert!(ledger.dispatch(&key));
/// assert!(!ledger.dispatch(&key));
/// assert_eq!(ledger.start(&key, 1), Start::Running);
/// assert_eq!(ledger.start(&key, 2), Start::Mismatch);
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Debug)]
pub struct Ledger {
    keys: usize,
    entries: HashMap<Name, Entry>,
    order: VecDeque<Name>,
    ended: VecDeque<(Millis, Name)>,
    bytes: usize,
    /// Whether any key was forgotten for want of room.
    forgot: bool,
}

impl Default for Ledger {
    fn default() -> Self {
        Self::new()
    }
}

/// # Before the dispatch
impl Ledger {
    /// A ledger of nothing, with room for 10 000 keys.
    pub fn new() -> Self {
        Self::with_room(MAX_KEYS)
    }

    /// A ledger of nothing, with room for `keys` keys.
    pub fn with_room(keys: usize) -> Self {
        let (entries, order, ended) = Default::default();
        Self { keys, entries, order, ended, bytes: 0, forgot: false }
    }

    /// Number of keys remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Remembers a key that this life minted and has not dispatched.
    pub fn mint(&mut self, key: Name) {
        self.insert(key, Entry { body: None, state: State::Idle });
    }

    /// A request with this key and body digest arrived.
    pub fn start(&mut self, key: &Name, body: u64) -> Start {
        match self.entries.get_mut(key) {
            Some(e) if e.body.is_some_and(|b| b != body) => Start::Mismatch,
            Some(Entry { state: State::Claiming { .. } | State::Dispatched, .. })
                if on(Mechanism::LedgerOnce) =>
            {
                Start::Running
            }
            Some(Entry { state: State::Finished(r), .. }) => Start::Finished(r.clone()),
            Some(Entry { state: State::Spent(o), .. }) => Start::Spent(*o),
            Some(e) => {
                *e = Entry { body: Some(body), state: State::Claiming { idle: true } };
                Start::Idle
            }
            None => {
                // Until a key was forgotten, one that is not known was never here.
                let state = State::Claiming { idle: !self.forgot };
                self.insert(key.clone(), Entry { body: Some(body), state });
                Start::New
            }
        }
    }

    /// Whether the request may leave; true once per key.
    pub fn dispatch(&mut self, key: &Name) -> bool {
        match self.entries.get_mut(key) {
            Some(e) if matches!(e.state, State::Claiming { .. }) => {
                e.state = State::Dispatched;
                true
            }
            _ => false,
        }
    }

    /// The request ended before it was dispatched.
    ///
    /// This life remembers that it was not, unless it may have dispatched the key before and
    /// forgotten it: such a key stays unknown, so that a claim of this life that stands is taken for
    /// one that was used.
    pub fn release(&mut self, key: &Name) {
        match self.entries.get_mut(key) {
            Some(e) if matches!(e.state, State::Claiming { idle: true }) => e.state = State::Idle,
            Some(e) if !on(Mechanism::ForgottenIsRun) => e.state = State::Idle,
            _ => self.forget(key),
        }
    }

    /// Forgets a key that turned out to be another's, or to have been forgotten before.
    pub fn forget(&mut self, key: &Name) {
        let claiming = |e: &Entry| matches!(e.state, State::Claiming { .. });
        if self.entries.get(key).is_some_and(claiming) {
            self.entries.remove(key);
        }
    }
}

/// # After the dispatch
impl Ledger {
    /// The dispatched request ended with proof that it did not run.
    pub fn not_run(&mut self, key: &Name, _proof: NotRun) {
        match self.entries.get_mut(key) {
            Some(e) if matches!(e.state, State::Dispatched) => e.state = State::Idle,
            _ => {}
        }
    }

    /// The dispatched request is over.
    pub fn finish(&mut self, key: &Name, record: Record, now: Millis) {
        let Some(e) = self.entries.get_mut(key) else {
            return;
        };
        check(Invariant::AtMostOnce, matches!(e.state, State::Dispatched));
        self.bytes += record.body.len();
        e.state = State::Finished(record);
        self.ended.push_back((now, key.clone()));
        self.trim(now);
    }

    /// Drops answers past their time, and the oldest beyond the bounds.
    pub fn trim(&mut self, now: Millis) {
        let late = |at: Millis| now.saturating_sub(at) > KEEP;
        while let Some((at, key)) = self.ended.front().cloned() {
            if !late(at) && self.bytes <= MAX_BYTES {
                return;
            }
            self.ended.pop_front();
            self.drop_answer(&key);
        }
    }

    fn drop_answer(&mut self, key: &Name) {
        let Some(Entry { state, .. }) = self.entries.get_mut(key) else {
            return;
        };
        if let State::Finished(record) = state {
            self.bytes = self.bytes.saturating_sub(record.body.len());
            *state = State::Spent(record.outcome);
        }
    }

    fn insert(&mut self, key: Name, entry: Entry) {
        self.order.push_back(key.clone());
        self.entries.insert(key, entry);
        for _ in 0..self.order.len().saturating_sub(self.keys) {
            self.forget_oldest();
        }
    }

    /// Forgets the oldest key, unless its request is open.
    fn forget_oldest(&mut self) {
        let Some(key) = self.order.pop_front() else {
            return;
        };
        match self.entries.get(&key).map(|e| &e.state) {
            Some(State::Claiming { .. } | State::Dispatched) => self.order.push_back(key),
            Some(_) => {
                self.drop_answer(&key);
                self.entries.remove(&key);
                self.forgot = true;
            }
            None => {}
        }
    }
}
