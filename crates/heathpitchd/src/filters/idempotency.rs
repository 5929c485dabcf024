//! Filter: requests that must run at most once.
//!
//! Decides who may dispatch a request with a key: this incarnation, because it issued the ticket
//! or claimed the key; another incarnation, to which the request is forwarded; or nobody.

use std::time::Duration;

use heathpitch_core::{Account, Incarnation, Millis, Name, Outcome, digest};
use heathpitch_net::Body;
use heathpitch_policy::{ClaimDecision, KeyState, Ticket, TicketError, Verdict, decide_claim};
use hyper::Response;
use tokio::sync::oneshot;

use super::parse::{RawRequest, malformed};
use super::{Context, ModelRequest, Refusal, RefusalKind, keyed_request};
use crate::shared::ControlMessage;

/// Interval for polling an open request with the same key.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Retry delay while keys cannot be claimed.
const RETRY_AFTER_MS: Millis = 2_000;

/// Permission to dispatch a request.
#[derive(Debug)]
pub(crate) enum Reservation {
    /// The request has no key.
    NoKey,
    /// The key is reserved in the idempotency table.
    Keyed(keyed_request::KeyReservation),
}

/// Result of the key check.
pub(crate) enum KeyCheck {
    /// Run the request on this node.
    Run(Reservation),
    /// Return this answer.
    Answer(Response<Body>),
}

/// Checks the key of a model request.
pub(crate) async fn check_key(
    cx: &Context,
    account: &Account,
    raw: &RawRequest,
    request: &ModelRequest,
) -> Result<KeyCheck, Refusal> {
    let max_tokens = request.max_tokens.to_le_bytes();
    let parts: [&[u8]; 3] =
        [request.model.as_str().as_bytes(), request.prompt.as_bytes(), &max_tokens];
    let format = keyed_request::ReplayFormat::new(request);
    check_key_parts(cx, account, raw, &parts, format).await
}

/// Checks the key of any request whose content is `parts`.
pub(crate) async fn check_key_parts(
    cx: &Context,
    account: &Account,
    raw: &RawRequest,
    parts: &[&[u8]],
    format: keyed_request::ReplayFormat,
) -> Result<KeyCheck, Refusal> {
    let Some(key) = &raw.idempotency.key else { return Ok(KeyCheck::Run(Reservation::NoKey)) };
    let body = content_digest(parts);
    match key.as_str().parse::<Ticket>() {
        Ok(ticket) => check_ticket(cx, raw, key, &ticket, body, format).await,
        Err(TicketError::Malformed) => Err(malformed("the ticket is malformed")),
        Err(TicketError::Foreign) => {
            let digest = digest(&[account.name.as_str().as_bytes(), key.as_str().as_bytes()]);
            check_claim(cx, raw, &digest, body, format).await
        }
    }
}

async fn check_ticket(
    cx: &Context,
    raw: &RawRequest,
    key: &Name,
    ticket: &Ticket,
    body: u64,
    format: keyed_request::ReplayFormat,
) -> Result<KeyCheck, Refusal> {
    if ticket.incarnation != cx.traffic.shared.incarnation {
        return forward_to_owner(cx, raw, &ticket.node, ticket.incarnation).await;
    }
    match lookup(cx, key, body, &format).await? {
        KeyLookup::NotDispatched => Ok(run_here(cx, key)),
        KeyLookup::New => {
            cx.traffic.idempotency.lock().forget(key);
            Err(key_used(Outcome::Unknown))
        }
        KeyLookup::Answer(response) => Ok(KeyCheck::Answer(response)),
    }
}

