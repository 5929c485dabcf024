//! Fault schedules: equal for equal seeds, with every kind of fault and none after the end.

use std::collections::HashSet;
use std::mem::discriminant;
use std::time::Duration;

use heathpitch_soak::{Fault, FaultSchedule, ScheduledFault};

const LENGTH: Duration = Duration::from_secs(20);

#[test]
fn a_seed_always_gives_the_same_schedule() {
    assert_eq!(FaultSchedule::generate(7, LENGTH), FaultSchedule::generate(7, LENGTH));
    assert_ne!(
        FaultSchedule::generate(7, LENGTH).faults,
        FaultSchedule::generate(8, LENGTH).faults
    );
}

#[test]
fn every_fault_is_generated_in_order_and_some_overlap() {
    let mut kinds = HashSet::new();
    for seed in 0..20 {
        let schedule = FaultSchedule::generate(seed, LENGTH);
        assert!(schedule.faults.iter().all(|s| s.at < LENGTH));
        assert!(schedule.faults.is_sorted_by_key(|s| s.at));
        let close =
            schedule.faults.windows(2).filter(|w| w[1].at - w[0].at < Duration::from_millis(150));
        assert!(close.count() > 0, "seed {seed}");
        kinds.extend(schedule.faults.iter().map(|s| discriminant(&s.fault)));
    }
    assert_eq!(kinds.len(), 13);
}

#[test]
fn extensions_leave_scheduled_faults_unchanged() {
    let mut kinds = HashSet::new();
    for seed in 0..20 {
        let plain = FaultSchedule::generate(seed, LENGTH);
        let schedule = FaultSchedule::generate(seed, LENGTH).with_restarts();
        assert_eq!(schedule, FaultSchedule::generate(seed, LENGTH).with_restarts());
        assert!(schedule.faults.is_sorted_by_key(|s| s.at));
        assert!(plain.faults.iter().all(|s| schedule.faults.contains(s)));
        kinds.extend(schedule.faults.iter().map(|s| discriminant(&s.fault)));
    }
    assert_eq!(kinds.len(), 15);
    let changes = FaultSchedule::empty(1, LENGTH).with_config_changes();
    assert_eq!(changes, FaultSchedule::empty(1, LENGTH).with_config_changes());
    let silent =
        |s: &ScheduledFault| matches!(s.fault, Fault::PausePeers(..) | Fault::StoreLink(..));
    assert!(changes.faults.iter().any(silent));
    assert!(changes.faults.iter().any(|s| s.fault == Fault::ToggleRoute));
    let limited = FaultSchedule::generate(1, LENGTH).with_limits();
    assert!(FaultSchedule::generate(1, LENGTH).faults.iter().all(|s| limited.faults.contains(s)));
    assert!(limited.faults.iter().any(|s| matches!(s.fault, Fault::Limit(..))));
}
