//! The book of promised retries: messages that arrive late, twice, too large or damaged, roles that
//! change, and bounds that hold for any of them.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod common;

use std::collections::BTreeMap;

use common::name;
use heathpitch_core::Name;
use heathpitch_policy::{PromiseError, PromiseSums, RetryBook, RetryPromise, SlotCapacity};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Time until the caller's deadline, milliseconds.
const LEFT_MS: u64 = 20_000;
const SLOT_MS: u64 = 250;

fn chat() -> Name {
    name("chat")
}

fn promise(in_ms: u64, count: u32) -> RetryPromise {
    RetryPromise { service: chat(), in_ms, count }
}

fn capacity(per_slot: f32) -> SlotCapacity {
    SlotCapacity { service: chat(), per_slot }
}

/// A planner whose domain admits 100 streams a second, so that a slot has 6.25 places.
fn planner(now: u64) -> RetryBook {
    let mut planner = RetryBook::new(0.0);
    planner.set_planner(true, 0);
    for at in (now.saturating_sub(20_000)..now).step_by(100) {
        planner.record_admitted(&chat(), 10, at);
    }
    planner
}

fn promised(sums: &PromiseSums) -> u32 {
    sums.promises.iter().map(|p| p.count).sum()
}

/// An answer that a suspended VM reads after it was resumed states slots that are long past.
#[test]
fn an_old_answer_is_not_used() {
    let mut node = RetryBook::new(0.0);
    node.promise(&chat(), LEFT_MS, 10_000, &mut SmallRng::seed_from_u64(1));
    assert_eq!(node.send_promises(10_100).len(), 1);
    let sums = PromiseSums { promises: vec![promise(100, 9)], capacities: vec![capacity(4.0)] };
    let error = node.poll_answered(&sums, 10_100, 15_000).unwrap_err();
    assert_eq!(error, PromiseError::Old { most: 1_000, got: 4_900 });
    assert!(node.due_pressure(&chat(), 10_250) < 0.01, "the sums count");
    assert!(node.send_promises(15_000).is_empty(), "the planner has the promise already");
}

#[test]
fn a_message_that_is_too_large_is_dropped_whole() {
    let mut planner = planner(20_000);
    let promises = vec![promise(3_000, 1); 65];
    let error = planner.answer_poll(&name("n1"), &promises, 20_000).unwrap_err();
    assert_eq!(error, PromiseError::TooLarge { most: 64, got: 65 });
    let sums = planner.answer_poll(&name("n2"), &[], 20_000).unwrap();
    assert_eq!(sums, PromiseSums::default());
    let mut node = RetryBook::new(0.0);
    let sums = PromiseSums { promises: vec![promise(100, 1); 257], capacities: Vec::new() };
    assert!(node.poll_answered(&sums, 20_000, 20_001).is_err());
}

/// A planner sends no polls. If it kept its admissions until another node is planner, that one would
/// take those of hours for those of a moment, and promise many more places than there are.
#[test]
fn admissions_of_a_term_as_planner_are_not_sent_to_the_next_one() {
    let mut book = planner(20_000);
    (0..5_000).for_each(|i| book.admit(&chat(), 20_000 + i * 100));
    book.set_planner(false, 520_000);
    assert_eq!(book.send_admitted(), []);
    book.admit(&chat(), 520_100);
    assert_eq!(book.send_admitted(), [(chat(), 1)]);
}

/// A node that is cut off knows only its own promises. Compared with what the whole domain admitted
/// before the cut, they would leave no room for the retries that are due.
#[test]
fn a_node_without_planner_compares_its_retries_with_its_own_admissions() {
    let mut node = RetryBook::new(0.0);
    let sums = PromiseSums { promises: vec![promise(3_000, 1)], capacities: vec![capacity(50.0)] };
    node.poll_answered(&sums, 20_000, 20_000).unwrap();
    let mut due = Vec::new();
    for at in (20_000..40_000).step_by(250) {
        node.admit(&chat(), at);
        node.promise(&chat(), LEFT_MS, at, &mut SmallRng::seed_from_u64(1));
        node.send_promises(at);
        node.poll_failed();
        due.push(node.due_pressure(&chat(), at));
    }
    let last = due.split_off(due.len() - 20);
    assert!(last.contains(&0.2), "{last:?}");
}

/// A poll that is sent again after a lost answer counts twice, which leaves fewer places than there
/// are; the surplus must lapse.
#[test]
fn a_repeated_message_takes_places_until_its_slots_have_passed() {
    let mut planner = planner(20_000);
    let mut counts = Vec::new();
    for _ in 0..3 {
        counts.push(promised(
            &planner.answer_poll(&name("n1"), &[promise(1_500, 2)], 20_000).unwrap(),
        ));
    }
    assert_eq!(counts[1] - counts[0], 2);
    assert_eq!(counts[2] - counts[1], 2);
    let sums = planner.answer_poll(&name("n1"), &[], 28_000).unwrap();
    assert_eq!(sums, PromiseSums::default());
}

