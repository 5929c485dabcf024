//! Memory for the bodies of calls and of answers that a node holds as a whole.
//!
//! A body is held from its arrival until its call has ended, because it may be sent again; an answer until it has been
//! written to its caller. Whatever does not fit is not read until others have ended, in order of arrival. Small bodies
//! have a part of their own, so that large ones do not keep them waiting.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Part of the VM's memory for small bodies. The node itself, and what the kernel holds of connections, need what the
/// three parts leave.
const SMALL_SHARE: f64 = 0.1;
/// Part of it for large bodies.
const LARGE_SHARE: f64 = 0.5;
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
    answers: Part,
}

impl ContentBudget {
    /// Budget of a VM with this memory.
    pub(crate) fn new(memory_mb: f64) -> Self {
        let part = |share: f64| Part::new((memory_mb * BYTES_PER_MB * share) as usize);
        Self { small: part(SMALL_SHARE), large: part(LARGE_SHARE), answers: part(ANSWER_SHARE) }
    }

    /// Waits until a body may hold `bytes`.
    pub(crate) async fn grow_body(&self, held: &mut HeldBytes, bytes: usize) {
        match bytes {
            0..LARGE_BYTES => self.small.grow(held, bytes).await,
            _ => self.large.grow(held, bytes).await,
        }
    }

    /// Waits until an answer may hold `bytes`; small ones are not counted.
    pub(crate) async fn grow_answer(&self, held: &mut HeldBytes, bytes: usize) {
        if bytes >= LARGE_BYTES {
            self.answers.grow(held, bytes).await;
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
        let more = self.free.clone().acquire_many_owned((units - taken) as u32).await;
        match (&mut held.0, more) {
            (Some(held), Ok(more)) if taken > 0 => held.merge(more),
            (held, more) => *held = more.ok(),
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
