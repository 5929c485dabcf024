//! Promised retries of one service: this node's own, and those of the failure domain.

use heathpitch_core::Millis;

use crate::admission_rate::AdmissionRate;
use crate::retry_schedule::RETRY_SHARE;
use crate::retry_slots::{RetrySlots, SLOT_MS, SlotGrid};

/// Part of its share that a node promises on its own: nodes that know nothing of each other round
/// their parts up at different times, and together must not exceed the domain's capacity.
const OWN_PART: f64 = 0.8;
/// Least capacity of a slot at a node on its own: one retry in two seconds, since a node that
/// admits nothing now will do so again.
const MIN_OWN_PER_SLOT: f64 = 0.125;
/// Least capacity of a slot in a failure domain.
pub(crate) const MIN_PER_SLOT: f64 = 1.0;
/// Largest capacity of a slot: far beyond any admission rate, and small enough to round exactly.
pub(crate) const MAX_PER_SLOT: f64 = 100_000.0;
/// Rate of admissions per millisecond below which they don't count: a stream in a hundred seconds.
const MIN_RATE_PER_MS: f64 = 1e-5;
/// Most streams counted for a node between two polls: far more than a node can admit.
const MAX_ADMITTED: u32 = 100_000;
/// Slots that a fraction of a retry is carried over, before the count starts again.
const CARRY_SLOTS: u64 = 1 << 20;

/// Capacity of the failure domain's slots, as the planner stated it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StatedSlots {
    pub(crate) per_slot: f64,
    /// Start of the last slot in which this node may promise places.
    pub(crate) last: Millis,
    /// Time until which it is used: the promises stated with it have passed then.
    pub(crate) until: Millis,
}

impl StatedSlots {
    /// Largest capacity of a slot.
    pub(crate) fn most(self) -> u32 {
        self.per_slot.ceil() as u32
    }
}

/// State of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryLedger {
    /// All promises of this node.
    own: RetrySlots,
    /// Those that no other node knows of yet.
    pending: RetrySlots,
    /// Those in a poll that is not answered yet.
    in_flight: RetrySlots,
    /// Promises of the domain, with places reserved for others, by the planner's last answer.
    domain: RetrySlots,
    stated: Option<StatedSlots>,
    /// Promises of all nodes that poll this one; at a planner, its own too.
    reported: RetrySlots,
    /// Places reserved for polling nodes until their next poll.
    reserved: RetrySlots,
    own_rate: AdmissionRate,
    reported_rate: AdmissionRate,
    /// Streams admitted here since the last poll.
    admitted: u32,
}

/// # Events
impl RetryLedger {
    pub(crate) fn admit(&mut self, now: Millis) {
        self.own_rate.count(1, now);
        self.admitted = self.admitted.saturating_add(1);
    }

    /// Counts streams admitted by a node that polls this one.
    pub(crate) fn record_admitted(&mut self, count: u32, now: Millis) {
        self.reported_rate.count(count.min(MAX_ADMITTED), now);
    }

    /// Records a promise of this node.
    pub(crate) fn promise(&mut self, start: Millis, is_planner: bool) {
        self.own.add(start, 1);
        match is_planner {
            true => self.reported.add(start, 1),
            false => self.pending.add(start, 1),
        }
    }

    /// Records promises of a node that polls this one.
    pub(crate) fn record_promises(&mut self, start: Millis, count: u32) {
        self.reported.add(start, count);
    }

    pub(crate) fn expire(&mut self, now: Millis) {
        self.all_slots().into_iter().for_each(|slots| slots.expire(now));
        self.stated = self.stated.filter(|stated| now < stated.until);
    }

    pub(crate) fn align(&mut self, grid: SlotGrid) {
        self.all_slots().into_iter().for_each(|slots| slots.align(grid));
    }

