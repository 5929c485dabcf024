//! Controller of the exchange between planners of different failure domains: load reports of their engines, and
//! the number of their nodes.
//!
//! A full domain sends streams to the others. Without reports of engines there, its nodes know only the load
//! they sent themselves: at twice the usual load three domains then filled each other's engines completely, and
//! only one stream in four began in time.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use heathpitch_core::{Millis, Name};
use heathpitch_net::{FeedClient, FeedCursor, FeedRequest, FeedResponse, RpcError};
use heathpitch_policy::Source;

use super::feed::NoticeCursors;
use super::reports;
use super::state::Control;
use crate::gateway::event::GatewayEvent;

/// Time between polls, equal to that between status queries to engines that are filling up. Each answer takes
/// about 2 kB of the link between failure domains.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a connection and of an answer, many times the delay between failure domains.
const POLL_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between two requests for nodes that take calls of others.
const FORWARDERS_INTERVAL_MS: Millis = 1_000;
/// Time until a planner that did not answer is polled again.
const RETRY_INTERVAL_MS: Millis = 1_500;

/// A planner of another failure domain.
struct Neighbour {
    planner: Source,
    /// Whether it answered the last poll.
    answers: bool,
    client: Option<FeedClient>,
    cursor: FeedCursor,
    notices: NoticeCursors,
    /// Time of the next poll.
    next: Millis,
    /// Time of the next request for nodes that take calls of others.
    forwarders_at: Option<Millis>,
}

/// Polls the planners of the other failure domains while this node is planner or reads the store. The latter
/// keeps notices of exited engines flowing to the other domains while this one has no planner.
pub(super) async fn follow(control: Rc<Control>) {
    let mut neighbours: HashMap<Name, Neighbour> = HashMap::new();
    loop {
        let active =
            || (control.is_planner() || control.reads_store()) && control.shared.peer.is_some();
        while !active() {
            neighbours.clear();
            control.role_changed.notified().await;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        add_planners(&control, &mut neighbours);
        let now = control.now();
        let due = neighbours.iter_mut().filter(|(_, n)| now >= n.next);
        join_all(due.map(|(domain, n)| poll_neighbour(&control, domain, n))).await;
    }
}

/// Adds or replaces neighbours whose planner is new.
fn add_planners(control: &Control, neighbours: &mut HashMap<Name, Neighbour>) {
    let own = control.domain();
    for (domain, planner) in control.sources.borrow().planners().filter(|(d, _)| **d != own) {
        if neighbours.get(domain).is_none_or(|n| n.planner != planner.source) {
            let neighbour = Neighbour {
                planner: planner.source.clone(),
                answers: false,
                client: None,
                cursor: FeedCursor::default(),
                notices: NoticeCursors::default(),
                next: 0,
                forwarders_at: None,
            };
            neighbours.insert(domain.clone(), neighbour);
        }
    }
}

async fn poll_neighbour(control: &Control, domain: &Name, neighbour: &mut Neighbour) {
    let sent = control.now();
    let result = poll(control, neighbour).await;
    match &result {
        Ok(response) => apply(control, domain, neighbour, response, sent),
        Err(_) => neighbour.next = control.now() + RETRY_INTERVAL_MS,
    }
    if neighbour.answers != result.is_ok() {
        neighbour.answers = result.is_ok();
        let error = result.err().map(|e| e.to_string());
        let (planner, domain) = (neighbour.planner.node.clone(), domain.clone());
        GatewayEvent::NeighbourChanged { planner, domain, error }.log();
    }
}

fn apply(
    control: &Control,
    domain: &Name,
    neighbour: &mut Neighbour,
    response: &FeedResponse,
    sent: Millis,
) {
    neighbour.cursor = response.cursor;
    if response.domain_size > 0 {
        control.domain_sizes.borrow_mut().insert(domain.clone(), response.domain_size);
    }
    control.receive_remote_forwarders(domain, &response.forwarders);
    reports::receive(control, &response.reports, sent);
    control.record_notices(&response.notices, sent, &neighbour.planner.node);
}

/// Polls on the kept connection, or on a new one; a connection without an answer is dropped.
async fn poll(control: &Control, neighbour: &mut Neighbour) -> Result<FeedResponse, RpcError> {
    let client = match neighbour.client.take() {
        Some(client) => client,
        None => FeedClient::open(neighbour.planner.address, POLL_TIMEOUT).await?,
    };
    let (request, sent_to) = control.feed_request(neighbour.cursor, &neighbour.notices, true);
    let wants_forwarders = neighbour.forwarders_at.is_none_or(|at| control.now() >= at);
    let to = Some(neighbour.planner.node.clone());
    let request = FeedRequest { to, wants_forwarders, ..request };
    let response = client.poll(&request, POLL_TIMEOUT).await?;
    if wants_forwarders {
        neighbour.forwarders_at = Some(control.now() + FORWARDERS_INTERVAL_MS);
    }
    neighbour.notices.advance(sent_to, &response);
    neighbour.client = Some(client);
    Ok(response)
}
