//! Engine exits by what the engines were running: the state that nodes exchange.
//!
//! The state of an exit changes in one direction only: it may be renewed, or cleared. So nodes
//! agree whether updates arrive out of order, twice or late.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeBounds;

use heathpitch_core::{Millis, RequestFingerprint};

use crate::{EngineIncarnation, RecordedExit, Suspect, just_started};

/// Time for which an exit is kept after its suspect was last seen: engines are repaired, or an
/// operator has intervened, within some minutes.
pub(crate) const EXIT_TTL_MS: Millis = 600_000;
/// Bounds the exits kept, about 100 bytes each.
const MAX_EXITS: usize = 2_048;

/// Exits from which causes are evicted alike: as many as a verdict needs.
const MAX_COUNTED: usize = 4;

/// Time of an exit on this node's clock, milliseconds. Other nodes report exits from before this node started,
/// which are negative.
pub(crate) type ExitTime = i64;

/// Time `age` before `now`.
pub(crate) fn time_before(now: Millis, age: Millis) -> ExitTime {
    now as ExitTime - age as ExitTime
}

/// What is known of a suspect at one engine that exited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ExitDetails {
    /// Events that the engine had delivered.
    pub(crate) events: u32,
    /// Position of a part in its prompt, from 0; 0 for a whole request.
    pub(crate) position: u8,
    /// Whether requests of the service without the suspect were answered since.
    pub(crate) others_answered: bool,
    /// Whether the suspect itself was answered in the minutes before.
    pub(crate) answered_before: bool,
    /// The request, if the suspect is a part of its prompt and it is known.
    pub(crate) request: Option<RequestFingerprint>,
}

/// An exit as nodes exchange it; `S` is what is suspected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Exit<S> {
    pub(crate) suspect: S,
    pub(crate) incarnation: EngineIncarnation,
    pub(crate) details: ExitDetails,
    pub(crate) renewed: u32,
    pub(crate) cleared: bool,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct ExitState {
    pub(crate) details: ExitDetails,
    pub(crate) renewed: u32,
    pub(crate) cleared: bool,
    pub(crate) at: ExitTime,
    serial: u64,
}

/// Exits by suspect and engine, bounded in number and age.
#[derive(Clone, Debug)]
pub(crate) struct ExitBook<S> {
    /// Whether two suspects may stand for the same cause.
    is_same_cause: fn(&S, &S) -> bool,
    serial: u64,
    exits: BTreeMap<S, BTreeMap<EngineIncarnation, ExitState>>,
    /// Number of exits.
    len: usize,
}

impl<S: PartialEq> Default for ExitBook<S> {
    fn default() -> Self {
        Self::new(S::eq)
    }
}

impl<S> ExitBook<S> {
    /// A book of suspects of which those that are neighbours in order may stand for the same cause.
    pub(crate) fn new(is_same_cause: fn(&S, &S) -> bool) -> Self {
        Self { is_same_cause, serial: 0, exits: BTreeMap::new(), len: 0 }
    }
}

/// # Updates
impl<S: Copy + Ord> ExitBook<S> {
    /// Merges an exit that has been known for `age`; returns whether it changes anything. The exits
    /// of suspects in `held` are evicted last.
    pub(crate) fn learn(
        &mut self,
        exit: Exit<S>,
        age: Millis,
        now: Millis,
        held: &BTreeSet<S>,
    ) -> bool {
        // An old exit is kept as long as a later one of its suspect; at twice the TTL all have
        // expired.
        if age >= 2 * EXIT_TTL_MS {
            return false;
        }
        let at = time_before(now, age);
        let serial = self.serial + 1;
        let Exit { suspect, incarnation, details, renewed, cleared } = exit;
        let update = ExitState { details, renewed, cleared, at, serial };
        let of = self.exits.entry(suspect).or_default();
        let new = match of.get_mut(&incarnation) {
            None => {
                of.insert(incarnation, update);
                self.len += 1;
                true
            }
            Some(known) => known.join(update),
        };
        if new {
            self.serial = serial;
            self.make_room(held);
        }
        new
    }

    /// Clears the exits that match; returns whether there were any.
    pub(crate) fn clear(&mut self, of: impl Fn(&S, &EngineIncarnation) -> bool) -> bool {
        let serial = self.serial + 1;
        let mut new = false;
        for (suspect, exits) in &mut self.exits {
            for (_, known) in exits.iter_mut().filter(|(i, k)| !k.cleared && of(suspect, i)) {
                (known.cleared, known.serial) = (true, serial);
                new = true;
            }
        }
        if new {
            self.serial = serial;
        }
        new
    }

