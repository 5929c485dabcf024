//! Incarnations of engines: an engine may restart under the same id.
//!
//! A restarted engine has lost all of its state. Each of its messages carries its start time, so a
//! message of a new incarnation invalidates what is known of the previous one, even if the engine's
//! entry never disappeared from the list, and a late message of an old incarnation is ignored.

use std::collections::HashMap;

use heathpitch_core::{Millis, Name};

/// How the start time in an engine's message compares with the incarnation known so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recency {
    /// The known incarnation, or the first one seen.
    Current,
    /// A newer incarnation: all that is known of the engine is invalid.
    Restarted,
    /// An older incarnation: the message is to be ignored.
    Stale,
}

/// The newest incarnation of each engine.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{Incarnations, Recency};
///
/// let engine: heathpitch_core::Name = "i-1".parse()?;
/// let mut incarnations = Incarnations::default();
/// assert_eq!(incarnations.observe(&engine, Some(1_000), 10), Recency::Current);
/// assert_eq!(incarnations.observe(&engine, Some(2_000), 20), Recency::Restarted);
/// assert_eq!(incarnations.observe(&engine, Some(1_000), 30), Recency::Stale);
/// assert!(incarnations.restarted_since(&engine, 15));
/// assert!(!incarnations.restarted_since(&engine, 25));
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Incarnations {
    known: HashMap<Name, Known>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    /// Unix time of the start, milliseconds.
    started_at: Millis,
    /// When this node saw it replace another incarnation, if it did.
    restarted: Option<Millis>,
}

impl Incarnations {
    /// Records the start time in a message received at `now`; one without a start time counts as of
    /// the known incarnation.
    pub fn observe(&mut self, engine: &Name, started_at: Option<Millis>, now: Millis) -> Recency {
        let Some(started_at) = started_at else { return Recency::Current };
        let known = self.known.get(engine).map(|l| l.started_at);
        let (recency, restarted) = match known {
            Some(known) if started_at < known => return Recency::Stale,
            Some(known) if started_at == known => return Recency::Current,
            Some(_) => (Recency::Restarted, Some(now)),
            None => (Recency::Current, None),
        };
        self.known.insert(engine.clone(), Known { started_at, restarted });
        recency
    }

    /// Unix time of the start of an engine's newest incarnation, milliseconds, if it ever reported
    /// one.
    pub fn started_at(&self, engine: &Name) -> Option<Millis> {
        self.known.get(engine).map(|l| l.started_at)
    }

    /// Whether a restart of an engine was observed at `since` or later.
    pub fn restarted_since(&self, engine: &Name, since: Millis) -> bool {
        self.known.get(engine).and_then(|l| l.restarted).is_some_and(|at| at >= since)
    }

    /// Keeps only the engines for which `keep` returns true.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.known.retain(|engine, _| keep(engine));
    }
}
