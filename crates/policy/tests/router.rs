//! Selection of paths.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod common;

use common::{model, name, report, upstream};
use heathpitch_core::{LayerRange, Name, Path, Strategy};
use heathpitch_policy::{NoPath, PathRequest, PrefixIndex, Upstream, choose};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn path(engines: &[Upstream], layers: u32, avoid: &[Name]) -> Result<Path, NoPath> {
    let (model, domain) = (model(layers), name("d"));
    let strategy = Strategy::Best;
    let prefixes = PrefixIndex::new();
    let ask = PathRequest {
        model: &model,
        domain: &domain,
        tokens: 10,
        chain: &[],
        prefixes: &prefixes,
        allow_suspect: false,
        avoid,
        now: 1_000,
        strategy,
    };
    choose(engines, |_| true, &ask, &mut SmallRng::seed_from_u64(1)).map(|p| p.0)
}

fn engines(path: &Path) -> Vec<&str> {
    path.stages().iter().map(|s| s.engine.as_str()).collect()
}

#[test]
fn whole_paths_are_joined_from_ranges() {
    let all = [("a", 0, 4), ("b", 4, 8), ("c", 8, 12)];
    let all: Vec<_> = all.iter().map(|(n, f, e)| upstream(report(n, *f, *e))).collect();
    assert_eq!(engines(&path(&all, 12, &[]).unwrap()), ["a", "b", "c"]);
    assert_eq!(path(&all[1..], 12, &[]), Err(NoPath::Incomplete));
    assert_eq!(path(&all, 12, &[name("b")]), Err(NoPath::Incomplete));
    assert_eq!(path(&[], 12, &[]), Err(NoPath::NoEngine));
}

#[test]
fn an_engine_may_run_part_of_what_it_holds() {
    let all = [("a", 0, 6), ("b", 4, 12)];
    let all: Vec<_> = all.iter().map(|(n, f, e)| upstream(report(n, *f, *e))).collect();
    let path = path(&all, 12, &[]).unwrap();
    assert_eq!(engines(&path), ["a", "b"]);
    assert_eq!(path.stages()[1].layers.end, 12);
    assert_eq!(path.stages()[0].layers.end, path.stages()[1].layers.first);
}

#[test]
fn the_less_loaded_replica_is_chosen() {
    let busy = upstream(report("busy", 0, 4));
    (0..8).for_each(|_| busy.gauge.open());
    let idle = upstream(report("idle", 0, 4));
    assert_eq!(engines(&path(&[busy, idle], 4, &[]).unwrap()), ["idle"]);
}

#[test]
fn a_faster_engine_is_chosen_until_its_queue_outweighs_it() {
    let mut quick = report("quick", 0, 4);
    quick.step = 1_000;
    quick.prefill = 100_000.0;
    let (quick, slow) = (upstream(quick), upstream(report("slow", 0, 4)));
    let both = [quick, slow];
    assert_eq!(engines(&path(&both, 4, &[]).unwrap()), ["quick"]);
    (0..40).for_each(|_| both[0].gauge.open());
    assert_eq!(engines(&path(&both, 4, &[]).unwrap()), ["slow"]);
}

#[test]
fn other_versions_and_suspect_engines_are_excluded() {
    let mut other = report("other", 0, 4);
    other.version = name("v2");
    let suspect = upstream(report("suspect", 0, 4));
    suspect.gauge.suspect_until(5_000);
    let all = [upstream(other), suspect];
    assert_eq!(path(&all, 4, &[]), Err(NoPath::NoEngine));
    all[1].gauge.clear_suspicion();
    assert_eq!(engines(&path(&all, 4, &[]).unwrap()), ["suspect"]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A chosen path covers the model without gaps or overlaps, and one is found if there is any.
    #[test]
    fn chosen_paths_cover_the_model(
        ranges in proptest::collection::vec((0_u32..12, 1_u32..12), 0..12),
        seed in any::<u64>(),
    ) {
        let held: Vec<LayerRange> = ranges
            .iter()
            .map(|(first, count)| LayerRange::new(*first, (first + count).min(12)))
            .collect();
        let all: Vec<_> = held
            .iter()
            .enumerate()
            .map(|(i, l)| upstream(report(&format!("e{i}"), l.first, l.end)))
            .collect();
        let (model, domain) = (model(12), name("d"));
        let strategy = Strategy::Affinity;
        let prefixes = PrefixIndex::new();
        let ask = PathRequest {
            model: &model,
            domain: &domain,
            tokens: 1,
            chain: &[7],
            prefixes: &prefixes,
            allow_suspect: false,
            avoid: &[],
            now: 1_000,
            strategy,
        };
        let chosen = choose(&all, |_| true, &ask, &mut SmallRng::seed_from_u64(seed));
        let mut covered = 0;
        while let Some(l) = held.iter().filter(|l| l.first <= covered && l.end > covered).max_by_key(|l| l.end) {
            covered = l.end;
        }
        prop_assert_eq!(chosen.is_ok(), covered == 12);
    }
}
