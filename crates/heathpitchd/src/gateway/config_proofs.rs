//! Proofs of the configuration as the threads that serve calls see them, and their demand for further ones.
//!
//! [`ProofState`](heathpitch_policy::ProofState) decides whether a call may be admitted. The thread of `prover` makes the
//! attempts; a call that finds none recent enough wakes it, and waits for a bounded time.

use std::sync::atomic::{
    AtomicBool, AtomicU64,
    Ordering::{Acquire, Relaxed, Release},
};
use std::time::Duration;

use heathpitch_core::Millis;
use heathpitch_policy::{ProofState, admission_age};
use tokio::sync::{Notify, watch};

use super::event::GatewayEvent;
use super::line_limiter::LineLimiter;
use super::prover::ProofBasis;
use super::shared::Shared;

/// Longest time for which a call waits for a proof.
const MAX_WAIT_MS: Millis = 300;
/// Part of a route's latency target for which it does: one in this many.
const WAIT_FRACTION: Millis = 2;

/// Delay of the end of that wait from which the thread counts as not having run.
const STALL_MS: Millis = 100;

/// Most waits of a call whose thread did not run meanwhile.
const MAX_WAITS: u32 = 3;
/// Time for which an attempt may be pending, with margin: calls on the store are given up after 1.2 s.
const ATTEMPT_TTL_MS: Millis = 1_500;

/// Outcome of waiting for a proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProofWait {
    /// The configuration is proven, or the store is known to be away.
    Admitted,
    /// Attempts were sent and got no answer in time, which does not show that the store is away.
    Unanswered,
    /// No attempt was sent: the thread that makes them does not run, or an answer has not been handled.
    Unattempted,
}

impl ProofWait {
    /// Name in the log.
    fn as_str(self) -> &'static str {
        match self {
            Self::Admitted => "admitted",
            Self::Unanswered => "unanswered",
            Self::Unattempted => "unattempted",
        }
    }
}

/// Proofs of the configuration, shared between the threads.
#[derive(Debug)]
pub(crate) struct ConfigProofs {
    /// Age of a proof from which a call needs another one.
    max_age: AtomicU64,
    /// When the newest configuration was last confirmed; 0 if it never was.
    confirmed: AtomicU64,
    /// Until when the store is known to be away.
    excused_until: AtomicU64,
    /// Own attempts since the store last answered one.
    attempts: AtomicU64,
    /// When the last attempt was sent.
    sent: AtomicU64,
    /// Whether calls have demanded an attempt that its thread has not noticed yet.
    is_demanded: AtomicBool,
    demanded: Notify,
    changed: watch::Sender<()>,
    /// What there is to prove.
    basis: watch::Sender<ProofBasis>,
    /// When the store last answered a call of this node.
    store_answered: AtomicU64,
    lines: LineLimiter,
}

/// # Construction
impl ConfigProofs {
    /// No proof yet, where `apply_ms` is the agreed time for configurations.
    pub(crate) fn new(apply_ms: Millis) -> Self {
        Self {
            max_age: AtomicU64::new(admission_age(apply_ms)),
            confirmed: AtomicU64::new(0),
            excused_until: AtomicU64::new(0),
            attempts: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            is_demanded: AtomicBool::new(false),
            demanded: Notify::new(),
            changed: watch::Sender::new(()),
            basis: watch::Sender::new(ProofBasis::default()),
            store_answered: AtomicU64::new(0),
            lines: LineLimiter::default(),
        }
    }

    /// Sets the agreed time for configurations.
    pub(crate) fn set_apply_time(&self, apply_ms: Millis) {
        self.max_age.store(admission_age(apply_ms), Relaxed);
    }
}

/// # Control thread
impl ConfigProofs {
    /// Publishes what there is to prove.
    pub(crate) fn set_basis(&self, basis: ProofBasis) {
        self.basis.send_if_modified(|before| std::mem::replace(before, basis) != basis);
    }

    /// Makes the thread of the attempts check the time again, after the VM was suspended.
    pub(crate) fn resume(&self) {
        self.basis.send_modify(|_| {});
    }

    /// Records that the store answered a call by `now`.
    pub(crate) fn set_store_answered(&self, now: Millis) {
        self.store_answered.store(now, Relaxed);
    }
}

/// # Attempts
impl ConfigProofs {
    /// What there is to prove.
    pub(crate) fn basis(&self) -> ProofBasis {
        *self.basis.borrow()
    }

