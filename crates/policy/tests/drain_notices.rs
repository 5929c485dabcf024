//! Engines that said that they leave.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

use heathpitch_policy::{DrainNotices, EngineIncarnation};

fn life(engine: &str, born: u64) -> EngineIncarnation {
    EngineIncarnation { engine: engine.parse().unwrap(), born: Some(born) }
}

#[test]
fn a_word_binds_one_life_of_an_engine() {
    let mut leavers = DrainNotices::default();
    assert!(leavers.learn(life("e", 1), 0, 100));
    assert!(leavers.is_draining(&life("e", 1)));
    assert!(!leavers.is_draining(&life("e", 2)) && !leavers.is_draining(&life("f", 1)));
}

#[test]
fn one_that_stays_after_all_is_not_bound_again_by_old_news() {
    let mut leavers = DrainNotices::default();
    leavers.learn(life("e", 1), 0, 100);
    assert!(leavers.due_for_recheck(30_099).is_empty());
    assert_eq!(leavers.due_for_recheck(30_100), [life("e", 1)]);
    leavers.cancel(&life("e", 1), 30_200);
    assert!(!leavers.is_draining(&life("e", 1)) && leavers.due_for_recheck(90_000).is_empty());
    assert!(!leavers.learn(life("e", 1), 30_150, 30_250), "another node still tells of it");
    assert!(!leavers.is_draining(&life("e", 1)));
    assert!(leavers.learn(life("e", 1), 0, 30_300), "it says so again");
    assert!(leavers.is_draining(&life("e", 1)));
}

#[test]
fn others_are_told_once_in_parts_and_not_of_those_that_stay() {
    let mut leavers = DrainNotices::default();
    for i in 0..5 {
        leavers.learn(life(&format!("e{i}"), 1), 10, 1_000);
    }
    leavers.cancel(&life("e1", 1), 1_000);
    let (first, upto) = leavers.since(0, 3, 1_000);
    assert_eq!(first.len(), 2, "the third is one that stays");
    assert!(first.iter().all(|(_, age)| *age == 10));
    let (rest, last) = leavers.since(upto, 3, 1_500);
    assert_eq!(rest, [(life("e3", 1), 510), (life("e4", 1), 510)]);
    assert_eq!(leavers.since(last, 3, 2_000), (vec![], last));
}

#[test]
fn they_are_bounded_and_forgotten() {
    let mut leavers = DrainNotices::default();
    for i in 0..5_000_u64 {
        leavers.learn(life(&format!("e{i}"), 1), 0, i);
    }
    assert!(leavers.is_draining(&life("e4999", 1)) && !leavers.is_draining(&life("e0", 1)));
    assert_eq!(leavers.since(0, 10_000, 5_000).0.len(), 2_048);
    leavers.expire(4_999 + 600_000);
    assert!(!leavers.is_draining(&life("e4999", 1)));
    assert!(!leavers.learn(life("old", 1), 600_000, 700_000));
}
