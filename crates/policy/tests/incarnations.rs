//! Engines that restart under the same id, and late messages of earlier incarnations.

mod common;

use common::name;
use heathpitch_policy::{Incarnations, Recency};
use proptest::prelude::*;

#[test]
fn a_message_without_a_start_time_counts_as_of_the_known_incarnation() {
    let engine = name("i-1");
    let mut incarnations = Incarnations::default();
    assert_eq!(incarnations.observe(&engine, None, 1), Recency::Current);
    assert_eq!(incarnations.observe(&engine, Some(5), 2), Recency::Current);
    assert_eq!(incarnations.observe(&engine, None, 3), Recency::Current);
    assert_eq!(incarnations.started_at(&engine), Some(5));
    assert!(!incarnations.restarted_since(&engine, 0));
}

proptest! {
    /// In whatever order messages of several incarnations arrive, the newest incarnation seen is
    /// the current one, and each starts at most once.
    #[test]
    fn the_newest_incarnation_seen_is_current(
        starts in proptest::collection::vec(0_u64..6, 1..60),
    ) {
        let engine = name("i-1");
        let mut incarnations = Incarnations::default();
        let mut newest = None;
        for (now, started_at) in (0..).zip(starts) {
            let expected = match newest {
                None => Recency::Current,
                Some(n) if started_at > n => Recency::Restarted,
                Some(n) if started_at < n => Recency::Stale,
                Some(_) => Recency::Current,
            };
            prop_assert_eq!(incarnations.observe(&engine, Some(started_at), now), expected);
            newest = newest.max(Some(started_at));
            prop_assert_eq!(incarnations.started_at(&engine), newest);
            prop_assert_eq!(
                incarnations.restarted_since(&engine, now),
                expected == Recency::Restarted
            );
        }
    }
}
