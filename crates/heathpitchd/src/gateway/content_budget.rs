//! Memory for the bodies of calls and of answers that a node holds as a whole.
//!
//! A body is held from its arrival until its call has ended, because it may be sent again. One that does not fit is not
//! read until others have ended, in order of arrival. An answer is held until it has been written to its caller; what does
//! not fit is passed on as it arrives, so that answers never wait for each other. Small bodies and small answers have
//! parts of their own, so that large ones do not keep them waiting.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Part of the VM's memory for small bodies. The node itself, the buffers of connections, and what the kernel holds of
/// them need what the four parts leave.
const SMALL_SHARE: f64 = 0.1;
/// Part of it for large bodies.
const LARGE_SHARE: f64 = 0.5;
/// Part of it for small answers.
const SMALL_ANSWER_SHARE: f64 = 0.05;
/// Part of it for large answers.
const ANSWER_SHARE: f64 = 0.15;
/// Size from which a body or an answer is large.
const LARGE_BYTES: usize = 64 << 10;
/// Unit in which memory is counted.
const UNIT_BYTES: usize = 1 << 10;
const BYTES_PER_MB: f64 = 1e6;

/// Memory of one node.
#[derive(Clone, Debug)]
pub(crate) struct ContentBudget {
    small: Part,
    large: Part,
    small_answers: Part,
    answers: Part,
}

impl ContentBudget {
    /// Budget of a VM with this memory.
    pub(crate) fn new(memory_mb: f64) -> Self {
        let part = |share: f64| Part::new((memory_mb * BYTES_PER_MB * share) as usize);
        Self {
            small: part(SMALL_SHARE),
            large: part(LARGE_SHARE),
            small_answers: part(SMALL_ANSWER_SHARE),
            answers: part(ANSWER_SHARE),
        }
    }

    /// Waits until a body may hold `bytes`.
    pub(crate) async fn grow_body(&self, held: &mut HeldBytes, bytes: usize) {
        match bytes {
            0..LARGE_BYTES => self.small.grow(held, bytes).await,
            _ => self.large.grow(held, bytes).await,
        }
    }

    /// Takes memory for an answer of `bytes`, if that much is free now.
    pub(crate) fn try_grow_answer(&self, held: &mut HeldBytes, bytes: usize) -> bool {
        match bytes {
            0..LARGE_BYTES => self.small_answers.try_grow(held, bytes),
            _ => self.answers.try_grow(held, bytes),
        }
    }
}

/// A part of the memory.
#[derive(Clone, Debug)]
struct Part {
    free: Arc<Semaphore>,
    units: usize,
}

impl Part {
    fn new(bytes: usize) -> Self {
        let units = (bytes / UNIT_BYTES).max(1);
        Self { free: Arc::new(Semaphore::new(units)), units }
    }

    /// Waits until `held` may have `bytes` of this part; what it has of another one is released then. Content of known
    /// length asks for all of it at once; the rest grows by large steps, so that few waits are needed. Content larger
    /// than the whole part takes all of it.
    async fn grow(&self, held: &mut HeldBytes, bytes: usize) {
        let (units, taken) = (bytes.div_ceil(UNIT_BYTES), self.taken(held));
        if units <= taken || taken == self.units {
            return;
        }
        let step = if taken == 0 { 0 } else { LARGE_BYTES / UNIT_BYTES };
        let units = units.max(taken + step).min(self.units);
        if let Ok(more) = self.free.clone().acquire_many_owned((units - taken) as u32).await {
            self.add(held, more);
        }
    }

    /// Gives `held` as many `bytes` of this part, or leaves it as it is if they are not free.
    fn try_grow(&self, held: &mut HeldBytes, bytes: usize) -> bool {
        let missing = bytes.div_ceil(UNIT_BYTES).saturating_sub(self.taken(held));
        if missing == 0 {
            return true;
        }
        let Ok(missing) = u32::try_from(missing) else { return false };
        let more = self.free.clone().try_acquire_many_owned(missing).ok();
        more.map(|more| self.add(held, more)).is_some()
    }

    fn add(&self, held: &mut HeldBytes, more: OwnedSemaphorePermit) {
        match &mut held.0 {
            Some(held) if Arc::ptr_eq(held.semaphore(), more.semaphore()) => held.merge(more),
            held => *held = Some(more),
        }
    }

    /// Units of this part that `held` has.
    fn taken(&self, held: &HeldBytes) -> usize {
        let of_part = held.0.as_ref().filter(|permit| Arc::ptr_eq(permit.semaphore(), &self.free));
        of_part.map_or(0, OwnedSemaphorePermit::num_permits)
    }
}

/// Memory that a body or an answer holds, released when dropped.
#[derive(Debug, Default)]
pub(crate) struct HeldBytes(Option<OwnedSemaphorePermit>);
