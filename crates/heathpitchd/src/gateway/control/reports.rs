//! Controller of engines' reports: by what factor they are slower than their cards, and what they hold.
//!
//! The planner of a failure domain asks the engines that requests run through, those that are filling
//! up more often, and tells the other nodes of its domain with what it tells them of the store.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use heathpitch_core::{EngineEntry, LayeredModel, Millis, Name};
use heathpitch_net::{EngineStatus, FeedReport};

use super::engines;
use super::state::Control;
use crate::gateway::event::GatewayEvent;

/// Time between two rounds in which engines that are filling up are asked: about the time by which a
/// report is late, so that its age, which is what may be admitted in vain, at most doubles.
const ROUND: Duration = Duration::from_millis(250);
/// One in so many rounds asks all engines: each question costs a fraction of a call on the store.
const ALL: u32 = 4;
/// Share of an engine's room from which it is filling up: at twice the usual load it takes longer than
/// a round of all engines from here to full.
const FILLING: f64 = 0.5;
/// Engines asked in other rounds, the fullest first: what one path holds, all its engines hold.
const FILLING_MOST: usize = 2;
/// Age beyond which a report is not told any more, milliseconds.
const OLD: Millis = 3_000;

/// Change of an engine's factor that may make another one faster.
const CHANGE: f64 = 0.3;

/// What an engine said of itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct Report {
    pace: f64,
    /// Tokens that requests held there.
    held: f64,
    at: Millis,
    /// Its place among all reports that this node took.
    serial: u64,
}

impl Report {
    /// Whether it says what is taken of an engine without a report: that it holds nothing and is as fast as its
    /// card.
    ///
    /// Said again it is not told on: most engines in use are idle on a quiet day.
    fn is_idle(&self) -> bool {
        self.held == 0.0 && (self.pace - 1.0).abs() <= CHANGE
    }
}

/// Asks engines for as long as this node plans.
pub(super) async fn run(control: Rc<Control>) {
    for round in 0_u32.. {
        control.planning().await;
        tokio::time::sleep(ROUND).await;
        if !control.plans() {
            continue;
        }
        let all = round % ALL == 0;
        let asked = if all { used(&control) } else { filling(&control) };
        let answers = asked.iter().map(|e| engines::ask(&control, e));
        let answers = futures::future::join_all(answers).await;
        for (engine, answer) in asked.iter().zip(answers) {
            match answer {
                Ok(status) => take(&control, engine, &status),
                // Whether an engine is lost is for `looks` to find.
                Err(e) => log::info!("engine {} gives no report: {e}", engine.id),
            }
        }
        if all {
            control.publish();
        }
    }
}

/// Reports for the nodes that this one tells, of all engines or of those in one failure domain, that came
/// after the one with serial `known`; and the serial of the last one.
pub(super) fn told(control: &Control, domain: Option<&Name>, known: u64) -> (Vec<FeedReport>, u64) {
    let now = control.now();
    let (reports, entries) = (control.reports.borrow(), control.entries.borrow());
    let wanted = |engine: &Name| match domain {
        Some(domain) => entries.get(engine).is_some_and(|e| &e.domain == domain),
        None => true,
    };
    let new =
        |(engine, r): &(&Name, &Report)| r.serial > known && now < r.at + OLD && wanted(engine);
    let report = |(engine, r): (&Name, &Report)| FeedReport {
        engine: engine.clone(),
        slowdown: r.pace,
        held_tokens: r.held,
        age_ms: now.saturating_sub(r.at),
    };
    (reports.iter().filter(new).map(report).collect(), control.reported.get())
}

/// Takes reports that another node told in answer to a question sent at `sent`.
pub(super) fn hear(control: &Control, reports: &[FeedReport], sent: Millis) {
    let mut changed = false;
    for r in reports {
        let at = sent.saturating_sub(r.age_ms);
        changed |= put(control, &r.engine, r.slowdown, r.held_tokens, at);
    }
    if changed {
        control.publish();
    }
}

