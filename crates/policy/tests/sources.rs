//! Sources: which nodes a node polls, and how often a whole failure domain reads the store.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

use heathpitch_core::{Millis, Name, Revision};
use heathpitch_policy::{DomainPlanner, Followers, PollOutcome, Source, Sources};
use rand::{SeedableRng, rngs::SmallRng};

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn source(node: &str) -> Source {
    Source { node: name(node), address: ([10, 0, 0, 1], 7).into() }
}

fn planner(node: &str, revision: u64) -> DomainPlanner {
    DomainPlanner { source: source(node), revision: Revision(revision) }
}

/// A node of a domain `mem` with planner `p` and standbys `s1` to `s3`, and a planner `q`
/// elsewhere.
fn follower(node: &str) -> Sources {
    let mut sources = Sources::new(name(node), name("mem"), 0);
    sources.learn_planner(name("mem"), planner("p", 1));
    sources.learn_planner(name("bhm"), planner("q", 2));
    sources.set_standbys(["s1", "s2", "s3"].map(source).to_vec());
    sources
}

/// Records `outcome` for the next source to poll; returns its name.
fn poll(
    sources: &mut Sources,
    outcome: PollOutcome,
    now: Millis,
    rng: &mut SmallRng,
) -> Option<String> {
    let node = sources.next(now, true)?.node.clone();
    sources.record_poll(&node, outcome, now, 60, rng);
    Some(node.to_string())
}

#[test]
fn a_follower_polls_planner_standbys_and_then_other_domains() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut sources = follower("n9");
    let polled: Vec<_> =
        std::iter::from_fn(|| poll(&mut sources, PollOutcome::NoAnswer, 100, &mut rng)).collect();
    assert_eq!(polled, ["p", "s1", "s2", "s3"], "other domains wait for the standbys");
    assert_eq!(poll(&mut sources, PollOutcome::Fresh, 400, &mut rng).as_deref(), Some("q"));
    assert!(!sources.may_read(60_000));
    assert_eq!(
        poll(&mut sources, PollOutcome::Fresh, 1_200, &mut rng).as_deref(),
        Some("p"),
        "the planner of its own domain again"
    );
}

#[test]
fn a_standby_reads_at_once_and_polls_only_those_that_precede_it() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut sources = follower("s2");
    assert_eq!(poll(&mut sources, PollOutcome::Declined, 0, &mut rng).as_deref(), Some("p"));
    assert_eq!(poll(&mut sources, PollOutcome::Declined, 0, &mut rng).as_deref(), Some("s1"));
    assert_eq!(poll(&mut sources, PollOutcome::Declined, 0, &mut rng), None);
    sources.sources_exhausted(0, 60, &mut rng);
    assert!(sources.may_read(0));
    assert!(sources.next(400, true).is_some_and(|s| s.node == name("p")));
    assert_eq!(poll(&mut sources, PollOutcome::Fresh, 400, &mut rng).as_deref(), Some("p"));
    assert!(!sources.may_read(400));
}

/// Guards against a rush on the store when a planner with sixty followers is cut off from it: each
/// node that reads the store itself makes about sixty calls in 7 s.
#[test]
fn loss_of_a_planner_sends_three_of_sixty_nodes_to_the_store() {
    let mut rng = SmallRng::seed_from_u64(7);
    let names = ["s1", "s2", "s3"].map(str::to_owned);
    let others = (4..60).map(|i| format!("n{i}"));
    let nodes: Vec<String> = names.into_iter().chain(others).collect();
    let mut fleet: Vec<Sources> = nodes.iter().map(|n| follower(n)).collect();
    for node in &mut fleet {
        poll(node, PollOutcome::Fresh, 0, &mut rng);
    }
    let mut readers = 0;
    for (node, sources) in nodes.iter().zip(&mut fleet) {
        // The planner declines for lack of fresh data; standbys answer once they have read the
        // store.
        assert_eq!(poll(sources, PollOutcome::Declined, 1_500, &mut rng).as_deref(), Some("p"));
        while let Some(next) = sources.next(1_500, true).map(|s| s.node.to_string()) {
            let outcome =
                if node.starts_with('n') { PollOutcome::Fresh } else { PollOutcome::Declined };
            sources.record_poll(&name(&next), outcome, 1_500, 60, &mut rng);
            if outcome == PollOutcome::Fresh {
                break;
            }
        }
        if sources.next(1_500, true).is_none() {
            sources.sources_exhausted(1_500, 60, &mut rng);
        }
        readers += usize::from(sources.may_read(1_500));
    }
    assert_eq!(readers, 3);
}

