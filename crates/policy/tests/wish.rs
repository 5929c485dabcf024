//! What engines asked for, and when it binds.

use std::sync::Arc;

use heathpitch_policy::Wish;
use proptest::prelude::*;

#[test]
fn nothing_goes_there_until_the_rest_is_over() {
    let wish = Arc::new(Wish::default());
    assert!(wish.admits(0) && !wish.binds(0));
    wish.rest(3_000, 0.0, 100);
    assert!(wish.enter(None, 100).is_none() && wish.enter_check(None, 3_099).is_none());
    assert_eq!((wish.left(100), wish.left(3_100)), (Some(3_000), None));
    assert!(wish.binds(3_099) && !wish.binds(3_100));
    assert!(wish.admits(3_100));
}

#[test]
fn an_answer_that_comes_later_and_asks_for_less_takes_nothing_back() {
    let wish = Wish::default();
    wish.rest(3_000, 0.0, 100);
    wish.rest(500, 0.0, 200);
    wish.rest(0, 0.0, 300);
    assert_eq!(wish.left(300), Some(2_800));
    wish.rest(5_000, 0.0, 400);
    assert_eq!(wish.left(400), Some(5_000));
}

#[test]
fn nodes_that_were_turned_away_together_come_back_over_a_tenth_of_the_time() {
    let ends = [0.0, 0.5, 1.0, 7.0].map(|draw| {
        let wish = Wish::default();
        wish.rest(2_000, draw, 0);
        wish.left(0)
    });
    assert_eq!(ends, [2_000, 2_100, 2_200, 2_200].map(Some));
}

#[test]
fn after_a_rest_one_request_goes_first_and_each_answer_admits_one_more() {
    let wish = Arc::new(Wish::default());
    let before: Vec<_> = (0..8).filter_map(|_| wish.enter(None, 0)).collect();
    wish.rest(1_000, 0.0, 10);
    drop(before);
    // It doubles up to half of what was there when it was turned away, and grows by one a round from there.
    for (round, room) in [1, 2, 4, 5, 6].into_iter().enumerate() {
        let now = 1_010 + round as u64 * 30;
        let open: Vec<_> = std::iter::from_fn(|| wish.enter(None, now)).take(20).collect();
        assert_eq!(open.len(), room, "round {round}");
        open.iter().for_each(|_| wish.answered(now + 29));
    }
}

#[test]
fn what_an_engine_bears_is_forgotten_some_time_after_its_rest() {
    let wish = Arc::new(Wish::default());
    wish.rest(1_000, 0.0, 0);
    wish.answered(20_000);
    let open: Vec<_> = std::iter::from_fn(|| wish.enter(None, 20_001)).take(500).collect();
    assert_eq!(open.len(), 500);
}

#[test]
fn one_that_leaves_gets_checks_and_nothing_else() {
    let wish = Arc::new(Wish::default());
    assert!(wish.leave() && !wish.leave());
    assert!(
        !wish.admits(u64::MAX)
            && wish.enter(None, 5).is_none()
            && wish.enter_check(None, 5).is_some()
    );
    assert!(wish.binds(u64::MAX));
    wish.stay();
    assert!(wish.admits(5));
}

#[test]
fn a_rest_for_ever_is_no_overflow() {
    let wish = Wish::default();
    wish.rest(u64::MAX, 1.0, 10);
    assert!(!wish.admits(u64::MAX - 1));
}

proptest! {
    /// Whatever answers come, in whatever order, nothing is admitted in the rest that any of them asked for.
    #[test]
    fn no_rest_is_cut_short(
        steps in prop::collection::vec((0_u64..400, 0_u64..2_000, 0_u8..4), 1..200),
    ) {
        let wish = Arc::new(Wish::default());
        let (mut now, mut until, mut open) = (0, 0, Vec::new());
        for (pause, time, step) in steps {
            now += pause;
            match step {
                0 => {
                    wish.rest(time, 0.3, now);
                    until = until.max(now + time);
                }
                1 => wish.answered(now),
                2 => drop(open.pop()),
                _ => {
                    let entered = wish.enter(None, now);
                    prop_assert!(entered.is_none() || now >= until, "at {now}, rest until {until}");
                    open.extend(entered);
                }
            }
        }
    }
}
