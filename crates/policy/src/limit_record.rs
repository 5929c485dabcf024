//! Limits that engines name, as the store keeps them for nodes that all begin at once.
//!
//! Such nodes have nobody to ask, and until an engine's first answers have gone round each would send it what it likes.
//! The planner of a failure domain keeps one item for the engines of its domain. A record fills in what a node does not
//! know and never overrules what it does: answers of the engine end a limit that is no longer true.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use heathpitch_core::{Millis, Rate};

use crate::EngineIncarnation;

/// Time between two writes of a record that lets more through than its engines take, milliseconds.
const TIGHTEN_INTERVAL_MS: Millis = 1_000;
/// The same for one that lets less through: engines end that by their answers.
const LOOSEN_INTERVAL_MS: Millis = 5_000;
/// Most engines of a record, some fifty bytes each.
const RECORD_MAX_ENGINES: usize = 2_048;

/// Words by which a record says whether answers to nodes' own questions name a limit.
const ASIDE: &str = "questions";
const NOT_ASIDE: &str = "calls";

/// What a record says of one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitEntry {
    /// Requests a second that it takes from all nodes together.
    pub rate: Rate,
    /// Whether answers to nodes' own questions name it, as those to calls do. Of an engine that answers no calls only these
    /// end it, and a node that begins has not seen one.
    pub aside: bool,
}

/// Limits of the engines of one failure domain, as a record of the store holds them.
///
/// # Examples
///
/// ```
/// use heathpitch_core::Rate;
/// use heathpitch_policy::{EngineIncarnation, LimitEntry, LimitRecord};
///
/// let life = EngineIncarnation { engine: "i-1".parse()?, born: Some(17) };
/// let limit = LimitEntry { rate: Rate::from_thousandths(3_600), aside: false };
/// let record = LimitRecord::of([(life, limit)]);
/// assert_eq!(record.text(), "i-1 17 3.6 calls\n");
/// let (read, unread) = LimitRecord::read("i-1 17 3.6 calls\ni-2 nonsense\n");
/// assert_eq!((read, unread), (record, 1));
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LimitRecord {
    limits: BTreeMap<EngineIncarnation, LimitEntry>,
}

impl LimitRecord {
    /// A record of these limits.
    pub fn of(limits: impl IntoIterator<Item = (EngineIncarnation, LimitEntry)>) -> Self {
        Self { limits: limits.into_iter().take(RECORD_MAX_ENGINES).collect() }
    }

    /// Reads the text of a record; gives also the number of lines that cannot be read.
    pub fn read(text: &str) -> (Self, usize) {
        let lines = text.lines().take(RECORD_MAX_ENGINES);
        let limits: BTreeMap<_, _> = lines.filter_map(read_line).collect();
        let unread = text.lines().count() - limits.len();
        (Self { limits }, unread)
    }

    /// The text of the record: a line for each engine, with its start (0 if it tells none), its limit, requests a second, and
    /// which answers name that.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (life, LimitEntry { rate, aside }) in &self.limits {
            let by = if *aside { ASIDE } else { NOT_ASIDE };
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{} {} {rate} {by}", life.engine, life.born.unwrap_or(0));
        }
        text
    }

    /// Its limits.
    pub fn limits(&self) -> impl Iterator<Item = (&EngineIncarnation, LimitEntry)> {
        self.limits.iter().map(|(life, limit)| (life, *limit))
    }

    /// Whether nodes that know only this record send an engine more than `current` lets them.
    fn exceeds(&self, current: &Self) -> bool {
        let exceeded = |(life, limit): (&EngineIncarnation, LimitEntry)| {
            self.limits.get(life).is_none_or(|l| l.rate > limit.rate)
        };
        current.limits().any(exceeded)
    }
}

fn read_line(line: &str) -> Option<(EngineIncarnation, LimitEntry)> {
    let mut words = line.split(' ');
    let engine = words.next()?.parse().ok()?;
    let born = words.next()?.parse().ok()?;
    let rate = Rate::per_second(words.next()?.parse().ok()?)?;
    let aside = match words.next()? {
        ASIDE => true,
        NOT_ASIDE => false,
        _ => return None,
    };
    let born = Some(born).filter(|b| *b > 0);
    Some((EngineIncarnation { engine, born }, LimitEntry { rate, aside }))
}

/// Decides when the planner of a failure domain writes its record.
///
/// # Examples
///
/// ```
/// use heathpitch_core::Rate;
/// use heathpitch_policy::{EngineIncarnation, LimitEntry, LimitRecord, LimitRecorder};
///
/// let life = EngineIncarnation { engine: "i-1".parse()?, born: None };
/// let limit = LimitEntry { rate: Rate::from_thousandths(3_600), aside: false };
/// let named = LimitRecord::of([(life, limit)]);
/// let mut recorder = LimitRecorder::default();
/// assert!(!recorder.is_due(&LimitRecord::default(), 0), "nothing to say");
/// assert!(recorder.is_due(&named, 0));
/// recorder.stored(named.clone(), 0);
/// assert!(!recorder.is_due(&named, 9_000));
/// assert!(!recorder.is_due(&LimitRecord::default(), 4_000), "its end may wait");
/// assert!(recorder.is_due(&LimitRecord::default(), 5_000));
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct LimitRecorder {
    stored: LimitRecord,
    /// When it was written or read last.
    at: Option<Millis>,
}

impl LimitRecorder {
    /// Takes note of what the store holds since `now`.
    pub fn stored(&mut self, record: LimitRecord, now: Millis) {
        (self.stored, self.at) = (record, Some(now));
    }

    /// Takes nothing to stand in the store.
    pub fn forget(&mut self) {
        *self = Self::default();
    }

    /// Whether `current` is to be written now.
    pub fn is_due(&self, current: &LimitRecord, now: Millis) -> bool {
        let interval = match self.stored.exceeds(current) {
            true => TIGHTEN_INTERVAL_MS,
            false => LOOSEN_INTERVAL_MS,
        };
        self.stored != *current && self.at.is_none_or(|at| now >= at + interval)
    }
}
