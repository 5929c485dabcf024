//! Engines that start again under their id, and words of theirs that arrive late.

mod common;

use common::name;
use heathpitch_policy::{Incarnations, Recency};
use proptest::prelude::*;

#[test]
fn a_word_without_a_start_is_taken_to_be_of_the_life_that_is_known() {
    let engine = name("i-1");
    let mut lives = Incarnations::default();
    assert_eq!(lives.observe(&engine, None, 1), Recency::Current);
    assert_eq!(lives.observe(&engine, Some(5), 2), Recency::Current);
    assert_eq!(lives.observe(&engine, None, 3), Recency::Current);
    assert_eq!(lives.born(&engine), Some(5));
    assert!(!lives.restarted_since(&engine, 0));
}

proptest! {
    /// Whatever the order in which words of several lives arrive, the newest one heard of holds, and
    /// each life begins once at most.
    #[test]
    fn the_newest_life_heard_of_holds(starts in proptest::collection::vec(0_u64..6, 1..60)) {
        let engine = name("i-1");
        let mut lives = Incarnations::default();
        let mut newest = None;
        for (now, born) in (0..).zip(starts) {
            let expected = match newest {
                None => Recency::Current,
                Some(n) if born > n => Recency::Restarted,
                Some(n) if born < n => Recency::Stale,
                Some(_) => Recency::Current,
            };
            prop_assert_eq!(lives.observe(&engine, Some(born), now), expected);
            newest = newest.max(Some(born));
            prop_assert_eq!(lives.born(&engine), newest);
            prop_assert_eq!(lives.restarted_since(&engine, now), expected == Recency::Restarted);
        }
    }
}
