//! Search for engines that do not answer.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use heathpitch_core::{Name, Path};
use heathpitch_net::RpcError;
use heathpitch_policy::{ProbeResult, Upstream, suspects};

use crate::traffic::Traffic;

/// Time for an engine to show that it lives.
const LIMIT: Duration = Duration::from_millis(150);

/// Name and address of an engine to look at.
pub(crate) type Target = (Name, Name);

/// Stages of a path.
pub(crate) fn stages(path: &Path) -> Vec<Target> {
    path.stages().iter().map(|s| (s.engine.clone(), s.address.clone())).collect()
}

/// Engines that a path could be made of.
pub(crate) fn candidates<'a>(engines: impl Iterator<Item = &'a Upstream>) -> Vec<Target> {
    engines.map(|u| (u.vm.name.clone(), u.vm.address.clone())).collect()
}

/// Those of the engines that are to be left.
pub(crate) async fn silent(traffic: Arc<Traffic>, targets: Vec<Target>) -> Vec<Name> {
    let asked = targets.into_iter().map(|(engine, address)| {
        let report = traffic.engine.report(&address);
        async move {
            let sign = match tokio::time::timeout(LIMIT, report).await {
                Ok(Ok(_)) => ProbeResult::Alive,
                Ok(Err(RpcError::Connect(_))) => ProbeResult::Unreachable,
                Ok(Err(_)) | Err(_) => ProbeResult::TimedOut,
            };
            (engine, sign)
        }
    });
    suspects(join_all(asked).await)
}
