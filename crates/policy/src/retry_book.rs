//! Promised retries of rejected callers in a failure domain.
//!
//! A rejected caller retries at any node. So the domain's planner sums the promises of all nodes by
//! slot of time and knows how many retries a slot has capacity for: a quarter of what the domain
//! admits, about the spare capacity of a fleet under its usual load. A node promises the earliest
//! slot with capacity left.
//!
//! Nodes poll the planner a few times a second, and between two polls all of them would promise the
//! same places. So the planner reserves places for a polling node until its next poll, as many as
//! the node promised since its last one and some more. Its answer lists the sums of the slots that
//! are too near to be promised, and of the others only those in which the node may promise places:
//! there it counts all other places as promised. A node without such places, since nothing was promised for a while or no
//! planner answers, promises within a quarter of its own admissions. Callers for whom there is no
//! place are spread at random.
//!
//! Only offsets from the time of a message are exchanged, so clocks of nodes may differ.

use std::collections::BTreeMap;

use heathpitch_core::{Millis, Name};
use rand::Rng;

use crate::retry_ledger::{MAX_PER_SLOT, MIN_PER_SLOT, RetryLedger, StatedSlots};
use crate::retry_promise::{PromiseError, PromiseSums, RetryPromise, SlotCapacity};
use crate::retry_schedule::{MAX_WAIT_SHARE, MIN_DELAY_MS, spread};
use crate::retry_slots::{HORIZON_MS, RetrySlots, SLOT_MS, SlotGrid};
use crate::sharing::MAX_DUE;

/// Time for which reserved places are kept, milliseconds: two polls, and the timeout of an answer.
const RESERVE_MS: Millis = 1_000;
/// Time from now to the first reserved place, milliseconds, beyond the shortest delay: a place must
/// still be far enough ahead shortly before the node's next poll.
const RESERVE_AHEAD_MS: Millis = 500;
/// Longest time from a poll to its answer, milliseconds: the timeout of a first answer. Only a
/// suspended VM receives one later.
const MAX_ANSWER_MS: Millis = 1_000;
/// End of a slot that is not promised, milliseconds, so that a caller's request arrives within it.
const ARRIVAL_MARGIN_MS: Millis = 25;
/// Most entries of a poll.
const MAX_SENT: usize = 64;
/// Most entries of an answer: all slots of eight services.
const MAX_SUMS: usize = 256;
/// Services tracked, more than any configuration has.
const MAX_SERVICES: usize = 64;
/// Nodes with reserved places, more than a failure domain has.
const MAX_NODES: usize = 2_048;

/// Places reserved for a polling node.
#[derive(Clone, Debug)]
struct Reservation {
    until: Millis,
    places: Vec<(Name, Millis, u32)>,
}

/// Promised retries of a failure domain, as one node knows them.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::RetryBook;
///
/// let service: heathpitch_core::Name = "chat".parse()?;
/// let (mut planner, mut node) = (RetryBook::new(0.1), RetryBook::new(0.2));
/// planner.set_planner(true, 0);
/// let mut rng = rand::rng();
/// let delay = node.promise(&service, 20_000, 10_000, &mut rng);
/// assert!((2_000..=6_000).contains(&delay));
///
/// let sent = node.send_promises(10_100);
/// let sums = planner.answer_poll(&"n2".parse()?, &sent, 500)?;
/// assert_eq!(sums.capacities[0].per_slot, 1.0);
/// node.poll_answered(&sums, 10_100, 10_101)?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug)]
pub struct RetryBook {
    services: BTreeMap<Name, RetryLedger>,
    reservations: BTreeMap<Name, Reservation>,
    grid: SlotGrid,
    /// Spreads the rounding of nodes on their own, 0 to 1.
    seed: f64,
    is_planner: bool,
    /// Time until which this node's reserved places are valid.
    reserved_until: Millis,
}

/// # Construction
impl RetryBook {
    /// Without promises; `seed` (0 to 1) should differ between nodes.
    pub fn new(seed: f64) -> Self {
        Self {
            services: BTreeMap::new(),
            reservations: BTreeMap::new(),
            grid: SlotGrid::default(),
            seed,
            is_planner: false,
            reserved_until: 0,
        }
    }
}

