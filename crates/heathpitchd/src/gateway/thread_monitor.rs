//! Detects that a thread of the node was held up.
//!
//! A thread that did not run for some time had no processor, or its own tasks kept it busy. The processor time used
//! meanwhile, the task that ran longest without yielding, and the time that each task took in all tell which.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures::future::LocalBoxFuture;
use heathpitch_core::Millis;
use nix::time::{ClockId, clock_gettime};

use super::event::GatewayEvent;

/// Shortest delay that is logged.
const MIN_DELAY: Duration = Duration::from_millis(300);
/// Interval of checks of a thread that has no other periodic work.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Tasks that are logged with the time that they took in all.
const MAX_LOGGED_TASKS: usize = 4;

/// Delays of one thread.
#[derive(Debug)]
pub(crate) struct ThreadMonitor {
    thread: &'static str,
    checked: Cell<Instant>,
    /// Processor time of the thread at that time.
    cpu: Cell<Duration>,
    /// Tasks that ran since then.
    tasks: RefCell<Vec<TaskTime>>,
}

/// Running time of a task between two checks.
#[derive(Clone, Copy, Debug)]
struct TaskTime {
    name: &'static str,
    /// In all.
    total: Duration,
    /// Longest time without yielding.
    longest: Duration,
}

/// A task whose running time is recorded.
pub(crate) struct Monitored {
    name: &'static str,
    task: LocalBoxFuture<'static, ()>,
    monitor: Rc<ThreadMonitor>,
}

impl ThreadMonitor {
    /// A monitor of the current thread.
    pub(crate) fn new(thread: &'static str) -> Self {
        Self {
            thread,
            checked: Cell::new(Instant::now()),
            cpu: Cell::new(thread_cpu()),
            tasks: RefCell::default(),
        }
    }

    /// Records how long a task of this thread runs.
    pub(crate) fn monitor(
        self: &Rc<Self>,
        name: &'static str,
        task: LocalBoxFuture<'static, ()>,
    ) -> Monitored {
        Monitored { name, task, monitor: self.clone() }
    }

    /// Checks at the end of an interval whether the thread was held up.
    pub(crate) fn check(&self, interval: Duration) {
        let (now, cpu) = (Instant::now(), thread_cpu());
        let delay = (now - self.checked.replace(now)).saturating_sub(interval);
        let used = cpu.saturating_sub(self.cpu.replace(cpu));
        let mut tasks = self.tasks.take();
        if delay < MIN_DELAY {
            return;
        }
        let longest = tasks.iter().max_by_key(|t| t.longest).copied();
        tasks.sort_by_key(|t| std::cmp::Reverse(t.total));
        tasks.truncate(MAX_LOGGED_TASKS);
        GatewayEvent::ThreadDelayed {
            thread: self.thread,
            ms: millis(delay),
            cpu_ms: millis(used),
            task: longest.map(|t| t.name),
            task_ms: longest.map(|t| millis(t.longest)),
            tasks: tasks.iter().map(|t| (t.name, millis(t.total))).collect(),
        }
        .log();
    }

    fn record(&self, name: &'static str, time: Duration) {
        let mut tasks = self.tasks.borrow_mut();
        match tasks.iter_mut().find(|t| t.name == name) {
            Some(task) => {
                task.total += time;
                task.longest = task.longest.max(time);
            }
            None => tasks.push(TaskTime { name, total: time, longest: time }),
        }
    }
}

impl Future for Monitored {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let start = Instant::now();
        let polled = self.task.as_mut().poll(cx);
        self.monitor.record(self.name, start.elapsed());
        polled
    }
}

/// Checks the current thread periodically.
pub(crate) async fn watch(thread: &'static str) {
    let monitor = ThreadMonitor::new(thread);
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        monitor.check(CHECK_INTERVAL);
    }
}

/// Processor time of the current thread; zero if the system does not tell it.
fn thread_cpu() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map_or(Duration::ZERO, Duration::from)
}

fn millis(time: Duration) -> Millis {
    time.as_millis() as Millis
}
