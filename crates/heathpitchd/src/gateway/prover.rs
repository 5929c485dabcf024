//! Thread that proves that the configuration is the newest.
//!
//! The proof is an empty write conditional on the revision in force: it is small, and the store answers it from its
//! current state only. It is due by [`ProofSchedule`], and whenever calls demand one by [`ConfigProofs`].
//!
//! It has a thread and connections of its own, so that whatever holds the control thread up neither delays an attempt nor
//! keeps its answer waiting. The control thread tells it by [`ProofBasis`] what to prove and in which role, and adopts
//! what the store holds instead.
//!
//! [`ConfigProofs`]: super::config_proofs::ConfigProofs

use std::sync::Arc;
use std::time::Duration;
use std::{io, thread};

use futures::StreamExt;
use futures::future::{BoxFuture, LocalBoxFuture};
use futures::stream::FuturesUnordered;
use heathpitch_core::{Millis, Revision};
use heathpitch_net::{Dialect, RpcError, Store, StoreError, Write};
use heathpitch_policy::{
    Freshness, MAX_PENDING_PROOFS, MIN_APPLY_MS, ProofAttempts, ProofFailure, ProofRole,
    ProofSchedule,
};
use tokio::runtime::Builder;
use tokio::sync::{mpsc, oneshot, watch};

use super::event::GatewayEvent;
use super::line_limiter::LineLimiter;
use super::shared::Shared;
use super::thread_monitor;

/// Longest time between two checks of what is due.
const CHECK_INTERVAL_MS: Millis = 300;
/// Time for which a demand of calls lasts, which is how long they wait.
const DEMAND_MS: Millis = 300;
/// Answers that the control thread has not handled yet. One that exceeds them is asked for again.
pub(super) const ANSWER_CAPACITY: usize = 16;

/// What there is to prove, and in which role, as the control thread publishes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ProofBasis {
    /// Revision of the newest configuration received; none while there is nothing to prove.
    pub(crate) revision: Option<Revision>,
    /// Whether that one is in force.
    pub(crate) in_force: bool,
    /// Whether it was rejected; otherwise there is none.
    pub(crate) rejected: bool,
    /// When the rejection of the newest configuration was last confirmed, if there is one.
    pub(crate) rejection: Option<Freshness>,
    /// Whether this node reads the store, rather than follows others.
    pub(crate) reads: bool,
    /// Whether the store answers its calls.
    pub(crate) reachable: bool,
    /// Rank among the standbys.
    pub(crate) rank: Option<usize>,
    /// Nodes that may need the store at the same time.
    pub(crate) contenders: u32,
}

impl ProofBasis {
    fn role(&self) -> ProofRole {
        match self.reads {
            true => ProofRole::Reader { reachable: self.reachable },
            false => ProofRole::Follower { own_age: ProofSchedule::own_proof_age(self.rank) },
        }
    }
}

impl Default for ProofBasis {
    fn default() -> Self {
        Self {
            revision: None,
            in_force: false,
            rejected: false,
            rejection: None,
            reads: false,
            reachable: true,
            rank: None,
            contenders: 1,
        }
    }
}

/// Why a proof of the configuration failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ProofError {
    /// The store gave no usable answer.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The store has no configuration.
    #[error("the store has no configuration")]
    Absent,
    /// The store holds an older configuration than the one in force.
    #[error("the store holds an older configuration")]
    Behind,
    /// The configuration could not be read after the store was restored.
    #[error("the configuration could not be read after a restore of the store")]
    Unread,
    /// The control thread has not handled the answer.
    #[error("the answer was not handled")]
    Unhandled,
}

impl ProofError {
    /// What it says of the store.
    fn failure(&self) -> ProofFailure {
        match self {
            Self::Store(StoreError::Refused(_)) => ProofFailure::Refused,
            Self::Store(StoreError::Rpc(RpcError::Connect(_))) => ProofFailure::Unconnected,
            Self::Store(_) | Self::Absent | Self::Behind | Self::Unread | Self::Unhandled => {
                ProofFailure::Failed
            }
        }
    }
}

/// Answer to an attempt, for the control thread.
#[derive(Debug)]
pub(crate) struct ProofAnswer {
    /// When the attempt was sent.
    pub(crate) sent: Millis,
    /// What it was made for.
    pub(crate) basis: ProofBasis,
    pub(crate) result: Result<Revision, StoreError>,
    /// What it proves.
    pub(crate) reply: oneshot::Sender<Result<(), ProofError>>,
}

