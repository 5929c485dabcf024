//! Node binaries that a run accepts.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails its test")]

use std::path::PathBuf;
use std::time::Duration;

use heathpitch_soak::{FaultSchedule, SoakError, run};

/// Guards against runs that accuse the fleet of faults because the signal that simulates a suspended VM ends nodes
/// that were built without it.
#[tokio::test]
async fn a_node_that_cannot_be_suspended_is_refused() {
    let schedule = FaultSchedule::generate(1, Duration::from_secs(1));
    for binary in ["/bin/true", "/no/such/node"] {
        let error = run(PathBuf::from(binary), &schedule).await.unwrap_err();
        assert!(matches!(error, SoakError::Unsuitable { .. }), "{error:?}");
        assert!(error.to_string().contains("--features seams"), "{error}");
    }
}
