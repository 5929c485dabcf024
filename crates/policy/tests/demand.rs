//! Demand of accounts, averaged by gossip between nodes.

#![allow(clippy::unwrap_used, reason = "a failure here fails the test")]

use heathpitch_core::Incarnation;
use heathpitch_policy::{BlockEvent, Demand, PrefixIndex};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Nodes after their first second and `rounds` of exchanges with random peers.
fn fleet(counts: &[u32], rounds: usize, reachable: impl Fn(usize, usize) -> bool) -> Vec<Demand> {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut nodes: Vec<Demand> = counts
        .iter()
        .map(|n| {
            let mut d = Demand::new();
            (0..*n).for_each(|_| d.count(1));
            d.tick(1_000, 80_000);
            d
        })
        .collect();
    for _ in 0..rounds {
        for a in 0..nodes.len() {
            let b = rng.random_range(0..nodes.len());
            if a == b || !reachable(a, b) {
                continue;
            }
            let (round, sent) = nodes[a].values();
            let (_, answer) = nodes[b].values();
            nodes[b].merge(round, &sent);
            nodes[a].merge(round, &answer);
        }
    }
    nodes
}

fn total(nodes: &[Demand]) -> f64 {
    nodes.iter().map(|n| n.share(1, nodes.len() as u32)).sum()
}

#[test]
fn shares_follow_demand_and_add_up() {
    let counts: Vec<u32> = (0..70).map(|i| if i % 7 == 0 { 70 } else { 7 }).collect();
    let nodes = fleet(&counts, 8, |_, _| true);
    let sum = total(&nodes);
    assert!((0.8..1.3).contains(&sum), "{sum}");
    let (busy, quiet) = (nodes[0].share(1, 70), nodes[1].share(1, 70));
    assert!(busy > quiet * 4.0, "{busy} {quiet}");
}

#[test]
fn an_account_seen_by_one_node_only_has_nearly_all_its_limit_there() {
    let mut counts = vec![0; 16];
    counts[3] = 50;
    let nodes = fleet(&counts, 8, |_, _| true);
    assert!(nodes[3].share(1, 16) > 0.7);
}

#[test]
fn partitioned_failure_domains_share_limits_separately() {
    let nodes = fleet(&[10; 20], 8, |a, b| a / 10 == b / 10);
    let sum = total(&nodes);
    assert!((0.8..1.3).contains(&sum), "{sum}");
}

#[test]
fn shares_are_equal_without_any_exchange() {
    assert!((Demand::new().share(1, 8) - 0.125).abs() < 1e-9);
}

#[test]
fn other_rounds_and_invalid_values_are_ignored() {
    let mut nodes = fleet(&[10, 10], 0, |_, _| true);
    let before = nodes[0].share(1, 2);
    nodes[0].merge(3, &[(1, 1e9)]);
    nodes[0].merge(10, &[(1, f32::NAN), (2, -5.0)]);
    assert!(nodes[0].share(1, 2) >= before);
}

#[test]
fn blocks_of_an_engine_are_dropped_after_a_gap_and_a_restart() {
    let engine = "e".parse().unwrap();
    let (one, two) = (Incarnation(1), Incarnation(2));
    let added = |serial, block| BlockEvent { serial, block, added: true };
    let mut index = PrefixIndex::new();
    index.events(&engine, one, &[added(1, 10), added(2, 11)]);
    assert_eq!(index.hit("e", &[10, 11, 12]), 2);
    index.events(&engine, one, &[added(1, 10), added(2, 11)]);
    assert_eq!(index.hit("e", &[10, 11, 12]), 2);
    index.events(&engine, one, &[BlockEvent { serial: 3, block: 10, added: false }]);
    assert_eq!(index.hit("e", &[10, 11, 12]), 0);
    index.events(&engine, one, &[added(9, 10)]);
    assert_eq!((index.len(), index.position("e", one)), (0, 0));
    index.replace(&engine, one, 9, &[10, 11, 12]);
    assert_eq!(index.hit("e", &[10, 11, 12]), 3);
    index.events(&engine, two, &[added(1, 10)]);
    assert_eq!(index.hit("e", &[10, 11, 12]), 1);
    index.events(&engine, one, &[added(10, 11)]);
    assert_eq!(index.hit("e", &[10, 11, 12]), 1);
}
