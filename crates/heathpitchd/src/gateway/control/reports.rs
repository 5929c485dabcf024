//! Engine reports: by what factor an engine is slower than its card, and how many tokens it holds.
//!
//! The planner of a failure domain polls the engines that requests run through, and those that are
//! filling up more often. It forwards the reports to the other nodes of its domain in its feed
//! responses.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use heathpitch_core::{EngineEntry, LayeredModel, Millis, Name};
use heathpitch_net::{EngineStatus, FeedReport};

use super::engines;
use super::state::Control;
use crate::gateway::event::GatewayEvent;

/// Interval between rounds: about the lag of a report, so that polling at most doubles a report's
/// age, during which requests may be admitted that find no capacity.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Every so many rounds all engines are polled: a poll costs a fraction of a store call.
const FULL_ROUND_EVERY: u32 = 4;
/// Share of an engine's token capacity from which it counts as filling up: at twice the typical
/// load, filling up from there takes longer than the time between two full rounds.
const FILLING_SHARE: f64 = 0.5;
/// Engines polled in other rounds, fullest first: all engines of a path hold the same tokens.
const MAX_FILLING: usize = 2;
/// Engines with queued requests polled in other rounds, longest queue first: a path starts at one of
/// them, and a domain has room for the first stages of about as many paths.
const MAX_QUEUED: usize = 4;
/// Age beyond which a report is no longer used or forwarded.
const MAX_AGE_MS: Millis = 3_000;

/// Change of an engine's slowdown that may make another engine the faster one.
const SLOWDOWN_CHANGE: f64 = 0.3;

/// Last report of an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Report {
    slowdown: f64,
    /// Tokens that requests held at the engine.
    held_tokens: f64,
    /// Requests that wait for their start.
    queued: u32,
    at: Millis,
    /// Position among all reports that this node recorded.
    serial: u64,
}

impl Report {
    /// Whether it equals what is assumed without a report: nothing held or queued, and as fast as the card.
    ///
    /// Repeated idle reports are not forwarded, since at low load most engines are idle.
    fn is_idle(&self) -> bool {
        self.held_tokens == 0.0
            && self.queued == 0
            && (self.slowdown - 1.0).abs() <= SLOWDOWN_CHANGE
    }
}

/// Polls engines while this node is the planner.
pub(super) async fn run(control: Rc<Control>) {
    for round in 0_u32.. {
        control.wait_until_planner().await;
        tokio::time::sleep(ROUND_INTERVAL).await;
        if !control.is_planner() {
            continue;
        }
        let all = round % FULL_ROUND_EVERY == 0;
        let polled = if all { active_engines(&control) } else { loaded_engines(&control) };
        let answers = polled.iter().map(|e| engines::query_status(&control, e));
        let answers = futures::future::join_all(answers).await;
        for (engine, answer) in polled.iter().zip(answers) {
            match answer {
                Ok(status) => record_status(&control, engine, &status),
                // `reachability` decides whether an engine is reachable.
                Err(e) => log::info!("report request to engine {} failed: {e}", engine.id),
            }
        }
        if all {
            control.publish();
        }
    }
}

/// Reports recorded after serial `known`, of all engines or of those in one failure domain, and the
/// serial of the last report.
pub(super) fn reports_since(
    control: &Control,
    domain: Option<&Name>,
    known: u64,
) -> (Vec<FeedReport>, u64) {
    let now = control.now();
    let (reports, entries) = (control.reports.borrow(), control.entries.borrow());
    let wanted = |engine: &Name| match domain {
        Some(domain) => entries.get(engine).is_some_and(|e| &e.domain == domain),
        None => true,
    };
    let new = |(engine, r): &(&Name, &Report)| {
        r.serial > known && now < r.at + MAX_AGE_MS && wanted(engine)
    };
    let report = |(engine, r): (&Name, &Report)| FeedReport {
        engine: engine.clone(),
        slowdown: r.slowdown,
        held_tokens: r.held_tokens,
        queued: r.queued,
        age_ms: now.saturating_sub(r.at),
    };
    (reports.iter().filter(new).map(report).collect(), control.report_serial.get())
}

/// Records reports from another node's response to a request sent at `sent`.
pub(super) fn receive(control: &Control, reports: &[FeedReport], sent: Millis) {
    let mut changed = false;
    for r in reports {
        let at = sent.saturating_sub(r.age_ms);
        let (slowdown, held_tokens, queued) = (r.slowdown, r.held_tokens, r.queued);
        changed |=
            record(control, &r.engine, Report { slowdown, held_tokens, queued, at, serial: 0 });
    }
    if changed {
        control.publish();
    }
}

/// Active engines of this failure domain that are filling up, and those that have requests queued if
/// queues are forecast.
fn loaded_engines(control: &Control) -> Vec<Arc<EngineEntry>> {
    let mut loaded = filling_engines(control);
    if control.shared.table.load().forecast {
        let mut queued = queued_engines(control);
        queued.retain(|e| !loaded.iter().any(|l| l.id == e.id));
        loaded.extend(queued);
    }
    loaded
}

