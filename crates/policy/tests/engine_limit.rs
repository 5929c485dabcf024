//! What nodes believe of an engine's limit, whatever order its answers come in, and the rights that they have.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod common;

use std::sync::Arc;

use common::name;
use heathpitch_core::Rate;
use heathpitch_policy::{EngineIncarnation, EngineLimit, Limits, Right, Wish};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn rate(requests: f64) -> Rate {
    Rate::per_second(requests).unwrap()
}

fn limited(requests: f64) -> Arc<Wish> {
    let wish = Arc::<Wish>::default();
    wish.limit().name(rate(requests), 0, 1);
    wish
}

#[test]
fn a_lower_limit_holds_at_once_and_a_higher_one_by_an_answer_to_a_later_request() {
    let wish = limited(3.0);
    let limit = wish.limit();
    assert!(limit.name(rate(2.0), 0, 100), "to a request that was under way");
    assert!(!limit.name(rate(5.0), 90, 150), "it may have been given before");
    assert!(limit.name(rate(5.0), 110, 200));
    assert_eq!((limit.rate(), limit.age(250)), (Some(rate(5.0)), 50));
}

/// Such a limit binds nobody, and is one all the same: nothing changes with each answer that names it.
#[test]
fn a_limit_beyond_any_number_is_a_limit() {
    for requests in [1e300, f64::INFINITY] {
        let wish = Arc::<Wish>::default();
        assert!(wish.limit().name(rate(requests), 0, 1));
        assert!(wish.limit().rate().is_some() && !wish.limit().name(rate(requests), 10, 20));
        assert!(wish.limit().name(rate(3.0), 30, 40));
    }
}

#[test]
fn one_answer_that_names_none_ends_nothing() {
    let wish = limited(3.0);
    let limit = wish.limit();
    assert!(!limit.omit(600, 700));
    assert!(!limit.name(rate(3.0), 650, 800), "nothing new");
    assert!(!limit.omit(900, 1_000), "named since");
    assert!(!limit.omit(1_000, 1_100), "too soon after it was named");
    assert!(limit.omit(1_200, 1_400));
}

/// What was told of a limit is older than it looks, and may not end what this node heard itself since.
#[test]
fn another_node_s_word_counts_by_its_age() {
    let wish = limited(3.0);
    let limit = wish.limit();
    limit.name(rate(3.0), 400, 500);
    assert!(!limit.told(None, 450), "an answer to this node named it later");
    assert!(limit.told(Some(rate(1.0)), 450));
    assert!(!limit.told(Some(rate(9.0)), 440), "older");
    assert!(limit.told(None, 600));
    let life = EngineIncarnation { engine: name("i-1"), born: Some(5) };
    let mut limits = Limits::default();
    assert!(!limits.learn(life.clone(), None, 10), "nothing to end");
    assert!(
        limits.learn(life.clone(), Some(rate(1.0)), 20) && limits.learn(life.clone(), None, 30)
    );
    assert_eq!(limits.since(0, 8, 40).0[0].rate, None, "its end is told");
    limits.retain(|_| true, 20_000);
    assert!(limits.since(0, 8, 20_000).0.is_empty());
}

/// Neither one that is too old, nor of another limit, nor twice.
#[test]
fn a_right_is_used_once_and_in_time() {
    let wish = limited(3.0);
    wish.limit().put(2, 100, 110);
    let mut first = EngineLimit::take(&wish, 200).unwrap();
    assert!(wish.enter(Some(&mut first), 300).is_some());
    drop(first);
    let mut late = EngineLimit::take(&wish, 300).unwrap();
    assert!(EngineLimit::take(&wish, 300).is_none());
    assert!(wish.enter(Some(&mut late), 600).is_none(), "the node stood still");
    assert!(wish.enter(None, 300).is_none(), "there is a limit");
    // One that was not used goes back, and no further than its own time.
    drop(late);
    assert!(EngineLimit::take(&wish, 599).is_some() && EngineLimit::take(&wish, 601).is_none());
    wish.limit().put(5, 700, 700);
    wish.limit().name(rate(1.0), 700, 710);
    assert!(EngineLimit::take(&wish, 720).is_none(), "they were of a higher limit");
    let other = limited(3.0);
    let mut foreign = Right::drawn(&other, 800);
    assert!(wish.enter(Some(&mut foreign), 800).is_none(), "of another engine");
}

