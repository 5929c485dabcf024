//! Engines that start again under their id, and words of theirs that arrive late.

mod common;

use common::name;
use heathpitch_policy::{Lives, Word};
use proptest::prelude::*;

#[test]
fn a_word_without_a_start_is_taken_to_be_of_the_life_that_is_known() {
    let engine = name("i-1");
    let mut lives = Lives::default();
    assert_eq!(lives.hear(&engine, None, 1), Word::Current);
    assert_eq!(lives.hear(&engine, Some(5), 2), Word::Current);
    assert_eq!(lives.hear(&engine, None, 3), Word::Current);
    assert_eq!(lives.born(&engine), Some(5));
    assert!(!lives.is_reborn_since(&engine, 0));
}

proptest! {
    /// Whatever the order in which words of several lives arrive, the newest one heard of holds, and
    /// each life begins once at most.
    #[test]
    fn the_newest_life_heard_of_holds(starts in proptest::collection::vec(0_u64..6, 1..60)) {
        let engine = name("i-1");
        let mut lives = Lives::default();
        let mut newest = None;
        for (now, born) in (0..).zip(starts) {
            let expected = match newest {
                None => Word::Current,
                Some(n) if born > n => Word::Reborn,
                Some(n) if born < n => Word::Old,
                Some(_) => Word::Current,
            };
            prop_assert_eq!(lives.hear(&engine, Some(born), now), expected);
            newest = newest.max(Some(born));
            prop_assert_eq!(lives.born(&engine), newest);
            prop_assert_eq!(lives.is_reborn_since(&engine, now), expected == Word::Reborn);
        }
    }
}