/// Clients of the thread.
pub(super) struct ProverClients {
    pub(super) store: Arc<dyn Store>,
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) answers: mpsc::Sender<ProofAnswer>,
}

/// Starts the thread, which ends when `stop` becomes true.
///
/// # Errors
///
/// The system's error if the thread or its runtime cannot be started.
pub(super) fn spawn(
    shared: Arc<Shared>,
    clients: ProverClients,
    mut stop: watch::Receiver<bool>,
) -> io::Result<thread::JoinHandle<()>> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("proofs".to_owned()).spawn(move || {
        runtime.block_on(async {
            tokio::spawn(thread_monitor::watch("proofs"));
            tokio::select! {
                () = Prover::new(&shared, &clients).run() => {}
                _ = stop.wait_for(|s| *s) => {}
            }
        });
    })
}

/// Agreed time for configurations, as far as this node reaches it.
fn apply_time(shared: &Shared) -> Millis {
    shared.settings.load().bounds.config_apply_ms.max(MIN_APPLY_MS)
}

/// When the next attempt is due, and what those made so far show.
struct Prover<'a> {
    shared: &'a Shared,
    clients: &'a ProverClients,
    schedule: ProofSchedule,
    attempts: ProofAttempts,
    /// Until when calls wait for an attempt.
    demanded_until: Millis,
    failures: LineLimiter,
}

/// An attempt that has ended.
struct Ended {
    sent: Millis,
    basis: ProofBasis,
    result: Result<Revision, StoreError>,
}

impl<'a> Prover<'a> {
    fn new(shared: &'a Shared, clients: &'a ProverClients) -> Self {
        let apply_ms = shared.settings.load().bounds.config_apply_ms;
        if apply_ms < MIN_APPLY_MS {
            log::warn!(
                "a configuration may take {MIN_APPLY_MS} ms to be in force, \
                 but bounds.config_apply_ms is {apply_ms}"
            );
        }
        Self {
            shared,
            clients,
            schedule: ProofSchedule::default(),
            attempts: ProofAttempts::new(apply_time(shared)),
            demanded_until: 0,
            failures: LineLimiter::default(),
        }
    }

    /// Makes attempts when they are due.
    async fn run(mut self) {
        let mut pending = FuturesUnordered::new();
        let mut handled: FuturesUnordered<LocalBoxFuture<'_, _>> = FuturesUnordered::new();
        let mut basis_changed = self.shared.config_proofs.basis_changes();
        loop {
            let now = self.shared.now();
            let basis = self.basis();
            // An answer that is being handled may prove the configuration, and may hold a large one.
            let due = if handled.is_empty() { self.due(basis, pending.len()) } else { None };
            if let (true, Some(revision)) = (due.is_some_and(|due| due <= now), basis.revision) {
                self.sent(basis, now);
                if !pending.is_empty() {
                    self.clients.store.reconnect();
                }
                pending.push(self.ask(basis, revision, now));
                continue;
            }
            let wake = self.next_check(due, now);
            tokio::select! {
                biased;
                Some(ended) = pending.next() => {
                    if let Some(handling) = self.ended(ended) {
                        handled.push(Box::pin(handling));
                    }
                }
                Some((sent, result)) = handled.next() => self.handled(sent, result),
                () = self.shared.config_proofs.demanded() => self.demanded(),
                _ = basis_changed.changed() => {}
                () = tokio::time::sleep(Duration::from_millis(wake.saturating_sub(now))) => {}
            }
            self.check();
        }
    }

    fn basis(&self) -> ProofBasis {
        self.shared.config_proofs.basis()
    }

    /// When the newest configuration was last confirmed.
    fn confirmed(&self, basis: ProofBasis) -> Freshness {
        basis.rejection.unwrap_or_else(|| **self.shared.config_freshness.load())
    }

    /// Time of the next attempt beside so many that are `pending`, if one may be made.
    fn due(&self, basis: ProofBasis, pending: usize) -> Option<Millis> {
        if pending >= MAX_PENDING_PROOFS || basis.revision.is_none() {
            return None;
        }
        let scheduled = self.scheduled(basis);
        let now = self.shared.now();
        let demanded =
            now < self.demanded_until && self.shared.config_proofs.state().needs_attempt(now);
        Some(if demanded { scheduled.min(self.schedule.demanded(pending)) } else { scheduled })
    }

    /// Time of the next attempt by the schedule.
    fn scheduled(&self, basis: ProofBasis) -> Millis {
        self.schedule.due(self.confirmed(basis).at(), basis.role())
    }

