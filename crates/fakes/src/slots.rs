//! Batch slots of a fake engine, assigned by priority.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use heathpitch_core::Priority;
use parking_lot::Mutex;
use tokio::sync::oneshot;

/// Batch slots and the queue of requests that wait for one.
#[derive(Clone, Debug)]
pub(crate) struct Slots(Arc<Mutex<Inner>>);

#[derive(Debug)]
struct Inner {
    free: u32,
    queue_capacity: usize,
    next: u64,
    waiting: BTreeMap<(Reverse<Priority>, u64), oneshot::Sender<Slot>>,
}

/// Occupied batch slot, released on drop.
#[derive(Debug)]
pub(crate) struct Slot(Slots);

impl Slots {
    pub(crate) fn new(slots: u32, queue_capacity: usize) -> Self {
        let inner = Inner { free: slots, queue_capacity, next: 0, waiting: BTreeMap::new() };
        Self(Arc::new(Mutex::new(inner)))
    }

    /// Waits for a slot; `None` if the queue is full.
    pub(crate) async fn acquire(&self, priority: Priority) -> Option<Slot> {
        let waiter = {
            let mut inner = self.0.lock();
            match inner.free {
                0 if inner.waiting.len() >= inner.queue_capacity => return None,
                0 => {
                    let (tx, rx) = oneshot::channel();
                    inner.next += 1;
                    let key = (Reverse(priority), inner.next);
                    inner.waiting.insert(key, tx);
                    rx
                }
                _ => {
                    inner.free -= 1;
                    return Some(Slot(self.clone()));
                }
            }
        };
        waiter.await.ok()
    }

    /// Number of waiting requests.
    pub(crate) fn queued(&self) -> u32 {
        let mut inner = self.0.lock();
        inner.waiting.retain(|_, w| !w.is_closed());
        inner.waiting.len() as u32
    }

    fn release(&self) {
        let next = {
            let mut inner = self.0.lock();
            inner.waiting.retain(|_, w| !w.is_closed());
            match inner.waiting.pop_first() {
                Some((_, waiter)) => waiter,
                None => {
                    inner.free += 1;
                    return;
                }
            }
        };
        // If the waiter was cancelled in the meantime, the slot is dropped and so released again.
        let _ = next.send(Slot(self.clone()));
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.clone().release();
    }
}
