//! Claims on idempotency keys, by compare-and-swap in the platform's key-value service.
//!
//! A key is claimed once, by one incarnation of one node, and a claim is never taken over, so a
//! paused owner does no harm and no upstream needs to check a fence. Claims on the same page are
//! committed together. A lost answer to a write is resolved by reading the page back: a claim is
//! granted only once its own nonce has been read from the page.

use std::collections::{HashMap, VecDeque};

use heathpitch_core::{Incarnation, Millis, Name, Revision};

use crate::claims_page::MAX_CLAIMS;
use crate::switch::{Mechanism, on};
use crate::{ClaimEntry, ClaimPage};

/// Time for which a claim may wait for the platform.
const CLAIM_TIMEOUT_MS: Millis = 2_000;
/// Time before the platform is called again after a failure.
const RETRY_DELAY_MS: Millis = 100;
/// Bounds the claims that wait on one node.
const MAX_WAITING: usize = 10_000;
/// Bounds the pages kept in memory.
const MAX_PAGES: usize = 16;

/// Input to [`Claims`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// A request claims its key.
    Claim {
        /// Identifies the request in the answer.
        id: u64,
        /// Digest of client account and key.
        digest: Name,
        /// Digest of the request body.
        body: u64,
        /// Random number that identifies this claim.
        nonce: u64,
    },
    /// A page was read; `None` if it does not exist yet.
    Read(u32, Revision, Option<ClaimPage>),
    /// A read failed.
    ReadFailed(u32),
    /// A write took effect.
    Written(u32, Revision),
    /// A write was rejected because the page had changed.
    Conflict(u32),
    /// A write may or may not have taken effect, or was refused.
    WriteUnknown(u32),
    /// Time passed.
    Tick,
}

/// Output of [`Claims`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Read a page.
    Read(u32),
    /// Write a page, on condition that it still has this revision.
    Write(u32, Revision, ClaimPage),
    /// Answer a request.
    Answer(u64, Verdict),
}

/// Result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The key belongs to this request, which may be dispatched once.
    Granted,
    /// The key was claimed before, by this entry.
    Taken(ClaimEntry),
    /// The platform did not answer in time; the request must not be dispatched.
    Unavailable,
    /// The page is full.
    Full,
}

#[derive(Clone, Debug)]
struct Waiting {
    id: u64,
    digest: Name,
    entry: ClaimEntry,
    since: Millis,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Call {
    #[default]
    None,
    Reading,
    Writing,
    Paused(Millis),
}

#[derive(Clone, Debug, Default)]
struct Slot {
    known: Option<(Revision, ClaimPage)>,
    waiting: VecDeque<Waiting>,
    call: Call,
    used: Millis,
}

/// The claims of one node incarnation.
#[derive(Debug)]
pub struct Claims {
    node: Name,
    incarnation: Incarnation,
    slots: HashMap<u32, Slot>,
    count: usize,
}

/// # Construction
impl Claims {
    /// Creates the claims of this node incarnation.
    pub fn new(node: Name, incarnation: Incarnation) -> Self {
        Self { node, incarnation, slots: HashMap::new(), count: 0 }
    }

    /// Number of claims that wait for the platform.
    pub fn waiting(&self) -> usize {
        self.count
    }
}

/// # Events
impl Claims {
    /// Handles an event at `now`, with the wall-clock time, and returns the resulting actions.
    pub fn on(&mut self, event: ClaimEvent, now: Millis, wall: Millis) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        match event {
            ClaimEvent::Claim { id, digest, body, nonce } => {
                self.claim(id, digest, body, nonce, now, wall, &mut actions);
            }
            ClaimEvent::Read(page, revision, content) => {
                self.read(page, revision, content.unwrap_or_default(), &mut actions);
            }
            ClaimEvent::Written(page, revision) => self.written(page, revision, &mut actions),
            ClaimEvent::Conflict(page) => self.forget(page, Call::None),
            ClaimEvent::WriteUnknown(page) if !on(Mechanism::ClaimReadBack) => {
                let revision = self.slots.get(&page).and_then(|s| s.known.as_ref()).map(|k| k.0);
                self.written(page, revision.unwrap_or_default(), &mut actions);
            }
            ClaimEvent::ReadFailed(page) | ClaimEvent::WriteUnknown(page) => {
                self.forget(page, Call::Paused(now + RETRY_DELAY_MS));
            }
            ClaimEvent::Tick => self.expire(now, &mut actions),
        }
        self.start(now, wall, &mut actions);
        self.evict();
        actions
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one event and its two times")]
    fn claim(
        &mut self,
        id: u64,
        digest: Name,
        body: u64,
        nonce: u64,
        now: Millis,
        wall: Millis,
        actions: &mut Vec<ClaimAction>,
    ) {
        let slot = self.slots.entry(ClaimPage::page_number(&digest)).or_default();
        slot.used = now;
        let existing = match (slot.call, &slot.known) {
            (Call::Writing, _) | (_, None) => None,
            (_, Some((_, page))) => page.entries.get(&digest),
        };
        match existing {
            Some(entry) => {
                actions.push(ClaimAction::Answer(id, Verdict::Taken(entry.clone())));
            }
            None if self.count >= MAX_WAITING => {
                actions.push(ClaimAction::Answer(id, Verdict::Unavailable));
            }
            None => {
                let (node, incarnation) = (self.node.clone(), self.incarnation);
                let entry = ClaimEntry { node, incarnation, nonce, at: wall, body };
                slot.waiting.push_back(Waiting { id, digest, entry, since: now });
                self.count += 1;
            }
        }
    }

