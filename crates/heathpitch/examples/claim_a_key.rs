//! Two nodes claim the same idempotency key; the store decides which one may dispatch.

use heathpitch::core::{Incarnation, Revision, digest};
use heathpitch::policy::{ClaimAction, ClaimEvent, ClaimPage, Claims, Verdict, decide_claim};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let (one, two) = (Incarnation(1), Incarnation(2));
    let mut first = Claims::new("n1".parse()?, one);
    let mut second = Claims::new("n2".parse()?, two);
    let key = digest(&[b"memphis-desk", b"order-7"]);
    let ask = |nonce| ClaimEvent::Claim { id: 1, digest: key.clone(), body: 9, nonce };

    // Both nodes read the empty page and try to write it.
    let [ClaimAction::Read(page)] = first.on(ask(11), 0, 0)[..] else { return Err("read".into()) };
    second.on(ask(22), 0, 0);
    let empty = |claims: &mut Claims| claims.on(ClaimEvent::Read(page, Revision(0), None), 1, 1);
    let written = content(empty(&mut first))?;
    empty(&mut second);

    // The store accepts the first write. The second one conflicts, and its node reads the page again.
    let granted = first.on(ClaimEvent::Written(page, Revision(1)), 2, 2);
    second.on(ClaimEvent::Conflict(page), 2, 2);
    let taken = second.on(ClaimEvent::Read(page, Revision(1), Some(written)), 3, 3);
    println!("n1: {:?}", decide_claim(verdict(granted)?, false, one, 9));
    println!("n2: {:?}", decide_claim(verdict(taken)?, false, two, 9));
    Ok(())
}

fn content(actions: Vec<ClaimAction>) -> Result<ClaimPage, &'static str> {
    let write = actions.into_iter().find_map(|a| match a {
        ClaimAction::Write(_, _, content) => Some(content),
        _ => None,
    });
    write.ok_or("no write")
}

fn verdict(actions: Vec<ClaimAction>) -> Result<Verdict, &'static str> {
    let answer = actions.into_iter().find_map(|a| match a {
        ClaimAction::Answer(_, verdict) => Some(verdict),
        _ => None,
    });
    answer.ok_or("no answer")
}
