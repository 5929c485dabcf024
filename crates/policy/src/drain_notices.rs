//! Engines that said in an answer that they leave.
//!
//! Such a word binds for the life of the engine, whatever its entry says: the entry may be seconds behind, and
//! the store away. Nodes tell each other, since one that begins anew, or never asked that engine, knows nothing
//! of it. A word that was wrong must not cost a service its engine for good: one that is listed as ready long after
//! is asked, and if it does not say so again, that it stays counts for this node.

use std::collections::HashMap;

use heathpitch_core::Millis;

use crate::{EngineIncarnation, notices};

/// Time after which an engine that is still there is asked whether it leaves, milliseconds: engines that do are
/// gone within some ten seconds.
const ASK_AFTER: Millis = 30_000;
/// Time for which such a word is kept, milliseconds: engines are gone long before.
const KEPT: Millis = 600_000;
/// Words known at a time, some hundred bytes each; more than the engines of the largest fleet.
const MOST: usize = 2_048;

#[derive(Clone, Copy, Debug)]
struct Known {
    /// When it said so.
    at: Millis,
    /// When it was found to stay, if it was.
    stays: Option<Millis>,
    serial: u64,
}

/// Engines that said that they leave.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{EngineIncarnation, DrainNotices};
///
/// let life = EngineIncarnation { engine: "i-1".parse()?, born: None };
/// let mut leavers = DrainNotices::default();
/// assert!(leavers.learn(life.clone(), 0, 10));
/// assert!(!leavers.learn(life.clone(), 300, 20), "known already");
/// assert!(leavers.is_draining(&life));
/// let (told, serial) = leavers.since(0, 16, 500);
/// assert_eq!(told, [(life, 490)]);
/// assert!(leavers.since(serial, 16, 500).0.is_empty());
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct DrainNotices {
    serial: u64,
    known: HashMap<EngineIncarnation, Known>,
}

/// # Learning
impl DrainNotices {
    /// Takes an engine's word of `age` ago; gives whether it is new.
    pub fn learn(&mut self, life: EngineIncarnation, age: Millis, now: Millis) -> bool {
        let at = now.saturating_sub(age);
        let known = self.known.get(&life);
        let stays = known.is_some_and(|k| k.stays.is_some_and(|stays| at <= stays));
        if age >= KEPT || stays || known.is_some_and(|k| k.stays.is_none()) {
            return false;
        }
        self.serial += 1;
        self.known.insert(life, Known { at, stays: None, serial: self.serial });
        notices::bound(&mut self.known, |k| k.at, MOST);
        true
    }

    /// Takes note that an engine which was asked at `now` did not say so again.
    pub fn cancel(&mut self, life: &EngineIncarnation, now: Millis) {
        if let Some(known) = self.known.get_mut(life) {
            known.stays = Some(now);
        }
    }

    /// Forgets what is old.
    pub fn expire(&mut self, now: Millis) {
        self.known.retain(|_, k| now < k.at + KEPT);
    }
}

/// # Reading
impl DrainNotices {
    /// Whether an engine gets no new work for what it said.
    pub fn is_draining(&self, life: &EngineIncarnation) -> bool {
        self.known.get(life).is_some_and(|k| k.stays.is_none())
    }

    /// Engines to be asked whether they leave, if they are still there.
    pub fn due_for_recheck(&self, now: Millis) -> Vec<EngineIncarnation> {
        let old = |k: &Known| k.stays.is_none() && now >= k.at + ASK_AFTER;
        self.known.iter().filter(|(_, k)| old(k)).map(|(life, _)| life.clone()).collect()
    }

    /// At most so many words that came after the one with this serial, with their ages; and the serial up to
    /// which all is known then.
    pub fn since(
        &self,
        serial: u64,
        most: usize,
        now: Millis,
    ) -> (Vec<(EngineIncarnation, Millis)>, u64) {
        let (new, upto) = notices::since(&self.known, |k| k.serial, serial, most, self.serial);
        let told = new.into_iter().filter(|(_, k)| k.stays.is_none());
        (told.map(|(life, k)| (life.clone(), now.saturating_sub(k.at))).collect(), upto)
    }
}
