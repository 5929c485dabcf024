//! Tracking of an engine's rate limit under reordered responses, and the use of rights.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod common;

use std::sync::Arc;

use common::name;
use heathpitch_core::Rate;
use heathpitch_policy::{Backpressure, EngineIncarnation, EngineLimit, Limits, Right};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn rate(requests: f64) -> Rate {
    Rate::per_second(requests).unwrap()
}

fn limited(requests: f64) -> Arc<Backpressure> {
    let backpressure = Arc::<Backpressure>::default();
    backpressure.limit().observe(rate(requests), 0, 1);
    backpressure
}

#[test]
fn a_lower_limit_applies_at_once_and_a_higher_one_after_a_later_request() {
    let backpressure = limited(3.0);
    let limit = backpressure.limit();
    assert!(limit.observe(rate(2.0), 0, 100), "to a request in flight");
    assert!(!limit.observe(rate(5.0), 90, 150), "it may be older than the lower limit");
    assert!(limit.observe(rate(5.0), 110, 200));
    assert_eq!((limit.rate(), limit.age(250)), (Some(rate(5.0)), 50));
}

/// Such a limit restricts nobody, but it is stored like any other: repeated responses with it
/// change nothing.
#[test]
fn a_huge_or_infinite_limit_is_stored() {
    for requests in [1e300, f64::INFINITY] {
        let backpressure = Arc::<Backpressure>::default();
        assert!(backpressure.limit().observe(rate(requests), 0, 1));
        assert!(
            backpressure.limit().rate().is_some()
                && !backpressure.limit().observe(rate(requests), 10, 20)
        );
        assert!(backpressure.limit().observe(rate(3.0), 30, 40));
    }
}

#[test]
fn one_response_without_a_limit_does_not_lift_it() {
    let backpressure = limited(3.0);
    let limit = backpressure.limit();
    assert!(!limit.observe_none(600, 700));
    assert!(!limit.observe(rate(3.0), 650, 800), "the limit is unchanged");
    assert!(!limit.observe_none(900, 1_000), "stated since");
    assert!(!limit.observe_none(1_000, 1_100), "too soon after it was stated");
    assert!(limit.observe_none(1_200, 1_400));
}

/// An update from another node may be older than it seems, and must not lift a limit that this node
/// has observed since.
#[test]
fn updates_of_other_nodes_are_ordered_by_age() {
    let backpressure = limited(3.0);
    let limit = backpressure.limit();
    limit.observe(rate(3.0), 400, 500);
    assert!(!limit.learn(None, 450), "a response to this node stated it later");
    assert!(limit.learn(Some(rate(1.0)), 450));
    assert!(!limit.learn(Some(rate(9.0)), 440), "older");
    assert!(limit.learn(None, 600));
    let incarnation = EngineIncarnation { engine: name("i-1"), started_at: Some(5) };
    let mut limits = Limits::default();
    assert!(!limits.learn(incarnation.clone(), None, 10), "nothing to lift");
    assert!(
        limits.learn(incarnation.clone(), Some(rate(1.0)), 20)
            && limits.learn(incarnation.clone(), None, 30)
    );
    assert_eq!(limits.since(0, 8, 40).0[0].rate, None, "its lifting is announced");
    limits.retain(|_| true, 20_000);
    assert!(limits.since(0, 8, 20_000).0.is_empty());
}

/// A right is rejected if it has expired, was issued under another limit or for another engine, or
/// was used before.
#[test]
fn a_right_is_used_once_and_in_time() {
    let backpressure = limited(3.0);
    backpressure.limit().add_rights(2, 100, 110);
    let mut first = EngineLimit::take(&backpressure, 200).unwrap();
    assert!(backpressure.admit(Some(&mut first), 300).is_some());
    drop(first);
    let mut late = EngineLimit::take(&backpressure, 300).unwrap();
    assert!(EngineLimit::take(&backpressure, 300).is_none());
    assert!(
        backpressure.admit(Some(&mut late), 600).is_none(),
        "expired while the node was stalled"
    );
    assert!(backpressure.admit(None, 300).is_none(), "the engine has a limit");
    // An unused right returns to the stock until it expires.
    drop(late);
    assert!(
        EngineLimit::take(&backpressure, 599).is_some()
            && EngineLimit::take(&backpressure, 601).is_none()
    );
    backpressure.limit().add_rights(5, 700, 700);
    backpressure.limit().observe(rate(1.0), 700, 710);
    assert!(
        EngineLimit::take(&backpressure, 720).is_none(),
        "they were issued under a higher limit"
    );
    let other = limited(3.0);
    let mut foreign = Right::self_issued(&other, 800);
    assert!(backpressure.admit(Some(&mut foreign), 800).is_none(), "for another engine");
}

