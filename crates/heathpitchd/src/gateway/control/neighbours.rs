//! Controller of what the planners of the failure domains tell each other: what their engines hold, and
//! how many nodes they tell.
//!
//! A domain without room sends streams to the others. Without their engines' reports its nodes know only
//! what they sent there themselves: at twice the usual load three domains filled each other's engines
//! to the last token, and one stream in four began in time.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use heathpitch_core::{Millis, Name};
use heathpitch_net::{FeedClient, FeedCursor, FeedResponse, RpcError};
use heathpitch_policy::Source;

use super::feed::NewsMarks;
use super::reports;
use super::state::Control;
use crate::gateway::event::GatewayEvent;

/// Time between two questions: that between two questions to engines that are filling up. Each
/// answer takes some 2 kB of the link between failure domains.
const ASK: Duration = Duration::from_millis(250);
/// Time for a connection and for an answer: many times the delay between failure domains.
const LIMIT: Duration = Duration::from_millis(200);
/// Time for which a planner that did not answer is not asked, milliseconds.
const REST: Millis = 1_500;

/// A planner of another failure domain.
struct Neighbour {
    planner: Source,
    /// Whether it answered last.
    answers: bool,
    client: Option<FeedClient>,
    known: FeedCursor,
    news: NewsMarks,
    /// When it is asked next.
    next: Millis,
}

/// Asks the planners of the other failure domains for as long as this node plans its own, or reads the store
/// for it: while a domain has no planner nobody else would tell the others of engines that end there.
pub(super) async fn follow(control: Rc<Control>) {
    let mut neighbours: HashMap<Name, Neighbour> = HashMap::new();
    loop {
        let asks = || (control.plans() || control.reads()) && control.shared.peer.is_some();
        while !asks() {
            neighbours.clear();
            control.turned.notified().await;
        }
        tokio::time::sleep(ASK).await;
        meet(&control, &mut neighbours);
        let now = control.now();
        let due = neighbours.iter_mut().filter(|(_, n)| now >= n.next);
        join_all(due.map(|(domain, n)| hear(&control, domain, n))).await;
    }
}

/// Takes note of planners that are new.
fn meet(control: &Control, neighbours: &mut HashMap<Name, Neighbour>) {
    let own = control.domain();
    for (domain, planner) in control.sources.borrow().planners().filter(|(d, _)| **d != own) {
        if neighbours.get(domain).is_none_or(|n| n.planner != planner.source) {
            let neighbour = Neighbour {
                planner: planner.source.clone(),
                answers: false,
                client: None,
                known: FeedCursor::default(),
                news: NewsMarks::default(),
                next: 0,
            };
            neighbours.insert(domain.clone(), neighbour);
        }
    }
}

async fn hear(control: &Control, domain: &Name, neighbour: &mut Neighbour) {
    let sent = control.now();
    let heard = ask(control, neighbour).await;
    match &heard {
        Ok(told) => take(control, domain, neighbour, told, sent),
        Err(_) => neighbour.next = control.now() + REST,
    }
    if neighbour.answers != heard.is_ok() {
        neighbour.answers = heard.is_ok();
        let error = heard.err().map(|e| e.to_string());
        let (planner, domain) = (neighbour.planner.node.clone(), domain.clone());
        GatewayEvent::NeighbourChanged { planner, domain, error }.log();
    }
}

fn take(
    control: &Control,
    domain: &Name,
    neighbour: &mut Neighbour,
    told: &FeedResponse,
    sent: Millis,
) {
    neighbour.known = told.cursor;
    if told.domain_size > 0 {
        control.besides.borrow_mut().insert(domain.clone(), told.domain_size);
    }
    reports::receive(control, &told.reports, sent);
    control.hear_news(&told.notices, sent, &neighbour.planner.node);
}

/// Asks on the kept connection, or on a new one; one without an answer is not kept.
async fn ask(control: &Control, neighbour: &mut Neighbour) -> Result<FeedResponse, RpcError> {
    let client = match neighbour.client.take() {
        Some(client) => client,
        None => FeedClient::open(neighbour.planner.address, LIMIT).await?,
    };
    let (ask, told_to) = control.question(neighbour.known, &neighbour.news, true);
    let told = client.poll(&ask, LIMIT).await?;
    neighbour.news.answered(told_to, &told);
    neighbour.client = Some(client);
    Ok(told)
}
