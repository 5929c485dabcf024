//! Whether the store is away, by a node's attempts to prove its configuration.
//!
//! A node that takes a store for away that is only late serves by an old configuration. After all processes of a machine
//! stood still, the store may answer later than a node runs, and a node may have no processor for most of the time. What shows
//! that the store is away is therefore
//!
//! - no answer to any attempt over [`silence_ms`] in which this node ran, and none to a repeated one, which is made on a new
//!   connection, for [`REPEAT_SILENCE_MS`] of it;
//! - a new connection that is not established within [`MIN_CONNECT_MS`]: the system accepts connections for a process that
//!   does not run;
//! - [`MIN_FAILURES`] failures over [`FAILURE_SPAN_MS`]: the connection of a single one may have been closed while it was
//!   idle;
//! - [`MIN_REFUSALS`] refusals over [`FAILURE_SPAN_MS`] while the store answers no other call of this node: calls of all nodes
//!   that exceed the store's rates are refused by chance.
//!
//! Either holds for [`EXCUSE_TTL_MS`], below the time after which a node whose way to the store has returned has to serve
//! by the newest configuration. A node that is cut off from the store thus goes on serving, and its calls do not wait.
//!
//! This state says something of the way between one process and the store, so that it starts anew with the process, and
//! whenever the process did not run for [`PAUSE_MS`].

use heathpitch_core::Millis;

/// Running time without an answer to a repeated attempt that shows that the store is away.
pub const REPEAT_SILENCE_MS: Millis = 300;
/// Shortest time without a connection that shows that.
pub const MIN_CONNECT_MS: Millis = 250;
/// Failures that show that.
pub const MIN_FAILURES: u32 = 3;
/// Refusals that show that. With six of ten calls refused by chance, ten in a row are one case in 165.
pub const MIN_REFUSALS: u32 = 10;
/// Shortest time from the first to the last of either.
pub const FAILURE_SPAN_MS: Millis = 600;
/// Time for which an attempt without an answer shows that. A node counts as in touch with the store 3 s after the store
/// answers it again at the earliest.
pub const EXCUSE_TTL_MS: Millis = 2_400;
/// Time between two checks from which a process counts as not having run.
pub const PAUSE_MS: Millis = 300;
/// Time between two checks while attempts have no answer.
const CHECK_INTERVAL_MS: Millis = 40;
/// Longest running time between two checks. A thread that is late had no processor for the rest.
const MAX_STEP_MS: Millis = 60;
/// Longest time to a failure. An attempt that ends later had no answer.
const MAX_FAILURE_MS: Millis = 600;

/// Running time without an answer to any attempt that shows that the store is away, where `apply_ms` is the agreed time for
/// configurations: as long as attempts can take that begin before calls need a younger proof.
pub const fn silence_ms(apply_ms: Millis) -> Millis {
    apply_ms * 9 / 20
}

/// What shows that the store is away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProofEvidence {
    /// Attempts had no answer.
    Silent,
    /// No connection was established.
    Unconnected,
    /// Attempts failed.
    Failed,
    /// The store refused all attempts.
    Refused,
}

impl ProofEvidence {
    /// Name in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Unconnected => "unconnected",
            Self::Failed => "failed",
            Self::Refused => "refused",
        }
    }
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProofFailure {
    /// No connection was established.
    Unconnected,
    /// The connection was lost, no answer arrived in time, or the answer proves nothing.
    Failed,
    /// The store refused it.
    Refused,
}

/// An attempt without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Attempt {
    sent: Millis,
    /// Running time of the node by then.
    ran: Millis,
    /// Whether it repeats another one, on a new connection.
    repeated: bool,
}

/// Failures of one kind in a row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Failures {
    count: u32,
    /// Time of the first one.
    since: Millis,
}

impl Failures {
    /// Records one at `now`; returns whether there are `min` of them over [`FAILURE_SPAN_MS`].
    fn record(&mut self, now: Millis, min: u32) -> bool {
        if self.count == 0 {
            self.since = now;
        }
        self.count = self.count.saturating_add(1);
        self.count >= min && now.saturating_sub(self.since) >= FAILURE_SPAN_MS
    }
}

/// Attempts of a node to prove its configuration since the store last answered one.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{ProofAttempts, ProofState, admission_age, silence_ms};
///
/// let mut attempts = ProofAttempts::new(2_000);
/// attempts.sent(6_000, Some(5_000));
/// attempts.sent(6_200, Some(5_000));
/// for now in (6_000..=6_000 + silence_ms(2_000)).step_by(20) {
///     attempts.check(now);
/// }
/// let excused_until = attempts.excused_until();
/// let max_age = admission_age(2_000);
/// let state = ProofState { confirmed: Some(5_000), excused_until, max_age };
/// assert!(state.admits(7_100), "the store is away");
/// attempts.answered();
/// assert_eq!(attempts.excused_until(), 0);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProofAttempts {
    silence_ms: Millis,
    /// Running time of the node.
    ran: Millis,
    /// Time of the last check, unless nothing was to be checked.
    checked: Option<Millis>,
    /// Since when this node has run without a pause.
    running_since: Millis,
    state: State,
}