    /// Answers the claims that the page decides; the others wait for the next write.
    fn read(
        &mut self,
        page: u32,
        revision: Revision,
        content: ClaimPage,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(slot) = self.slots.get_mut(&page) else {
            return;
        };
        slot.call = Call::None;
        let before = slot.waiting.len();
        slot.waiting.retain(|w| match content.entries.get(&w.digest) {
            Some(e) if *e == w.entry => {
                actions.push(ClaimAction::Answer(w.id, Verdict::Granted));
                false
            }
            Some(e) => {
                actions.push(ClaimAction::Answer(w.id, Verdict::Taken(e.clone())));
                false
            }
            None => true,
        });
        self.count -= before - slot.waiting.len();
        slot.known = Some((revision, content));
    }

    /// The page now holds what was written, which decides the claims that it includes.
    fn written(&mut self, page: u32, revision: Revision, actions: &mut Vec<ClaimAction>) {
        let known = self.slots.get_mut(&page).and_then(|s| s.known.take());
        if let Some((_, content)) = known {
            self.read(page, revision, content, actions);
        }
    }

    fn forget(&mut self, page: u32, call: Call) {
        if let Some(slot) = self.slots.get_mut(&page) {
            slot.known = None;
            slot.call = call;
        }
    }

    fn expire(&mut self, now: Millis, actions: &mut Vec<ClaimAction>) {
        for slot in self.slots.values_mut() {
            while let Some(w) = slot.waiting.pop_front_if(|w| now >= w.since + CLAIM_TIMEOUT_MS) {
                self.count -= 1;
                actions.push(ClaimAction::Answer(w.id, Verdict::Unavailable));
            }
        }
    }

    fn start(&mut self, now: Millis, wall: Millis, actions: &mut Vec<ClaimAction>) {
        let mut pages: Vec<_> = self.slots.iter_mut().collect();
        pages.sort_unstable_by_key(|(page, _)| **page);
        for (page, slot) in pages {
            let free = match slot.call {
                Call::None => true,
                Call::Paused(until) => now >= until,
                Call::Reading | Call::Writing => false,
            };
            match &mut slot.known {
                _ if !free || slot.waiting.is_empty() => {}
                None => {
                    slot.call = Call::Reading;
                    actions.push(ClaimAction::Read(*page));
                }
                Some((revision, content)) => {
                    content.prune(wall);
                    let room = MAX_CLAIMS.saturating_sub(content.entries.len());
                    for w in slot.waiting.iter().take(room) {
                        content.entries.entry(w.digest.clone()).or_insert(w.entry.clone());
                    }
                    let rejected = slot.waiting.split_off(room.min(slot.waiting.len()));
                    self.count -= rejected.len();
                    let full = |w: &Waiting| ClaimAction::Answer(w.id, Verdict::Full);
                    actions.extend(rejected.iter().map(full));
                    if !slot.waiting.is_empty() {
                        slot.call = Call::Writing;
                        actions.push(ClaimAction::Write(*page, *revision, content.clone()));
                    }
                }
            }
        }
    }

    /// Evicts the least recently used idle pages beyond `MAX_PAGES`.
    fn evict(&mut self) {
        let idle =
            |s: &Slot| s.waiting.is_empty() && !matches!(s.call, Call::Reading | Call::Writing);
        while self.slots.len() > MAX_PAGES {
            let oldest = self.slots.iter().filter(|(_, s)| idle(s)).min_by_key(|(_, s)| s.used);
            match oldest.map(|(page, _)| *page) {
                Some(page) => self.slots.remove(&page),
                None => return,
            };
        }
    }
}