/// # Calls
impl RetryBook {
    /// Counts a stream admitted at `now`.
    pub fn admit(&mut self, service: &Name, now: Millis) {
        if let Some(ledger) = self.ledger(service, now) {
            ledger.admit(now);
        }
    }

    /// Time after which a caller rejected at `now`, with `left` milliseconds remaining, should
    /// retry: at least 2 s, and at most three tenths of the remaining time, which counts more.
    pub fn promise(
        &mut self,
        service: &Name,
        left: Millis,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Millis {
        let most = (left as f64 * MAX_WAIT_SHARE) as Millis;
        let (from, until) = (now + MIN_DELAY_MS, now + most);
        let at = match self.free_slot(service, from, until, now) {
            Some(start) => rng.random_range(returns_in(start, from, until)),
            None => now + spread(MIN_DELAY_MS, most, rng),
        };
        let (start, is_planner) = (self.grid.start(at), self.is_planner);
        match self.ledger(service, now) {
            Some(ledger) if start <= now + HORIZON_MS => ledger.promise(start, is_planner),
            _ => {}
        }
        at - now
    }

    /// Start of the earliest slot with a free place for a retry between `from` and `until`.
    fn free_slot(
        &mut self,
        service: &Name,
        from: Millis,
        until: Millis,
        now: Millis,
    ) -> Option<Millis> {
        let (first, seed) = (self.grid.start(from), self.seed);
        let (plans, reserved) = (self.is_planner, now < self.reserved_until);
        let ledger = self.ledger(service, now)?;
        ledger.expire(now);
        let last = until.min(now + HORIZON_MS);
        (first..=last).step_by(SLOT_MS as usize).find(|start| {
            let free = match ledger.reserved_free(*start).filter(|_| reserved) {
                _ if plans => ledger.planner_free(*start, now) > 0,
                Some(free) => free > 0,
                None => ledger.own_free(*start, seed, now),
            };
            free && !returns_in(*start, from, until).is_empty()
        })
    }

    /// Part of the admissions that retries due at `now` need, at most 0.2: new calls of the less
    /// urgent ranks leave so much room.
    pub fn due_pressure(&self, service: &Name, now: Millis) -> f64 {
        let Some(ledger) = self.services.get(service) else { return 0.0 };
        let due = f64::from(ledger.due(self.grid.start(now), self.is_planner));
        (due / ledger.admitted_per_slot(self.is_planner, now).max(1.0)).min(MAX_DUE)
    }
}

/// Times of retries in the slot that starts at `start`, within `from` to `until`.
fn returns_in(start: Millis, from: Millis, until: Millis) -> std::ops::RangeInclusive<Millis> {
    start.max(from)..=(start + SLOT_MS - ARRIVAL_MARGIN_MS).min(until)
}

/// # Polls of this node
impl RetryBook {
    /// Promises to send with a poll of a node of the same failure domain: those that none knows of
    /// yet, at most 64 entries. Places reserved for this node end with the poll.
    pub fn send_promises(&mut self, now: Millis) -> Vec<RetryPromise> {
        self.reserved_until = 0;
        let mut sent = Vec::new();
        for (service, ledger) in &mut self.services {
            ledger.expire(now);
            let new = ledger.send_promises(MAX_SENT - sent.len());
            sent.extend(new.into_iter().map(|(start, count)| entry(service, start, count, now)));
        }
        sent
    }

    /// Streams admitted since the last poll, by service, to send with a poll.
    pub fn send_admitted(&mut self) -> Vec<(Name, u32)> {
        let sent = self.services.iter_mut().map(|(s, l)| (s.clone(), l.send_admitted()));
        sent.filter(|(_, count)| *count > 0).collect()
    }

    /// The last poll was not answered.
    pub fn poll_failed(&mut self) {
        self.services.values_mut().for_each(RetryLedger::poll_failed);
    }

