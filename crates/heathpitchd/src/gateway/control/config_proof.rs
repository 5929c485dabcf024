//! Controller of what the proof of the configuration depends on, and of the answers to it.
//!
//! [`prover`](crate::gateway::prover) makes the attempts on a thread of its own.

use std::rc::Rc;
use std::time::Duration;

use heathpitch_core::{Millis, Revision};
use heathpitch_net::{RpcError, StoreError};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::config::{Adoption, adopt, read, record_newest};
use super::engine_list;
use super::rejected_config::RejectedConfig;
use super::state::Control;
use crate::gateway::prover::{ProofAnswer, ProofBasis, ProofError};

/// Longest time until a change of this node's role reaches the thread of the attempts.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(300);

/// Handles answers to attempts, and publishes what there is to prove.
pub(super) async fn follow(control: Rc<Control>, mut answers: mpsc::Receiver<ProofAnswer>) {
    loop {
        control.publish_proof_basis();
        tokio::select! {
            answer = answers.recv() => match answer {
                Some(answer) => drop(spawn_local(handle(control.clone(), answer))),
                None => return,
            },
            () = control.proof_basis_changed.notified() => {}
            () = control.pause(PUBLISH_INTERVAL) => {}
        }
    }
}

/// # Proof of the configuration
impl Control {
    /// Publishes what there is to prove, and in which role.
    pub(super) fn publish_proof_basis(&self) {
        let is_loaded = self.shared.catalog.load().is_some();
        let newest = self.rejected_config();
        let rejected = matches!(newest, Some(RejectedConfig::Decoded(_)));
        // A node that has received no configuration has nothing to prove, unless another one feeds it: that one rejects
        // the newest configuration, which this node may be able to use.
        let has_any = is_loaded || newest.is_some() || self.has_feed();
        self.shared.config_proofs.set_basis(ProofBasis {
            revision: has_any.then(|| self.received_revision()),
            in_force: is_loaded && !rejected,
            rejected,
            rejection: self.rejection.get().map(|_| self.newest_freshness()),
            reads: self.reads_store(),
            reachable: self.reachable(),
            rank: self.standby_rank(),
            contenders: self.contenders(),
        });
    }
}

/// Handles an answer.
async fn handle(control: Rc<Control>, answer: ProofAnswer) {
    let ProofAnswer { sent, basis, result, reply } = answer;
    control.record_answer("prove", sent, &result);
    let proof = prove(&control, basis, sent, result).await;
    control.publish_proof_basis();
    // Only answers that do not speak for themselves are waited for.
    let _ = reply.send(proof);
}

/// Records what the answer to an attempt sent at `sent` proves.
async fn prove(
    control: &Control,
    basis: ProofBasis,
    sent: Millis,
    result: Result<Revision, StoreError>,
) -> Result<(), ProofError> {
    let adoption = match result {
        Ok(at) => {
            if control.reads_store() {
                engine_list::prove_at(control, at, sent);
            }
            match () {
                () if basis.in_force => Adoption::InForce,
                () if basis.rejected => Adoption::Rejected,
                () => return Err(ProofError::Absent),
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
