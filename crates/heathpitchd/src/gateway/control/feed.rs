//! Controller of what this node hears from others instead of the store.
//!
//! A few nodes of a failure domain read the store; the others ask them for changes of engines, the
//! configuration and the age of its proof. Whom to ask, and when a node reads the store itself, is decided
//! by [`Sources`](heathpitch_policy::Sources).
//!
//! What is heard counts from the moment at which it was asked for, so that neither a slow link nor
//! a source that stood still makes it look newer than it is.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use heathpitch_core::{Millis, Name};
use heathpitch_net::{
    FeedClient, FeedCursor, FeedEngines, FeedNotices, FeedRequest, FeedResponse, Item,
    NoticeCursor, RpcError, inflate_bytes, unpack,
};
use heathpitch_policy::{DomainPlanner, PollOutcome, Source};
use rand::seq::IndexedRandom;

use super::state::{Control, Fleet};
use super::{config, engines, nodes, reports};
use crate::gateway::shared::record_proof;

/// Time between two questions: a small part of the time for which a leaving engine may still be
/// sent work, and 175 questions a second for a planner with 70 followers.
const ASK: Duration = Duration::from_millis(400);
/// The same while nobody tells, and when what was told last is about to be too old.
const ASK_SOON: Duration = Duration::from_millis(60);
/// Time for a connection and for an answer: many times the delay inside a failure domain.
const LIMIT: Duration = Duration::from_millis(300);
/// Time for an answer that may hold all engines and the configuration: 100 kB on a link of 20 Mbit/s take
/// 40 ms, and sixty nodes may ask at once.
const LIMIT_WHOLE: Duration = Duration::from_millis(1_000);
/// Age beyond which a proof of the configuration is not told, milliseconds: one and a half of a planner's
/// proofs, and below the age up to which calls are denied.
pub(super) const PROOF_OLD: Millis = 1_600;
/// Age beyond which a list of engines is not told, milliseconds: two watches, with a change
/// at the end of the first one and the time to gather changes between them. With the limit of a
/// question and a read of the list (1.9 s) below the shortest time for which a leaving engine may be
/// sent work. A proof of the configuration says nothing of the list.
pub(super) const LIST_OLD: Millis = 1_500;

/// What this node and one that it asks have told each other of engines.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct NewsMarks {
    /// Up to where the other one knows what this node does.
    told: NoticeCursor,
    /// Up to where this node knows what the other one does.
    known: NoticeCursor,
}

impl NewsMarks {
    /// Takes the answer to a question that told up to `told`.
    pub(super) fn answered(&mut self, told: NoticeCursor, answer: &FeedResponse) {
        *self = Self { told, known: answer.notice_cursor };
    }
}

/// The source followed, and what was told so far.
#[derive(Default)]
struct Followed {
    node: Option<Name>,
    client: Option<FeedClient>,
    known: FeedCursor,
    news: NewsMarks,
    /// Until when the list of engines that was told last is young enough.
    until: Millis,
}

impl Followed {
    /// Time to the next question: before the list is too old, so that one told at the end of its
    /// time is not kept for another while.
    fn pause(&self, control: &Control) -> Duration {
        let left = Duration::from_millis(self.until.saturating_sub(control.now()));
        match () {
            () if control.fed() => left.clamp(ASK_SOON, ASK),
            () if control.plans() => ASK,
            () => ASK_SOON,
        }
    }
}

/// Asks one source after the other until one tells, again and again.
pub(super) async fn follow(control: Rc<Control>) {
    let mut followed = Followed::default();
    loop {
        tokio::time::sleep(followed.pause(&control)).await;
        round(&control, &mut followed).await;
        control.look_at_turn();
    }
}

async fn round(control: &Rc<Control>, followed: &mut Followed) {
    if control.sources.borrow().knows_no_planner() {
        ask_seed(control).await;
    }
    while let Some(source) = control.next_source() {
        let heard = hear(control, followed, &source).await;
        control.heard(&source.node, heard);
        if heard == PollOutcome::Fresh {
            return;
        }
    }
    control.silent();
}