    /// The last poll was answered by a node that is not this failure domain's planner, which keeps
    /// the promises for the case that it becomes that.
    pub fn poll_recorded(&mut self) {
        self.services.values_mut().for_each(RetryLedger::poll_recorded);
    }

    /// The last poll, sent at `sent`, was answered by the planner.
    ///
    /// # Errors
    ///
    /// [`PromiseError`]; the promises that were sent then count as known to the planner.
    pub fn poll_answered(
        &mut self,
        sums: &PromiseSums,
        sent: Millis,
        now: Millis,
    ) -> Result<(), PromiseError> {
        let checked = check_size(sums.promises.len().max(sums.capacities.len()), MAX_SUMS)
            .and_then(|()| check_age(now.saturating_sub(sent)));
        if checked.is_err() || self.is_planner {
            self.poll_recorded();
            return checked;
        }
        if let Some(ahead) = sums.promises.iter().find(|p| p.in_ms > 0) {
            self.align(sent + ahead.in_ms);
        }
        self.reserved_until = sent + RESERVE_MS;
        for capacity in &sums.capacities {
            // Creates the ledger of a service that this node has not served yet.
            let _ = self.ledger(&capacity.service, now);
        }
        for (service, ledger) in &mut self.services {
            let listed = sums.promises.iter().filter(|p| &p.service == service && is_near(p));
            let listed: BTreeMap<Millis, u32> =
                listed.map(|p| (self.grid.at(sent, p.in_ms), p.count)).collect();
            let last = listed.keys().last().copied().unwrap_or(0);
            let capacity = sums.capacities.iter().find(|c| &c.service == service);
            let capacity = capacity.filter(|c| c.per_slot.is_finite());
            let per_slot =
                |c: &SlotCapacity| f64::from(c.per_slot).clamp(MIN_PER_SLOT, MAX_PER_SLOT);
            let until = sent + HORIZON_MS;
            let stated = capacity.map(|c| StatedSlots { per_slot: per_slot(c), last, until });
            let (mut slots, full) = (RetrySlots::default(), stated.map_or(0, StatedSlots::most));
            for start in (self.grid.start(sent)..=last).step_by(SLOT_MS as usize) {
                let other = if is_past_promise(start, sent) { 0 } else { full };
                slots.add(start, listed.get(&start).copied().unwrap_or(other));
            }
            ledger.poll_answered(slots, stated);
        }
        Ok(())
    }

    /// Takes over the slot boundaries of the planner, one of which is at `start`.
    fn align(&mut self, start: Millis) {
        if !self.grid.differs(start) {
            return;
        }
        self.grid = SlotGrid::through(start);
        self.services.values_mut().for_each(|l| l.align(self.grid));
    }
}

/// # Polls by other nodes
impl RetryBook {
    /// Makes this node the planner of its failure domain, or ends that role.
    pub fn set_planner(&mut self, is_planner: bool, now: Millis) {
        if is_planner == self.is_planner {
            return;
        }
        self.is_planner = is_planner;
        self.reservations.clear();
        self.reserved_until = 0;
        self.services.values_mut().for_each(|ledger| match is_planner {
            true => ledger.begin_planning(now),
            false => ledger.end_planning(),
        });
    }

    /// Counts streams that a polling node admitted since its last poll.
    pub fn record_admitted(&mut self, service: &Name, count: u32, now: Millis) {
        if let Some(ledger) = self.ledger(service, now) {
            ledger.record_admitted(count, now);
        }
    }

    /// Records the promises of a polling node, and reserves places for it if this node is the
    /// planner; otherwise the answer is empty.
    ///
    /// # Errors
    ///
    /// [`PromiseError::TooLarge`]; nothing is recorded then.
    pub fn answer_poll(
        &mut self,
        node: &Name,
        promises: &[RetryPromise],
        now: Millis,
    ) -> Result<PromiseSums, PromiseError> {
        check_size(promises.len(), MAX_SENT)?;
        for p in promises.iter().filter(|p| is_near(p)) {
            let start = self.grid.at(now, p.in_ms);
            if let Some(ledger) = self.ledger(&p.service, now) {
                ledger.record_promises(start, p.count);
            }
        }
        self.services.values_mut().for_each(|l| l.expire(now));
        self.release(node, now);
        match self.is_planner {
            true => Ok(self.reserve(node, promises, now)),
            false => Ok(PromiseSums::default()),
        }
    }

