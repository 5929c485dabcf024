//! Controller of the proof that the configuration is the newest.
//!
//! The proof is an empty write conditional on the revision in force: it is small, and the store answers it from its
//! current state only. It is due by [`ProofSchedule`], and whenever calls demand one by [`ConfigProofs`].
//!
//! [`ConfigProofs`]: crate::gateway::config_proofs::ConfigProofs

use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use heathpitch_core::Millis;
use heathpitch_net::{RpcError, StoreError, Write};
use heathpitch_policy::{
    MAX_PENDING_PROOFS, MIN_APPLY_MS, ProofAttempts, ProofFailure, ProofRole, ProofSchedule,
};

use super::config::{Adoption, adopt, read, record_newest};
use super::engine_list;
use super::rejected_config::RejectedConfig;
use super::state::Control;
use crate::gateway::event::GatewayEvent;
use crate::gateway::line_limiter::LineLimiter;

/// Longest time between two checks of what is due.
const CHECK_INTERVAL_MS: Millis = 300;
/// Time for which a demand of calls lasts, which is how long they wait.
const DEMAND_MS: Millis = 300;

/// Why a proof of the configuration failed.
#[derive(Debug, thiserror::Error)]
enum ProofError {
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
}

impl ProofError {
    /// What it says of the store.
    fn failure(&self) -> ProofFailure {
        match self {
            Self::Store(StoreError::Refused(_)) => ProofFailure::Refused,
            Self::Store(StoreError::Rpc(RpcError::Connect(_))) => ProofFailure::Unconnected,
            Self::Store(_) | Self::Absent | Self::Behind | Self::Unread => ProofFailure::Failed,
        }
    }
}

/// Proves that the configuration in force is the newest: periodically if this node reads the store, and otherwise
/// when no source has a proof young enough, or when calls demand it.
pub(super) async fn keep_proven(control: Rc<Control>) {
    let apply_ms = control.shared.settings.load().bounds.config_apply_ms;
    if apply_ms < MIN_APPLY_MS {
        log::warn!(
            "a configuration may take {MIN_APPLY_MS} ms to be in force, \
             but bounds.config_apply_ms is {apply_ms}"
        );
    }
    let mut prover = Prover::new(&control, apply_ms);
    let mut pending = FuturesUnordered::new();
    loop {
        let now = control.now();
        let due = prover.due(pending.len());
        if due.is_some_and(|due| due <= now) {
            prover.sent(now);
            if !pending.is_empty() {
                control.clients.store.reconnect();
            }
            pending.push(prove(&control, now));
            continue;
        }
        let wake = prover.next_check(due, now);
        tokio::select! {
            biased;
            Some((sent, result)) = pending.next() => prover.ended(sent, result),
            () = control.shared.config_proofs.demanded() => prover.demanded(),
            () = control.pause(Duration::from_millis(wake.saturating_sub(now))) => {}
        }
        prover.check();
    }
}

/// When the next attempt is due, and what those made so far show.
struct Prover<'a> {
    control: &'a Control,
    schedule: ProofSchedule,
    attempts: ProofAttempts,
    /// Until when calls wait for an attempt.
    demanded_until: Millis,
    failures: LineLimiter,
}

impl<'a> Prover<'a> {
    fn new(control: &'a Control, apply_ms: Millis) -> Self {
        Self {
            control,
            schedule: ProofSchedule::default(),
            attempts: ProofAttempts::new(apply_ms.max(MIN_APPLY_MS)),
            demanded_until: 0,
            failures: LineLimiter::default(),
        }
    }

    /// Time of the next attempt beside so many that are `pending`, if one may be made.
    fn due(&self, pending: usize) -> Option<Millis> {
        let control = self.control;
        // A node that has received no configuration has nothing to prove, unless another one feeds it: that one rejects
        // the newest configuration, which this node may be able to use.
        let has_received =
            control.shared.catalog.load().is_some() || control.rejected_config().is_some();
        if pending >= MAX_PENDING_PROOFS || !(has_received || control.has_feed()) {
            return None;
        }
        let scheduled = self.scheduled();
        let now = control.now();
        let demanded =
            now < self.demanded_until && control.shared.config_proofs.state().needs_attempt(now);
        Some(if demanded { scheduled.min(self.schedule.demanded(pending)) } else { scheduled })
    }

    /// Time of the next attempt by the schedule.
    fn scheduled(&self) -> Millis {
        let role = match self.control.reads_store() {
            true => ProofRole::Reader { reachable: self.control.reachable() },
            false => ProofRole::Follower {
                own_age: ProofSchedule::own_proof_age(self.control.standby_rank()),
            },
        };
        self.schedule.due(self.control.newest_freshness().at(), role)
    }