/// Asks one of the seeds who plans; lists and the configuration are left to planners.
async fn ask_seed(control: &Control) {
    let Some(seed) = control.seeds.choose(&mut rand::rng()) else { return };
    let (ask, _) = control.question(FeedCursor::default(), &NewsMarks::default(), true);
    let sent = control.now();
    let answer = async { FeedClient::open(seed.address, LIMIT).await?.poll(&ask, LIMIT).await };
    match answer.await {
        Ok(told) => {
            take_nodes(control, seed, &told);
            control.hear_news(&told.notices, sent, &seed.node);
        }
        Err(e) => log::info!("seed {} does not tell: {e}", seed.address),
    }
}

async fn hear(control: &Rc<Control>, followed: &mut Followed, source: &Source) -> PollOutcome {
    let begun = control.now();
    let answer = ask(control, followed, source).await;
    let label = if answer.is_ok() { "ok" } else { "failed" };
    control.shared.metrics.feed.with_label_values(&[label]).inc();
    match answer {
        Ok((sent, told)) => take(control, followed, source, sent, told),
        Err(e) => {
            *followed = Followed::default();
            log::info!("node {} does not tell: {e}", source.node);
            // A VM that refuses connections starts or restarts, and answers soon.
            match control.now().saturating_sub(begun) {
                took if took < LIMIT.as_millis() as Millis => PollOutcome::Declined,
                _ => PollOutcome::NoAnswer,
            }
        }
    }
}

/// Asks on the kept connection, or on a new one; gives also when that was.
async fn ask(
    control: &Control,
    followed: &mut Followed,
    source: &Source,
) -> Result<(Millis, FeedResponse), RpcError> {
    if followed.node.as_ref() != Some(&source.node) {
        *followed = Followed { node: Some(source.node.clone()), ..Followed::default() };
    }
    let (ask, told_to) = control.question(followed.known, &followed.news, false);
    if let Some(client) = &followed.client {
        let sent = control.now();
        match client.poll(&ask, LIMIT).await {
            Ok(told) => {
                followed.news.answered(told_to, &told);
                return Ok((sent, told));
            }
            Err(e) => log::info!("the connection to node {} was lost: {e}", source.node),
        }
    }
    followed.client = None;
    let client = FeedClient::open(source.address, LIMIT).await?;
    let sent = control.now();
    let limit = if followed.known.serial == 0 { LIMIT_WHOLE } else { LIMIT };
    let told = client.poll(&ask, limit).await?;
    followed.news.answered(told_to, &told);
    followed.client = Some(client);
    Ok((sent, told))
}

/// Takes what was told in answer to a question sent at `sent`.
fn take(
    control: &Rc<Control>,
    followed: &mut Followed,
    source: &Source,
    sent: Millis,
    told: FeedResponse,
) -> PollOutcome {
    take_nodes(control, source, &told);
    control.hear_news(&told.notices, sent, &source.node);
    let proven = sent.saturating_sub(told.entries_age_ms);
    let own = control.shared.list_freshness.load().at();
    // One who is asked for everything and tells no change has the same.
    let same = told.engines == FeedEngines::default();
    // A newer one was acknowledged, whatever the store says of it now.
    if let Some(config) = &told.config
        && let Err(e) = adopt(control, config)
    {
        log::warn!("the configuration that node {} tells cannot be read: {e}", source.node);
        return PollOutcome::Declined;
    }
    if !told.fresh || !control.sources.borrow().accepts(&source.node, proven, own, same) {
        return PollOutcome::Declined;
    }
    if let Err(e) = take_engines(control, &told.engines) {
        log::warn!("the engines that node {} tells cannot be read: {e}", source.node);
        return PollOutcome::Declined;
    }
    followed.known = told.cursor;
    reports::hear(control, &told.reports, sent);
    record_proof(&control.shared.list_freshness, proven);
    followed.until = proven + LIST_OLD;
    if control.revision() >= told.revision {
        record_proof(&control.shared.config_freshness, sent.saturating_sub(told.config_age_ms));
    }
    PollOutcome::Fresh
}

