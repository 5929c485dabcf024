//! Parts of prompts that engines answered lately.

use std::collections::{BTreeMap, VecDeque};

use heathpitch_core::{Millis, PromptPart};

use crate::HeldPart;
use crate::exit_book::ExitTime;

/// Shortest time for which an answer is remembered; at most twice as long.
const ANSWERED_MS: Millis = 60_000;
/// Parts kept for each of the two periods, 40 bytes each. A node with 100 requests a second of four
/// parts each, half of them new, records as many in 80 s.
const MAX_PARTS: usize = 16_384;

/// Answered requests that are remembered as such.
const MAX_REQUESTS: usize = 64;

/// A part of the prompts that one client account sends to one service.
///
/// Callers name the parts of their prompts themselves, so that what engines did with those of one
/// account says little about those of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartKey {
    /// Digest of the service.
    pub service: u64,
    /// The part.
    pub part: PromptPart,
    /// Digest of the client account; 0 for none.
    pub account: u64,
}

/// Account that stands for all accounts.
const ANY_ACCOUNT: u64 = u64::MAX;

impl PartKey {
    /// Stands for the part in the prompts of all accounts.
    pub fn any_account(self) -> Self {
        Self { account: ANY_ACCOUNT, ..self }
    }
}

/// When a part was last answered, and the digest of the engine's incarnation.
pub type LastAnswer = (Millis, u64);

/// Recently answered parts, in two periods of which the older one is dropped as a whole.
///
/// # Examples
///
/// ```
/// use heathpitch_core::PromptPart;
/// use heathpitch_policy::{AnsweredParts, PartKey};
///
/// let mut answered = AnsweredParts::default();
/// let key = PartKey { service: 1, part: PromptPart::new("5c1e07a2"), account: 7 };
/// let engine = 5;
/// answered.record(&[key], engine, 1_000);
/// assert!(answered.contains(&key, 61_000));
/// assert!(!answered.contains(&PartKey { account: 8, ..key }, 1_000));
/// assert_eq!(answered.accounts(&key, 1_000), [(key, (1_000, engine))]);
/// assert!(answered.answered_since(&key, 999) && !answered.answered_since(&key, 1_000));
/// assert!(!answered.contains(&key, 130_000));
/// ```
#[derive(Clone, Debug, Default)]
pub struct AnsweredParts {
    current: BTreeMap<PartKey, LastAnswer>,
    previous: BTreeMap<PartKey, LastAnswer>,
    /// Start of the current period.
    since: Millis,
    /// The last answered requests: times and parts.
    requests: VecDeque<(Millis, Vec<PartKey>)>,
}

impl AnsweredParts {
    /// Records the parts of a prompt that an engine answered; `engine` is the digest of its incarnation.
    pub fn record(&mut self, keys: &[PartKey], engine: u64, now: Millis) {
        self.rotate(now);
        if self.current.len() >= MAX_PARTS {
            self.start_period(now);
        }
        self.current.extend(keys.iter().map(|key| (*key, (now, engine))));
        self.requests.push_back((now, keys.to_vec()));
        if self.requests.len() > MAX_REQUESTS {
            self.requests.pop_front();
        }
    }

    /// Whether an engine has answered a request of the service since a time that `part` does not concern, of the last ones.
    pub(crate) fn without(&self, part: &HeldPart, since: ExitTime) -> bool {
        self.requests.iter().any(|(at, keys)| {
            let of_service = keys.first().is_some_and(|key| key.service == part.service);
            of_service && *at as ExitTime > since && !keys.iter().any(|key| part.covers(key))
        })
    }

    /// Whether an engine answered this part lately.
    pub fn contains(&mut self, key: &PartKey, now: Millis) -> bool {
        self.rotate(now);
        self.current.contains_key(key) || self.previous.contains_key(key)
    }

    /// Whether an engine answered this part after a time.
    pub fn answered_since(&self, key: &PartKey, since: Millis) -> bool {
        let last = self.current.get(key).or_else(|| self.previous.get(key));
        last.is_some_and(|(at, _)| *at > since)
    }

    /// The part in the prompts of all client accounts for which engines answered it lately, and the last answer to each.
    pub fn accounts(&mut self, key: &PartKey, now: Millis) -> Vec<(PartKey, LastAnswer)> {
        self.rotate(now);
        let range = PartKey { account: 0, ..*key }..=PartKey { account: u64::MAX, ..*key };
        let (previous, current) = (self.previous.range(range.clone()), self.current.range(range));
        let newest: BTreeMap<_, _> =
            previous.chain(current).map(|(key, last)| (*key, *last)).collect();
        newest.into_iter().collect()
    }

    fn rotate(&mut self, now: Millis) {
        let age = now.saturating_sub(self.since);
        if age >= 2 * ANSWERED_MS {
            self.current.clear();
        }
        if age >= ANSWERED_MS {
            self.start_period(now);
        }
    }

    fn start_period(&mut self, now: Millis) {
        self.previous = std::mem::take(&mut self.current);
        self.since = now;
    }
}