/// The store does not answer for 8 s, or a domain is cut off from it: nodes that are neither
/// planner nor standby together try it at a rate of about two a second, whatever their number.
#[test]
fn store_reads_of_a_domain_come_at_the_same_rate_whatever_its_size() {
    for nodes in [3_u32, 60, 400] {
        let mut rng = SmallRng::seed_from_u64(u64::from(nodes));
        let mut fleet: Vec<Sources> = (0..nodes).map(|i| follower(&format!("n{i}"))).collect();
        let mut tries = 0;
        for now in (0..60_000).step_by(50) {
            for sources in &mut fleet {
                while let Some(source) = sources.next(now, false).cloned() {
                    sources.record_poll(&source.node, PollOutcome::Declined, now, nodes, &mut rng);
                }
                sources.sources_exhausted(now, nodes, &mut rng);
                if sources.may_read(now) {
                    tries += 1;
                    sources.store_unavailable(now, nodes, &mut rng);
                }
            }
        }
        // Waits are uniform up to 0.5 s per node, which gives four reads a second on average.
        let rate = f64::from(tries) / 60.0;
        assert!((0.5..=4.5).contains(&rate), "{nodes} nodes: {rate} a second");
    }
}

#[test]
fn an_older_planner_never_replaces_a_newer_one() {
    let mut sources = follower("n9");
    assert!(!sources.learn_planner(name("mem"), planner("old", 1)));
    assert!(sources.learn_planner(name("mem"), planner("new", 5)));
    assert!(!sources.learn_planner(name("mem"), planner("p", 1)));
    assert_eq!(sources.planner(&name("mem")).unwrap().source, source("new"));
}

#[test]
fn a_released_lease_is_claimed_by_one_standby_after_the_other() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut claims = Vec::new();
    for node in ["s1", "s2", "s3", "n9"] {
        let mut sources = follower(node);
        poll(&mut sources, PollOutcome::Fresh, 0, &mut rng);
        assert!(!sources.may_claim(10_000), "the planner is active");
        sources.planner_released(10_000, 60, &mut rng);
        // The planner keeps answering until it has stopped.
        poll(&mut sources, PollOutcome::Fresh, 10_000, &mut rng);
        let first = (10_000..60_000).step_by(10).find(|now| sources.may_claim(*now));
        claims.push(first.unwrap() - 10_000);
    }
    assert_eq!(claims[..3], [0, 100, 200]);
    assert!(claims[3] >= 700);
}

#[test]
fn standbys_are_kept_and_large_vms_preferred() {
    let mut followers = Followers::default();
    for node in ["a", "b", "c", "d"] {
        followers.record_poll(source(node), false, 0);
    }
    let names = |f: &mut Followers, now| -> Vec<String> {
        f.standbys(now).iter().map(|s| s.node.to_string()).collect()
    };
    assert_eq!(names(&mut followers, 10), ["a", "b", "c"]);
    followers.record_poll(source("x"), true, 20);
    assert_eq!(names(&mut followers, 30), ["x", "a", "b"]);
    followers.record_poll(source("A"), false, 40);
    assert_eq!(names(&mut followers, 50), ["x", "a", "b"], "no unnecessary change");
    for node in ["x", "b", "c"] {
        followers.record_poll(source(node), node == "x", 1_300);
    }
    assert_eq!(names(&mut followers, 1_300), ["x", "b", "c"], "`a` no longer polls");
    assert_eq!(followers.count(1_300), 6);
}

/// Guards against a node that no other one answers, and that waits to read the store for as long as all nodes of its
/// failure domain would.
#[test]
fn a_node_that_is_found_to_be_isolated_reads_within_seconds() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut sources = follower("n9");
        sources.sources_exhausted(1_000, 60, &mut rng);
        sources.sources_exhausted(2_000, 4, &mut rng);
        assert!(sources.may_read(2_000 + 2_700), "seed {seed}");
    }
}
