//! Choice of the node that a call is forwarded to.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails its test")]

use std::collections::HashMap;

use heathpitch_core::{ForwardToken, Forwarder, Name};
use heathpitch_policy::{Forwarders, sample_forwarders};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn node(number: usize, domain: &str) -> Forwarder {
    Forwarder {
        node: name(&format!("n{number}")),
        domain: name(domain),
        address: ([10, 0, 0, 1], 1).into(),
        token: ForwardToken::new([number as u8; 16]),
        open: 100,
        unserved: Vec::new(),
    }
}

/// Guards against a few nodes that get all calls of the many that are cut off: half of a domain of 68 nodes.
#[test]
fn calls_of_many_cut_nodes_are_spread_evenly() {
    let mut rng = SmallRng::seed_from_u64(1);
    let all: Vec<Forwarder> = (0..34).map(|n| node(n, "a")).collect();
    let (service, home) = (name("llm"), name("a"));
    let mut taken: HashMap<Name, usize> = HashMap::new();
    for _ in 0..34 {
        let mut known = Forwarders::default();
        for _ in 0..10 {
            known.replace(sample_forwarders(all.iter(), &home, &mut rng), 0);
            for _ in 0..10 {
                let chosen = known.choose(&service, &home, &[], 0, &mut rng).unwrap();
                *taken.entry(chosen.node).or_default() += 1;
            }
        }
    }
    let most = taken.values().max().unwrap();
    assert_eq!(taken.len(), 34);
    assert!(*most <= 200, "each has 100 calls of its own, and gets {most}");
}

/// Guards against calls that cross failure domains while a node of the own one takes them, and against a few
/// nodes of the own one that are overwhelmed.
#[test]
fn other_domains_are_used_once_the_own_one_is_much_busier() {
    let mut rng = SmallRng::seed_from_u64(2);
    let (service, home) = (name("llm"), name("a"));
    let mut known = Forwarders::default();
    known.replace(vec![node(1, "a"), node(2, "b")], 0);
    let mut choose = || known.choose(&service, &home, &[], 0, &mut rng).unwrap().domain;
    assert!((0..40).all(|_| choose() == home));
    let remote = (0..400).filter(|_| choose() != home).count();
    assert!(remote > 50, "{remote}");
}

/// Guards against nodes that are asked again and again for a service that they do not reach themselves.
#[test]
fn nodes_that_cannot_serve_are_passed_over() {
    let mut rng = SmallRng::seed_from_u64(3);
    let (service, home) = (name("llm"), name("a"));
    let mut known = Forwarders::default();
    let cut = Forwarder { unserved: vec![service.clone()], ..node(1, "a") };
    known.replace(vec![cut, node(2, "a"), node(3, "a")], 0);
    known.record_declined(&name("n2"), &service, 0);
    let mut choose = |avoid: &[Name], now| known.choose(&service, &home, avoid, now, &mut rng);
    assert_eq!(choose(&[], 10).unwrap().node, name("n3"));
    assert_eq!(choose(&[name("n3")], 10), None);
    assert!(choose(&[name("n3")], 2_000).is_some(), "it may reach it by now");
}

/// Guards against a restarted node that is held to the calls and failures of its earlier process.
#[test]
fn a_new_process_of_a_node_starts_without_failures() {
    let mut rng = SmallRng::seed_from_u64(4);
    let (service, home) = (name("llm"), name("a"));
    let mut known = Forwarders::default();
    known.replace(vec![node(1, "a")], 0);
    known.record_unreachable(&name("n1"), 0);
    assert_eq!(known.choose(&service, &home, &[], 100, &mut rng), None);
    known.replace(vec![Forwarder { token: ForwardToken::new([9; 16]), ..node(1, "a") }], 50);
    assert!(known.choose(&service, &home, &[], 100, &mut rng).is_some());
}

/// Guards against messages that grow with the fleet: samples of 410 nodes in six failure domains.
#[test]
fn samples_are_bounded_and_hold_nodes_of_every_domain() {
    let mut rng = SmallRng::seed_from_u64(5);
    let all: Vec<Forwarder> =
        (0..410).map(|n| node(n, ["a", "b", "c", "d", "e", "f"][n % 6])).collect();
    let sample = sample_forwarders(all.iter(), &name("a"), &mut rng);
    assert!(sample.len() <= 16);
    let of = |domain: &str| sample.iter().filter(|f| f.domain == name(domain)).count();
    assert_eq!(of("a"), 4);
    assert!(["b", "c", "d", "e", "f"].iter().all(|domain| of(domain) == 2));
}

/// Guards against a planner that has just begun, whose sample made other nodes forget all but itself: streams
/// ended with it.
#[test]
fn nodes_of_recent_samples_are_kept() {
    let mut rng = SmallRng::seed_from_u64(6);
    let (service, home) = (name("llm"), name("a"));
    let mut known = Forwarders::default();
    known.replace(vec![node(1, "a"), node(2, "a")], 0);
    known.replace(vec![node(1, "a")], 1_000);
    let found = known.choose(&service, &home, &[name("n1")], 1_100, &mut rng);
    assert_eq!(found.unwrap().node, name("n2"));
    known.record_end(&name("n2"));
    known.replace(vec![node(1, "a")], 20_000);
    assert_eq!(known.choose(&service, &home, &[name("n1")], 20_100, &mut rng), None);
}
