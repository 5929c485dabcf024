//! Controller of engines' reports: by what factor they are slower than their cards.
//!
//! The planner of a failure domain asks the engines that requests run through, and tells the other
//! nodes of its domain with what it tells them of the store.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use heathpitch_core::{EngineEntry, Millis, Name};
use heathpitch_net::{EngineStatus, FeedReport};

use super::state::Control;
use crate::gateway::event::GatewayEvent;

/// Time between two rounds: engines show their state some hundred milliseconds late, and each
/// question costs a fraction of a call on the store.
const ROUND: Duration = Duration::from_millis(1_000);
/// Age beyond which a report is not told any more, milliseconds.
const OLD: Millis = 3_000;

/// Change of an engine's factor that may make another one faster.
const CHANGE: f64 = 0.3;

/// What an engine said of itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct Report {
    pace: f64,
    at: Millis,
}

/// Asks engines for as long as this node plans.
pub(super) async fn run(control: Rc<Control>) {
    loop {
        tokio::time::sleep(ROUND).await;
        if !control.plans() {
            continue;
        }
        let asked = used(&control);
        let answers = asked.iter().map(|e| control.edges.orders.status(e));
        let answers = futures::future::join_all(answers).await;
        for (engine, answer) in asked.iter().zip(answers) {
            match answer {
                Ok(status) => take(&control, &engine.id, &status),
                // Whether an engine is lost is for `looks` to find.
                Err(e) => log::info!("engine {} gives no report: {e}", engine.id),
            }
        }
        control.publish();
    }
}

/// Reports for the nodes that this one tells.
pub(super) fn told(control: &Control) -> Vec<FeedReport> {
    let now = control.now();
    let reports = control.reports.borrow();
    let young = reports.iter().filter(|(_, r)| now < r.at + OLD);
    let report = |(engine, r): (&Name, &Report)| FeedReport {
        engine: engine.clone(),
        pace: r.pace,
        age_ms: now.saturating_sub(r.at),
    };
    young.map(report).collect()
}

/// Takes reports that another node told in answer to a question sent at `sent`.
pub(super) fn hear(control: &Control, reports: &[FeedReport], sent: Millis) {
    let mut changed = false;
    for r in reports {
        let at = sent.saturating_sub(r.age_ms);
        changed |= put(control, &r.engine, Report { pace: r.pace, at });
    }
    if changed {
        control.publish();
    }
}

/// Engines of this failure domain that requests run through.
fn used(control: &Control) -> Vec<Arc<EngineEntry>> {
    let domain = control.domain();
    let table = control.shared.table.load();
    let views = table.services.values().flatten();
    let used = views.filter(|v| {
        v.entry.domain == domain
            && v.entry.layers.count() > 0
            && (v.main || v.tally.gauge().count() > 0)
            && !control.is_lost(&v.entry.id)
    });
    used.map(|v| v.entry.clone()).collect()
}

fn take(control: &Control, engine: &Name, status: &EngineStatus) {
    let report = Report { pace: status.pace, at: control.now() };
    // All of a round are published together.
    let _ = put(control, engine, report);
}

/// Takes a report; gives whether it may make another engine the faster one.
fn put(control: &Control, engine: &Name, report: Report) -> bool {
    let changed = (report.pace - control.slowness(engine)).abs() > CHANGE;
    if changed {
        GatewayEvent::EnginePaced { engine: engine.clone(), pace: report.pace }.log();
    }
    control.reports.borrow_mut().insert(engine.clone(), report);
    if let Some(view) = control.shared.table.load().view(engine.as_str()) {
        view.tally.report(report.pace, report.at);
    }
    changed
}

/// # Reports
impl Control {
    /// Factor by which an engine is slower than its card, as far as is known.
    pub(super) fn slowness(&self, engine: &Name) -> f64 {
        let now = self.now();
        let reports = self.reports.borrow();
        reports.get(engine).filter(|r| now < r.at + OLD).map_or(1.0, |r| r.pace)
    }
}
