//! Limits that engines name, as nodes tell each other.
//!
//! A node that never asked an engine, or begins anew, knows nothing of its limit; what all send counts together. The
//! newest word holds. Ages grow on the way, so the end of a limit is taken to be as old as it may be, and a limit
//! as young as it may be.

use std::collections::{HashMap, HashSet};

use heathpitch_core::{Millis, Rate};

use crate::{EngineIncarnation, LimitEntry, notices};

/// Time for which the end of a limit is told, milliseconds: all nodes in touch have heard of it by then.
const END_TOLD: Millis = 10_000;
/// Limits known at a time, some hundred bytes each; more than the engines of the largest fleet.
const MOST: usize = 2_048;

#[derive(Clone, Copy, Debug)]
struct Known {
    rate: Option<Rate>,
    at: Millis,
    serial: u64,
}

/// A word on an engine's limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitTold {
    /// The engine.
    pub life: EngineIncarnation,
    /// Its limit; none if that is over.
    pub rate: Option<Rate>,
    /// Age of the word, milliseconds.
    pub age: Millis,
}

/// Limits that engines name.
///
/// # Examples
///
/// ```
/// use heathpitch_core::Rate;
/// use heathpitch_policy::{EngineIncarnation, Limits};
///
/// let life = EngineIncarnation { engine: "i-1".parse()?, born: None };
/// let rate = Some(Rate::from_thousandths(3_600));
/// let mut limits = Limits::default();
/// assert!(limits.learn(life.clone(), rate, 100));
/// assert!(!limits.learn(life.clone(), None, 90), "older");
/// let (told, serial) = limits.since(0, 16, 500);
/// assert_eq!((told[0].rate, told[0].age), (rate, 400));
/// assert!(limits.since(serial, 16, 500).0.is_empty());
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Limits {
    serial: u64,
    known: HashMap<EngineIncarnation, Known>,
    /// Engines whose answers to nodes' own questions name a limit, as a record of the store says.
    aside: HashSet<EngineIncarnation>,
}

impl Limits {
    /// Takes a word of `at`; gives whether it changes what is known.
    pub fn learn(&mut self, life: EngineIncarnation, rate: Option<Rate>, at: Millis) -> bool {
        let known = self.known.get(&life);
        let same = known.map_or(rate.is_none(), |k| k.rate == rate);
        if same || known.is_some_and(|k| at < k.at) {
            return false;
        }
        self.serial += 1;
        self.known.insert(life, Known { rate, at, serial: self.serial });
        notices::bound(&mut self.known, |k| k.at, MOST);
        true
    }

    /// Takes the limit of an engine from a record of the store; gives whether nothing was known of the engine.
    ///
    /// How old the record is is not known: it counts as no younger than any word that nodes still tell.
    pub fn restore(&mut self, life: EngineIncarnation, limit: LimitEntry, now: Millis) -> bool {
        if limit.aside {
            self.aside.insert(life.clone());
        }
        let unknown = !self.known.contains_key(&life);
        unknown && self.learn(life, Some(limit.rate), now.saturating_sub(END_TOLD).max(1))
    }

    /// Whether answers to nodes' own questions name the limit of an engine, as a record of the store says.
    pub fn is_named_aside(&self, life: &EngineIncarnation) -> bool {
        self.aside.contains(life)
    }

    /// The limit of an engine and since when it is known, if it names one.
    pub fn of(&self, life: &EngineIncarnation) -> Option<(Rate, Millis)> {
        self.known.get(life).and_then(|k| Some((k.rate?, k.at)))
    }

    /// The engines that name a limit, with it.
    pub fn named(&self) -> impl Iterator<Item = (EngineIncarnation, Rate)> {
        self.known.iter().filter_map(|(life, k)| Some((life.clone(), k.rate?)))
    }

    /// Forgets engines that are not to be kept, and ends of limits that all nodes have heard of.
    pub fn retain(&mut self, keep: impl Fn(&EngineIncarnation) -> bool, now: Millis) {
        self.known.retain(|life, k| keep(life) && (k.rate.is_some() || now < k.at + END_TOLD));
        self.aside.retain(|life| self.known.contains_key(life));
    }

    /// At most so many words that came after the one with this serial; and the serial up to which all is known then.
    pub fn since(&self, serial: u64, most: usize, now: Millis) -> (Vec<LimitTold>, u64) {
        let (new, upto) = notices::since(&self.known, |k| k.serial, serial, most, self.serial);
        let told = |(life, k): (&EngineIncarnation, &Known)| LimitTold {
            life: life.clone(),
            rate: k.rate,
            age: now.saturating_sub(k.at),
        };
        (new.into_iter().map(told).collect(), upto)
    }
}