async fn check_claim(
    cx: &Context,
    raw: &RawRequest,
    key: &Name,
    body: u64,
    format: keyed_request::ReplayFormat,
) -> Result<KeyCheck, Refusal> {
    let not_dispatched = match lookup(cx, key, body, &format).await? {
        KeyLookup::NotDispatched => true,
        KeyLookup::New => false,
        KeyLookup::Answer(response) => return Ok(KeyCheck::Answer(response)),
    };
    let reservation = keyed_request::KeyReservation::new(cx.traffic.clone(), key.clone());
    let verdict = claim(cx, key, body).await;
    match decide_claim(verdict, not_dispatched, cx.traffic.shared.incarnation, body) {
        ClaimDecision::Run => Ok(KeyCheck::Run(Reservation::Keyed(reservation))),
        ClaimDecision::Mismatch => {
            reservation.discard();
            Err(mismatch())
        }
        ClaimDecision::MayHaveRun(outcome) => {
            reservation.discard();
            Err(key_used(outcome))
        }
        ClaimDecision::Forward { node, incarnation } => {
            reservation.discard();
            forward_to_owner(cx, raw, &node, incarnation).await
        }
        ClaimDecision::Unavailable => {
            let message = "the platform does not answer, so the key cannot be claimed";
            Err(Refusal::not_run(RefusalKind::ClaimsAway, message).with_retry_after(RETRY_AFTER_MS))
        }
        ClaimDecision::Full => {
            let message = "no more keys can be claimed for now; tickets can still be used";
            Err(Refusal::not_run(RefusalKind::ClaimsAway, message).with_retry_after(RETRY_AFTER_MS))
        }
    }
}

enum KeyLookup {
    New,
    NotDispatched,
    Answer(Response<Body>),
}

/// Looks up the key; waits while another request with it is open.
async fn lookup(
    cx: &Context,
    key: &Name,
    body: u64,
    format: &keyed_request::ReplayFormat,
) -> Result<KeyLookup, Refusal> {
    loop {
        let found = cx.traffic.idempotency.lock().start(key, body);
        match found {
            KeyState::New => return Ok(KeyLookup::New),
            KeyState::NotDispatched => return Ok(KeyLookup::NotDispatched),
            KeyState::Finished(record) => {
                return Ok(KeyLookup::Answer(keyed_request::replay(cx, &record, format)));
            }
            KeyState::AnswerDropped(outcome) => return Err(key_used(outcome)),
            KeyState::Mismatch => return Err(mismatch()),
            KeyState::Running => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

async fn claim(cx: &Context, digest: &Name, body: u64) -> Verdict {
    let (reply, verdict) = oneshot::channel();
    let claim = ControlMessage::Claim { digest: digest.clone(), body, reply };
    match cx.traffic.shared.notify_control(claim) {
        true => verdict.await.unwrap_or(Verdict::Unavailable),
        false => Verdict::Unavailable,
    }
}

async fn forward_to_owner(
    cx: &Context,
    raw: &RawRequest,
    node: &Name,
    incarnation: Incarnation,
) -> Result<KeyCheck, Refusal> {
    match super::owner_of(cx, node, incarnation) {
        Some(owner) if !raw.idempotency.forwarded => {
            super::forward(cx, raw, &owner).await.map(KeyCheck::Answer)
        }
        _ => {
            let message = "the node that owns this request is gone; the request may have run";
            Err(Refusal::new(Outcome::Unknown, RefusalKind::OwnerGone, message))
        }
    }
}

fn run_here(cx: &Context, key: &Name) -> KeyCheck {
    KeyCheck::Run(Reservation::Keyed(keyed_request::KeyReservation::new(
        cx.traffic.clone(),
        key.clone(),
    )))
}

fn mismatch() -> Refusal {
    let message = "the key was already used with a different request";
    Refusal::not_run(RefusalKind::KeyMismatch, message)
}

fn key_used(outcome: Outcome) -> Refusal {
    let reported = if outcome == Outcome::Done { Outcome::Done } else { Outcome::Unknown };
    let message = match reported {
        Outcome::Done => "the request ran; its answer is no longer stored",
        _ => "a request with this key may have run; its outcome is unknown",
    };
    Refusal::new(reported, RefusalKind::KeySpent, message)
}

/// 64 bits of the digest of the parts.
fn content_digest(parts: &[&[u8]]) -> u64 {
    let digest = digest(parts);
    digest.as_str().get(..16).and_then(|h| u64::from_str_radix(h, 16).ok()).unwrap_or(0)
}