/// Engines of this failure domain that requests run through and that are filling up.
fn filling(control: &Control) -> Vec<Arc<EngineEntry>> {
    let (table, now) = (control.shared.table.load(), control.now());
    let share = |e: &Arc<EngineEntry>| {
        let view = table.by_id(e.id.as_str())?;
        let service = control.service(&e.service)?;
        let room =
            service.model.as_ref()?.token_capacity(view.card.as_ref()?, e.layers.count()).max(1.0);
        Some(view.stats.occupancy().held(table.domain_size, now) / room)
    };
    let shares = used(control).into_iter().filter_map(|e| Some((share(&e)?, e)));
    let mut filling: Vec<_> = shares.filter(|(s, _)| *s > FILLING).collect();
    filling.sort_by(|a, b| b.0.total_cmp(&a.0));
    filling.into_iter().take(FILLING_MOST).map(|(_, e)| e).collect()
}

/// Engines of this failure domain that requests run through.
fn used(control: &Control) -> Vec<Arc<EngineEntry>> {
    let domain = control.domain();
    let table = control.shared.table.load();
    let views = table.services.values().flatten();
    let used = views.filter(|v| {
        v.entry.domain == domain
            && v.entry.layers.count() > 0
            && (v.is_primary || v.stats.gauge().count() > 0)
            && !control.is_lost(&v.entry.id)
    });
    used.map(|v| v.entry.clone()).collect()
}

fn take(control: &Control, engine: &EngineEntry, status: &EngineStatus) {
    let service = control.service(&engine.service);
    let model = service.as_ref().and_then(|s| s.model.as_ref());
    let late = model.map_or(0, |m| m.report_lag_ms);
    let usual = model.map_or(0.0, LayeredModel::mean_tokens);
    let held = status.held_tokens(usual).unwrap_or(0.0);
    let at = control.now().saturating_sub(late);
    // All of a round are published together.
    let _ = put(control, &engine.id, status.slowdown, held, at);
}

/// Takes a report; gives whether it may make another engine the faster one.
fn put(control: &Control, engine: &Name, pace: f64, held: f64, at: Millis) -> bool {
    let known = control.reports.borrow().get(engine).is_some_and(|r| r.at >= at);
    // What another node tells may be of the life before.
    if known || control.lives.borrow().restarted_since(engine, at) {
        return false;
    }
    let mut report = Report { pace, held, at, serial: 0 };
    report.serial = match control.reports.borrow().get(engine) {
        Some(old) if old.is_idle() && report.is_idle() => old.serial,
        _ => {
            control.reported.set(control.reported.get() + 1);
            control.reported.get()
        }
    };
    let changed = (report.pace - control.slowness(engine)).abs() > CHANGE;
    if changed {
        GatewayEvent::EngineSlowdown { engine: engine.clone(), pace: report.pace }.log();
    }
    control.reports.borrow_mut().insert(engine.clone(), report);
    if let Some(tally) = control.tallies.borrow().get(engine) {
        tally.record_slowdown(report.pace, report.at);
        tally.occupancy().report(report.held as u64, report.at);
    }
    changed
}

/// # Reports
impl Control {
    /// Tokens that requests hold at an engine by its report; what this node alone sends says little of all.
    pub(super) fn held(&self, engine: &Name) -> f64 {
        let now = self.now();
        let reports = self.reports.borrow();
        reports.get(engine).filter(|r| now < r.at + OLD).map_or(0.0, |r| r.held)
    }

    /// Factor by which an engine is slower than its card, as far as is known.
    pub(super) fn slowness(&self, engine: &Name) -> f64 {
        let now = self.now();
        let reports = self.reports.borrow();
        reports.get(engine).filter(|r| now < r.at + OLD).map_or(1.0, |r| r.pace)
    }
}