/// Without a bound, a faulty node could fill the memory of the planner with names of services.
#[test]
fn more_services_than_a_configuration_has_are_ignored() {
    let mut planner = planner(20_000);
    for i in 0..1_000 {
        let service = name(&format!("s{i}"));
        let one = RetryPromise { service, in_ms: 3_000, count: 1 };
        planner.answer_poll(&name("n1"), &[one], 20_000).unwrap();
    }
    let sums = planner.answer_poll(&name("n2"), &[], 20_000).unwrap();
    assert!(sums.capacities.len() <= 64 && sums.promises.len() <= 256);
    let delay = planner.promise(&name("s999"), LEFT_MS, 20_000, &mut SmallRng::seed_from_u64(1));
    assert!((2_000..=6_000).contains(&delay), "{delay}");
}

/// A node that runs for long sees services come and go. If those that are gone kept their places, no
/// retries of new services would be promised.
#[test]
fn services_that_are_gone_make_room_for_others() {
    let mut planner = planner(20_000);
    for i in 0..64 {
        planner.record_admitted(&name(&format!("s{i}")), 1, 20_000);
    }
    let one = [RetryPromise { service: name("new"), in_ms: 3_000, count: 1 }];
    let early = planner.answer_poll(&name("n1"), &one, 20_100).unwrap();
    assert_eq!(early, PromiseSums::default());
    let later = planner.answer_poll(&name("n1"), &one, 60_000).unwrap();
    assert_eq!(later.capacities.len(), 1);
}

/// A standby gets the promises of nodes that lost their planner, and must not lose them when it
/// becomes planner itself.
#[test]
fn a_standby_begins_with_the_promises_that_it_received() {
    let mut standby = RetryBook::new(0.0);
    let answer = standby.answer_poll(&name("n3"), &[promise(3_000, 4)], 20_000).unwrap();
    assert_eq!(answer, PromiseSums::default(), "only a planner has the domain's sums");
    standby.set_planner(true, 20_500);
    let sums = standby.answer_poll(&name("n4"), &[], 21_500).unwrap();
    let slot = sums.promises.iter().find(|p| p.in_ms.abs_diff(1_500) < SLOT_MS).unwrap();
    assert_eq!(slot.count, 4);
}

/// A planner that counted its own promises only when it polls would never count them.
#[test]
fn a_planners_own_promises_are_in_its_sums() {
    let mut planner = planner(20_000);
    let mut rng = SmallRng::seed_from_u64(1);
    (0..20).for_each(|_| {
        planner.promise(&chat(), LEFT_MS, 20_000, &mut rng);
    });
    // When all are too near to be promised, so that their sums are stated.
    let sums = planner.answer_poll(&name("n1"), &[], 21_200).unwrap();
    let near = sums.promises.iter().filter(|p| p.in_ms + SLOT_MS <= 2_000);
    assert_eq!(near.map(|p| p.count).sum::<u32>(), 20, "{sums:?}");
}

/// New calls must leave room for the retries that are due, but never more than a fifth.
#[test]
fn due_retries_raise_the_pressure_by_their_part_of_the_admissions() {
    let mut node = RetryBook::new(0.0);
    let sums = |count| PromiseSums {
        promises: vec![promise(250, count), promise(3_000, 1)],
        capacities: vec![capacity(5.0)],
    };
    node.poll_answered(&sums(2), 20_000, 20_000).unwrap();
    assert!((node.due_pressure(&chat(), 20_300) - 0.1).abs() < 1e-9);
    assert_eq!(node.due_pressure(&chat(), 20_800), 0.0);
    assert_eq!(node.due_pressure(&name("other"), 20_300), 0.0);
    node.poll_answered(&sums(40), 20_000, 20_000).unwrap();
    assert_eq!(node.due_pressure(&chat(), 20_300), 0.2);
}

/// Nodes whose clocks differ must mean the same slots.
#[test]
fn only_offsets_pass_between_nodes() {
    let mut rng = SmallRng::seed_from_u64(1);
    let answers = [0_u64, 77, 1_000_000_131].map(|ahead| {
        let mut planner = planner(20_000);
        let mut node = RetryBook::new(0.0);
        for _ in 0..2 {
            let sent = node.send_promises(20_000 + ahead);
            let sums = planner.answer_poll(&name("n1"), &sent, 20_000).unwrap();
            node.poll_answered(&sums, 20_000 + ahead, 20_000 + ahead).unwrap();
            let delay = node.promise(&chat(), LEFT_MS, 20_000 + ahead, &mut rng);
            assert!((2_000..=6_000).contains(&delay), "{delay}");
        }
        let mut sums = planner.answer_poll(&name("n2"), &[promise(4_000, 1)], 20_000).unwrap();
        sums.promises.retain(|p| p.in_ms < 2_000);
        sums
    });
    assert!(answers.iter().all(|a| a == &answers[0]), "{answers:?}");
}

