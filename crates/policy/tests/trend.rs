//! The trend of an engine's reports, and what is forecast from it.
//!
//! Guards against a wrong forecast that does harm: reports arrive late, out of order, twice or not at
//! all, come from before a restart, or hold values that make no sense.

use heathpitch_core::LayerRange;
use heathpitch_policy::{EngineStats, HeldForecast, LayerLoad, PrefillStage, Trend, start_ms};
use proptest::prelude::*;

const CAPACITY: f64 = 100_000.0;
const SLOTS: u32 = 192;
/// Largest change that a trend may add, as a share of the capacity.
const MAX_CHANGE: f64 = 0.25;

/// An engine that fills by a tenth of its capacity per second, reported every 500 ms.
fn filling() -> EngineStats {
    let stats = EngineStats::default();
    for (i, at) in (1_000..=3_000).step_by(500).enumerate() {
        stats.record_held(20_000.0 + 5_000.0 * i as f64, CAPACITY, at);
    }
    stats
}

#[test]
fn a_filling_engine_is_expected_fuller_than_reported() {
    let forecast = filling().held_forecast(87, 3_300).expected;
    assert!((41_000.0..45_000.0).contains(&forecast), "{forecast}");
}

#[test]
fn own_requests_are_counted_once_with_a_trend_and_for_all_nodes_without() {
    let stats = filling();
    stats.open(900, 3_200);
    assert!((39_000.0..42_000.0).contains(&stats.held_known(87, 3_300)));
    // All reports are too old now.
    assert_eq!(stats.held_forecast(87, 9_000).expected, 87.0 * 900.0);
    let cold = EngineStats::default();
    cold.open(900, 100);
    assert_eq!(cold.held_forecast(87, 200).expected, 87.0 * 900.0);
}

#[test]
fn late_and_repeated_reports_change_nothing() {
    let trend = Trend::default();
    trend.observe(10_000.0, CAPACITY, 1_000);
    trend.observe(20_000.0, CAPACITY, 2_000);
    let change = trend.change(500, 2_100);
    assert!(change.is_some_and(|c| c > 1_000.0), "{change:?}");
    for at in [900, 1_500, 2_000] {
        trend.observe(90_000.0, CAPACITY, at);
    }
    assert_eq!(trend.change(500, 2_100), change);
}

#[test]
fn a_gap_or_an_impossible_value_ends_the_trend() {
    for (value, at) in [(30_000.0, 6_000), (f64::NAN, 3_500), (f64::INFINITY, 3_500), (1e18, 3_500)]
    {
        let trend = Trend::default();
        trend.observe(10_000.0, CAPACITY, 2_500);
        trend.observe(20_000.0, CAPACITY, 3_000);
        trend.observe(value, CAPACITY, at);
        assert_eq!(trend.change(0, at + 100), None, "{value} at {at}");
        trend.observe(30_000.0, CAPACITY, at + 500);
        trend.observe(30_000.0, CAPACITY, at + 1_000);
        assert_eq!(trend.change(0, at + 1_100), Some(0.0), "{value} at {at}");
    }
}

#[test]
fn one_faulty_engine_does_not_make_its_domain_look_full() {
    let (mut load, layers) = (LayerLoad::new(4, 87, 900.0), LayerRange::new(0, 4));
    let held = |expected| HeldForecast { expected, ..HeldForecast::default() };
    for tokens in [1e18, f64::NAN, 30_000.0, 30_000.0] {
        load.add(layers, held(tokens), CAPACITY);
    }
    load.add(layers, held(50_000.0), f64::NAN);
    load.add(layers, held(50_000.0), 0.0);
    assert!(load.share(layers) < 0.6, "{load:?}");
}