    /// Time at which to check again, at `now`, if no attempt ends before.
    fn next_check(&self, due: Option<Millis>, now: Millis) -> Millis {
        let next = [due, self.attempts.next_check(), Some(now + CHECK_INTERVAL_MS)];
        next.into_iter().flatten().min().map_or(now, |at| at.max(now))
    }

    /// Records that an attempt is sent at `now`.
    fn sent(&mut self, now: Millis) {
        let control = self.control;
        let confirmed = control.newest_freshness();
        if control.reads_store() {
            self.schedule.reader_sent(now);
        } else {
            let (rank, proof_ms) = (control.standby_rank(), confirmed.age(now));
            GatewayEvent::ConfigProofDue { rank, proof_ms }.log();
            self.schedule.follower_sent(now, control.contenders(), &mut rand::rng());
        }
        self.attempts.sent(now, confirmed.at());
        control.shared.config_proofs.attempt_sent(now);
    }

    /// Records the end of the attempt sent at `sent`.
    fn ended(&mut self, sent: Millis, result: Result<(), ProofError>) {
        let now = self.control.now();
        let Err(error) = result else {
            self.schedule.answered(sent, now);
            self.attempts.answered();
            return self.control.shared.config_proofs.attempt_answered();
        };
        let answered = self.control.access.get().answered();
        self.attempts.failed(sent, error.failure(), answered, now);
        if self.failures.record(now).is_some() {
            GatewayEvent::ConfigProofFailed {
                reads: self.control.reads_store(),
                ms: now.saturating_sub(sent),
                error: error.to_string(),
                proof_ms: self.control.newest_freshness().age(now),
                retry_ms: self.scheduled().saturating_sub(now),
            }
            .log();
        }
    }

    /// Records that calls demand an attempt.
    fn demanded(&mut self) {
        self.demanded_until = self.control.now() + DEMAND_MS;
    }

    /// Checks for attempts without an answer.
    fn check(&mut self) {
        let now = self.control.now();
        self.attempts.check(now);
        let proofs = &self.control.shared.config_proofs;
        let was_excused = now < proofs.state().excused_until;
        proofs.excuse(self.attempts.excused_until());
        match self.attempts.evidence() {
            Some(evidence) if !was_excused && now < self.attempts.excused_until() => {
                GatewayEvent::OldProofsExcused {
                    evidence: evidence.as_str(),
                    ms: self.attempts.first().map_or(0, |first| now.saturating_sub(first)),
                    proof_ms: self.control.newest_freshness().age(now),
                    attempts: proofs.attempts(),
                }
                .log();
            }
            Some(_) | None => {}
        }
    }
}

/// Makes one attempt to prove the configuration at `sent`.
async fn prove(control: &Control, sent: Millis) -> (Millis, Result<(), ProofError>) {
    (sent, prove_once(control, sent).await)
}

/// Asks the store at `sent` whether the newest configuration known is still the newest.
async fn prove_once(control: &Control, sent: Millis) -> Result<(), ProofError> {
    let rejected = control.rejected_config();
    let key = control.clients.dialect.config_key().to_owned();
    let conditions = vec![(key, control.received_revision())];
    let write = Write { conditions, ..Write::default() };
    let adoption = match control.call("prove", control.clients.store.write(write)).await {
        Ok(at) => {
            if control.reads_store() {
                engine_list::prove_at(control, at, sent);
            }
            match rejected {
                Some(RejectedConfig::Decoded(_)) => Adoption::Rejected,
                // There is no configuration.
                _ if control.shared.catalog.load().is_none() => return Err(ProofError::Absent),
                Some(RejectedConfig::TooLarge) | None => Adoption::InForce,
            }
        }
        Err(StoreError::Conflict(items)) => match items.first() {
            Some(item) => adopt(control, item, "proof"),
            None => return Err(ProofError::Absent),
        },
        Err(StoreError::Rpc(e @ RpcError::TooLarge(_))) => {
            control.reject_config(RejectedConfig::TooLarge, &e);
            Adoption::Rejected
        }
        // The revision in force belongs to the store's history before it was restored.
        Err(StoreError::Restored) => {
            return read(control).await.map(drop).ok_or(ProofError::Unread);
        }
        Err(e) => return Err(e.into()),
    };
    record_newest(control, adoption, sent);
    match adoption {
        Adoption::Behind => Err(ProofError::Behind),
        Adoption::InForce | Adoption::Rejected => Ok(()),
    }
}
