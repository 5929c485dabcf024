//! Places in a stand-in engine's batch, given by priority.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use heathpitch_core::Priority;
use parking_lot::Mutex;
use tokio::sync::oneshot;

/// Places in the batch and the queue before it.
#[derive(Clone, Debug)]
pub(crate) struct Slots(Arc<Mutex<Inner>>);

#[derive(Debug)]
struct Inner {
    free: u32,
    room: usize,
    next: u64,
    waiting: BTreeMap<(Reverse<Priority>, u64), oneshot::Sender<Place>>,
}

/// A place in the batch, given back when dropped.
#[derive(Debug)]
pub(crate) struct Place(Slots);

impl Slots {
    /// `slots` places with a queue of `room`.
    pub(crate) fn new(slots: u32, room: usize) -> Self {
        let inner = Inner { free: slots, room, next: 0, waiting: BTreeMap::new() };
        Self(Arc::new(Mutex::new(inner)))
    }

    /// Waits for a place; none if the queue is full.
    pub(crate) async fn take(&self, at: Priority) -> Option<Place> {
        let waiter = {
            let mut inner = self.0.lock();
            match inner.free {
                0 if inner.waiting.len() >= inner.room => return None,
                0 => {
                    let (tx, rx) = oneshot::channel();
                    inner.next += 1;
                    let key = (Reverse(at), inner.next);
                    inner.waiting.insert(key, tx);
                    rx
                }
                _ => {
                    inner.free -= 1;
                    return Some(Place(self.clone()));
                }
            }
        };
        waiter.await.ok()
    }

    /// Requests waiting.
    pub(crate) fn queued(&self) -> u32 {
        let mut inner = self.0.lock();
        inner.waiting.retain(|_, w| !w.is_closed());
        inner.waiting.len() as u32
    }

    fn give_back(&self) {
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
        // A waiter that left meanwhile drops the place, which gives it back again.
        let _ = next.send(Place(self.clone()));
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.clone().give_back();
    }
}
