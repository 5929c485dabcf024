//! Engine exits without a verdict, persisted in the store for the case that all nodes restart at
//! once.
//!
//! A verdict needs several exits. Nodes that all restart in between have no peer to learn of the
//! earlier ones from, and what crashes engines would crash as many again. Exits under what is held
//! back are not recorded here: the store has an entry for each verdict.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

use heathpitch_core::{Millis, Name, RequestFingerprint};

use crate::{EngineIncarnation, PartAnswer, PartExit, PartKey, Suspect};

/// Most exits in a record, some hundred bytes each.
const MAX_RECORDED: usize = 256;
/// Most of them under one suspect: more than any verdict needs.
const MAX_PER_SUSPECT: usize = 8;
/// Most answers in a record, and what their lines begin with.
const MAX_RECORDED_ANSWERS: usize = 128;
const ANSWER: &str = "answer";
/// Least interval between writes that add exits.
const ADD_INTERVAL_MS: Millis = 500;
/// The same for writes that only drop exits.
const DROP_INTERVAL_MS: Millis = 5_000;
/// Age of an exit from which a planner adds it although another one should have, and the least
/// interval between such writes.
const TAKEOVER_MS: Millis = 1_500;

/// An exit in a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedExit {
    /// What was running on the engine.
    pub suspect: Suspect,
    /// The engine.
    pub incarnation: EngineIncarnation,
    /// Events that the engine had delivered.
    pub events: u32,
    /// Position of a part in its prompt, from 0.
    pub position: u8,
    /// Whether requests of the service without the part were answered since.
    pub others_answered: bool,
    /// Whether a node knew an answer to the part from the minutes before.
    pub answered_before: bool,
    /// The request, if the suspect is a part of its prompt and it is known.
    pub request: Option<RequestFingerprint>,
    /// Whether it no longer counts; older nodes record some of these.
    pub cleared: bool,
    /// Age when the record was made.
    pub age: Millis,
}

/// An answer in a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// The answer.
    pub answer: PartAnswer,
    /// Age when the record was made.
    pub age: Millis,
}

/// What the stored format tells of an exit, other than its age and details.
type ExitContent = (Suspect, EngineIncarnation, &'static str, bool);

impl RecordedExit {
    /// The exit of a part, as a node learns it that reads the record.
    pub fn part_exit(&self, key: PartKey) -> PartExit {
        PartExit {
            key,
            incarnation: self.incarnation.clone(),
            events: self.events,
            position: self.position,
            others_answered: self.others_answered,
            answered_before: self.answered_before,
            request: self.request,
            renewed: 0,
            cleared: self.cleared,
        }
    }

    fn content(&self) -> ExitContent {
        (self.suspect, self.incarnation.clone(), self.state(), self.answered_before)
    }

    /// Word for its state in the stored format.
    fn state(&self) -> &'static str {
        match self {
            Self { cleared: true, .. } => CLEARED,
            Self { others_answered: true, .. } => ANSWERED,
            Self { .. } => UNANSWERED,
        }
    }
}

/// Exits without a verdict.
///
/// # Examples
///
/// ```
/// use heathpitch_core::RequestFingerprint;
/// use heathpitch_policy::{EngineIncarnation, ExitRecord, RecordedExit, Suspect};
///
/// let exit = RecordedExit {
///     suspect: Suspect::Request(RequestFingerprint(0x2f)),
///     incarnation: EngineIncarnation { engine: "i-1".parse()?, started_at: Some(17) },
///     events: 3,
///     position: 0,
///     others_answered: false,
///     answered_before: false,
///     request: None,
///     cleared: false,
///     age: 250,
/// };
/// let record = ExitRecord::new([exit]);
/// assert_eq!(record.text(), "000000000000002f i-1 17 3 0 unanswered 250\n");
/// let (read, unreadable) = ExitRecord::read("000000000000002f i-1 17 3 0 unanswered 250\n?\n");
/// assert_eq!((read, unreadable), (record, 1));
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExitRecord {
    exits: Vec<RecordedExit>,
    answers: Vec<RecordedAnswer>,
}

/// Values in the stored format for whether others were answered, or the part for another account.
const ANSWERED: &str = "answered";
const UNANSWERED: &str = "unanswered";
const CLEARED: &str = "cleared";
/// The same for a part that was answered in the minutes before, and for a request that is not known.
const BEFORE: &str = "before";
const UNKNOWN: &str = "-";

impl ExitRecord {
    /// Builds a record of these exits; where there are too many, those under suspects with few exits
    /// are left out. Nodes that know the same exits build the same record.
    pub fn new(exits: impl IntoIterator<Item = RecordedExit>) -> Self {
        let mut by_suspect: BTreeMap<Suspect, BTreeMap<EngineIncarnation, RecordedExit>> =
            BTreeMap::new();
        for exit in exits {
            let of = by_suspect.entry(exit.suspect).or_default();
            of.insert(exit.incarnation.clone(), exit);
        }
        let mut groups: Vec<_> = by_suspect.into_values().collect();
        groups.sort_by_key(|exits| std::cmp::Reverse(exits.len()));
        let kept = groups.into_iter().flat_map(|of| of.into_values().take(MAX_PER_SUSPECT));
        Self { exits: kept.take(MAX_RECORDED).collect(), answers: Vec::new() }
    }

    /// Adds answers to parts of prompts; where there are too many, the oldest ones are left out.
    #[must_use]
    pub fn with_answers(mut self, mut answers: Vec<RecordedAnswer>) -> Self {
        answers.sort_by_key(|answer| answer.age);
        answers.truncate(MAX_RECORDED_ANSWERS);
        self.answers = answers;
        self
    }

