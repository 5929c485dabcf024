//! Backpressure of engines: pauses, slow start and drains.

use std::sync::Arc;

use heathpitch_policy::Backpressure;
use proptest::prelude::*;

#[test]
fn nothing_is_admitted_until_the_pause_is_over() {
    let backpressure = Arc::new(Backpressure::default());
    assert!(backpressure.admits(0) && !backpressure.is_active(0));
    backpressure.pause(3_000, 0.0, 100);
    assert!(
        backpressure.admit(None, 100).is_none() && backpressure.admit_probe(None, 3_099).is_none()
    );
    assert_eq!((backpressure.pause_left(100), backpressure.pause_left(3_100)), (Some(3_000), None));
    assert!(backpressure.is_active(3_099) && !backpressure.is_active(3_100));
    assert!(backpressure.admits(3_100));
}

#[test]
fn a_later_shorter_pause_does_not_shorten_the_current_one() {
    let backpressure = Backpressure::default();
    backpressure.pause(3_000, 0.0, 100);
    backpressure.pause(500, 0.0, 200);
    backpressure.pause(0, 0.0, 300);
    assert_eq!(backpressure.pause_left(300), Some(2_800));
    backpressure.pause(5_000, 0.0, 400);
    assert_eq!(backpressure.pause_left(400), Some(5_000));
}

#[test]
fn pauses_end_with_a_jitter_of_a_tenth() {
    let ends = [0.0, 0.5, 1.0, 7.0].map(|draw| {
        let backpressure = Backpressure::default();
        backpressure.pause(2_000, draw, 0);
        backpressure.pause_left(0)
    });
    assert_eq!(ends, [2_000, 2_100, 2_200, 2_200].map(Some));
}

#[test]
fn after_a_pause_one_request_is_admitted_and_one_more_for_each_response() {
    let backpressure = Arc::new(Backpressure::default());
    let before: Vec<_> = (0..8).filter_map(|_| backpressure.admit(None, 0)).collect();
    backpressure.pause(1_000, 0.0, 10);
    drop(before);
    // The window doubles up to half of the requests open at the rejection, then grows by one per
    // round trip.
    for (round, room) in [1, 2, 4, 5, 6].into_iter().enumerate() {
        let now = 1_010 + round as u64 * 30;
        let open: Vec<_> = std::iter::from_fn(|| backpressure.admit(None, now)).take(20).collect();
        assert_eq!(open.len(), room, "round {round}");
        open.iter().for_each(|_| backpressure.record_success(now + 29));
    }
}

#[test]
fn the_window_expires_some_time_after_the_pause() {
    let backpressure = Arc::new(Backpressure::default());
    backpressure.pause(1_000, 0.0, 0);
    backpressure.record_success(20_000);
    let open: Vec<_> = std::iter::from_fn(|| backpressure.admit(None, 20_001)).take(500).collect();
    assert_eq!(open.len(), 500);
}

#[test]
fn a_draining_engine_gets_only_probes() {
    let backpressure = Arc::new(Backpressure::default());
    assert!(backpressure.start_drain() && !backpressure.start_drain());
    assert!(
        !backpressure.admits(u64::MAX)
            && backpressure.admit(None, 5).is_none()
            && backpressure.admit_probe(None, 5).is_some()
    );
    assert!(backpressure.is_active(u64::MAX));
    backpressure.cancel_drain();
    assert!(backpressure.admits(5));
}

#[test]
fn an_endless_pause_does_not_overflow() {
    let backpressure = Backpressure::default();
    backpressure.pause(u64::MAX, 1.0, 10);
    assert!(!backpressure.admits(u64::MAX - 1));
}

proptest! {
    /// Whatever the responses and their order, nothing is admitted during a pause that any of them
    /// asked for.
    #[test]
    fn no_pause_is_cut_short(
        steps in prop::collection::vec((0_u64..400, 0_u64..2_000, 0_u8..4), 1..200),
    ) {
        let backpressure = Arc::new(Backpressure::default());
        let (mut now, mut until, mut open) = (0, 0, Vec::new());
        for (pause, time, step) in steps {
            now += pause;
            match step {
                0 => {
                    backpressure.pause(time, 0.3, now);
                    until = until.max(now + time);
                }
                1 => backpressure.record_success(now),
                2 => drop(open.pop()),
                _ => {
                    let admission = backpressure.admit(None, now);
                    prop_assert!(admission.is_none() || now >= until, "at {now}, paused until {until}");
                    open.extend(admission);
                }
            }
        }
    }
}
