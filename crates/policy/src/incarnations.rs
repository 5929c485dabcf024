//! Lives of engines: an engine may start again under the id that it had.
//!
//! It then holds and knows nothing of before. All that it says of itself names its start, so a word of the
//! new life ends what was known of the old one, also where its entry never went, and a word of the
//! old life that arrives late says nothing any more.

use std::collections::HashMap;

use heathpitch_core::{Millis, Name};

/// What an engine's word is worth, by the start that it names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recency {
    /// Of the life that is known, or of the first one heard of.
    Current,
    /// Of a newer life: what is known of the engine is over.
    Restarted,
    /// Of an older life: to be passed over.
    Stale,
}

/// The newest life of each engine.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{Incarnations, Recency};
///
/// let engine: heathpitch_core::Name = "i-1".parse()?;
/// let mut lives = Incarnations::default();
/// assert_eq!(lives.observe(&engine, Some(1_000), 10), Recency::Current);
/// assert_eq!(lives.observe(&engine, Some(2_000), 20), Recency::Restarted);
/// assert_eq!(lives.observe(&engine, Some(1_000), 30), Recency::Stale);
/// assert!(lives.restarted_since(&engine, 15));
/// assert!(!lives.restarted_since(&engine, 25));
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Incarnations {
    known: HashMap<Name, Life>,
}

#[derive(Clone, Copy, Debug)]
struct Life {
    /// Unix time of its start, milliseconds.
    born: Millis,
    /// When this node heard that it follows another life, if it does.
    reborn: Option<Millis>,
}

impl Incarnations {
    /// Takes the start that an engine's word names, heard at `now`; a word that names none is taken to be
    /// of the life that is known.
    pub fn observe(&mut self, engine: &Name, born: Option<Millis>, now: Millis) -> Recency {
        let Some(born) = born else { return Recency::Current };
        let known = self.known.get(engine).map(|l| l.born);
        let (word, reborn) = match known {
            Some(known) if born < known => return Recency::Stale,
            Some(known) if born == known => return Recency::Current,
            Some(_) => (Recency::Restarted, Some(now)),
            None => (Recency::Current, None),
        };
        self.known.insert(engine.clone(), Life { born, reborn });
        word
    }

    /// Unix time of the start of an engine's newest life, if it ever named one, milliseconds.
    pub fn born(&self, engine: &Name) -> Option<Millis> {
        self.known.get(engine).map(|l| l.born)
    }

    /// Whether a new life of an engine was heard of at `since` or later.
    pub fn restarted_since(&self, engine: &Name, since: Millis) -> bool {
        self.known.get(engine).and_then(|l| l.reborn).is_some_and(|at| at >= since)
    }

    /// Forgets engines that are not to be kept.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.known.retain(|engine, _| keep(engine));
    }
}