    /// Whether it can be dropped without a change of any decision.
    pub(crate) fn is_idle(&self, now: Millis) -> bool {
        let rate = self.own_rate.per_ms(now) + self.reported_rate.per_ms(now);
        let slots = [&self.own, &self.pending, &self.in_flight, &self.domain, &self.reported];
        rate < MIN_RATE_PER_MS && slots.iter().all(|slots| slots.total() == 0)
    }

    fn all_slots(&mut self) -> [&mut RetrySlots; 6] {
        [
            &mut self.own,
            &mut self.pending,
            &mut self.in_flight,
            &mut self.domain,
            &mut self.reported,
            &mut self.reserved,
        ]
    }
}

/// # Polls of this node
impl RetryLedger {
    /// Promises to send with a poll: those that no other node knows of.
    pub(crate) fn send_promises(&mut self, most: usize) -> Vec<(Millis, u32)> {
        let sent: Vec<_> = self.pending.iter().filter(|(_, n)| *n > 0).take(most).collect();
        for (start, count) in &sent {
            self.pending.sub(*start, *count);
            self.in_flight.add(*start, *count);
        }
        sent
    }

    /// Admitted streams to send with a poll. They are not sent again if it fails: counted twice,
    /// or late and all at once, they would overstate the capacity.
    pub(crate) fn send_admitted(&mut self) -> u32 {
        std::mem::take(&mut self.admitted)
    }

    /// The last poll was not answered: its contents are sent again with the next.
    pub(crate) fn poll_failed(&mut self) {
        let sent = std::mem::take(&mut self.in_flight);
        self.pending.merge(&sent);
    }

    /// The last poll was answered by a node that does not sum the domain's promises: it keeps them
    /// for the next planner.
    pub(crate) fn poll_recorded(&mut self) {
        let sent = std::mem::take(&mut self.in_flight);
        self.domain.merge(&sent);
    }

    /// The last poll was answered by the planner, with these sums.
    pub(crate) fn poll_answered(&mut self, sums: RetrySlots, stated: Option<StatedSlots>) {
        self.in_flight = RetrySlots::default();
        (self.domain, self.stated) = (sums, stated);
    }
}

/// # Role
impl RetryLedger {
    /// This node becomes the planner: what it knows of the domain is the start of its sums.
    pub(crate) fn begin_planning(&mut self, now: Millis) {
        self.expire(now);
        for known in [&mut self.domain, &mut self.pending, &mut self.in_flight] {
            self.reported.merge(&std::mem::take(known));
        }
        if let Some(stated) = self.stated.take() {
            let domain = stated.per_slot / SLOT_MS as f64 / RETRY_SHARE;
            let others = (domain - self.own_rate.per_ms(now)).max(0.0);
            self.reported_rate = AdmissionRate::at_rate(others, now);
        }
        self.admitted = 0;
        self.reserved = RetrySlots::default();
    }

    /// Another node is the planner from now on.
    pub(crate) fn end_planning(&mut self) {
        self.domain = std::mem::take(&mut self.reported);
        self.reserved = RetrySlots::default();
        self.reported_rate = AdmissionRate::default();
        self.admitted = 0;
    }
}

/// # Places reserved for polling nodes
impl RetryLedger {
    /// Whether any retries are promised after `from`.
    pub(crate) fn has_promises(&self, from: Millis) -> bool {
        self.reported.iter().any(|(start, count)| start > from && count > 0)
    }

    /// Promises in slots that end by `until`.
    pub(crate) fn due_before(&self, until: Millis) -> impl Iterator<Item = (Millis, u32)> {
        self.reported.iter().filter(move |(start, n)| *n > 0 && start + SLOT_MS <= until)
    }

    /// Reserves up to `most` free places in the slots from `from` to `until`, the earliest first.
    pub(crate) fn reserve(
        &mut self,
        most: u32,
        from: Millis,
        until: Millis,
        now: Millis,
    ) -> Vec<(Millis, u32)> {
        let (mut left, mut places) = (most, Vec::new());
        for start in (from..=until).step_by(SLOT_MS as usize) {
            let free = self.planner_free(start, now).min(left);
            if free > 0 {
                self.reserved.add(start, free);
                places.push((start, free));
                left -= free;
            }
            if left == 0 {
                break;
            }
        }
        places
    }