#[test]
fn the_queue_is_the_youngest_known_one_and_at_least_the_own_part() {
    let stats = EngineStats::default();
    assert_eq!(stats.queue_forecast(SLOTS, 100), 0.0);
    stats.record_queued(40, SLOTS, 1_000);
    assert_eq!(stats.queue_forecast(SLOTS, 1_300), 40.0);
    stats.record_seen_queued(10, 1_400);
    assert_eq!(stats.queue_forecast(SLOTS, 1_500), 10.0);
    (0..12).for_each(|_| stats.wait_began());
    assert_eq!(stats.queue_forecast(SLOTS, 1_500), 12.0);
    stats.record_queued(u32::MAX, SLOTS, 1_600);
    assert_eq!(stats.queue_forecast(SLOTS, 1_700), f64::from(SLOTS));
    assert_eq!(stats.queue_forecast(SLOTS, 9_000), 12.0);
}

#[test]
fn own_requests_show_a_change_before_the_next_report() {
    let layers = LayerRange::new(0, 4);
    let share = |own| {
        let mut load = LayerLoad::new(4, 87, 900.0);
        let held = HeldForecast { expected: 7e4, reported: 7e4, reported_own: 1e4, own };
        (0..4).for_each(|_| load.add(layers, held, CAPACITY));
        load.share(layers)
    };
    // 44 own requests at the last reports count nearly three quarters: twice as many now would be
    // 1.4 of the capacity, which is bounded to a quarter more.
    assert!((share(10_000.0) - 0.7).abs() < 1e-9);
    assert!((share(11_000.0) - 0.75).abs() < 0.01);
    assert!((share(20_000.0) - 0.95).abs() < 1e-9);
    assert!((share(0.0) - 0.45).abs() < 1e-9);
}

proptest! {
    #[test]
    fn the_use_of_layers_is_bounded_whatever_engines_report(
        engines in prop::collection::vec((any::<[f64; 4]>(), any::<f64>(), 0_u32..10, 0_u32..10), 0..40),
        nodes in prop::sample::select(vec![1_u32, 26, 87, 410]),
    ) {
        let mut load = LayerLoad::new(8, nodes, 900.0);
        for ([expected, reported, reported_own, own], capacity, first, end) in engines {
            let held = HeldForecast { expected, reported, reported_own, own };
            load.add(LayerRange { first, end }, held, capacity % 1e6);
        }
        // One and a half of the capacity, and a quarter by own requests.
        let share = load.share(LayerRange::new(0, 8));
        prop_assert!((0.0..=1.76).contains(&share), "{share}");
    }

    #[test]
    fn a_forecast_stays_near_what_was_reported(
        reports in prop::collection::vec((any::<f64>(), 0_u64..4_000), 0..40),
        own in 0_u64..50_000,
        nodes in prop::sample::select(vec![1_u32, 26, 87, 410]),
        now in 0_u64..8_000,
    ) {
        let stats = EngineStats::default();
        stats.open(own, 0);
        for (tokens, at) in reports {
            stats.record_held(tokens, CAPACITY, at);
        }
        let (known, forecast) = (stats.held_known(nodes, now), stats.held_forecast(nodes, now).expected);
        prop_assert!(known.is_finite() && known >= own as f64, "{known}");
        prop_assert!(forecast.is_finite() && forecast >= own as f64, "{forecast}");
        let bound = MAX_CHANGE * CAPACITY + 1e-6;
        prop_assert!((forecast - known).abs() <= bound, "{forecast} from {known}");
    }

    #[test]
    fn a_wait_is_finite_and_grows_with_the_queue(
        stages in prop::collection::vec((any::<f64>(), any::<f64>()), 0..12),
        queued in 0.0..1e6,
        more in 0.0..1e6,
        prompt in 0.0..1e5,
    ) {
        let wild: Vec<_> =
            stages.iter().map(|&(token_ms, step_ms)| PrefillStage { token_ms, step_ms }).collect();
        prop_assert!((0.0..=60_000.0).contains(&start_ms(&wild, queued, prompt)));
        let sane = |s: &PrefillStage| PrefillStage {
            token_ms: s.token_ms.abs().min(1.0),
            step_ms: s.step_ms.abs().min(50.0),
        };
        let sane: Vec<_> = wild.iter().map(sane).collect();
        prop_assert!(start_ms(&sane, queued + more, prompt) >= start_ms(&sane, queued, prompt));
    }
}