/// Every node keeps requesting rights, and there is no issuer.
#[test]
fn self_issued_rights_add_up_to_a_quarter() {
    let mut rng = SmallRng::seed_from_u64(5);
    for (nodes, limit) in [(7, 3.6), (70, 3.6), (300, 3.6), (300, 100.0)] {
        let all: Vec<_> = (0..nodes).map(|_| limited(limit)).collect();
        let mut issued = Vec::new();
        for now in (1..120_000).step_by(50) {
            for backpressure in &all {
                let draw = rng.random_range(0.0..1.0);
                if backpressure.limit().self_issue(Some(nodes), draw, now) {
                    issued.push(now);
                }
            }
        }
        let part = issued.len() as f64 / 120.0 / limit;
        let within =
            |from: u64| issued.iter().filter(|at| (from..from + 4_000).contains(*at)).count();
        let most = issued.iter().map(|at| within(*at)).max().unwrap() as f64;
        assert!((0.15..0.3).contains(&part), "{nodes} nodes, {limit}: {part}");
        assert!(most <= 0.5 * limit * 4.0 + 5.0, "{nodes} nodes, {limit}: {most} in four seconds");
    }
}

proptest! {
/// An engine alternates between limits and none; its responses arrive up to half a second late and
/// out of order. While it states limits, a node never applies a higher one than it stated recently,
/// and once its state is constant the node applies that.
#[test]
    fn limits_converge_whatever_order_responses_arrive_in(
        states in prop::collection::vec((prop::option::of(1_u64..9), 200_u64..3_000), 1..6),
        seed in any::<u64>(),
    ) {
    let mut rng = SmallRng::seed_from_u64(seed);
        let end: u64 = states.iter().map(|(_, time)| time).sum::<u64>() + 3_000;
        let state_at = |at: u64| {
            let mut from = 0;
            let state = states.iter().find(|(_, time)| { from += time; at < from });
            state.unwrap_or(states.last().unwrap()).0
        };
    let mut begin = 0;
        let spans: Vec<(u64, u64, Option<u64>)> = states.iter().enumerate().map(|(i, (state, time))| {
            let from = begin;
            begin += time;
            (from, if i + 1 == states.len() { u64::MAX } else { begin }, *state)
        }).collect();
    let mut answers: Vec<(u64, u64, Option<u64>)> = (0..end / 20).map(|i| {
            let sent = i * 20;
            let given = sent + rng.random_range(1..200);
            (given + rng.random_range(1..300), sent, state_at(given))
        }).collect();
        answers.sort_unstable();
        let backpressure = Arc::<Backpressure>::default();
    for (now, sent, state) in answers {
            match state {
                Some(limit) => backpressure.limit().observe(rate(limit as f64), sent, now),
                None => backpressure.limit().observe_none(sent, now),
            };
// Everything that it stated in that time, however briefly.
let from = now.saturating_sub(1_100);
            let recent = spans.iter().filter(|(begin, end, _)| *begin <= now && *end > from);
            let recent: Vec<Option<u64>> = recent.map(|(.., state)| *state).collect();
            if let Some(most) = recent.iter().copied().collect::<Option<Vec<u64>>>() {
                let most = rate(*most.iter().max().unwrap() as f64);
                prop_assert!(now < 600 || backpressure.limit().rate().is_some_and(|r| r <= most), "at {now}");
    }
        }
        prop_assert_eq!(backpressure.limit().rate(), state_at(end).map(|l| rate(l as f64)));
    }
}
