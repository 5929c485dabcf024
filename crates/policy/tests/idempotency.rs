//! States of idempotency keys within one incarnation, including evicted keys.

mod common;

use std::sync::Arc;

use common::name;
use heathpitch_core::{Name, Outcome};
use heathpitch_policy::{IdempotencyTable, KeyState, StoredAnswer};

const BODY: u64 = 7;

/// Dispatches and finishes a request with the key.
fn answer(table: &mut IdempotencyTable, key: &Name) {
    table.start(key, BODY);
    assert!(table.dispatch(key));
    let body: Arc<[u8]> = vec![0; 8].into();
    let record = StoredAnswer { status: 200, media: String::new(), body, outcome: Outcome::Done };
    table.finish(key, record, 0);
}

/// The caller retries after its key was evicted, while the claim cannot be requested.
#[test]
fn an_evicted_key_that_could_not_be_claimed_does_not_count_as_never_run() {
    let (old, new) = (name("old"), name("new"));
    let mut table = IdempotencyTable::with_capacity(1);
    answer(&mut table, &old);
    answer(&mut table, &new);
    assert_eq!(table.start(&old, BODY), KeyState::New);
    table.release(&old);
    assert_eq!(table.start(&old, BODY), KeyState::New);
}

#[test]
fn a_key_that_could_not_be_claimed_is_not_dispatched_while_nothing_was_evicted() {
    let key = name("key");
    let mut table = IdempotencyTable::with_capacity(2);
    assert_eq!(table.start(&key, BODY), KeyState::New);
    table.release(&key);
    assert_eq!(table.start(&key, BODY), KeyState::NotDispatched);
    table.release(&key);
    assert_eq!(table.start(&key, BODY), KeyState::NotDispatched);
}

#[test]
fn an_unused_key_stays_not_dispatched_after_evictions() {
    let (a, b, unused) = (name("a"), name("b"), name("minted"));
    let mut table = IdempotencyTable::with_capacity(2);
    for key in [&a, &b] {
        answer(&mut table, key);
    }
    table.add_unused(unused.clone());
    assert_eq!(table.start(&unused, BODY), KeyState::NotDispatched);
    table.release(&unused);
    assert_eq!(table.start(&unused, BODY), KeyState::NotDispatched);
}