/// Active engines whose last report has queued requests.
fn queued_engines(control: &Control) -> Vec<Arc<EngineEntry>> {
    let (reports, now) = (control.reports.borrow(), control.now());
    let queued = |e: &Name| match reports.get(e) {
        Some(r) if now < r.at + MAX_AGE_MS => r.queued,
        _ => 0,
    };
    let counts = active_engines(control).into_iter().map(|e| (queued(&e.id), e));
    let mut waiting: Vec<_> = counts.filter(|(count, _)| *count > 0).collect();
    waiting.sort_by_key(|(count, _)| std::cmp::Reverse(*count));
    waiting.into_iter().take(MAX_QUEUED).map(|(_, e)| e).collect()
}

/// Active engines of this failure domain that are filling up.
fn filling_engines(control: &Control) -> Vec<Arc<EngineEntry>> {
    let (table, now) = (control.shared.table.load(), control.now());
    let share = |e: &Arc<EngineEntry>| {
        let view = table.by_id(e.id.as_str())?;
        let service = control.service(&e.service)?;
        let capacity =
            service.model.as_ref()?.token_capacity(view.card.as_ref()?, e.layers.count()).max(1.0);
        Some(view.stats.occupancy().held(table.domain_size, now) / capacity)
    };
    let shares = active_engines(control).into_iter().filter_map(|e| Some((share(&e)?, e)));
    let mut filling: Vec<_> = shares.filter(|(s, _)| *s > FILLING_SHARE).collect();
    filling.sort_by(|a, b| b.0.total_cmp(&a.0));
    filling.into_iter().take(MAX_FILLING).map(|(_, e)| e).collect()
}

/// Engines of this failure domain that requests run through.
fn active_engines(control: &Control) -> Vec<Arc<EngineEntry>> {
    let domain = control.domain();
    let table = control.shared.table.load();
    let views = table.services.values().flatten();
    let active = views.filter(|v| {
        v.entry.domain == domain
            && v.entry.layers.count() > 0
            && (v.is_primary || v.stats.gauge().count() > 0)
            && !control.is_unreachable(&v.entry.id)
    });
    active.map(|v| v.entry.clone()).collect()
}

fn record_status(control: &Control, engine: &EngineEntry, status: &EngineStatus) {
    let service = control.service(&engine.service);
    let model = service.as_ref().and_then(|s| s.model.as_ref());
    let lag_ms = model.map_or(0, |m| m.report_lag_ms);
    let mean_tokens = model.map_or(0.0, LayeredModel::mean_tokens);
    let held_tokens = status.held_tokens(mean_tokens).unwrap_or(0.0);
    let at = control.now().saturating_sub(lag_ms);
    // The reports of a round are published together.
    let (slowdown, queued) = (status.slowdown, status.waiting);
    let report = Report { slowdown, held_tokens, queued, at, serial: 0 };
    let _ = record(control, &engine.id, report);
}

/// Records a report, and returns whether it may make another engine the faster one.
fn record(control: &Control, engine: &Name, mut report: Report) -> bool {
    let at = report.at;
    let known = control.reports.borrow().get(engine).is_some_and(|r| r.at >= at);
    // A report from another node may be of the engine's previous incarnation.
    if known || control.incarnations.borrow().restarted_since(engine, at) {
        return false;
    }
    report.serial = match control.reports.borrow().get(engine) {
        Some(old) if old.is_idle() && report.is_idle() => old.serial,
        _ => {
            control.report_serial.set(control.report_serial.get() + 1);
            control.report_serial.get()
        }
    };
    let changed = (report.slowdown - control.slowdown(engine)).abs() > SLOWDOWN_CHANGE;
    if changed {
        GatewayEvent::EngineSlowdown { engine: engine.clone(), slowdown: report.slowdown }.log();
    }
    control.reports.borrow_mut().insert(engine.clone(), report);
    if let Some(stats) = control.engine_stats.borrow().get(engine) {
        stats.record_slowdown(report.slowdown, report.at);
        let (capacity, slots) = limits(control, engine).unwrap_or_default();
        stats.record_held(report.held_tokens, capacity, report.at);
        stats.record_queued(report.queued, slots, report.at);
    }
    changed
}

/// Token capacity of an engine and its slots for first stages; none if it runs no layered model.
fn limits(control: &Control, engine: &Name) -> Option<(f64, u32)> {
    let entry = control.entries.borrow().get(engine).cloned()?;
    let service = control.service(&entry.service)?;
    let model = service.model.as_ref()?;
    let card = model.card(entry.card.as_ref()?.as_str())?;
    Some((model.token_capacity(card, entry.layers.count()), model.slots))
}

/// # Reports
impl Control {
    /// Tokens that requests hold at an engine by its report: this node's own requests are only a
    /// part of them.
    pub(super) fn held_tokens(&self, engine: &Name) -> f64 {
        let now = self.now();
        let reports = self.reports.borrow();
        reports.get(engine).filter(|r| now < r.at + MAX_AGE_MS).map_or(0.0, |r| r.held_tokens)
    }

    /// Known factor by which an engine is slower than its card; 1 without a recent report.
    pub(super) fn slowdown(&self, engine: &Name) -> f64 {
        let now = self.now();
        let reports = self.reports.borrow();
        reports.get(engine).filter(|r| now < r.at + MAX_AGE_MS).map_or(1.0, |r| r.slowdown)
    }
}
