//! Filter: requests that may not be repeated.
//!
//! Settles who may dispatch a request with a key: this life, because it minted the ticket or
//! claimed the key; another life, to which the request is passed on; or nobody.

use std::time::Duration;

use heathpitch_core::{Account, Incarnation, Millis, Name, Outcome, digest};
use heathpitch_net::Body;
use heathpitch_policy::{ClaimDecision, KeyState, Ticket, TicketError, Verdict, decide_claim};
use hyper::Response;
use tokio::sync::oneshot;

use super::parse::{Head, malformed};
use super::{Ask, Context, Refusal, RefusalKind, keyed};
use crate::shared::ToControl;

/// Time between looks at a request with the same key that is still open.
const LOOK: Duration = Duration::from_millis(25);
/// Time told to a caller when claims cannot be made, milliseconds.
const BACK: Millis = 2_000;

/// Leave to dispatch a request.
#[derive(Debug)]
pub(crate) enum Granted {
    /// The request has no key.
    Free,
    /// The ledger's entry for its key.
    Keyed(keyed::Hold),
}

/// What is to be done with a request.
pub(crate) enum Settled {
    /// It is to be run here.
    Run(Granted),
    /// This is its answer.
    Answer(Response<Body>),
}

/// Settles a model request.
pub(crate) async fn settle(
    cx: &Context,
    account: &Account,
    head: &Head,
    ask: &Ask,
) -> Result<Settled, Refusal> {
    let wanted = ask.wanted.to_le_bytes();
    let parts: [&[u8]; 3] = [ask.model.as_str().as_bytes(), ask.prompt.as_bytes(), &wanted];
    let shape = keyed::Shape::of(ask);
    settle_parts(cx, account, head, &parts, shape).await
}

/// Settles any request whose content is `parts`.
pub(crate) async fn settle_parts(
    cx: &Context,
    account: &Account,
    head: &Head,
    parts: &[&[u8]],
    shape: keyed::Shape,
) -> Result<Settled, Refusal> {
    let Some(key) = &head.key.text else { return Ok(Settled::Run(Granted::Free)) };
    let body = fold(parts);
    match key.as_str().parse::<Ticket>() {
        Ok(ticket) => ticketed(cx, head, key, &ticket, body, shape).await,
        Err(TicketError::Malformed) => Err(malformed("the ticket is malformed")),
        Err(TicketError::Foreign) => {
            let digest = digest(&[account.name.as_str().as_bytes(), key.as_str().as_bytes()]);
            claimed(cx, head, &digest, body, shape).await
        }
    }
}

async fn ticketed(
    cx: &Context,
    head: &Head,
    key: &Name,
    ticket: &Ticket,
    body: u64,
    shape: keyed::Shape,
) -> Result<Settled, Refusal> {
    if ticket.life != cx.traffic.shared.life {
        return pass_on(cx, head, &ticket.node, ticket.life).await;
    }
    match start(cx, key, body, &shape).await? {
        Begun::Idle => Ok(run(cx, key)),
        Begun::New => {
            cx.traffic.ledger.lock().forget(key);
            Err(spent(Outcome::Unknown))
        }
        Begun::Answer(response) => Ok(Settled::Answer(response)),
    }
}

async fn claimed(
    cx: &Context,
    head: &Head,
    key: &Name,
    body: u64,
    shape: keyed::Shape,
) -> Result<Settled, Refusal> {
    let idle = match start(cx, key, body, &shape).await? {
        Begun::Idle => true,
        Begun::New => false,
        Begun::Answer(response) => return Ok(Settled::Answer(response)),
    };
    let hold = keyed::Hold::new(cx.traffic.clone(), key.clone());
    let verdict = claim(cx, key, body).await;
    match decide_claim(verdict, idle, cx.traffic.shared.life, body) {
        ClaimDecision::Run => Ok(Settled::Run(Granted::Keyed(hold))),
        ClaimDecision::Mismatch => {
            hold.forget();
            Err(mismatch())
        }
        ClaimDecision::MayHaveRun(outcome) => {
            hold.forget();
            Err(spent(outcome))
        }
        ClaimDecision::Forward { node, life } => {
            hold.forget();
            pass_on(cx, head, &node, life).await
        }
        ClaimDecision::Unavailable => {
            let message = "the platform does not answer, so the key cannot be claimed";
            Err(Refusal::not_run(RefusalKind::ClaimsAway, message).back(BACK))
        }
        ClaimDecision::Full => {
            let message = "no more keys can be claimed for now; tickets still can be used";
            Err(Refusal::not_run(RefusalKind::ClaimsAway, message).back(BACK))
        }
    }
}

enum Begun {
    New,
    Idle,
    Answer(Response<Body>),
}

/// Looks the key up; waits while the first request with it is open.
async fn start(
    cx: &Context,
    key: &Name,
    body: u64,
    shape: &keyed::Shape,
) -> Result<Begun, Refusal> {
    loop {
        let found = cx.traffic.ledger.lock().start(key, body);
        match found {
            KeyState::New => return Ok(Begun::New),
            KeyState::NotDispatched => return Ok(Begun::Idle),
            KeyState::Finished(record) => {
                return Ok(Begun::Answer(keyed::replay(cx, &record, shape)));
            }
            KeyState::AnswerDropped(outcome) => return Err(spent(outcome)),
            KeyState::Mismatch => return Err(mismatch()),
            KeyState::Running => tokio::time::sleep(LOOK).await,
        }
    }
}

async fn claim(cx: &Context, digest: &Name, body: u64) -> Verdict {
    let (reply, verdict) = oneshot::channel();
    let claim = ToControl::Claim { digest: digest.clone(), body, reply };
    match cx.traffic.shared.tell(claim) {
        true => verdict.await.unwrap_or(Verdict::Unavailable),
        false => Verdict::Unavailable,
    }
}

async fn pass_on(
    cx: &Context,
    head: &Head,
    node: &Name,
    life: Incarnation,
) -> Result<Settled, Refusal> {
    match super::owner_of(cx, node, life) {
        Some(owner) if !head.key.forwarded => {
            super::forward(cx, head, &owner).await.map(Settled::Answer)
        }
        _ => {
            let message = "the node that may run this request is gone; it may have run";
            Err(Refusal::of(Outcome::Unknown, RefusalKind::OwnerGone, message))
        }
    }
}

fn run(cx: &Context, key: &Name) -> Settled {
    Settled::Run(Granted::Keyed(keyed::Hold::new(cx.traffic.clone(), key.clone())))
}

fn mismatch() -> Refusal {
    let message = "the key was used with another request";
    Refusal::not_run(RefusalKind::KeyMismatch, message)
}

fn spent(outcome: Outcome) -> Refusal {
    let said = if outcome == Outcome::Done { Outcome::Done } else { Outcome::Unknown };
    let message = match said {
        Outcome::Done => "the request ran; its answer is no longer kept",
        _ => "a request with this key may have run; nothing more is known of it",
    };
    Refusal::of(said, RefusalKind::KeySpent, message)
}

/// 64 bits of the digest of the parts.
fn fold(parts: &[&[u8]]) -> u64 {
    let digest = digest(parts);
    digest.as_str().get(..16).and_then(|h| u64::from_str_radix(h, 16).ok()).unwrap_or(0)
}
