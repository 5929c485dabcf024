//! Drain notices: engines that announced that they drain.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

use heathpitch_policy::{DrainNotices, EngineIncarnation};

fn incarnation(engine: &str, started_at: u64) -> EngineIncarnation {
    EngineIncarnation { engine: engine.parse().unwrap(), started_at: Some(started_at) }
}

#[test]
fn a_notice_holds_for_one_incarnation_of_an_engine() {
    let mut notices = DrainNotices::default();
    assert!(notices.learn(incarnation("e", 1), 0, 100));
    assert!(notices.is_draining(&incarnation("e", 1)));
    assert!(
        !notices.is_draining(&incarnation("e", 2)) && !notices.is_draining(&incarnation("f", 1))
    );
}

#[test]
fn a_cancelled_notice_is_not_restored_by_an_older_one() {
    let mut notices = DrainNotices::default();
    notices.learn(incarnation("e", 1), 0, 100);
    assert!(notices.due_for_recheck(30_099).is_empty());
    assert_eq!(notices.due_for_recheck(30_100), [incarnation("e", 1)]);
    notices.cancel(&incarnation("e", 1), 30_200);
    assert!(
        !notices.is_draining(&incarnation("e", 1)) && notices.due_for_recheck(90_000).is_empty()
    );
    assert!(!notices.learn(incarnation("e", 1), 30_150, 30_250), "another node still passes it on");
    assert!(!notices.is_draining(&incarnation("e", 1)));
    assert!(notices.learn(incarnation("e", 1), 0, 30_300), "the engine repeats it");
    assert!(notices.is_draining(&incarnation("e", 1)));
}

#[test]
fn notices_are_sent_once_in_batches_and_without_cancelled_ones() {
    let mut notices = DrainNotices::default();
    for i in 0..5 {
        notices.learn(incarnation(&format!("e{i}"), 1), 10, 1_000);
    }
    notices.cancel(&incarnation("e1", 1), 1_000);
    let (first, upto) = notices.since(0, 3, 1_000);
    assert_eq!(first.len(), 2, "the third one is cancelled");
    assert!(first.iter().all(|(_, age)| *age == 10));
    let (rest, last) = notices.since(upto, 3, 1_500);
    assert_eq!(rest, [(incarnation("e3", 1), 510), (incarnation("e4", 1), 510)]);
    assert_eq!(notices.since(last, 3, 2_000), (vec![], last));
}

#[test]
fn notices_are_bounded_and_expire() {
    let mut notices = DrainNotices::default();
    for i in 0..5_000_u64 {
        notices.learn(incarnation(&format!("e{i}"), 1), 0, i);
    }
    assert!(
        notices.is_draining(&incarnation("e4999", 1))
            && !notices.is_draining(&incarnation("e0", 1))
    );
    assert_eq!(notices.since(0, 10_000, 5_000).0.len(), 2_048);
    notices.expire(4_999 + 600_000);
    assert!(!notices.is_draining(&incarnation("e4999", 1)));
    assert!(!notices.learn(incarnation("old", 1), 600_000, 700_000));
}