    /// Time at which to check again, at `now`, if no attempt ends before.
    fn next_check(&self, due: Option<Millis>, now: Millis) -> Millis {
        let next = [due, self.attempts.next_check(), Some(now + CHECK_INTERVAL_MS)];
        next.into_iter().flatten().min().map_or(now, |at| at.max(now))
    }

    /// Records that an attempt is sent at `now`.
    fn sent(&mut self, basis: ProofBasis, now: Millis) {
        let confirmed = self.confirmed(basis);
        if basis.reads {
            self.schedule.reader_sent(now);
        } else {
            let (rank, proof_ms) = (basis.rank, confirmed.age(now));
            GatewayEvent::ConfigProofDue { rank, proof_ms }.log();
            self.schedule.follower_sent(now, basis.contenders, &mut rand::rng());
        }
        self.attempts.set_apply_time(apply_time(self.shared));
        self.attempts.sent(now, confirmed.at());
        self.shared.config_proofs.attempt_sent(now);
    }

    /// Asks the store at `sent` whether a revision is still the newest.
    fn ask(
        &self,
        basis: ProofBasis,
        revision: Revision,
        sent: Millis,
    ) -> BoxFuture<'static, Ended> {
        let key = self.clients.dialect.config_key().to_owned();
        let write = Write { conditions: vec![(key, revision)], ..Write::default() };
        let store = self.clients.store.clone();
        Box::pin(async move { Ended { sent, basis, result: store.write(write).await } })
    }

    /// Records the end of an attempt. Returns what waits until the control thread has handled the answer, if that decides
    /// what it proves.
    fn ended(
        &mut self,
        ended: Ended,
    ) -> Option<impl Future<Output = (Millis, Result<(), ProofError>)> + use<>> {
        let Ended { sent, basis, result } = ended;
        let (reply, handled) = oneshot::channel();
        let answer = ProofAnswer { sent, basis, result: result.clone(), reply };
        // While the control thread is held up, calls wait for the next answer.
        let is_full = self.clients.answers.try_send(answer).is_err();
        match result {
            Ok(_) if basis.in_force => {
                self.shared.record_config_proof(sent);
                self.handled(sent, Ok(()));
                None
            }
            Err(e @ (StoreError::Refused(_) | StoreError::Rpc(_)))
                if !matches!(e, StoreError::Rpc(RpcError::TooLarge(_))) =>
            {
                self.handled(sent, Err(e.into()));
                None
            }
            Ok(_) | Err(_) if is_full => {
                self.handled(sent, Err(ProofError::Unhandled));
                None
            }
            Ok(_) | Err(_) => {
                self.attempts.heard();
                Some(async move { (sent, handled.await.unwrap_or(Err(ProofError::Unhandled))) })
            }
        }
    }

    /// Records what an attempt sent at `sent` proves.
    fn handled(&mut self, sent: Millis, result: Result<(), ProofError>) {
        let (now, proofs) = (self.shared.now(), &self.shared.config_proofs);
        let Err(error) = result else {
            self.schedule.answered(sent, now);
            self.attempts.answered();
            return proofs.attempt_answered();
        };
        self.attempts.failed(sent, error.failure(), proofs.store_answered(), now);
        if self.failures.record(now).is_some() {
            let basis = self.basis();
            GatewayEvent::ConfigProofFailed {
                reads: basis.reads,
                ms: now.saturating_sub(sent),
                error: error.to_string(),
                proof_ms: self.confirmed(basis).age(now),
                retry_ms: self.scheduled(basis).saturating_sub(now),
            }
            .log();
        }
    }

    /// Records that calls demand an attempt.
    fn demanded(&mut self) {
        self.demanded_until = self.shared.now() + DEMAND_MS;
    }

    /// Checks for attempts without an answer.
    fn check(&mut self) {
        let now = self.shared.now();
        self.attempts.check(now);
        let proofs = &self.shared.config_proofs;
        let was_excused = now < proofs.state().excused_until;
        proofs.excuse(self.attempts.excused_until());
        match self.attempts.evidence() {
            Some(evidence) if !was_excused && now < self.attempts.excused_until() => {
                GatewayEvent::OldProofsExcused {
                    evidence: evidence.as_str(),
                    ms: self.attempts.first().map_or(0, |first| now.saturating_sub(first)),
                    proof_ms: self.confirmed(self.basis()).age(now),
                    attempts: proofs.attempts(),
                }
                .log();
            }
            Some(_) | None => {}
        }
    }
}
