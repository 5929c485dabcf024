//! Rate limits of engines, persisted in the store for the case that all nodes restart at once.
//!
//! Such nodes have no peer to ask, and until the limit in an engine's first responses has reached
//! all nodes, each would send without a limit. The planner of a failure domain stores one record
//! for the engines of its domain. A record fills in what a node does not know and never overrides
//! what it does: responses of the engine lift a limit that is out of date.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use heathpitch_core::{Millis, Name, Rate};

use crate::EngineIncarnation;

/// Least interval between writes while the stored record is less strict than the current limits,
/// milliseconds.
const TIGHTEN_INTERVAL_MS: Millis = 1_000;
/// The same while the stored record is stricter: responses of the engines correct that.
const LOOSEN_INTERVAL_MS: Millis = 5_000;
/// Most engines in a record, about fifty bytes each.
const RECORD_MAX_ENGINES: usize = 2_048;

/// Values in the stored format for whether probe responses state the limit.
const IN_PROBES: &str = "questions";
const NOT_IN_PROBES: &str = "calls";

/// Entry of a record for one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitEntry {
    /// Requests per second over all nodes.
    pub rate: Rate,
    /// Whether probe responses state the limit, as those to calls do. Only they can lift the limit
    /// of an engine that answers no calls, and a node that has just started has seen none.
    pub in_probes: bool,
}

/// Stored limits of the engines of one failure domain.
///
/// # Examples
///
/// ```
/// use heathpitch_core::Rate;
/// use heathpitch_policy::{EngineIncarnation, LimitEntry, LimitRecord};
///
/// let incarnation = EngineIncarnation { engine: "i-1".parse()?, started_at: Some(17) };
/// let limit = LimitEntry { rate: Rate::from_thousandths(3_600), in_probes: false };
/// let record = LimitRecord::new([(incarnation, limit)]);
/// assert_eq!(record.text(), "i-1 17 3.6 calls\n");
/// let (read, unreadable) = LimitRecord::read("i-1 17 3.6 calls\ni-2 nonsense\n");
/// assert_eq!((read, unreadable), (record, 1));
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LimitRecord {
    limits: BTreeMap<EngineIncarnation, LimitEntry>,
}

impl LimitRecord {
    /// Builds a record of these limits.
    pub fn new(limits: impl IntoIterator<Item = (EngineIncarnation, LimitEntry)>) -> Self {
        Self { limits: limits.into_iter().take(RECORD_MAX_ENGINES).collect() }
    }

    /// Parses a record; also returns the number of unreadable lines.
    pub fn read(text: &str) -> (Self, usize) {
        let lines = text.lines().take(RECORD_MAX_ENGINES);
        let limits: BTreeMap<_, _> = lines.filter_map(read_line).collect();
        let unreadable = text.lines().count() - limits.len();
        (Self { limits }, unreadable)
    }

    /// Formats the record: one line per engine with its start time (0 if unknown), its limit in
    /// requests per second, and which responses state the limit.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (incarnation, LimitEntry { rate, in_probes }) in &self.limits {
            let by = if *in_probes { IN_PROBES } else { NOT_IN_PROBES };
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{} {} {rate} {by}",
                incarnation.engine.encoded(),
                incarnation.started_at.unwrap_or(0)
            );
        }
        text
    }

    /// Entries of the record.
    pub fn limits(&self) -> impl Iterator<Item = (&EngineIncarnation, LimitEntry)> {
        self.limits.iter().map(|(incarnation, limit)| (incarnation, *limit))
    }

    /// Whether nodes that know only this record could exceed a limit of `current`.
    fn exceeds(&self, current: &Self) -> bool {
        let exceeded = |(incarnation, limit): (&EngineIncarnation, LimitEntry)| {
            self.limits.get(incarnation).is_none_or(|l| l.rate > limit.rate)
        };
        current.limits().any(exceeded)
    }
}

fn read_line(line: &str) -> Option<(EngineIncarnation, LimitEntry)> {
    let mut fields = line.split(' ');
    let engine = Name::from_encoded(fields.next()?).ok()?;
    let started_at = fields.next()?.parse().ok()?;
    let rate = Rate::per_second(fields.next()?.parse().ok()?)?;
    let in_probes = match fields.next()? {
        IN_PROBES => true,
        NOT_IN_PROBES => false,
        _ => return None,
    };
    let started_at = Some(started_at).filter(|b| *b > 0);
    Some((EngineIncarnation { engine, started_at }, LimitEntry { rate, in_probes }))
}

/// Schedules the planner's writes of the record of a failure domain.
///
/// # Examples
///
/// ```
/// use heathpitch_core::Rate;
/// use heathpitch_policy::{EngineIncarnation, LimitEntry, LimitRecord, LimitRecorder};
///
/// let incarnation = EngineIncarnation { engine: "i-1".parse()?, started_at: None };
/// let limit = LimitEntry { rate: Rate::from_thousandths(3_600), in_probes: false };
/// let current = LimitRecord::new([(incarnation, limit)]);
/// let mut recorder = LimitRecorder::default();
/// assert!(!recorder.is_due(&LimitRecord::default(), 0), "nothing to store");
/// assert!(recorder.is_due(&current, 0));
/// recorder.stored(current.clone(), 0);
/// assert!(!recorder.is_due(&current, 9_000));
/// assert!(!recorder.is_due(&LimitRecord::default(), 4_000), "lifting a limit may wait");
/// assert!(recorder.is_due(&LimitRecord::default(), 5_000));
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct LimitRecorder {
    stored: LimitRecord,
    /// Time of the last write or read.
    at: Option<Millis>,
}

impl LimitRecorder {
    /// Records that the store holds `record` as of `now`.
    pub fn stored(&mut self, record: LimitRecord, now: Millis) {
        (self.stored, self.at) = (record, Some(now));
    }

    /// Assumes that the store holds no record.
    pub fn forget(&mut self) {
        *self = Self::default();
    }

    /// Whether `current` should be written now.
    pub fn is_due(&self, current: &LimitRecord, now: Millis) -> bool {
        let interval = match self.stored.exceeds(current) {
            true => TIGHTEN_INTERVAL_MS,
            false => LOOSEN_INTERVAL_MS,
        };
        self.stored != *current && self.at.is_none_or(|at| now >= at + interval)
    }
}
