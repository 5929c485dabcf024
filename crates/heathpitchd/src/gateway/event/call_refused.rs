//! Event: a call was refused or given up.

use heathpitch_core::{Millis, Name};
use serde::Serialize;

/// A call was refused or given up.
///
/// What is not known of the call is null: a call with an invalid head has no account, and one that
/// no path was chosen for has no pressure.
#[derive(Clone, Debug, Serialize)]
pub struct CallRefused {
    /// Call.
    pub request: String,
    /// Status answered.
    pub status: u16,
    /// Kind of the refusal.
    pub kind: &'static str,
    /// Details of the cause.
    pub detail: String,
    /// Time after which the caller is asked to retry.
    #[serde(rename = "back_ms")]
    pub retry_after_ms: Option<Millis>,
    /// Version of the configuration in force.
    pub config: u64,
    /// Time since it was last confirmed as the newest.
    pub proof_ms: Option<Millis>,
    /// Client account.
    pub account: Option<Name>,
    /// Priority rank; 0 is the most urgent.
    pub rank: Option<u8>,
    /// Time since the caller first asked, as far as its deadline shows.
    pub age_ms: Option<Millis>,
    /// Pressure of the path that was chosen last.
    pub pressure: Option<f64>,
    /// Part of the account's requests that is within its share, if shares apply.
    pub share: Option<f64>,
}
