//! Lifetime and range of an engine's reported slowdown.

use heathpitch_policy::EngineStats;

#[test]
fn a_slowdown_is_valid_for_a_while() {
    let stats = EngineStats::default();
    stats.record_slowdown(12.0, 1_000);
    assert!((stats.slowdown(2_000) - 12.0).abs() < 1e-9);
    assert!((stats.slowdown(9_000) - 1.0).abs() < 1e-9);
    stats.record_slowdown(0.0, 9_000);
    assert!((stats.slowdown(9_000) - 1.0).abs() < 1e-9, "a slowdown is never below 1");
}
