//! Claims on idempotency keys: performs the platform calls of the claim state machine.

use std::rc::Rc;

use heathpitch_core::{Name, Revision};
use heathpitch_net::{PutError, RpcError};
use heathpitch_policy::{ClaimAction, ClaimEvent, ClaimPage, Verdict};
use rand::Rng;
use tokio::sync::oneshot;

use super::config::record_platform_call;
use super::state::Control;
use crate::clock::wall;

/// Requests a claim on behalf of a request.
pub(super) fn request_claim(
    control: &Rc<Control>,
    digest: Name,
    body: u64,
    reply: oneshot::Sender<Verdict>,
) {
    let id = control.next_claim.get();
    control.next_claim.set(id + 1);
    control.replies.borrow_mut().insert(id, reply);
    let nonce = control.rng.borrow_mut().random();
    on(control, ClaimEvent::Claim { id, digest, body, nonce });
}

/// Advances the timers of pending claims.
pub(super) fn tick(control: &Rc<Control>) {
    if !control.replies.borrow().is_empty() {
        on(control, ClaimEvent::Tick);
    }
}

fn on(control: &Rc<Control>, event: ClaimEvent) {
    let actions = control.claims.borrow_mut().on(event, control.now(), wall());
    for action in actions {
        match action {
            ClaimAction::Read(page) => {
                tokio::task::spawn_local(read(control.clone(), page));
            }
            ClaimAction::Write(page, expect, content) => {
                tokio::task::spawn_local(write(control.clone(), page, expect, content));
            }
            ClaimAction::Answer(id, verdict) => {
                if let Some(reply) = control.replies.borrow_mut().remove(&id) {
                    // If the request has ended, its claim stays unused.
                    let _ = reply.send(verdict);
                }
            }
        }
    }
}

fn page_key(page: u32) -> String {
    format!("claims/{page}")
}

async fn read(control: Rc<Control>, page: u32) {
    let answer = control.clients.platform.get(&page_key(page)).await;
    record_platform_call(&control, "claims_read", &answer);
    let event = match answer {
        Ok(Some(stored)) => match serde_json::from_str(&stored.value) {
            Ok(content) => ClaimEvent::Read(page, stored.revision, Some(content)),
            Err(e) => {
                log::error!("cannot decode claims page {page}: {e}");
                ClaimEvent::ReadFailed(page)
            }
        },
        Ok(None) => ClaimEvent::Read(page, Revision(0), None),
        Err(_) => ClaimEvent::ReadFailed(page),
    };
    on(&control, event);
}

async fn write(control: Rc<Control>, page: u32, expect: Revision, content: ClaimPage) {
    let text = serde_json::to_string(&content).unwrap_or_default();
    let answer = control.clients.platform.put(&page_key(page), expect, text).await;
    let counted = match &answer {
        Ok(_) | Err(PutError::Conflict(_)) => Ok(()),
        Err(PutError::Refused(e) | PutError::Unknown(e)) => Err::<(), RpcError>(e.clone()),
    };
    record_platform_call(&control, "claims_write", &counted);
    let event = match answer {
        Ok(revision) => ClaimEvent::Written(page, revision),
        Err(PutError::Conflict(_)) => ClaimEvent::Conflict(page),
        Err(PutError::Refused(_) | PutError::Unknown(_)) => ClaimEvent::WriteUnknown(page),
    };
    on(&control, event);
}
