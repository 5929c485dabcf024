//! Platform client over HTTP and JSON.

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

/// Timeout of a call, in addition to the waiting time of a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A [`PlatformClient`] over HTTP; after a failed call it switches to the next endpoint.
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
    /// A client of the platform at these endpoints.
    pub fn new(client: Client, endpoints: &[SocketAddr]) -> Self {
        Self { client, endpoints: endpoints.into(), current: Arc::default() }
    }
}

/// # Calls
impl HttpPlatform {
    fn uri(&self, path: &str) -> String {
        let index = self.current.load(Relaxed) % self.endpoints.len().max(1);
        match self.endpoints.get(index) {
            Some(endpoint) => format!("http://{endpoint}/{path}"),
            None => format!("http:///{path}"),
        }
    }

    async fn exchange<Q: Serialize>(
        &self,
        method: Method,
        path: &str,
        content: Option<&Q>,
        timeout: Duration,
    ) -> Result<(u16, Bytes), RpcError> {
        let answer = self.client.exchange(method, &self.uri(path), content, timeout).await;
        if matches!(answer, Err(_) | Ok((500.., _))) {
            self.current.fetch_add(1, Relaxed);
        }
        answer
    }

    async fn read(&self, path: &str, timeout: Duration) -> Result<Option<Stored>, RpcError> {
        let (status, bytes) = self.exchange(Method::GET, path, None::<&()>, timeout).await?;
        match status {
            200 => parse(&bytes).map(Some),
            404 | 304 => Ok(None),
            other => Err(RpcError::Status(other)),
        }
    }
}

impl PlatformClient for HttpPlatform {
    fn get(&self, key: &str) -> BoxFuture<'static, Result<Option<Stored>, RpcError>> {
        let this = self.clone();
        let path = format!("kv/{key}");
        Box::pin(async move { this.read(&path, CALL_TIMEOUT).await })
    }

    fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'static, Result<Option<Stored>, RpcError>> {
        let this = self.clone();
        let path = format!("kv/{key}?after={after}&wait={}", wait.as_millis());
        Box::pin(async move { this.read(&path, wait + CALL_TIMEOUT).await })
    }

    fn put(
        &self,
        key: &str,
        expect: Revision,
        value: String,
    ) -> BoxFuture<'static, Result<Revision, PutError>> {
        let this = self.clone();
        let path = format!("kv/{key}");
        Box::pin(async move {
            let call = PutCall { expect, value };
            let answer = this.exchange(Method::PUT, &path, Some(&call), CALL_TIMEOUT).await;
            match answer {
                Ok((200, bytes)) => {
                    let read = parse::<PutAnswer>(&bytes).map(|a| a.revision);
                    read.map_err(PutError::Unknown)
                }
                Ok((409, bytes)) => {
                    let read = parse::<PutAnswer>(&bytes).map_err(PutError::Unknown)?;
                    Err(PutError::Conflict(read.revision))
                }
                Ok((status @ (400..=407 | 410..=499), _)) => {
                    Err(PutError::Refused(RpcError::Status(status)))
                }
                Ok((status, _)) => Err(PutError::Unknown(RpcError::Status(status))),
                Err(e @ RpcError::Connect(_)) => Err(PutError::Refused(e)),
                Err(e) => Err(PutError::Unknown(e)),
            }
        })
    }

    fn lease(
        &self,
        name: &str,
        holder: &Name,
        ttl: Duration,
    ) -> BoxFuture<'static, Result<Lease, RpcError>> {
        let this = self.clone();
        let path = format!("leases/{name}");
        let call = LeaseCall { holder: holder.clone(), ttl: ttl.as_millis() as Millis };
        Box::pin(async move {
            let (status, bytes) =
                this.exchange(Method::POST, &path, Some(&call), CALL_TIMEOUT).await?;
            match status {
                200 | 409 => parse(&bytes),
                other => Err(RpcError::Status(other)),
            }
        })
    }

    fn vms(&self, after: Revision) -> BoxFuture<'static, Result<Option<VmList>, RpcError>> {
        let this = self.clone();
        let path = format!("vms?after={after}");
        Box::pin(async move {
            let (status, bytes) =
                this.exchange(Method::GET, &path, None::<&()>, CALL_TIMEOUT).await?;
            match status {
                200 => parse(&bytes).map(Some),
                304 => Ok(None),
                other => Err(RpcError::Status(other)),
            }
        })
    }
}