/// Takes what a node tells of nodes, which it may know though it does not hear from the store.
fn take_nodes(control: &Control, source: &Source, told: &FeedResponse) {
    for p in &told.planners {
        let source = Source { node: p.node.clone(), address: p.address };
        nodes::meet(control, &p.domain, DomainPlanner { source, revision: p.revision });
    }
    let near = control.sources.borrow().is_local(&source.node);
    if near {
        let standbys = told.standbys.iter();
        let standbys =
            standbys.map(|(node, address)| Source { node: node.clone(), address: *address });
        control.sources.borrow_mut().set_standbys(standbys.collect());
    }
    if near && told.planner_released {
        control.vacate();
    }
    if told.fleet_size > 0 {
        let known = control.fleet.get().map(|f| f.beside).filter(|_| !near);
        let fleet = Fleet { nodes: told.fleet_size, beside: known.unwrap_or(told.domain_size) };
        if control.fleet.replace(Some(fleet)) != Some(fleet) {
            control.publish();
        }
    }
}

fn adopt(control: &Control, deflated: &Item) -> Result<(), RpcError> {
    let value = inflate_bytes(&deflated.value)?.into();
    config::adopt(control, &Item { value, ..deflated.clone() });
    Ok(())
}

fn take_engines(control: &Control, told: &FeedEngines) -> Result<(), RpcError> {
    let (items, gone) = match told {
        FeedEngines::Whole(packed) => {
            let items = unpack(packed)?;
            let kept: HashSet<Name> =
                items.iter().filter_map(|i| engines::id(control, &i.key)).collect();
            let entries = control.entries.borrow();
            let gone = entries.keys().filter(|id| !kept.contains(*id)).cloned().collect();
            (items, gone)
        }
        FeedEngines::Changes { items, gone } => {
            let gone: Vec<Name> = gone.iter().filter_map(|key| engines::id(control, key)).collect();
            (items.clone(), gone)
        }
    };
    if items.is_empty() && gone.is_empty() {
        return Ok(());
    }
    engines::put_all(control, &items);
    gone.iter()
        .for_each(|id| engines::remove(control, id, "the node that tells lists it no longer"));
    control.publish();
    Ok(())
}

/// # Feed
impl Control {
    /// A question to another node, and up to where it tells what this one learned of engines.
    pub(super) fn question(
        &self,
        known: FeedCursor,
        marks: &NewsMarks,
        reports: bool,
    ) -> (FeedRequest, NoticeCursor) {
        let settings = self.shared.settings.load();
        let (news, told) = self.news_since(marks.told);
        let ask = FeedRequest {
            node: settings.node.clone(),
            address: self.shared.peer.unwrap_or(settings.listen),
            able: nodes::is_able(&settings),
            revision: self.revision(),
            version: self.version(),
            digest: self.mirror.borrow().digest(),
            cursor: known,
            reports_only: reports,
            notices: news,
            notice_cursor: marks.known,
        };
        (ask, told)
    }

    /// What others have not heard who know this node's news up to `known`; and up to where they do then.
    pub(super) fn news_since(&self, known: NoticeCursor) -> (FeedNotices, NoticeCursor) {
        let known = if known.incarnation == self.life { known } else { NoticeCursor::default() };
        let (ends, ended) = self.ends_since(known.exits);
        let (leaves, left) = self.leaves_since(known.drains);
        let (limits, limited) = self.limits_since(known.limits);
        let mark =
            NoticeCursor { incarnation: self.life, exits: ended, drains: left, limits: limited };
        (FeedNotices { exits: ends, drains: leaves, limits }, mark)
    }

    /// Takes what another node told in a message that was sent at `sent` or later.
    pub(super) fn hear_news(&self, news: &FeedNotices, sent: Millis, by: &Name) {
        self.hear_ends(&news.exits, sent, by);
        self.hear_leaves(&news.drains, sent);
        self.hear_limits(&news.limits, sent);
    }
}