/// A poll of a planner: time since the one before, node, and its promises.
type Poll = (u64, usize, Vec<(u64, u32)>);

fn polls(nodes: usize) -> impl Strategy<Value = Vec<Poll>> {
    let promises = proptest::collection::vec((2_000_u64..7_000, 0_u32..6), 0..4);
    proptest::collection::vec((0_u64..60, 0..nodes, promises), 1..200)
}

/// Places that a planner has reserved, by node and start of the slot, and the time they are for.
type Reserved = BTreeMap<usize, (u64, Vec<(u64, u32)>)>;

/// Places that are reserved at one time never exceed the capacity of their slot.
fn check_reserved(polls: Vec<Poll>) -> Result<(), TestCaseError> {
    let mut planner = planner(20_000);
    let (mut now, mut most) = (20_000, 0);
    let mut reserved = Reserved::new();
    for (wait, i, promises) in polls {
        now += wait;
        planner.record_admitted(&chat(), (wait / 10) as u32, now);
        let sent: Vec<_> = promises.into_iter().map(|(in_ms, n)| promise(in_ms, n)).collect();
        let sums = planner.answer_poll(&name(&format!("n{i}")), &sent, now).unwrap();
        prop_assert!(sums.promises.len() <= 64, "{sums:?}");
        let per_slot = sums.capacities.first().map_or(0, |c| c.per_slot.ceil() as u32);
        most = most.max(per_slot);
        let ahead = sums.promises.iter().filter(|p| p.in_ms >= 2_000);
        let free = |p: &RetryPromise| (now + p.in_ms, per_slot.saturating_sub(p.count));
        reserved.insert(i, (now + 1_000, ahead.map(free).filter(|(_, n)| *n > 0).collect()));
        reserved.retain(|_, (until, _)| now < *until);
        let mut slots = BTreeMap::<u64, u32>::new();
        for (start, count) in reserved.values().flat_map(|(_, places)| places) {
            *slots.entry(*start).or_default() += count;
        }
        for (_, places) in slots {
            prop_assert!(places <= most, "{places} places of {most}");
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn reserved_places_are_bounded_at_26_nodes(polls in polls(26)) {
        check_reserved(polls)?;
    }

    #[test]
    fn reserved_places_are_bounded_at_87_nodes(polls in polls(87)) {
        check_reserved(polls)?;
    }

    #[test]
    fn reserved_places_are_bounded_at_410_nodes(polls in polls(410)) {
        check_reserved(polls)?;
    }

    /// Whatever a planner says, a caller is asked back neither too early nor too late.
    #[test]
    fn retry_times_keep_their_bounds(
        sums in proptest::collection::vec((any::<u64>(), any::<u32>()), 0..40),
        per_slot in proptest::num::f32::ANY,
        calls in proptest::collection::vec((0_u64..300, 0_u64..60_000), 1..100),
    ) {
        let mut node = RetryBook::new(0.3);
        let mut rng = SmallRng::seed_from_u64(1);
        let promises = sums.into_iter().map(|(in_ms, n)| promise(in_ms % 20_000, n)).collect();
        let sums = PromiseSums { promises, capacities: vec![capacity(per_slot)] };
        let mut now = 50_000;
        node.poll_answered(&sums, now, now).unwrap();
        for (wait, left) in calls {
            now += wait;
            let delay = node.promise(&chat(), left, now, &mut rng);
            let most = left * 3 / 10;
            prop_assert!(delay <= most, "{delay} of {left}");
            prop_assert!(delay >= 2_000.min(most / 2) , "{delay} of {left}");
            prop_assert!(most < 2_000 || delay >= 2_000, "{delay} of {left}");
            prop_assert!((0.0..=0.2).contains(&node.due_pressure(&chat(), now)));
            prop_assert!(node.send_promises(now).len() <= 64);
        }
        // As the planner, it must not go on with a capacity that makes no sense.
        node.set_planner(true, now);
        let sums = node.answer_poll(&name("n1"), &[promise(3_000, 1)], now + 60_000).unwrap();
        prop_assert!(sums.capacities.iter().all(|c| (1.0..2.0).contains(&c.per_slot)), "{sums:?}");
    }
}
