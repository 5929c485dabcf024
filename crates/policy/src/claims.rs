//! Claims on caller-chosen keys, by compare-and-swap in the platform's key-value service.
//!
//! A key is claimed once, by one life of one node, and nobody takes a claim over; so a paused
//! owner cannot hurt and no upstream needs to check a fence. Claims on the same page are committed
//! together. An answer that was lost is resolved by reading the page back: a claim is granted only
//! once its own nonce was seen to stand.

use std::collections::{HashMap, VecDeque};

use heathpitch_core::{Incarnation, Millis, Name, Revision};

use crate::claims_page::MAX_CLAIMS;
use crate::switch::{Mechanism, on};
use crate::{ClaimEntry, ClaimPage};

/// Time a claim may wait for the platform, milliseconds.
const CLAIM_TIMEOUT_MS: Millis = 2_000;
/// Time to wait before the platform is tried again, milliseconds.
const PAUSE: Millis = 100;
/// Claims waiting on one node.
const MAX_WAITING: usize = 10_000;
/// Pages kept in memory.
const MAX_PAGES: usize = 16;

/// Something that happened to a claim or a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// A request asks for its key.
    Ask {
        /// Number that the answer carries.
        id: u64,
        /// Digest of account and key.
        digest: Name,
        /// Digest of the body.
        body: u64,
        /// Number drawn for this claim.
        nonce: u64,
    },
    /// A page was read; none if it does not exist yet.
    Read(u32, Revision, Option<ClaimPage>),
    /// A read failed.
    ReadFailed(u32),
    /// A write took effect.
    Written(u32, Revision),
    /// A write was refused because the page had changed.
    Conflict(u32),
    /// A write may or may not have taken effect, or was turned away.
    Unsure(u32),
    /// Time passed.
    Tick,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Read a page.
    Read(u32),
    /// Write a page if it still has this revision.
    Write(u32, Revision, ClaimPage),
    /// Answer a request.
    Answer(u64, Verdict),
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The key is this request's; it may be dispatched once.
    Granted,
    /// The key was claimed before.
    Taken(ClaimEntry),
    /// The platform did not answer in time; nothing may be dispatched.
    Unavailable,
    /// The page has no room.
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

/// The claims of one node life.
#[derive(Debug)]
pub struct Claims {
    node: Name,
    life: Incarnation,
    slots: HashMap<u32, Slot>,
    count: usize,
}

/// # Construction
impl Claims {
    /// Claims made in the name of this life.
    pub fn new(node: Name, life: Incarnation) -> Self {
        Self { node, life, slots: HashMap::new(), count: 0 }
    }

    /// Claims that wait for the platform.
    pub fn waiting(&self) -> usize {
        self.count
    }
}

/// # Events
impl Claims {
    /// Takes an event at `now`, with the wall-clock time, and gives the actions that follow.
    pub fn on(&mut self, event: ClaimEvent, now: Millis, wall: Millis) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        match event {
            ClaimEvent::Ask { id, digest, body, nonce } => {
                self.ask(id, digest, body, nonce, now, wall, &mut actions);
            }
            ClaimEvent::Read(page, revision, content) => {
                self.read(page, revision, content.unwrap_or_default(), &mut actions);
            }
            ClaimEvent::Written(page, revision) => self.written(page, revision, &mut actions),
            ClaimEvent::Conflict(page) => self.forget(page, Call::None),
            ClaimEvent::Unsure(page) if !on(Mechanism::ClaimReadBack) => {
                let revision = self.slots.get(&page).and_then(|s| s.known.as_ref()).map(|k| k.0);
                self.written(page, revision.unwrap_or_default(), &mut actions);
            }
            ClaimEvent::ReadFailed(page) | ClaimEvent::Unsure(page) => {
                self.forget(page, Call::Paused(now + PAUSE));
            }
            ClaimEvent::Tick => self.expire(now, &mut actions),
        }
        self.start(now, wall, &mut actions);
        self.evict();
        actions
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one event and its two times")]
    fn ask(
        &mut self,
        id: u64,
        digest: Name,
        body: u64,
        nonce: u64,
        now: Millis,
        wall: Millis,
        actions: &mut Vec<ClaimAction>,
    ) {
        let slot = self.slots.entry(ClaimPage::of(&digest)).or_default();
        slot.used = now;
        let standing = match (slot.call, &slot.known) {
            (Call::Writing, _) | (_, None) => None,
            (_, Some((_, page))) => page.entries.get(&digest),
        };
        match standing {
            Some(entry) => {
                actions.push(ClaimAction::Answer(id, Verdict::Taken(entry.clone())));
            }
            None if self.count >= MAX_WAITING => {
                actions.push(ClaimAction::Answer(id, Verdict::Unavailable));
            }
            None => {
                let (node, life) = (self.node.clone(), self.life);
                let entry = ClaimEntry { node, life, nonce, at: wall, body };
                slot.waiting.push_back(Waiting { id, digest, entry, since: now });
                self.count += 1;
            }
        }
    }

    /// Answers what the page decides; what it does not know waits for the next write.
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

    /// The page now is what was written, so reading it decides the claims that were in it.
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
                    let late = slot.waiting.split_off(room.min(slot.waiting.len()));
                    self.count -= late.len();
                    let full = |w: &Waiting| ClaimAction::Answer(w.id, Verdict::Full);
                    actions.extend(late.iter().map(full));
                    if !slot.waiting.is_empty() {
                        slot.call = Call::Writing;
                        actions.push(ClaimAction::Write(*page, *revision, content.clone()));
                    }
                }
            }
        }
    }

    /// Drops the longest unused idle pages beyond the bound.
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
