//! Controller of what engines ask for in their answers.
//!
//! Rest is for this node alone and binds by [`Backpressure`](heathpitch_policy::Backpressure), which traffic shares. That an
//! engine leaves is for all: it is taken as its entry's word would be, told to other nodes with each question
//! and answer of the feed, and outlives the entry, which may be behind.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use heathpitch_core::{EngineEntry, EntryState, Millis};
use heathpitch_net::{AdvertisedLimit, BackpressureSignal, EngineResponse, FeedDrain, RpcError};
use heathpitch_policy::{Backpressure, EngineIncarnation};

use super::state::Control;
use super::{engines, rights};
use crate::gateway::backpressure::ResponseInfo;
use crate::gateway::event::GatewayEvent;
use crate::gateway::quarantine_snapshot::incarnation_of;

/// Engines told in one message, some forty bytes each.
const TOLD_MOST: usize = 256;
/// Time between two looks at engines that said they leave and are still there; each is asked once in it.
const TICK: Duration = Duration::from_secs(5);

/// # What engines say to this node
impl Control {
    /// Takes note of what an engine asks for in an answer to this node's own question, and gives what it says.
    pub(super) fn heed<T>(
        &self,
        engine: &EngineEntry,
        of: &'static str,
        sent: Millis,
        answer: EngineResponse<T>,
    ) -> T {
        let EngineResponse { value, status, backpressure: asked } = answer;
        let wish = self.wish_of(engine);
        let limit = match asked.limit {
            // Until one did, nothing says that answers to questions name it as those to calls do.
            AdvertisedLimit::Unlimited if !wish.limit().is_in_probes() => AdvertisedLimit::Unknown,
            word => word,
        };
        if matches!(limit, AdvertisedLimit::Limited(_)) {
            wish.limit().set_in_probes();
        }
        let asked = BackpressureSignal { limit, ..asked };
        let heard = ResponseInfo { engine, of, status, sent };
        if self.shared.record_backpressure(heard, asked, &wish) {
            self.engine_leaves(&incarnation_of(engine));
        }
        value
    }

    /// What an engine asked this node for.
    pub(super) fn wish_of(&self, engine: &EngineEntry) -> Arc<Backpressure> {
        let mut wishes = self.wishes.borrow_mut();
        wishes.entry(engine.id.clone()).or_insert_with(|| self.new_wish(engine)).clone()
    }

    /// What an engine that this node has not asked yet said to others.
    pub(super) fn new_wish(&self, engine: &EngineEntry) -> Arc<Backpressure> {
        let wish = Backpressure::default();
        let (life, limits) = (incarnation_of(engine), self.limits.borrow());
        if let Some((rate, at)) = limits.of(&life) {
            wish.limit().learn(Some(rate), at);
        }
        if limits.is_in_probes(&life) {
            wish.limit().set_in_probes();
        }
        Arc::new(wish)
    }

    /// Asks an engine whether it takes new work; none if it wants no questions now either, since a check takes
    /// a slot as calls do.
    pub(super) async fn check(
        &self,
        engine: &EngineEntry,
        path: &str,
    ) -> Option<Result<EngineResponse<bool>, RpcError>> {
        let mut right = rights::right(self, engine).await.ok()?;
        let entered = self.wish_of(engine).admit_probe(right.as_mut(), self.now())?;
        let sent = self.now();
        let answer = self.edges.orders.healthy(engine, path).await;
        drop(entered);
        Some(answer.inspect(|answer| {
            self.heed(engine, "check", sent, *answer);
        }))
    }

    /// An engine said in an answer to this node that it leaves.
    pub(super) fn engine_leaves(&self, life: &EngineIncarnation) {
        if self.leave_by_word(life, 0, "its own answer") {
            self.publish();
        }
    }

    /// Takes such a word of `age` ago, as `by` tells; gives whether a listed engine leaves by it that did not before.
    fn leave_by_word(&self, life: &EngineIncarnation, age: Millis, by: &'static str) -> bool {
        if !self.leavers.borrow_mut().learn(life.clone(), age, self.now()) {
            return false;
        }
        GatewayEvent::EngineDraining { engine: life.engine.clone(), age_ms: age, by }.log();
        let listed = self.entries.borrow().get(&life.engine).cloned();
        let Some(entry) = listed.filter(|e| e.born == life.born) else { return false };
        if entry.state == EntryState::Leaving {
            return false;
        }
        let entry = EngineEntry { state: EntryState::Leaving, ..(*entry).clone() };
        self.entries.borrow_mut().insert(life.engine.clone(), Arc::new(entry));
        self.leaving.borrow_mut().insert(life.engine.clone(), self.now());
        true
    }
}

/// # What nodes tell each other
impl Control {
    /// Engines that leave by their own word, which others have not heard who know them up to `serial`; and up to
    /// where they do then.
    pub(super) fn leaves_since(&self, serial: u64) -> (Vec<FeedDrain>, u64) {
        let (new, upto) = self.leavers.borrow().since(serial, TOLD_MOST, self.now());
        let told = new.into_iter().map(|(life, age_ms)| FeedDrain {
            engine: life.engine,
            born: life.born,
            age_ms,
        });
        (told.collect(), upto)
    }

    /// Takes what another node told in a message that was sent at `sent` or later.
    pub(super) fn hear_leaves(&self, leaves: &[FeedDrain], sent: Millis) {
        let late = self.now().saturating_sub(sent);
        let mut changed = false;
        for told in leaves {
            let life = EngineIncarnation { engine: told.engine.clone(), born: told.born };
            changed |= self.leave_by_word(&life, told.age_ms + late, "another node");
        }
        if changed {
            self.publish();
        }
    }
}

/// Asks engines that are still there long after they said that they leave, for as long as this node runs.
pub(super) async fn run(control: Rc<Control>) {
    loop {
        tokio::time::sleep(TICK).await;
        control.leavers.borrow_mut().expire(control.now());
        let doubtful = control.leavers.borrow().due_for_recheck(control.now());
        for life in doubtful {
            ask_again(&control, &life).await;
        }
    }
}

/// Asks an engine which the store lists as ready whether it leaves; its check says so, as all its answers do.
async fn ask_again(control: &Control, life: &EngineIncarnation) {
    let entry = control.entries.borrow().get(&life.engine).cloned();
    let Some(entry) = entry.filter(|e| e.born == life.born) else { return };
    if !engines::is_listed_ready(control, &entry.id) {
        return;
    }
    let Some(service) = control.service(&entry.service) else { return };
    match control.check(&entry, &service.health_path).await {
        Some(Ok(answer)) if answer.value && !answer.backpressure.draining => {}
        Some(Ok(_)) | None => return,
        Some(Err(e)) => return log::info!("engine {} does not answer its check: {e}", entry.id),
    }
    control.leavers.borrow_mut().cancel(life, control.now());
    control.wish_of(&entry).cancel_drain();
    let ready = EngineEntry { state: EntryState::Ready, ..(*entry).clone() };
    control.entries.borrow_mut().insert(entry.id.clone(), Arc::new(ready));
    control.leaving.borrow_mut().remove(&entry.id);
    GatewayEvent::EngineDrainCancelled { engine: entry.id.clone() }.log();
    control.publish();
}
