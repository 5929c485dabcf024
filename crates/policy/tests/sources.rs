//! Sources: whom a node asks, and how often a whole failure domain goes to the store.

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

/// A node of a domain `mem` with planner `p` and standbys `s1` to `s3`, and a planner `q` elsewhere.
fn follower(node: &str) -> Sources {
    let mut sources = Sources::new(name(node), name("mem"), 0);
    sources.learn_planner(name("mem"), planner("p", 1));
    sources.learn_planner(name("bhm"), planner("q", 2));
    sources.set_standbys(["s1", "s2", "s3"].map(source).to_vec());
    sources
}

/// Tells `sources` that the next one asked answers so; gives who that was.
fn ask(
    sources: &mut Sources,
    heard: PollOutcome,
    now: Millis,
    rng: &mut SmallRng,
) -> Option<String> {
    let node = sources.next(now, true)?.node.clone();
    sources.record_poll(&node, heard, now, 60, rng);
    Some(node.to_string())
}

#[test]
fn a_follower_asks_planner_standbys_and_then_other_domains() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut sources = follower("n9");
    let asked: Vec<_> =
        std::iter::from_fn(|| ask(&mut sources, PollOutcome::NoAnswer, 100, &mut rng)).collect();
    assert_eq!(asked, ["p", "s1", "s2", "s3"], "other domains wait for the standbys");
    assert_eq!(ask(&mut sources, PollOutcome::Fresh, 400, &mut rng).as_deref(), Some("q"));
    assert!(!sources.may_read(60_000));
    assert_eq!(
        ask(&mut sources, PollOutcome::Fresh, 1_200, &mut rng).as_deref(),
        Some("p"),
        "the nearest again"
    );
}

#[test]
fn a_standby_reads_at_once_and_asks_only_those_before_it() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut sources = follower("s2");
    assert_eq!(ask(&mut sources, PollOutcome::Declined, 0, &mut rng).as_deref(), Some("p"));
    assert_eq!(ask(&mut sources, PollOutcome::Declined, 0, &mut rng).as_deref(), Some("s1"));
    assert_eq!(ask(&mut sources, PollOutcome::Declined, 0, &mut rng), None);
    sources.sources_exhausted(0, 60, &mut rng);
    assert!(sources.may_read(0));
    assert!(sources.next(400, true).is_some_and(|s| s.node == name("p")));
    assert_eq!(ask(&mut sources, PollOutcome::Fresh, 400, &mut rng).as_deref(), Some("p"));
    assert!(!sources.may_read(400));
}

/// The load: a planner cut off from the store while sixty nodes follow it. Every node that read for
/// itself made some sixty calls in 7 s.
#[test]
fn one_planner_less_sends_three_of_sixty_nodes_to_the_store() {
    let mut rng = SmallRng::seed_from_u64(7);
    let names = ["s1", "s2", "s3"].map(str::to_owned);
    let others = (4..60).map(|i| format!("n{i}"));
    let nodes: Vec<String> = names.into_iter().chain(others).collect();
    let mut fleet: Vec<Sources> = nodes.iter().map(|n| follower(n)).collect();
    for node in &mut fleet {
        ask(node, PollOutcome::Fresh, 0, &mut rng);
    }
    let mut readers = 0;
    for (node, sources) in nodes.iter().zip(&mut fleet) {
        // The planner answers that it knows nothing young; standbys tell once they have read.
        assert_eq!(ask(sources, PollOutcome::Declined, 1_500, &mut rng).as_deref(), Some("p"));
        while let Some(next) = sources.next(1_500, true).map(|s| s.node.to_string()) {
            let heard =
                if node.starts_with('n') { PollOutcome::Fresh } else { PollOutcome::Declined };
            sources.record_poll(&name(&next), heard, 1_500, 60, &mut rng);
            if heard == PollOutcome::Fresh {
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

/// The load: the store silent for 8 s, or a domain cut off from it. Whatever the number of nodes, those
/// without a duty try twice a second together.
#[test]
fn turns_of_a_domain_come_at_the_same_rate_whatever_its_size() {
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
        // Waits are drawn evenly up to half a second a node: four a second on average.
        let rate = f64::from(tries) / 60.0;
        assert!((0.5..=4.5).contains(&rate), "{nodes} nodes: {rate} a second");
    }
}

#[test]
fn an_older_planner_never_takes_a_newer_one_s_place() {
    let mut sources = follower("n9");
    assert!(!sources.learn_planner(name("mem"), planner("old", 1)));
    assert!(sources.learn_planner(name("mem"), planner("new", 5)));
    assert!(!sources.learn_planner(name("mem"), planner("p", 1)));
    assert_eq!(sources.planner(&name("mem")).unwrap().source, source("new"));
}

#[test]
fn a_lease_given_up_is_sought_by_one_standby_after_the_other() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut claims = Vec::new();
    for node in ["s1", "s2", "s3", "n9"] {
        let mut sources = follower(node);
        ask(&mut sources, PollOutcome::Fresh, 0, &mut rng);
        assert!(!sources.may_claim(10_000), "the planner tells");
        sources.planner_released(10_000, 60, &mut rng);
        // It goes on telling until it is gone.
        ask(&mut sources, PollOutcome::Fresh, 10_000, &mut rng);
        let first = (10_000..60_000).step_by(10).find(|now| sources.may_claim(*now));
        claims.push(first.unwrap() - 10_000);
    }
    assert_eq!(claims[..3], [0, 100, 200]);
    assert!(claims[3] >= 700);
}

#[test]
fn standbys_stay_and_small_vms_are_passed_over() {
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
    assert_eq!(names(&mut followers, 50), ["x", "a", "b"], "no change without need");
    for node in ["x", "b", "c"] {
        followers.record_poll(source(node), node == "x", 1_300);
    }
    assert_eq!(names(&mut followers, 1_300), ["x", "b", "c"], "`a` asks no more");
    assert_eq!(followers.count(1_300), 6);
}
