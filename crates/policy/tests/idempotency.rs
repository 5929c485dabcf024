//! What one node life says of keys, also of those that it had to forget.

mod common;

use std::sync::Arc;

use common::name;
use heathpitch_core::{Name, Outcome};
use heathpitch_policy::{IdempotencyTable, KeyState, StoredAnswer};

const BODY: u64 = 7;

/// A key that is dispatched and answered.
fn answer(ledger: &mut IdempotencyTable, key: &Name) {
    ledger.start(key, BODY);
    assert!(ledger.dispatch(key));
    let body: Arc<[u8]> = vec![0; 8].into();
    let record = StoredAnswer { status: 200, media: String::new(), body, outcome: Outcome::Done };
    ledger.finish(key, record, 0);
}

/// The caller comes back when the key is forgotten, and its claim cannot be asked for just then.
#[test]
fn a_forgotten_key_that_could_not_be_claimed_is_not_taken_for_one_that_never_ran() {
    let (old, new) = (name("old"), name("new"));
    let mut ledger = IdempotencyTable::with_capacity(1);
    answer(&mut ledger, &old);
    answer(&mut ledger, &new);
    assert_eq!(ledger.start(&old, BODY), KeyState::New);
    ledger.release(&old);
    assert_eq!(ledger.start(&old, BODY), KeyState::New);
}

#[test]
fn a_key_that_could_not_be_claimed_is_known_not_to_have_run_while_nothing_was_forgotten() {
    let key = name("key");
    let mut ledger = IdempotencyTable::with_capacity(2);
    assert_eq!(ledger.start(&key, BODY), KeyState::New);
    ledger.release(&key);
    assert_eq!(ledger.start(&key, BODY), KeyState::NotDispatched);
    ledger.release(&key);
    assert_eq!(ledger.start(&key, BODY), KeyState::NotDispatched);
}

#[test]
fn a_minted_key_stays_idle_after_others_were_forgotten() {
    let (a, b, minted) = (name("a"), name("b"), name("minted"));
    let mut ledger = IdempotencyTable::with_capacity(2);
    for key in [&a, &b] {
        answer(&mut ledger, key);
    }
    ledger.add_unused(minted.clone());
    assert_eq!(ledger.start(&minted, BODY), KeyState::NotDispatched);
    ledger.release(&minted);
    assert_eq!(ledger.start(&minted, BODY), KeyState::NotDispatched);
}