    /// Records that others were answered since an exit.
    pub(crate) fn set_others_answered(&mut self, suspect: S, incarnation: &EngineIncarnation) {
        let exit = self.exits.get_mut(&suspect).and_then(|of| of.get_mut(incarnation));
        if let Some(exit) = exit.filter(|exit| !exit.details.others_answered) {
            self.serial += 1;
            (exit.details.others_answered, exit.serial) = (true, self.serial);
        }
    }

    /// Extends the time of a suspect's exits once half of it is over; returns whether it did.
    pub(crate) fn renew(&mut self, suspect: S, now: Millis) -> bool {
        let due = Self::is_renewal_due(self.remaining(suspect, now));
        if due {
            self.serial += 1;
            let of = self.exits.get_mut(&suspect).into_iter().flat_map(BTreeMap::values_mut);
            for known in of.filter(|k| !k.cleared) {
                (known.renewed, known.at, known.serial) =
                    (known.renewed + 1, time_before(now, 0), self.serial);
            }
        }
        due
    }

    /// Drops expired exits, those of suspects in `together` only once all of them have expired; returns whether there were
    /// any.
    pub(crate) fn expire(&mut self, now: Millis, together: impl Fn(&S) -> bool) -> bool {
        let before = self.len;
        let oldest = time_before(now, EXIT_TTL_MS);
        self.exits.retain(|suspect, exits| {
            if !together(suspect) {
                exits.retain(|_, k| k.at > oldest);
            }
            exits.values().any(|k| k.at > oldest)
        });
        self.len = self.exits.values().map(BTreeMap::len).sum();
        self.len < before
    }

    /// Evicts an eighth of the exits if there are too many: cleared ones first, then those of causes with the fewest, those
    /// of held suspects last, and the oldest of each kind first.
    fn make_room(&mut self, held: &BTreeSet<S>) {
        if self.len <= MAX_EXITS {
            return;
        }
        let all: Vec<_> = self.exits.iter().collect();
        let causes = all.chunk_by(|(a, _), (b, _)| (self.is_same_cause)(a, b));
        let counted = causes.flat_map(|of| {
            let count = of.iter().map(|(_, exits)| exits.len()).sum::<usize>().min(MAX_COUNTED);
            of.iter().map(move |(suspect, exits)| (*suspect, *exits, count))
        });
        let of_suspect = |(suspect, exits, count): (&S, &BTreeMap<_, ExitState>, usize)| {
            let held = held.contains(suspect);
            let worth = |(i, k): (&EngineIncarnation, &ExitState)| {
                ((!k.cleared, held, count, k.at), *suspect, i.clone())
            };
            exits.iter().map(worth).collect::<Vec<_>>()
        };
        let mut all: Vec<_> = counted.flat_map(of_suspect).collect();
        all.sort_by_key(|(worth, ..)| *worth);
        for (_, suspect, incarnation) in all.into_iter().take(MAX_EXITS / 8) {
            if let Some(of) = self.exits.get_mut(&suspect) {
                of.remove(&incarnation);
            }
        }
        self.exits.retain(|_, of| !of.is_empty());
        self.len = self.exits.values().map(BTreeMap::len).sum();
    }
}

impl ExitState {
    /// Time since the exit.
    pub(crate) fn age(&self, now: Millis) -> Millis {
        (now as ExitTime).saturating_sub(self.at).max(0) as Millis
    }

    /// Whether this exit counts against its suspect.
    fn counts(&self) -> bool {
        !self.cleared && just_started(self.details.events)
    }

    /// The exit as the store keeps it.
    pub(crate) fn recorded(
        &self,
        suspect: Suspect,
        incarnation: &EngineIncarnation,
        now: Millis,
    ) -> RecordedExit {
        let ExitDetails { events, position, others_answered, answered_before, request } =
            self.details;
        let (incarnation, cleared, age) = (incarnation.clone(), self.cleared, self.age(now));
        RecordedExit {
            suspect,
            incarnation,
            events,
            position,
            others_answered,
            answered_before,
            request,
            cleared,
            age,
        }
    }

    /// Merges another state of the same exit; returns whether it changes anything.
    fn join(&mut self, update: Self) -> bool {
        let others_answered = self.details.others_answered || update.details.others_answered;
        let answered_before = self.details.answered_before || update.details.answered_before;
        let new = (update.cleared && !self.cleared)
            || update.renewed > self.renewed
            || others_answered != self.details.others_answered
            || answered_before != self.details.answered_before;
        let at = match update.renewed.cmp(&self.renewed) {
            Ordering::Greater => update.at,
            // The older one, so that passing an exit back and forth does not make it younger.
            Ordering::Equal => self.at.min(update.at),
            Ordering::Less => self.at,
        };
        let serial = if new { update.serial } else { self.serial };
        let details = ExitDetails {
            events: self.details.events.min(update.details.events),
            position: self.details.position.max(update.details.position),
            others_answered,
            answered_before,
            request: self.details.request.into_iter().chain(update.details.request).min(),
        };
        *self = Self {
            details,
            renewed: self.renewed.max(update.renewed),
            cleared: self.cleared || update.cleared,
            at,
            serial,
        };
        new
    }
}

