//! Tallies: how long an engine's own word is believed.

use heathpitch_policy::EngineStats;

#[test]
fn a_pace_is_believed_for_a_while() {
    let stats = EngineStats::default();
    stats.record_slowdown(12.0, 1_000);
    assert!((stats.slowdown(2_000) - 12.0).abs() < 1e-9);
    assert!((stats.slowdown(9_000) - 1.0).abs() < 1e-9);
    stats.record_slowdown(0.0, 9_000);
    assert!((stats.slowdown(9_000) - 1.0).abs() < 1e-9, "nothing is faster than its card");
}