    /// Returns the places of a node that polls, and those that have lapsed.
    fn release(&mut self, node: &Name, now: Millis) {
        let services = &mut self.services;
        self.reservations.retain(|owner, reservation| {
            let kept = owner != node && now < reservation.until;
            if !kept {
                for (service, start, count) in &reservation.places {
                    if let Some(ledger) = services.get_mut(service) {
                        ledger.release(*start, *count);
                    }
                }
            }
            kept
        });
    }

    /// Reserves places for a node, and states them with the promises that are due soon.
    fn reserve(&mut self, node: &Name, promises: &[RetryPromise], now: Millis) -> PromiseSums {
        let from = self.grid.start(now + MIN_DELAY_MS + RESERVE_AHEAD_MS) + SLOT_MS;
        let until = now + HORIZON_MS;
        let has_room = self.reservations.len() < MAX_NODES;
        let (mut sums, mut reserved) = (PromiseSums::default(), Vec::new());
        for (service, ledger) in self.services.iter_mut().filter(|(_, l)| l.has_promises(now)) {
            let new = promises.iter().filter(|p| &p.service == service && is_near(p));
            // A quarter more, and one for a node that promised nothing, if there are enough.
            let wanted = match new.map(|p| p.count).fold(0, u32::saturating_add) {
                _ if !has_room => 0,
                0 if ledger.is_crowded(from, until, now) => 0,
                new => new.saturating_add(new / 4 + 1),
            };
            let due = ledger.due_before(now + MIN_DELAY_MS);
            sums.promises.extend(due.map(|(start, n)| entry(service, start, n, now)));
            let per_slot = ledger.per_slot(now) as f32;
            let most = per_slot.ceil() as u32;
            for (start, own) in ledger.reserve(wanted, from, until, now) {
                sums.promises.push(entry(service, start, most.saturating_sub(own), now));
                reserved.push((service.clone(), start, own));
            }
            sums.capacities.push(SlotCapacity { service: service.clone(), per_slot });
        }
        sums.promises.truncate(MAX_SUMS);
        if !reserved.is_empty() {
            let reservation = Reservation { until: now + RESERVE_MS, places: reserved };
            self.reservations.insert(node.clone(), reservation);
        }
        sums
    }
}

/// # Internals
impl RetryBook {
    /// Ledger of a service, unless there are too many services. Services that are no longer in use
    /// make room for others.
    fn ledger(&mut self, service: &Name, now: Millis) -> Option<&mut RetryLedger> {
        if !self.services.contains_key(service) {
            if self.services.len() >= MAX_SERVICES {
                self.services.retain(|_, ledger| {
                    ledger.expire(now);
                    !ledger.is_idle(now)
                });
            }
            if self.services.len() >= MAX_SERVICES {
                return None;
            }
            self.services.insert(service.clone(), RetryLedger::default());
        }
        self.services.get_mut(service)
    }
}

/// Whether the slot that starts at `start` is too near for a promise at `now`.
fn is_past_promise(start: Millis, now: Millis) -> bool {
    start + SLOT_MS <= now + MIN_DELAY_MS
}

fn entry(service: &Name, start: Millis, count: u32, now: Millis) -> RetryPromise {
    RetryPromise { service: service.clone(), in_ms: start.saturating_sub(now), count }
}

/// Whether a promise is within the horizon.
fn is_near(promise: &RetryPromise) -> bool {
    promise.in_ms <= HORIZON_MS + SLOT_MS
}

fn check_size(got: usize, most: usize) -> Result<(), PromiseError> {
    if got <= most { Ok(()) } else { Err(PromiseError::TooLarge { most, got }) }
}

fn check_age(got: Millis) -> Result<(), PromiseError> {
    let most = MAX_ANSWER_MS;
    if got <= most { Ok(()) } else { Err(PromiseError::Old { most, got }) }
}
