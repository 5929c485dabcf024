//! Engines that announced in a response that they drain.
//!
//! A drain notice holds for the incarnation of the engine, whatever its entry says: the entry may
//! be seconds behind, and the store unreachable. Nodes pass notices on to each other, since one
//! that has restarted, or has never called that engine, knows nothing of it. A wrong notice must
//! not cost a service its engine for good: an engine that is still listed as ready long after is
//! asked again, and if it does not repeat the notice, this node cancels it.

use std::collections::HashMap;

use heathpitch_core::Millis;

use crate::{EngineIncarnation, notices};

/// Time after which an engine that is still listed is asked whether it drains: draining engines
/// stop within about 10 s.
const RECHECK_AFTER_MS: Millis = 30_000;
/// Time for which a notice is kept: engines stop long before.
const NOTICE_TTL_MS: Millis = 600_000;
/// Bounds the notices kept, about 100 bytes each; more than the engines of the largest fleet.
const MAX_NOTICES: usize = 2_048;

#[derive(Clone, Copy, Debug)]
struct Notice {
    /// When the engine sent it.
    at: Millis,
    /// When it was cancelled, if it was.
    cancelled: Option<Millis>,
    serial: u64,
}

/// Engines that announced that they drain.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{EngineIncarnation, DrainNotices};
///
/// let incarnation = EngineIncarnation { engine: "i-1".parse()?, started_at: None };
/// let mut notices = DrainNotices::default();
/// assert!(notices.learn(incarnation.clone(), 0, 10));
/// assert!(!notices.learn(incarnation.clone(), 300, 20), "already known");
/// assert!(notices.is_draining(&incarnation));
/// let (new, serial) = notices.since(0, 16, 500);
/// assert_eq!(new, [(incarnation, 490)]);
/// assert!(notices.since(serial, 16, 500).0.is_empty());
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct DrainNotices {
    serial: u64,
    known: HashMap<EngineIncarnation, Notice>,
}

/// # Updates
impl DrainNotices {
    /// Records a notice that an engine sent `age` ago; returns whether it is new.
    pub fn learn(&mut self, incarnation: EngineIncarnation, age: Millis, now: Millis) -> bool {
        let at = now.saturating_sub(age);
        let known = self.known.get(&incarnation);
        let outdated = known.is_some_and(|k| k.cancelled.is_some_and(|cancelled| at <= cancelled));
        if age >= NOTICE_TTL_MS || outdated || known.is_some_and(|k| k.cancelled.is_none()) {
            return false;
        }
        self.serial += 1;
        self.known.insert(incarnation, Notice { at, cancelled: None, serial: self.serial });
        notices::bound(&mut self.known, |k| k.at, MAX_NOTICES);
        true
    }

    /// Cancels the notice of an engine that was asked at `now` and did not repeat it.
    pub fn cancel(&mut self, incarnation: &EngineIncarnation, now: Millis) {
        if let Some(known) = self.known.get_mut(incarnation) {
            known.cancelled = Some(now);
        }
    }

    /// Drops expired notices.
    pub fn expire(&mut self, now: Millis) {
        self.known.retain(|_, k| now < k.at + NOTICE_TTL_MS);
    }
}

/// # Queries
impl DrainNotices {
    /// Whether an engine drains, so that it gets no new work.
    pub fn is_draining(&self, incarnation: &EngineIncarnation) -> bool {
        self.known.get(incarnation).is_some_and(|k| k.cancelled.is_none())
    }

    /// Engines to be asked whether they still drain, if they are still listed.
    pub fn due_for_recheck(&self, now: Millis) -> Vec<EngineIncarnation> {
        let old = |k: &Notice| k.cancelled.is_none() && now >= k.at + RECHECK_AFTER_MS;
        self.known
            .iter()
            .filter(|(_, k)| old(k))
            .map(|(incarnation, _)| incarnation.clone())
            .collect()
    }

    /// At most `most` notices recorded after `serial`, with their ages, and the serial to continue
    /// from.
    pub fn since(
        &self,
        serial: u64,
        most: usize,
        now: Millis,
    ) -> (Vec<(EngineIncarnation, Millis)>, u64) {
        let (new, upto) = notices::since(&self.known, |k| k.serial, serial, most, self.serial);
        let active = new.into_iter().filter(|(_, k)| k.cancelled.is_none());
        (
            active
                .map(|(incarnation, k)| (incarnation.clone(), now.saturating_sub(k.at)))
                .collect(),
            upto,
        )
    }
}