    /// Changes of that.
    pub(crate) fn basis_changes(&self) -> watch::Receiver<ProofBasis> {
        self.basis.subscribe()
    }

    /// When the store last answered a call of this node; 0 if it never has.
    pub(crate) fn store_answered(&self) -> Millis {
        self.store_answered.load(Relaxed)
    }

    /// Records that the newest configuration was confirmed by a call sent at `sent`.
    pub(crate) fn confirm(&self, sent: Millis) {
        // A thread that sees this proof also sees the configuration that it is of.
        if self.confirmed.fetch_max(sent, Release) < sent {
            self.changed.send_replace(());
        }
    }

    /// Records that an attempt is sent at `now`.
    pub(crate) fn attempt_sent(&self, now: Millis) {
        self.attempts.fetch_add(1, Relaxed);
        self.sent.store(now, Relaxed);
    }

    /// Records that the store answered an attempt.
    pub(crate) fn attempt_answered(&self) {
        self.attempts.store(0, Relaxed);
    }

    /// Records until when the store is known to be away.
    pub(crate) fn excuse(&self, until: Millis) {
        if self.excused_until.swap(until, Relaxed) != until {
            self.changed.send_replace(());
        }
    }

    /// Waits until calls demand an attempt.
    pub(crate) async fn demanded(&self) {
        self.demanded.notified().await;
        self.is_demanded.store(false, Relaxed);
    }
}

/// # Calls
impl ConfigProofs {
    /// What is known of the proofs.
    pub(crate) fn state(&self) -> ProofState {
        let confirmed = self.confirmed.load(Acquire);
        ProofState {
            confirmed: (confirmed > 0).then_some(confirmed),
            excused_until: self.excused_until.load(Relaxed),
            max_age: self.max_age.load(Relaxed),
        }
    }

    /// Number of own attempts since the store last answered one.
    pub(crate) fn attempts(&self) -> u64 {
        self.attempts.load(Relaxed)
    }

    /// Time at `now` since the last attempt was sent, if there is one without an answer.
    pub(crate) fn attempt_age(&self, now: Millis) -> Option<Millis> {
        (self.attempts() > 0).then(|| now.saturating_sub(self.sent.load(Relaxed)))
    }

    /// Whether a call at `now` may be admitted; demands an attempt if one is needed.
    pub(crate) fn admits(&self, now: Millis) -> bool {
        let state = self.state();
        if state.needs_attempt(now) && !self.is_demanded.swap(true, Relaxed) {
            self.demanded.notify_one();
        }
        state.admits(now)
    }

    /// Waits until a call received at `received` may be admitted, as far as the latency target of its route allows.
    pub(crate) async fn wait(
        &self,
        shared: &Shared,
        request: &str,
        target: Option<Millis>,
        received: Millis,
    ) -> ProofWait {
        let limit = match target {
            Some(target) if target > 0 => MAX_WAIT_MS.min(target / WAIT_FRACTION),
            Some(_) | None => MAX_WAIT_MS,
        };
        let mut outcome = ProofWait::Unattempted;
        for _ in 0..MAX_WAITS {
            let begin = shared.now();
            let admitted = self.admitted(shared);
            outcome = match tokio::time::timeout(Duration::from_millis(limit), admitted).await {
                Ok(()) => ProofWait::Admitted,
                Err(_) if self.is_attempted(shared.now()) => ProofWait::Unanswered,
                Err(_) => ProofWait::Unattempted,
            };
            let has_run = shared.now() <= begin + limit + STALL_MS;
            if outcome == ProofWait::Admitted || has_run {
                break;
            }
        }
        let now = shared.now();
        if let Some(calls) = self.lines.record(now) {
            GatewayEvent::CallsAwaitedProof {
                request: request.to_owned(),
                calls,
                ms: now.saturating_sub(received),
                outcome: outcome.as_str(),
                proof_ms: self.state().confirmed.map(|at| now.saturating_sub(at)),
                attempts: self.attempts(),
            }
            .log();
        }
        outcome
    }

    /// Whether an attempt may still be pending at `now`, or has just failed.
    fn is_attempted(&self, now: Millis) -> bool {
        self.attempt_age(now).is_some_and(|age| age <= ATTEMPT_TTL_MS)
    }

    async fn admitted(&self, shared: &Shared) {
        let mut changed = self.changed.subscribe();
        while !self.admits(shared.now()) {
            // The sender lives as long as this node.
            let _ = changed.changed().await;
        }
    }
}