    /// Parses a record; also returns the number of unreadable lines.
    pub fn read(text: &str) -> (Self, usize) {
        let lines = || text.lines().take(MAX_RECORDED + MAX_RECORDED_ANSWERS);
        let exits: Vec<_> = lines().filter_map(read_line).collect();
        let answers: Vec<_> = lines().filter_map(read_answer).collect();
        let unreadable = text.lines().count() - exits.len() - answers.len();
        (Self { exits, answers }, unreadable)
    }

    /// Formats the record, one line per exit: suspect, engine, its start time (0 if unknown),
    /// events, position, state, age in milliseconds, and, of a part, its request and whether it was answered before; then one
    /// per answer, with the part, the engine, its id and its age.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for exit in &self.exits {
            let RecordedExit { suspect, incarnation, events, position, age, .. } = exit;
            let state = exit.state();
            let EngineIncarnation { engine, started_at } = incarnation;
            let (engine, started_at) = (engine.encoded(), started_at.unwrap_or(0));
            // Writing to a string cannot fail.
            let _ =
                write!(text, "{suspect} {engine} {started_at} {events} {position} {state} {age}");
            let _ = match (exit.request, exit.answered_before) {
                (Some(request), true) => writeln!(text, " {request} {BEFORE}"),
                (Some(request), false) => writeln!(text, " {request}"),
                (None, true) => writeln!(text, " {UNKNOWN} {BEFORE}"),
                (None, false) => writeln!(text),
            };
        }
        for RecordedAnswer { answer: PartAnswer { key, engine, id }, age } in &self.answers {
            let part = Suspect::Part(*key);
            let _ = writeln!(text, "{ANSWER} {part} {engine:016x} {id:016x} {age}");
        }
        text
    }

    /// The answers.
    pub fn answers(&self) -> &[RecordedAnswer] {
        &self.answers
    }

    /// The exits.
    pub fn exits(&self) -> &[RecordedExit] {
        &self.exits
    }
}

fn read_line(line: &str) -> Option<RecordedExit> {
    let mut fields = line.split(' ');
    let mut next = || fields.next();
    let suspect = next()?.parse().ok()?;
    let engine = Name::from_encoded(next()?).ok()?;
    let started_at = next()?.parse().ok().map(|at| Some(at).filter(|at| *at > 0))?;
    let (events, position) = (next()?.parse().ok()?, next()?.parse().ok()?);
    let (others_answered, cleared) = match next()? {
        ANSWERED => (true, false),
        UNANSWERED => (false, false),
        CLEARED => (false, true),
        _ => return None,
    };
    let age = next()?.parse().ok()?;
    // Older nodes record neither.
    let request = next().and_then(|request| request.parse().ok());
    let answered_before = next() == Some(BEFORE);
    let incarnation = EngineIncarnation { engine, started_at };
    Some(RecordedExit {
        suspect,
        incarnation,
        events,
        position,
        others_answered,
        answered_before,
        request,
        cleared,
        age,
    })
}

fn read_answer(line: &str) -> Option<RecordedAnswer> {
    let mut fields = line.strip_prefix(ANSWER)?.strip_prefix(' ')?.split(' ');
    let mut next = || fields.next();
    let Suspect::Part(key) = next()?.parse().ok()? else { return None };
    let engine = u64::from_str_radix(next()?, 16).ok()?;
    let id = u64::from_str_radix(next()?, 16).ok()?;
    let age = next()?.parse().ok()?;
    Some(RecordedAnswer { answer: PartAnswer { key, engine, id }, age })
}

/// Schedules the writes of the record, which all planners share.
///
/// # Examples
///
/// ```
/// use heathpitch_core::RequestFingerprint;
/// use heathpitch_policy::{
///     EngineIncarnation, ExitRecord, ExitRecorder, RecordedExit, Suspect,
/// };
///
/// let exit = RecordedExit {
///     suspect: Suspect::Request(RequestFingerprint(0x2f)),
///     incarnation: EngineIncarnation { engine: "i-1".parse()?, started_at: None },
///     events: 0,
///     position: 0,
///     others_answered: false,
///     answered_before: false,
///     request: None,
///     cleared: false,
///     age: 300,
/// };
/// let record = ExitRecord::new([exit]);
/// let mut recorder = ExitRecorder::default();
/// assert!(recorder.is_due(&record, true, 10));
/// assert!(!recorder.is_due(&record, false, 10), "the first planner writes it");
/// recorder.stored(&record, 10);
/// assert!(!recorder.is_due(&record, true, 20_000));
/// assert!(recorder.is_due(&ExitRecord::default(), true, 20_000));
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct ExitRecorder {
    stored: BTreeSet<ExitContent>,
    /// Time of the last write or read.
    at: Option<Millis>,
}

impl ExitRecorder {
    /// Records that the store holds `record` as of `now`.
    pub fn stored(&mut self, record: &ExitRecord, now: Millis) {
        self.stored = record.exits.iter().map(RecordedExit::content).collect();
        self.at = Some(now);
    }

    /// Whether this planner should write `current` now; `leads` tells whether it is the one that
    /// writes first.
    pub fn is_due(&self, current: &ExitRecord, leads: bool, now: Millis) -> bool {
        let missing = |exit: &&RecordedExit| !self.stored.contains(&exit.content());
        let mut added = current.exits.iter().filter(missing);
        let (due, interval) = match leads {
            true if added.next().is_some() => (true, ADD_INTERVAL_MS),
            true => (self.stored.len() > current.exits.len(), DROP_INTERVAL_MS),
            false => (added.any(|exit| exit.age >= TAKEOVER_MS), TAKEOVER_MS),
        };
        due && self.at.is_none_or(|at| now >= at + interval)
    }
}