    /// Returns reserved places.
    pub(crate) fn release(&mut self, start: Millis, count: u32) {
        self.reserved.sub(start, count);
    }

    /// Whether a quarter of the places from `from` to `until` is reserved.
    pub(crate) fn is_crowded(&self, from: Millis, until: Millis, now: Millis) -> bool {
        let slots = (until.saturating_sub(from) / SLOT_MS + 1) as f64;
        f64::from(self.reserved.total()) >= slots * self.per_slot(now) / 4.0
    }

    /// Promised and reserved places of a slot at a planner.
    pub(crate) fn taken(&self, start: Millis) -> u32 {
        self.reported.count(start).saturating_add(self.reserved.count(start))
    }

    /// Mean capacity of a slot in the failure domain, by what is reported to the planner.
    pub(crate) fn per_slot(&self, now: Millis) -> f64 {
        let rate = self.own_rate.per_ms(now) + self.reported_rate.per_ms(now);
        (rate * SLOT_MS as f64 * RETRY_SHARE).clamp(MIN_PER_SLOT, MAX_PER_SLOT)
    }

    /// Capacity of one slot in the failure domain.
    fn capacity(&self, start: Millis, now: Millis) -> u32 {
        places(self.per_slot(now), 0.0, start)
    }
}

/// # Free places
impl RetryLedger {
    /// Free places of a slot at a planner.
    pub(crate) fn planner_free(&self, start: Millis, now: Millis) -> u32 {
        self.capacity(start, now).saturating_sub(self.taken(start))
    }

    /// Free places of a slot among those that the planner reserved for this node; none if it stated
    /// nothing of the service.
    pub(crate) fn reserved_free(&self, start: Millis) -> Option<u32> {
        let stated = self.stated?;
        if start > stated.last {
            return Some(0);
        }
        let taken = self.domain.count(start).saturating_add(self.pending.count(start));
        Some(stated.most().saturating_sub(taken))
    }

    /// Whether a node on its own may promise a place: within its own rate, and in no slot that was
    /// full by the planner's last answer. `seed` (0 to 1) differs between nodes.
    pub(crate) fn own_free(&self, start: Millis, seed: f64, now: Millis) -> bool {
        let rate = self.own_rate.per_ms(now) * SLOT_MS as f64 * RETRY_SHARE * OWN_PART;
        let rate = rate.max(MIN_OWN_PER_SLOT);
        let full = self.stated.is_some_and(|t| self.domain.count(start) >= t.most());
        !full && self.own.count(start) < places(rate, seed, start)
    }

    /// Promised retries of the failure domain in a slot, as far as known.
    pub(crate) fn due(&self, start: Millis, is_planner: bool) -> u32 {
        let known = [&self.domain, &self.pending, &self.in_flight];
        match is_planner {
            true => self.reported.count(start),
            false => known.iter().map(|s| s.count(start)).fold(0, u32::saturating_add),
        }
    }

    /// Streams that the failure domain admits in one slot, as far as known.
    pub(crate) fn admitted_per_slot(&self, is_planner: bool, now: Millis) -> f64 {
        let own = self.own_rate.per_ms(now) * SLOT_MS as f64;
        match self.stated.filter(|stated| now < stated.until) {
            _ if is_planner => own + self.reported_rate.per_ms(now) * SLOT_MS as f64,
            Some(stated) => stated.per_slot / RETRY_SHARE,
            None => own,
        }
    }
}

/// Places of the slot that starts at `start`, if slots have `per_slot` on average: whole numbers
/// that add up to it, so that a fraction of a place is not lost. `seed` (0 to 1) shifts the
/// rounding.
fn places(per_slot: f64, seed: f64, start: Millis) -> u32 {
    let number = (start / SLOT_MS % CARRY_SLOTS) as f64;
    ((per_slot * (number + 1.0) + seed).floor() - (per_slot * number + seed).floor()) as u32
}
