//! Mirrors: a follower that applies all deltas holds the same items.

use std::collections::BTreeMap;

use heathpitch_policy::{Delta, Mirror};
use proptest::prelude::*;

type Copy = BTreeMap<String, u32>;

/// Applies a delta whose items carry their own keys.
fn apply(copy: &mut Copy, delta: Delta<(String, u32)>) -> u64 {
    if delta.full {
        copy.clear();
    }
    copy.retain(|key, _| !delta.removed.iter().any(|removed| **removed == **key));
    copy.extend(delta.items);
    delta.serial
}

proptest! {
    /// Changes in any order, with polls at any time.
    #[test]
    fn a_follower_holds_the_same_items(
        steps in prop::collection::vec((0_u32..12, any::<bool>(), any::<bool>()), 0..200),
    ) {
        let mut mirror = Mirror::default();
        let (mut expected, mut copy, mut serial) = (Copy::new(), Copy::new(), 0);
        for (i, (key, put, poll)) in steps.into_iter().enumerate() {
            let key = format!("k{key}");
            match put {
                true => {
                    mirror.put(key.as_str().into(), i as u64, (key.clone(), i as u32));
                    expected.insert(key, i as u32);
                }
                false => {
                    mirror.remove(&key);
                    expected.remove(&key);
                }
            }
            if poll {
                serial = apply(&mut copy, mirror.since(serial));
                prop_assert_eq!(&copy, &expected);
            }
        }
    }
}

#[test]
fn a_follower_behind_the_remembered_removals_gets_a_full_copy() {
    let mut mirror = Mirror::default();
    mirror.put("kept".into(), 1, 0);
    let early = mirror.since(0).serial;
    for i in 0..2_000 {
        let key = format!("k{i}");
        mirror.put(key.as_str().into(), 1, i);
        mirror.remove(&key);
    }
    let delta = mirror.since(early);
    assert!(delta.full);
    assert_eq!(delta.items, [0]);
}

#[test]
fn a_serial_of_another_incarnation_gets_a_full_copy() {
    let mut mirror = Mirror::default();
    mirror.put("a".into(), 1, 1);
    assert!(mirror.since(77).full);
}

/// When a source dies, its followers switch to another one, whose serials mean nothing to them:
/// they need a full copy unless the digests are equal.
#[test]
fn mirrors_with_the_same_items_have_the_same_digest_in_any_order_of_arrival() {
    let (mut one, mut other) = (Mirror::default(), Mirror::default());
    for (key, revision) in [("a", 1), ("b", 2), ("c", 3)] {
        one.put(key.into(), revision, ());
    }
    for (key, revision) in [("c", 1), ("x", 9), ("b", 2), ("a", 1), ("c", 3)] {
        other.put(key.into(), revision, ());
    }
    assert_ne!(one.digest(), other.digest());
    other.remove("x");
    assert_eq!(one.digest(), other.digest());
    one.put("b".into(), 4, ());
    assert_ne!(one.digest(), other.digest(), "another revision");
}
