//! Whether calls may be admitted by a configuration whose last proof is old.
//!
//! No schedule of proofs holds for a node whose threads did not run, or whose attempts have failed by chance. What bounds the
//! age of the configuration by which a call is admitted is therefore checked with the call: on a proof of
//! [`ADMISSION_AGE_MS`] and more it is admitted only if the store has been asked since, and does not answer this node. A
//! call that finds neither asks for an attempt and waits for it.
//!
//! One attempt that fails says little: its connection may have been closed while it was idle, or calls of all nodes
//! exceeded the store's rates at that moment. The store does not answer
//!
//! - if a repeated attempt, which is made on a new connection, has no answer for [`SILENCE_MS`] in which this node ran, or
//! - if [`MIN_FAILURES`] attempts have failed over [`FAILURE_SPAN_MS`].
//!
//! Either holds for [`EXCUSE_TTL_MS`], below the time after which a node whose way to the store has returned has to serve
//! by the newest configuration. A node that is cut off from the store thus goes on serving, and its calls do not wait.
//!
//! This state says something of the way between one process and the store, so that it starts anew with the process.

use heathpitch_core::Millis;

use crate::MIN_APPLY_MS;

/// Age of a proof from which a call needs another one.
pub const ADMISSION_AGE_MS: Millis = MIN_APPLY_MS - 100;
/// Time without an answer to a repeated attempt that shows that the store does not answer.
pub const SILENCE_MS: Millis = 300;
/// Attempts that have to fail to show that, if they fail at once.
pub const MIN_FAILURES: u32 = 3;
/// Shortest time from the first of these attempts to the failure of the last one.
pub const FAILURE_SPAN_MS: Millis = 600;
/// Time for which an attempt without an answer shows that. A node counts as in touch with the store 3 s after the store
/// answers it again at the earliest.
pub const EXCUSE_TTL_MS: Millis = 2_400;
/// Time before the end of [`EXCUSE_TTL_MS`] in which calls ask for another attempt, without waiting for it.
const RENEWAL_MS: Millis = 400;

/// What the age of the configuration in force and the attempts to confirm it say of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProofState {
    /// When the newest configuration known was last confirmed as the newest.
    pub confirmed: Option<Millis>,
    /// Until when attempts show that the store does not answer.
    pub excused_until: Millis,
}

impl ProofState {
    /// Whether a call may be admitted at `now`.
    pub fn admits(self, now: Millis) -> bool {
        self.is_young(now) || self.is_excused(now)
    }

    /// Whether a call at `now` needs another attempt.
    pub fn needs_attempt(self, now: Millis) -> bool {
        !self.is_young(now) && !self.is_excused(now + RENEWAL_MS)
    }

    fn is_young(self, now: Millis) -> bool {
        self.confirmed.is_some_and(|at| now.saturating_sub(at) < ADMISSION_AGE_MS)
    }

    /// An attempt from before the last proof says nothing of the time since.
    fn is_excused(self, now: Millis) -> bool {
        now < self.excused_until
            && self.confirmed.is_none_or(|at| at + EXCUSE_TTL_MS < self.excused_until)
    }
}

/// What shows that the store does not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProofEvidence {
    /// A repeated attempt had no answer for a time.
    Silent,
    /// Attempts failed.
    Failed,
}

impl ProofEvidence {
    /// Name in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Failed => "failed",
        }
    }
}

/// An attempt without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Attempt {
    sent: Millis,
    /// Whether it repeats another one, on a new connection.
    repeated: bool,
}

/// Attempts of a node to prove its configuration since the store last answered one.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{ProofAttempts, ProofState, SILENCE_MS};
///
/// let mut attempts = ProofAttempts::default();
/// attempts.sent(6_550, Some(5_000));
/// attempts.sent(6_750, Some(5_000));
/// attempts.check(6_750 + SILENCE_MS);
/// let excused_until = attempts.excused_until();
/// let state = ProofState { confirmed: Some(5_000), excused_until };
/// assert!(state.admits(7_100), "the store does not answer");
/// attempts.answered();
/// assert_eq!(attempts.excused_until(), 0);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProofAttempts {
    /// When the first one was sent.
    first: Option<Millis>,
    /// When the last one was sent.
    last: Option<Millis>,
    /// Number of them.
    count: u32,
    /// Those that have not ended.
    pending: Vec<Attempt>,
    /// Since when this node has run without a pause.
    running_since: Millis,
    excused_until: Millis,
    evidence: Option<ProofEvidence>,
}

impl ProofAttempts {
    /// Records that an attempt is sent at `now`, after the proof of `proven`.
    pub fn sent(&mut self, now: Millis, proven: Option<Millis>) {
        if self.last.is_some_and(|last| proven.is_some_and(|proven| proven > last)) {
            *self = Self { running_since: self.running_since, ..Self::default() };
        }
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.count = self.count.saturating_add(1);
        self.pending.push(Attempt { sent: now, repeated: self.count > 1 });
    }

    /// Records that the store answered an attempt.
    pub fn answered(&mut self) {
        *self = Self { running_since: self.running_since, ..Self::default() };
    }

    /// Records that the attempt sent at `sent` had failed by `now`.
    pub fn failed(&mut self, sent: Millis, now: Millis) {
        let Some(position) = self.pending.iter().position(|a| a.sent == sent) else { return };
        self.pending.swap_remove(position);
        let span = self.first.map_or(0, |first| now.saturating_sub(first));
        if self.count >= MIN_FAILURES && span >= FAILURE_SPAN_MS {
            self.excuse(sent, ProofEvidence::Failed);
        }
    }

    /// Records that this node did not run for some time before `now`: an answer may have arrived meanwhile.
    pub fn resumed(&mut self, now: Millis) {
        self.running_since = now;
    }

    /// Checks for attempts without an answer.
    pub fn check(&mut self, now: Millis) {
        let silent =
            self.pending.iter().filter(|a| self.silent_from(a).is_some_and(|at| now >= at));
        if let Some(sent) = silent.map(|a| a.sent).max() {
            self.excuse(sent, ProofEvidence::Silent);
        }
    }

    /// Time of the next check.
    pub fn next_check(&self) -> Option<Millis> {
        let open = self.pending.iter().filter(|a| a.sent + EXCUSE_TTL_MS > self.excused_until);
        open.filter_map(|a| self.silent_from(a)).min()
    }

    /// Time until which they show that the store does not answer.
    pub fn excused_until(&self) -> Millis {
        self.excused_until
    }

    /// What shows that, if anything does.
    pub fn evidence(&self) -> Option<ProofEvidence> {
        self.evidence
    }

    /// Time of the first of them.
    pub fn first(&self) -> Option<Millis> {
        self.first
    }

    /// Time from which an attempt counts as unanswered.
    fn silent_from(&self, attempt: &Attempt) -> Option<Millis> {
        attempt.repeated.then(|| attempt.sent.max(self.running_since) + SILENCE_MS)
    }

    fn excuse(&mut self, sent: Millis, evidence: ProofEvidence) {
        if sent + EXCUSE_TTL_MS > self.excused_until {
            self.excused_until = sent + EXCUSE_TTL_MS;
            self.evidence = Some(evidence);
        }
    }
}
