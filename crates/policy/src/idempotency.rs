//! Idempotency keys of non-idempotent requests, within one incarnation of a node.
//!
//! Every dispatch of such a request goes through this table, which allows one per key. Answers are
//! kept for repeats within bounds of time and memory. Beyond them only the outcome is kept, and
//! once a key is evicted it counts as run.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::switch::{Mechanism, on};
use heathpitch_core::{Invariant, Millis, Name, NotRun, Outcome, check};

/// Time for which an answer is kept.
const ANSWER_TTL_MS: Millis = 600_000;
/// Most bytes of answers kept.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Most keys kept.
const MAX_KEYS: usize = 10_000;

/// An answer kept for repeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub media: String,
    /// Complete body.
    pub body: Arc<[u8]>,
    /// Outcome of the request.
    pub outcome: Outcome,
}

/// State of a key when a request with it arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// The key is not in the table.
    New,
    /// The key is known and was certainly not dispatched by this incarnation.
    NotDispatched,
    /// The first request with this key is still open.
    Running,
    /// The request has finished with this answer.
    Finished(StoredAnswer),
    /// The request has finished; the answer is no longer kept.
    AnswerDropped(Outcome),
    /// The key was used with another body.
    Mismatch,
}

#[derive(Clone, Debug)]
enum State {
    NotDispatched,
    /// Its claim is requested; `unused` if the key is known not to have been dispatched before by
    /// this incarnation.
    Claiming {
        unused: bool,
    },
    Dispatched,
    Finished(StoredAnswer),
    AnswerDropped(Outcome),
}

#[derive(Clone, Debug)]
struct Entry {
    body: Option<u64>,
    state: State,
}

/// Idempotency keys seen by this incarnation of the node.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{IdempotencyTable, KeyState};
///
/// let key: heathpitch_core::Name = "k".parse()?;
/// let mut table = IdempotencyTable::new();
/// assert_eq!(table.start(&key, 1), KeyState::New);
/// assert!(table.dispatch(&key));
/// assert!(!table.dispatch(&key));
/// assert_eq!(table.start(&key, 1), KeyState::Running);
/// assert_eq!(table.start(&key, 2), KeyState::Mismatch);
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Debug)]
pub struct IdempotencyTable {
    keys: usize,
    entries: HashMap<Name, Entry>,
    order: VecDeque<Name>,
    finished: VecDeque<(Millis, Name)>,
    bytes: usize,
    /// Whether any key was evicted for lack of capacity.
    evicted: bool,
}

impl Default for IdempotencyTable {
    fn default() -> Self {
        Self::new()
    }
}

/// # Before the dispatch
impl IdempotencyTable {
    /// An empty table with a capacity of 10 000 keys.
    pub fn new() -> Self {
        Self::with_capacity(MAX_KEYS)
    }

    /// An empty table with a capacity of `keys` keys.
    pub fn with_capacity(keys: usize) -> Self {
        let (entries, order, finished) = Default::default();
        Self { keys, entries, order, finished, bytes: 0, evicted: false }
    }

    /// Number of keys kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a key that this incarnation generated and has not dispatched.
    pub fn add_unused(&mut self, key: Name) {
        self.insert(key, Entry { body: None, state: State::NotDispatched });
    }

    /// Handles the arrival of a request with this key and body digest.
    pub fn start(&mut self, key: &Name, body: u64) -> KeyState {
        match self.entries.get_mut(key) {
            Some(e) if e.body.is_some_and(|b| b != body) => KeyState::Mismatch,
            Some(Entry { state: State::Claiming { .. } | State::Dispatched, .. })
                if on(Mechanism::DispatchOnce) =>
            {
                KeyState::Running
            }
            Some(Entry { state: State::Finished(r), .. }) => KeyState::Finished(r.clone()),
            Some(Entry { state: State::AnswerDropped(o), .. }) => KeyState::AnswerDropped(*o),
            Some(e) => {
                *e = Entry { body: Some(body), state: State::Claiming { unused: true } };
                KeyState::NotDispatched
            }
            None => {
                // While no key has been evicted, an unknown key was never dispatched here.
                let state = State::Claiming { unused: !self.evicted };
                self.insert(key.clone(), Entry { body: Some(body), state });
                KeyState::New
            }
        }
    }

