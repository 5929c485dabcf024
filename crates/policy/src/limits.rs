//! Rate limits of engines, as exchanged between nodes.
//!
//! A limit covers the requests of all nodes together, and a node that never sent an engine a
//! request, or has restarted, does not know it. The newest update applies. Transmission adds an
//! unknown delay to an update's age, so the lifting of a limit is dated as early, and a limit as
//! late, as the delay permits.

use std::collections::{HashMap, HashSet};

use heathpitch_core::{Millis, Rate};

use crate::{EngineIncarnation, LimitEntry, notices};

/// Time for which the lifting of a limit is announced, milliseconds; all reachable nodes know of it
/// by then.
const LIFTED_TTL_MS: Millis = 10_000;
/// Most limits kept, about a hundred bytes each; more than the engines of the largest fleet.
const MAX_LIMITS: usize = 2_048;

#[derive(Clone, Copy, Debug)]
struct Known {
    rate: Option<Rate>,
    at: Millis,
    serial: u64,
}

/// State of one engine's limit, as sent to other nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitUpdate {
    /// Engine.
    pub incarnation: EngineIncarnation,
    /// Limit; `None` if lifted.
    pub rate: Option<Rate>,
    /// Age of this state, milliseconds.
    pub age: Millis,
}

/// Known limits of engines.
///
/// # Examples
///
/// ```
/// use heathpitch_core::Rate;
/// use heathpitch_policy::{EngineIncarnation, Limits};
///
/// let incarnation = EngineIncarnation { engine: "i-1".parse()?, started_at: None };
/// let rate = Some(Rate::from_thousandths(3_600));
/// let mut limits = Limits::default();
/// assert!(limits.learn(incarnation.clone(), rate, 100));
/// assert!(!limits.learn(incarnation.clone(), None, 90), "older");
/// let (updates, serial) = limits.since(0, 16, 500);
/// assert_eq!((updates[0].rate, updates[0].age), (rate, 400));
/// assert!(limits.since(serial, 16, 500).0.is_empty());
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Limits {
    serial: u64,
    known: HashMap<EngineIncarnation, Known>,
    /// Engines whose probe responses state a limit, according to a stored record.
    in_probes: HashSet<EngineIncarnation>,
}

impl Limits {
    /// Applies an update observed at `at`; returns whether it changes the known state.
    pub fn learn(
        &mut self,
        incarnation: EngineIncarnation,
        rate: Option<Rate>,
        at: Millis,
    ) -> bool {
        let known = self.known.get(&incarnation);
        let same = known.map_or(rate.is_none(), |k| k.rate == rate);
        if same || known.is_some_and(|k| at < k.at) {
            return false;
        }
        self.serial += 1;
        self.known.insert(incarnation, Known { rate, at, serial: self.serial });
        notices::bound(&mut self.known, |k| k.at, MAX_LIMITS);
        true
    }

    /// Applies the limit of an engine from a stored record; returns whether the engine was unknown.
    ///
    /// The age of the record is unknown, so it counts as older than any update that nodes still
    /// announce.
    pub fn restore(
        &mut self,
        incarnation: EngineIncarnation,
        limit: LimitEntry,
        now: Millis,
    ) -> bool {
        if limit.in_probes {
            self.in_probes.insert(incarnation.clone());
        }
        let unknown = !self.known.contains_key(&incarnation);
        unknown
            && self.learn(incarnation, Some(limit.rate), now.saturating_sub(LIFTED_TTL_MS).max(1))
    }

    /// Whether probe responses of an engine state its limit, according to a stored record.
    pub fn is_in_probes(&self, incarnation: &EngineIncarnation) -> bool {
        self.in_probes.contains(incarnation)
    }

    /// Limit of an engine and the time it was observed, if there is one.
    pub fn get(&self, incarnation: &EngineIncarnation) -> Option<(Rate, Millis)> {
        self.known.get(incarnation).and_then(|k| Some((k.rate?, k.at)))
    }

    /// Engines with a limit in force.
    pub fn in_force(&self) -> impl Iterator<Item = (EngineIncarnation, Rate)> {
        self.known.iter().filter_map(|(incarnation, k)| Some((incarnation.clone(), k.rate?)))
    }

    /// Removes engines that `keep` rejects, and lifted limits whose announcement has expired.
    pub fn retain(&mut self, keep: impl Fn(&EngineIncarnation) -> bool, now: Millis) {
        self.known.retain(|incarnation, k| {
            keep(incarnation) && (k.rate.is_some() || now < k.at + LIFTED_TTL_MS)
        });
        self.in_probes.retain(|incarnation| self.known.contains_key(incarnation));
    }

    /// At most `most` updates after `serial`, and the serial up to which they are complete.
    pub fn since(&self, serial: u64, most: usize, now: Millis) -> (Vec<LimitUpdate>, u64) {
        let (new, upto) = notices::since(&self.known, |k| k.serial, serial, most, self.serial);
        let update = |(incarnation, k): (&EngineIncarnation, &Known)| LimitUpdate {
            incarnation: incarnation.clone(),
            rate: k.rate,
            age: now.saturating_sub(k.at),
        };
        (new.into_iter().map(update).collect(), upto)
    }
}
