//! Answers to requests with parts under which engines exited: what nodes exchange beside exits.

use std::collections::BTreeMap;

use heathpitch_core::{Millis, PromptPart};

use crate::PartKey;
use crate::exit_book::{EXIT_TTL_MS, ExitTime, time_before};

/// Bounds the answers kept, about 60 bytes each.
const MAX_ANSWERS: usize = 2_048;

/// An answer to a request with a part under which engines exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartAnswer {
    /// The part, of the account that sent the request.
    pub key: PartKey,
    /// Digest of the engine's incarnation.
    pub engine: u64,
    /// Tells answers of one engine apart.
    pub id: u64,
}

impl PartAnswer {
    /// An answer that a node received at a time of its clock; `node` is the random id of the node's incarnation.
    pub fn new(key: PartKey, engine: u64, node: u64, at: Millis) -> Self {
        Self { key, engine, id: node.wrapping_add(at) }
    }
}

#[derive(Clone, Copy, Debug)]
struct Known {
    at: ExitTime,
    serial: u64,
}

/// Known answers, bounded in number and age.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartAnswers {
    serial: u64,
    answers: BTreeMap<PartAnswer, Known>,
}

/// # Updates
impl PartAnswers {
    /// Adds an answer that was given `age` ago; returns whether it is new. The oldest one is evicted if there are too many.
    pub(crate) fn learn(&mut self, answer: PartAnswer, age: Millis, now: Millis) -> bool {
        if age >= EXIT_TTL_MS || self.answers.contains_key(&answer) {
            return false;
        }
        self.serial += 1;
        self.answers.insert(answer, Known { at: time_before(now, age), serial: self.serial });
        if self.answers.len() > MAX_ANSWERS {
            let oldest = self.answers.iter().min_by_key(|(_, k)| k.at).map(|(answer, _)| *answer);
            oldest.map(|answer| self.answers.remove(&answer));
        }
        true
    }

    /// Drops expired answers.
    pub(crate) fn expire(&mut self, now: Millis) {
        let oldest = time_before(now, EXIT_TTL_MS);
        self.answers.retain(|_, known| known.at > oldest);
    }
}

/// # Queries
impl PartAnswers {
    /// Answers to requests with a part, by client account.
    pub(crate) fn of(
        &self,
        service: u64,
        part: PromptPart,
    ) -> impl Iterator<Item = (PartAnswer, ExitTime)> {
        let bound = |n| PartAnswer { key: PartKey { service, part, account: n }, engine: n, id: n };
        let range = bound(0)..=bound(u64::MAX);
        self.answers.range(range).map(|(answer, known)| (*answer, known.at))
    }

    /// All answers.
    pub(crate) fn all(&self) -> impl Iterator<Item = (PartAnswer, ExitTime)> {
        self.answers.iter().map(|(answer, known)| (*answer, known.at))
    }

    /// Answers learned after `serial`, in order, with their ages, and the serial to continue from; at most `most`.
    pub(crate) fn since(
        &self,
        serial: u64,
        most: usize,
        now: Millis,
    ) -> (Vec<(PartAnswer, Millis)>, u64) {
        let mut new: Vec<_> = self.answers.iter().filter(|(_, k)| k.serial > serial).collect();
        new.sort_unstable_by_key(|(_, k)| k.serial);
        let last = if new.len() > most { new[most - 1].1.serial } else { self.serial };
        let age = |at: ExitTime| (now as ExitTime).saturating_sub(at).max(0) as Millis;
        (new.into_iter().take(most).map(|(answer, k)| (*answer, age(k.at))).collect(), last)
    }
}