    /// Whether the request may be dispatched; true once per key.
    pub fn dispatch(&mut self, key: &Name) -> bool {
        match self.entries.get_mut(key) {
            Some(e) if matches!(e.state, State::Claiming { .. }) => {
                e.state = State::Dispatched;
                true
            }
            _ => false,
        }
    }

    /// Handles the end of a request before its dispatch.
    ///
    /// The key is kept as not dispatched, unless it may have been dispatched before and evicted.
    /// Such a key stays unknown, so that an existing claim of this incarnation counts as used.
    pub fn release(&mut self, key: &Name) {
        match self.entries.get_mut(key) {
            Some(e) if matches!(e.state, State::Claiming { unused: true }) => {
                e.state = State::NotDispatched
            }
            Some(e) if !on(Mechanism::EvictedAsRun) => e.state = State::NotDispatched,
            _ => self.forget(key),
        }
    }

    /// Removes a key that belongs to another owner, or had been evicted before.
    pub fn forget(&mut self, key: &Name) {
        let claiming = |e: &Entry| matches!(e.state, State::Claiming { .. });
        if self.entries.get(key).is_some_and(claiming) {
            self.entries.remove(key);
        }
    }
}

/// # After the dispatch
impl IdempotencyTable {
    /// Handles the end of a dispatched request that provably did not run.
    pub fn mark_not_run(&mut self, key: &Name, _proof: NotRun) {
        match self.entries.get_mut(key) {
            Some(e) if matches!(e.state, State::Dispatched) => e.state = State::NotDispatched,
            _ => {}
        }
    }

    /// Handles the end of a dispatched request.
    pub fn finish(&mut self, key: &Name, record: StoredAnswer, now: Millis) {
        let Some(e) = self.entries.get_mut(key) else {
            return;
        };
        check(Invariant::AtMostOnce, matches!(e.state, State::Dispatched));
        self.bytes += record.body.len();
        e.state = State::Finished(record);
        self.finished.push_back((now, key.clone()));
        self.evict_answers(now);
    }

    /// Drops expired answers, and the oldest ones beyond the memory bound.
    pub fn evict_answers(&mut self, now: Millis) {
        let is_expired = |at: Millis| now.saturating_sub(at) > ANSWER_TTL_MS;
        while let Some((at, key)) = self.finished.front().cloned() {
            if !is_expired(at) && self.bytes <= MAX_ANSWER_BYTES {
                return;
            }
            self.finished.pop_front();
            self.drop_answer(&key);
        }
    }

    fn drop_answer(&mut self, key: &Name) {
        let Some(Entry { state, .. }) = self.entries.get_mut(key) else {
            return;
        };
        if let State::Finished(record) = state {
            self.bytes = self.bytes.saturating_sub(record.body.len());
            *state = State::AnswerDropped(record.outcome);
        }
    }

    fn insert(&mut self, key: Name, entry: Entry) {
        self.order.push_back(key.clone());
        self.entries.insert(key, entry);
        for _ in 0..self.order.len().saturating_sub(self.keys) {
            self.evict_oldest();
        }
    }

    /// Evicts the oldest key, unless its request is open.
    fn evict_oldest(&mut self) {
        let Some(key) = self.order.pop_front() else {
            return;
        };
        match self.entries.get(&key).map(|e| &e.state) {
            Some(State::Claiming { .. } | State::Dispatched) => self.order.push_back(key),
            Some(_) => {
                self.drop_answer(&key);
                self.entries.remove(&key);
                self.evicted = true;
            }
            None => {}
        }
    }
}
