//! The platform over HTTP and JSON.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use heathpitch_core::{Millis, Name, Revision};
use hyper::Method;
use serde::{Deserialize, Serialize};

use crate::client::parse;
use crate::{Client, Lease, PlatformClient, PutError, RpcError, Stored, VmList};

/// Time for a call that does not wait.
const QUICK: Duration = Duration::from_millis(1_500);

/// A [`PlatformClient`] over HTTP, with several endpoints tried in turn.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: Client,
    endpoints: Arc<[SocketAddr]>,
    current: Arc<AtomicUsize>,
}

#[derive(Serialize)]
struct PutCall {
    expect: Revision,
    value: String,
}

#[derive(Deserialize)]
struct PutAnswer {
    revision: Revision,
}

#[derive(Serialize)]
struct LeaseCall {
    holder: Name,
    ttl: Millis,
}

/// # Construction
impl HttpPlatform {
    /// A platform at these endpoints.
    pub fn new(client: Client, endpoints: &[SocketAddr]) -> Self {
        Self { client, endpoints: endpoints.into(), current: Arc::default() }
    }
}

/// # Calls
impl HttpPlatform {
    fn uri(&self, rest: &str) -> String {
        let at = self.current.load(Relaxed) % self.endpoints.len().max(1);
        match self.endpoints.get(at) {
            Some(endpoint) => format!("http://{endpoint}/{rest}"),
            None => format!("http:///{rest}"),
        }
    }

    async fn exchange<Q: Serialize>(
        &self,
        method: Method,
        rest: &str,
        content: Option<&Q>,
        limit: Duration,
    ) -> Result<(u16, Bytes), RpcError> {
        let answer = self.client.exchange(method, &self.uri(rest), content, limit).await;
        if matches!(answer, Err(_) | Ok((500.., _))) {
            self.current.fetch_add(1, Relaxed);
        }
        answer
    }

    async fn read(&self, rest: &str, limit: Duration) -> Result<Option<Stored>, RpcError> {
        let (status, bytes) = self.exchange(Method::GET, rest, None::<&()>, limit).await?;
        match status {
            200 => parse(&bytes).map(Some),
            404 | 304 => Ok(None),
            other => Err(RpcError::Status(other)),
        }
    }
}

impl PlatformClient for HttpPlatform {
    fn get(&self, key: &str) -> BoxFuture<'static, Result<Option<Stored>, RpcError>> {
        let me = self.clone();
        let rest = format!("kv/{key}");
        Box::pin(async move { me.read(&rest, QUICK).await })
    }

    fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'static, Result<Option<Stored>, RpcError>> {
        let me = self.clone();
        let rest = format!("kv/{key}?after={after}&wait={}", wait.as_millis());
        Box::pin(async move { me.read(&rest, wait + QUICK).await })
    }

    fn put(
        &self,
        key: &str,
        expect: Revision,
        value: String,
    ) -> BoxFuture<'static, Result<Revision, PutError>> {
        let me = self.clone();
        let rest = format!("kv/{key}");
        Box::pin(async move {
            let call = PutCall { expect, value };
            let answer = me.exchange(Method::PUT, &rest, Some(&call), QUICK).await;
            match answer {
                Ok((200, bytes)) => {
                    let read = parse::<PutAnswer>(&bytes).map(|a| a.revision);
                    read.map_err(PutError::Unsure)
                }
                Ok((409, bytes)) => {
                    let read = parse::<PutAnswer>(&bytes).map_err(PutError::Unsure)?;
                    Err(PutError::Conflict(read.revision))
                }
                Ok((status @ (400..=407 | 410..=499), _)) => {
                    Err(PutError::Refused(RpcError::Status(status)))
                }
                Ok((status, _)) => Err(PutError::Unsure(RpcError::Status(status))),
                Err(e @ RpcError::Connect(_)) => Err(PutError::Refused(e)),
                Err(e) => Err(PutError::Unsure(e)),
            }
        })
    }

    fn lease(
        &self,
        name: &str,
        holder: &Name,
        ttl: Duration,
    ) -> BoxFuture<'static, Result<Lease, RpcError>> {
        let me = self.clone();
        let rest = format!("leases/{name}");
        let call = LeaseCall { holder: holder.clone(), ttl: ttl.as_millis() as Millis };
        Box::pin(async move {
            let (status, bytes) = me.exchange(Method::POST, &rest, Some(&call), QUICK).await?;
            match status {
                200 | 409 => parse(&bytes),
                other => Err(RpcError::Status(other)),
            }
        })
    }

    fn vms(&self, after: Revision) -> BoxFuture<'static, Result<Option<VmList>, RpcError>> {
        let me = self.clone();
        let rest = format!("vms?after={after}");
        Box::pin(async move {
            let (status, bytes) = me.exchange(Method::GET, &rest, None::<&()>, QUICK).await?;
            match status {
                200 => parse(&bytes).map(Some),
                304 => Ok(None),
                other => Err(RpcError::Status(other)),
            }
        })
    }
}
