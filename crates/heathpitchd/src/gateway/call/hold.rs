//! Filter: calls that are held back because engines exited under their requests or parts of their prompts.
//!
//! Checked when a call is admitted, and again with each send: what is held back may have changed since, and a call that
//! lost its engine is sent anew.

use std::time::Duration;

use heathpitch_core::Millis;
use heathpitch_policy::{PartKey, Quarantine};

use super::admit::Call;
use super::forward::Declined;
use super::refusal::{Refusal, RefusalKind};
use crate::gateway::quarantine_snapshot::HeldBack;
use crate::gateway::shared::{ControlMessage, Shared};

/// Age of what is held back from which a call that may be concerned waits: the smallest contact bound (3 000) less the time
/// in which exits reach all nodes (2 000).
const MAX_VERDICT_AGE_MS: Millis = 1_000;
/// Longest time for which it does.
const MAX_WAIT_MS: Millis = 500;
/// Interval at which it looks again.
const WAIT_INTERVAL: Duration = Duration::from_millis(20);
/// Why a call is not sent to any engine.
#[derive(Debug)]
struct Hold {
    detail: String,
    retry_after: Millis,
}

/// Refuses a call that is held back.
pub(super) fn admit(shared: &Shared, call: &Call) -> Result<(), Refusal> {
    match find(shared, call) {
        Some(Hold { detail, retry_after }) => {
            let refusal = Refusal::unsent(RefusalKind::HeldBack, &call.head.id, detail);
            Err(refusal.with_retry_after(retry_after).of_call(call))
        }
        None => Ok(()),
    }
}

/// Declines to send a call that is held back, or that may be: what is held back is old, and engines exited under what may
/// be their cause.
pub(super) async fn check(shared: &Shared, call: &Call) -> Result<(), Declined> {
    let give_up = shared.now() + MAX_WAIT_MS;
    loop {
        if let Some(hold) = find(shared, call) {
            return Err(hold.into());
        }
        let now = shared.now();
        let age = shared.verdict_age.at(now);
        if age <= MAX_VERDICT_AGE_MS || !may_be_concerned(shared, call, now - age) {
            return Ok(());
        }
        if now >= give_up {
            let detail = format!(
                "engines exited shortly after they started this request or a part of it, and what is held back is {age} ms old"
            );
            return Err(Declined { kind: RefusalKind::Unjudged, retry_after: None, detail });
        }
        tokio::time::sleep(WAIT_INTERVAL).await;
    }
}

/// Whether exits that are not judged yet may hold the call back: engines exited under its request or a part of its prompt,
/// which none has answered since the last verdict.
fn may_be_concerned(shared: &Shared, call: &Call, judged_at: Millis) -> bool {
    let quarantine = shared.quarantine.load();
    if quarantine.is_suspect(|| call.fingerprint()) {
        return true;
    }
    let mut suspected =
        call.parts().iter().filter(|key| quarantine.parts.suspected.contains(key)).peekable();
    suspected.peek().is_some() && {
        let answered = shared.answered_parts.lock();
        suspected.any(|key| !answered.answered_since(key, judged_at))
    }
}

/// Why the call is held back, if it is.
///
/// Callers are told that it did not run, and when it may: a permanent denial would be wrong once the engines are fixed.
fn find(shared: &Shared, call: &Call) -> Option<Hold> {
    let quarantine = shared.quarantine.load();
    if let Some(held) = quarantine.held_back(|| call.fingerprint()) {
        let renewal = ControlMessage::HeldBack(call.fingerprint());
        return Some(Hold::new(shared, held, renewal, held.to_string()));
    }
    if quarantine.parts.held.is_empty() {
        return None;
    }
    let answered = |key: &PartKey| shared.answered_parts.lock().contains(key, shared.now());
    let (key, held) = quarantine.parts.held_back(call.parts(), answered)?;
    let position = call.parts().iter().position(|k| *k == key);
    let id = position.and_then(|p| call.head.prompt_parts.get(p)).map_or("", |id| id);
    let detail = format!(
        "engines exited shortly after they started requests with part {id} ({}) of the prompt:{}",
        key.part,
        held.engine_list()
    );
    Some(Hold::new(shared, held, ControlMessage::PartHeldBack(key), detail))
}

impl Hold {
    /// Of a call for what is held back, which is renewed if it would end soon.
    fn new(shared: &Shared, held: &HeldBack, renewal: ControlMessage, detail: String) -> Self {
        let retry_after = held.until.saturating_sub(shared.now());
        if Quarantine::is_renewal_due(retry_after) {
            shared.notify_control(renewal);
        }
        Self { detail, retry_after }
    }
}

impl From<Hold> for Declined {
    fn from(Hold { detail, retry_after }: Hold) -> Self {
        Self { kind: RefusalKind::HeldBack, retry_after: Some(retry_after), detail }
    }
}
