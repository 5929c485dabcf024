//! What engines asked for, and when it binds.

use std::sync::Arc;

use heathpitch_policy::Backpressure;
use proptest::prelude::*;

#[test]
fn nothing_goes_there_until_the_rest_is_over() {
    let wish = Arc::new(Backpressure::default());
    assert!(wish.admits(0) && !wish.is_active(0));
    wish.pause(3_000, 0.0, 100);
    assert!(wish.admit(None, 100).is_none() && wish.admit_probe(None, 3_099).is_none());
    assert_eq!((wish.pause_left(100), wish.pause_left(3_100)), (Some(3_000), None));
    assert!(wish.is_active(3_099) && !wish.is_active(3_100));
    assert!(wish.admits(3_100));
}

#[test]
fn an_answer_that_comes_later_and_asks_for_less_takes_nothing_back() {
    let wish = Backpressure::default();
    wish.pause(3_000, 0.0, 100);
    wish.pause(500, 0.0, 200);
    wish.pause(0, 0.0, 300);
    assert_eq!(wish.pause_left(300), Some(2_800));
    wish.pause(5_000, 0.0, 400);
    assert_eq!(wish.pause_left(400), Some(5_000));
}

#[test]
fn nodes_that_were_turned_away_together_come_back_over_a_tenth_of_the_time() {
    let ends = [0.0, 0.5, 1.0, 7.0].map(|draw| {
        let wish = Backpressure::default();
        wish.pause(2_000, draw, 0);
        wish.pause_left(0)
    });
    assert_eq!(ends, [2_000, 2_100, 2_200, 2_200].map(Some));
}

#[test]
fn after_a_rest_one_request_goes_first_and_each_answer_admits_one_more() {
    let wish = Arc::new(Backpressure::default());
    let before: Vec<_> = (0..8).filter_map(|_| wish.admit(None, 0)).collect();
    wish.pause(1_000, 0.0, 10);
    drop(before);
    // It doubles up to half of what was there when it was turned away, and grows by one a round from there.
    for (round, room) in [1, 2, 4, 5, 6].into_iter().enumerate() {
        let now = 1_010 + round as u64 * 30;
        let open: Vec<_> = std::iter::from_fn(|| wish.admit(None, now)).take(20).collect();
        assert_eq!(open.len(), room, "round {round}");
        open.iter().for_each(|_| wish.record_success(now + 29));
    }
}

#[test]
fn what_an_engine_bears_is_forgotten_some_time_after_its_rest() {
    let wish = Arc::new(Backpressure::default());
    wish.pause(1_000, 0.0, 0);
    wish.record_success(20_000);
    let open: Vec<_> = std::iter::from_fn(|| wish.admit(None, 20_001)).take(500).collect();
    assert_eq!(open.len(), 500);
}

#[test]
fn one_that_leaves_gets_checks_and_nothing_else() {
    let wish = Arc::new(Backpressure::default());
    assert!(wish.start_drain() && !wish.start_drain());
    assert!(
        !wish.admits(u64::MAX)
            && wish.admit(None, 5).is_none()
            && wish.admit_probe(None, 5).is_some()
    );
    assert!(wish.is_active(u64::MAX));
    wish.cancel_drain();
    assert!(wish.admits(5));
}

#[test]
fn a_rest_for_ever_is_no_overflow() {
    let wish = Backpressure::default();
    wish.pause(u64::MAX, 1.0, 10);
    assert!(!wish.admits(u64::MAX - 1));
}

proptest! {
    /// Whatever answers come, in whatever order, nothing is admitted in the rest that any of them asked for.
    #[test]
    fn no_rest_is_cut_short(
        steps in prop::collection::vec((0_u64..400, 0_u64..2_000, 0_u8..4), 1..200),
    ) {
        let wish = Arc::new(Backpressure::default());
        let (mut now, mut until, mut open) = (0, 0, Vec::new());
        for (pause, time, step) in steps {
            now += pause;
            match step {
                0 => {
                    wish.pause(time, 0.3, now);
                    until = until.max(now + time);
                }
                1 => wish.record_success(now),
                2 => drop(open.pop()),
                _ => {
                    let entered = wish.admit(None, now);
                    prop_assert!(entered.is_none() || now >= until, "at {now}, rest until {until}");
                    open.extend(entered);
                }
            }
        }
    }
}
