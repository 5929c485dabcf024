//! Kept connections to the planners of all failure domains, for requests that calls wait for.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use heathpitch_core::Name;
use heathpitch_net::{FeedClient, RpcError};
use heathpitch_policy::Source;
use tokio::sync::Mutex;

use super::state::Control;

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Address and connection of the last request to a planner. The lock is held while a connection is opened, so that
/// requests at the same time share one.
type KeptClient = Rc<Mutex<Option<(SocketAddr, Rc<FeedClient>)>>>;

/// Connections to planners, by failure domain.
#[derive(Default)]
pub(super) struct PlannerClients {
    kept: RefCell<HashMap<Name, KeptClient>>,
}

/// # Requests
impl Control {
    /// The planner of another failure domain or of this one, if it is known and nodes exchange requests.
    pub(super) fn planner_of(&self, domain: &Name) -> Option<Source> {
        self.shared.peer?;
        self.sources.borrow().planner(domain).map(|p| p.source.clone())
    }

    /// Sends a request to a planner, on a new connection if the kept one fails.
    pub(super) async fn ask_planner<T>(
        &self,
        domain: &Name,
        planner: &Source,
        send: impl AsyncFn(&FeedClient) -> Result<T, RpcError>,
    ) -> Result<T, RpcError> {
        let slot =
            self.planner_clients.kept.borrow_mut().entry(domain.clone()).or_default().clone();
        let (client, is_new) = client(&slot, planner.address).await?;
        match send(&client).await {
            Err(e) if !is_new => {
                log::info!("request to node {} failed: {e}", planner.node);
                forget(&slot, &client).await;
                let (client, _) = self::client(&slot, planner.address).await?;
                send(&client).await
            }
            Err(e) => {
                forget(&slot, &client).await;
                Err(e)
            }
            answered => answered,
        }
    }
}

/// The kept connection or a new one, and whether it is new.
async fn client(
    slot: &KeptClient,
    address: SocketAddr,
) -> Result<(Rc<FeedClient>, bool), RpcError> {
    let mut kept = slot.lock().await;
    if let Some((at, client)) = &*kept
        && *at == address
    {
        return Ok((client.clone(), false));
    }
    let client = Rc::new(FeedClient::open(address, CONNECT_TIMEOUT).await?);
    *kept = Some((address, client.clone()));
    Ok((client, true))
}

/// Drops a connection that failed, unless another one took its place.
async fn forget(slot: &KeptClient, failed: &Rc<FeedClient>) {
    let mut kept = slot.lock().await;
    if kept.as_ref().is_some_and(|(_, client)| Rc::ptr_eq(client, failed)) {
        *kept = None;
    }
}
