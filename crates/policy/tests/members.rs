//! Membership in a failure domain of realistic size.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod common;

use common::name;
use heathpitch_core::{Incarnation, Revision};
use heathpitch_policy::{Member, MemberState, Members};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const PERIOD_MS: u64 = 2_000;
/// Members sent in one exchange, as in the daemon.
const MEMBERS_SENT: usize = 10;

fn member(i: usize, domain: &str) -> Member {
    Member {
        node: name(&format!("n{i}")),
        incarnation: Incarnation(1),
        heartbeat: 0,
        domain: name(domain),
        peer: name(&format!("p{i}")),
        caller: name("c"),
        admin: name("a"),
        state: MemberState::Ready,
        config: Revision(0),
        age: 0,
    }
}

/// The nodes of one failure domain after `rounds` exchanges each, and the time.
fn domain(nodes: usize, rounds: u64) -> (Vec<Members>, u64) {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut all: Vec<Members> = (0..nodes)
        .map(|i| {
            let mut m = Members::new(member(i, "d"), PERIOD_MS);
            m.set_seeds([name("p0"), name("p1")]);
            m
        })
        .collect();
    let mut now = 0;
    for _ in 0..rounds {
        now += PERIOD_MS;
        for i in 0..nodes {
            all[i].heartbeat(now);
            let Some(peer) = all[i].pick_peer(now, &mut rng) else { continue };
            let j: usize = peer.as_str()[1..].parse().unwrap();
            if i == j {
                continue;
            }
            let (sent, answer) =
                (all[i].freshest(MEMBERS_SENT, now), all[j].freshest(MEMBERS_SENT, now));
            all[j].merge(sent, now);
            all[i].merge(answer, now);
        }
    }
    (all, now)
}

#[test]
fn nodes_of_a_failure_domain_know_each_other_with_ten_entries_per_exchange() {
    let (all, now) = domain(70, 60);
    let known: usize = all.iter().map(|m| m.domain_size(now)).sum();
    let known_share = known as f64 / (70.0 * 70.0);
    assert!(known_share > 0.97, "a node knows {:.1} % of its failure domain", known_share * 100.0);
}

#[test]
fn few_members_are_kept_of_other_failure_domains() {
    let mut m = Members::new(member(0, "d"), PERIOD_MS);
    m.merge((1..100).map(|i| member(i, "far")).collect(), 1);
    assert_eq!(m.alive(1).len(), 8);
    m.merge((100..150).map(|i| member(i, "d")).collect(), 1);
    assert_eq!(m.domain_size(1), 51);
}

#[test]
fn a_restarted_node_replaces_its_earlier_incarnation() {
    let mut m = Members::new(member(0, "d"), PERIOD_MS);
    m.merge(vec![Member { incarnation: Incarnation(2), ..member(1, "d") }], 1);
    m.merge(vec![Member { heartbeat: 99, ..member(1, "d") }], 2);
    assert!(m.find("n1", Incarnation(2), 2).is_some());
    assert!(m.find("n1", Incarnation(1), 2).is_none());
}