/// Every node asks all the time, and nobody hands out rights.
#[test]
fn what_nodes_draw_for_themselves_adds_up_to_a_quarter() {
    let mut rng = SmallRng::seed_from_u64(5);
    for (nodes, limit) in [(7, 3.6), (70, 3.6), (300, 3.6), (300, 100.0)] {
        let wishes: Vec<_> = (0..nodes).map(|_| limited(limit)).collect();
        let mut drawn = Vec::new();
        for now in (1..120_000).step_by(50) {
            for wish in &wishes {
                let draw = rng.random_range(0.0..1.0);
                if wish.limit().draw(Some(nodes), draw, now) {
                    drawn.push(now);
                }
            }
        }
        let part = drawn.len() as f64 / 120.0 / limit;
        let within =
            |from: u64| drawn.iter().filter(|at| (from..from + 4_000).contains(*at)).count();
        let most = drawn.iter().map(|at| within(*at)).max().unwrap() as f64;
        assert!((0.15..0.3).contains(&part), "{nodes} nodes, {limit}: {part}");
        assert!(most <= 0.5 * limit * 4.0 + 5.0, "{nodes} nodes, {limit}: {most} in four seconds");
    }
}

proptest! {
    /// An engine names limits and none by turns; its answers come up to half a second late, in any order. While it names
    /// one a node never believes in a higher one than it named lately, and once it stays with one word that is believed.
    #[test]
    fn beliefs_follow_an_engine_s_words_in_whatever_order_they_come(
        words in prop::collection::vec((prop::option::of(1_u64..9), 200_u64..3_000), 1..6),
        seed in any::<u64>(),
    ) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let end: u64 = words.iter().map(|(_, time)| time).sum::<u64>() + 3_000;
        let said = |at: u64| {
            let mut from = 0;
            let word = words.iter().find(|(_, time)| { from += time; at < from });
            word.unwrap_or(words.last().unwrap()).0
        };
        let mut begin = 0;
        let spans: Vec<(u64, u64, Option<u64>)> = words.iter().enumerate().map(|(i, (word, time))| {
            let from = begin;
            begin += time;
            (from, if i + 1 == words.len() { u64::MAX } else { begin }, *word)
        }).collect();
        let mut answers: Vec<(u64, u64, Option<u64>)> = (0..end / 20).map(|i| {
            let sent = i * 20;
            let given = sent + rng.random_range(1..200);
            (given + rng.random_range(1..300), sent, said(given))
        }).collect();
        answers.sort_unstable();
        let wish = Arc::<Wish>::default();
        for (now, sent, word) in answers {
            match word {
                Some(limit) => wish.limit().name(rate(limit as f64), sent, now),
                None => wish.limit().omit(sent, now),
            };
            // All that it named in that time, for however short.
            let from = now.saturating_sub(1_100);
            let lately = spans.iter().filter(|(begin, end, _)| *begin <= now && *end > from);
            let lately: Vec<Option<u64>> = lately.map(|(.., word)| *word).collect();
            if let Some(most) = lately.iter().copied().collect::<Option<Vec<u64>>>() {
                let most = rate(*most.iter().max().unwrap() as f64);
                prop_assert!(now < 600 || wish.limit().rate().is_some_and(|r| r <= most), "at {now}");
            }
        }
        prop_assert_eq!(wish.limit().rate(), said(end).map(|l| rate(l as f64)));
    }
}
