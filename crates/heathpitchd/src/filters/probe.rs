//! Search for the silent stage of a path.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use heathpitch_core::{Name, Path};

use crate::traffic::Traffic;

/// Time for a stage to show that it lives.
const LIMIT: Duration = Duration::from_millis(150);

/// Engines of the path that do not answer.
pub(crate) async fn silent(traffic: Arc<Traffic>, path: Path) -> Vec<Name> {
    let asked = path.stages().iter().map(|stage| {
        let report = traffic.engine.report(&stage.address);
        let engine = stage.engine.clone();
        async move {
            let answer = tokio::time::timeout(LIMIT, report).await;
            (!matches!(answer, Ok(Ok(_)))).then_some(engine)
        }
    });
    join_all(asked).await.into_iter().flatten().collect()
}
