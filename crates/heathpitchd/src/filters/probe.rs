//! Liveness probes of engines.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use heathpitch_core::{Name, Path};
use heathpitch_net::RpcError;
use heathpitch_policy::{ProbeResult, Upstream, suspects};

use crate::traffic::Traffic;

/// Time for an engine to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Name and address of an engine to probe.
pub(crate) type Target = (Name, Name);

/// Engines of a path.
pub(crate) fn path_targets(path: &Path) -> Vec<Target> {
    path.stages().iter().map(|s| (s.engine.clone(), s.address.clone())).collect()
}

/// Engines that a path may use.
pub(crate) fn engine_targets<'a>(engines: impl Iterator<Item = &'a Upstream>) -> Vec<Target> {
    engines.map(|u| (u.vm.name.clone(), u.vm.address.clone())).collect()
}

/// Probes the engines and returns those to avoid.
pub(crate) async fn find_suspects(traffic: Arc<Traffic>, targets: Vec<Target>) -> Vec<Name> {
    let probes = targets.into_iter().map(|(engine, address)| {
        let report = traffic.engine.report(&address);
        async move {
            let result = match tokio::time::timeout(PROBE_TIMEOUT, report).await {
                Ok(Ok(_)) => ProbeResult::Alive,
                Ok(Err(RpcError::Connect(_))) => ProbeResult::Unreachable,
                Ok(Err(_)) | Err(_) => ProbeResult::TimedOut,
            };
            (engine, result)
        }
    });
    suspects(join_all(probes).await)
}