/// Attempts since the last answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct State {
    /// The first one.
    first: Option<Attempt>,
    /// When the last one was sent.
    last: Option<Millis>,
    /// Those that have not ended.
    pending: Vec<Attempt>,
    failed: Failures,
    refused: Failures,
    excused_until: Millis,
    evidence: Option<ProofEvidence>,
}

/// # Construction
impl ProofAttempts {
    /// No attempts yet, of a node that has `apply_ms` to serve by a configuration.
    pub fn new(apply_ms: Millis) -> Self {
        Self {
            silence_ms: silence_ms(apply_ms),
            ran: 0,
            checked: None,
            running_since: 0,
            state: State::default(),
        }
    }
}

/// # Recording
impl ProofAttempts {
    /// Sets the agreed time for configurations.
    pub fn set_apply_time(&mut self, apply_ms: Millis) {
        self.silence_ms = silence_ms(apply_ms);
    }

    /// Records that an attempt is sent at `now`, after the proof of `proven`.
    pub fn sent(&mut self, now: Millis, proven: Option<Millis>) {
        if self.state.last.is_some_and(|last| proven.is_some_and(|proven| proven > last)) {
            self.answered();
        }
        self.check(now);
        let attempt = Attempt { sent: now, ran: self.ran, repeated: self.state.first.is_some() };
        self.checked.get_or_insert(now);
        self.state.first.get_or_insert(attempt);
        self.state.last = Some(now);
        self.state.pending.push(attempt);
    }

    /// Records that the store answered an attempt.
    pub fn answered(&mut self) {
        self.checked = None;
        self.state = State::default();
    }

    /// Records that the store answered an attempt, and that it is not known yet what the answer proves.
    pub fn heard(&mut self) {
        let State { last, pending, failed, .. } = std::mem::take(&mut self.state);
        self.state = State { last, pending, failed, ..State::default() };
    }

    /// Records that the attempt sent at `sent` had failed by `now`; `answered` is when the store last answered another call.
    pub fn failed(&mut self, sent: Millis, failure: ProofFailure, answered: Millis, now: Millis) {
        let Some(position) = self.state.pending.iter().position(|a| a.sent == sent) else { return };
        let attempt = self.state.pending.swap_remove(position);
        // Its answer may have arrived while this node did not run.
        if sent < self.running_since {
            return;
        }
        let took = now.saturating_sub(sent);
        let State { failed, refused, .. } = &mut self.state;
        match failure {
            ProofFailure::Unconnected if took >= MIN_CONNECT_MS => {
                if attempt.repeated {
                    self.excuse(sent, ProofEvidence::Unconnected);
                }
            }
            ProofFailure::Unconnected | ProofFailure::Failed if took < MAX_FAILURE_MS => {
                if failed.record(now, MIN_FAILURES) {
                    self.excuse(sent, ProofEvidence::Failed);
                }
            }
            // The silence of the store counts.
            ProofFailure::Unconnected | ProofFailure::Failed => {}
            ProofFailure::Refused => {
                if answered >= refused.since {
                    *refused = Failures::default();
                }
                let is_away = refused.record(now, MIN_REFUSALS);
                // The way to the store is whole.
                *failed = Failures::default();
                self.state.first = Some(attempt);
                if is_away {
                    self.excuse(sent, ProofEvidence::Refused);
                }
            }
        }
    }

    /// Checks at `now` for attempts without an answer.
    pub fn check(&mut self, now: Millis) {
        let Some(checked) = self.checked else { return };
        self.checked = Some(now);
        let step = now.saturating_sub(checked);
        if step >= PAUSE_MS {
            return self.resumed(now);
        }
        self.ran += step.min(MAX_STEP_MS);
        let silent = self.state.first.is_some_and(|a| self.ran - a.ran >= self.silence_ms);
        let unanswered = |a: &&Attempt| a.repeated && self.ran - a.ran >= REPEAT_SILENCE_MS;
        let last = self.state.pending.iter().filter(unanswered).map(|a| a.sent).max();
        if let (true, Some(sent)) = (silent, last) {
            self.excuse(sent, ProofEvidence::Silent);
        }
    }

    /// Records that this node did not run for some time before `now`: answers may have arrived meanwhile.
    pub fn resumed(&mut self, now: Millis) {
        self.running_since = now;
        let State { pending, last, excused_until, evidence, .. } = std::mem::take(&mut self.state);
        self.state = State { pending, last, excused_until, evidence, ..State::default() };
    }

    fn excuse(&mut self, sent: Millis, evidence: ProofEvidence) {
        if sent + EXCUSE_TTL_MS > self.state.excused_until {
            self.state.excused_until = sent + EXCUSE_TTL_MS;
            self.state.evidence = Some(evidence);
        }
    }
}

/// # Reading
impl ProofAttempts {
    /// Time of the next check.
    pub fn next_check(&self) -> Option<Millis> {
        self.checked.map(|checked| checked + CHECK_INTERVAL_MS)
    }

    /// Time until which they show that the store is away.
    pub fn excused_until(&self) -> Millis {
        self.state.excused_until
    }

    /// What shows that, if anything does.
    pub fn evidence(&self) -> Option<ProofEvidence> {
        self.state.evidence
    }

    /// Time of the first of them.
    pub fn first(&self) -> Option<Millis> {
        self.state.first.map(|first| first.sent)
    }
}