/// # Queries
impl<S: Copy + Ord> ExitBook<S> {
    /// Exits that count against their suspects.
    pub(crate) fn counting(&self) -> impl Iterator<Item = (S, &EngineIncarnation, &ExitState)> {
        self.exits.iter().flat_map(|(suspect, exits)| {
            let counting = exits.iter().filter(|(_, k)| k.counts());
            counting.map(|(incarnation, k)| (*suspect, incarnation, k))
        })
    }

    /// Exits that count, by suspect, of the suspects in a range.
    pub(crate) fn by_suspect(
        &self,
        range: impl RangeBounds<S>,
    ) -> impl Iterator<Item = (S, Vec<(&EngineIncarnation, &ExitState)>)> {
        let of = self.exits.range(range).map(|(suspect, exits)| (*suspect, counting_of(exits)));
        of.filter(|(_, exits)| !exits.is_empty())
    }

    /// Suspects and the numbers of their exits, whether these count or not.
    pub(crate) fn counts(&self) -> impl Iterator<Item = (S, usize)> {
        self.exits.iter().map(|(suspect, exits)| (*suspect, exits.len()))
    }

    /// Engine incarnations whose exits are not cleared.
    pub(crate) fn incarnations(&self) -> impl Iterator<Item = &EngineIncarnation> {
        let exits = self.exits.values().flatten().filter(|(_, k)| !k.cleared);
        exits.map(|(incarnation, _)| incarnation)
    }

    /// Exits that count against a suspect: incarnation, events delivered and age.
    pub(crate) fn evidence(
        &self,
        suspect: S,
        now: Millis,
    ) -> impl Iterator<Item = (&EngineIncarnation, u32, Millis)> {
        let of = self.exits.get(&suspect).into_iter().flatten().filter(|(_, k)| k.counts());
        of.map(move |(incarnation, k)| (incarnation, k.details.events, k.age(now)))
    }

    /// Time until the exits of a suspect expire if it is not seen again.
    pub(crate) fn remaining(&self, suspect: S, now: Millis) -> Millis {
        let youngest = self.evidence(suspect, now).map(|(.., age)| age).min();
        EXIT_TTL_MS.saturating_sub(youngest.unwrap_or(EXIT_TTL_MS))
    }

    /// How often the time of a suspect's exits was extended.
    pub(crate) fn renewed(&self, suspect: S) -> u32 {
        let of = self.exits.get(&suspect).into_iter().flat_map(BTreeMap::values);
        of.map(|k| k.renewed).max().unwrap_or(0)
    }

    /// Whether a suspect with this much time remaining is extended if it is seen again.
    pub(crate) fn is_renewal_due(left: Millis) -> bool {
        left <= EXIT_TTL_MS / 2
    }

    /// Serial of the last change.
    pub(crate) fn serial(&self) -> u64 {
        self.serial
    }

    /// Exits that changed after `serial`, in order of change, with their ages, and the serial to
    /// continue from. At most `most`, plus all that changed together with the last one.
    pub(crate) fn since(
        &self,
        serial: u64,
        most: usize,
        now: Millis,
    ) -> (Vec<(Exit<S>, Millis)>, u64) {
        let all =
            self.exits.iter().flat_map(|(s, exits)| exits.iter().map(move |(i, k)| (s, i, k)));
        let mut new: Vec<_> = all.filter(|(.., k)| k.serial > serial).collect();
        new.sort_by_key(|(.., k)| k.serial);
        let last = new.get(most.saturating_sub(1)).map_or(self.serial, |(.., k)| k.serial);
        let exit = |(suspect, incarnation, k): &(&S, &EngineIncarnation, &ExitState)| {
            let (suspect, incarnation) = (**suspect, (*incarnation).clone());
            let ExitState { details, renewed, cleared, .. } = **k;
            let exit = Exit { suspect, incarnation, details, renewed, cleared };
            (exit, k.age(now))
        };
        let changed = new.iter().take_while(|(.., k)| k.serial <= last);
        (changed.map(exit).collect(), last)
    }
}

fn counting_of(
    exits: &BTreeMap<EngineIncarnation, ExitState>,
) -> Vec<(&EngineIncarnation, &ExitState)> {
    exits.iter().filter(|(_, k)| k.counts()).collect()
}
