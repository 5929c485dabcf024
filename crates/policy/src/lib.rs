//! Routing and control decisions of heathpitch, written as state machines.
//!
//! Each module takes typed events and a time and returns typed actions. None of them reads a clock,
//! opens a socket, spawns a task or uses an unseeded random generator, so that a test, a simulator
//! or another daemon can drive them.

mod account_limiter;
mod admission;
mod backpressure;
mod blocks;
mod bucket;
mod budget;
mod chain;
mod claim_decision;
mod claims;
mod claims_page;
mod clocks;
mod demand;
mod drain_notices;
mod engine;
mod engine_limit;
mod engine_stats;
mod fleet;
mod followers;
mod freshness;
mod gauge;
mod health;
mod held_forecast;
mod idempotency;
mod incarnations;
mod layer_load;
mod layout;
mod layout_copies;
mod layout_deal;
mod layout_repair;
mod limit_record;
mod limits;
mod members;
mod mirror;
mod notices;
mod occupancy;
mod placement;
mod predict;
mod prefix;
mod pressure;
mod probes;
mod quarantine;
mod relay;
mod replica;
mod retry_schedule;
mod retry_window;
mod rights;
mod router;
mod shared_polling;
mod sources;
mod split;
mod stall_detector;
mod start_forecast;
mod switch;
mod ticket;
mod trend;

pub use account_limiter::{AccountLimiter, LimitExceeded};
pub use admission::{AdmissionControl, Shed};
pub use backpressure::{Admission, Backpressure};
pub use blocks::{BLOCK_TOKENS, blocks, prompt_tokens};
pub use bucket::Bucket;
pub use budget::{RetryBudget, retry_after};
pub use chain::{ChainEngine, ChainQuery, find_chain, find_local_chain};
pub use claim_decision::{ClaimDecision, decide_claim};
pub use claims::{ClaimAction, ClaimEvent, Claims, Verdict};
pub use claims_page::{ClaimEntry, ClaimPage};
pub use clocks::{Clocks, SuspensionDetector};
pub use demand::Demand;
pub use drain_notices::DrainNotices;
pub use engine::{EngineReport, EngineRole};
pub use engine_limit::{EngineLimit, Right};
pub use engine_stats::EngineStats;
pub use fleet::{Fleet, ServiceView, Upstream};
pub use followers::Followers;
pub use freshness::Freshness;
pub use gauge::Gauge;
pub use health::{Health, HealthEvent, HealthStatus};
pub use held_forecast::HeldForecast;
pub use idempotency::{IdempotencyTable, KeyState, StoredAnswer};
pub use incarnations::{Incarnations, Recency};
pub use layer_load::LayerLoad;
pub use layout::{
    Assignment, LayoutReason, Worker, copy_counts, layer_gaps, plan_layout, primaries,
};
pub use limit_record::{LimitEntry, LimitRecord, LimitRecorder};
pub use limits::{LimitUpdate, Limits};
pub use members::{Member, MemberState, Members};
pub use mirror::{Delta, Mirror};
pub use occupancy::Occupancy;
pub use placement::{
    LoadedLayers, ModelDemand, Move, MoveReason, PlacementEngine, model_gaps, plan_placement,
};
pub use predict::{Need, predict};
pub use prefix::{BlockEvent, PrefixIndex};
pub use pressure::Pressure;
pub use probes::{ProbeResult, suspects};
pub use quarantine::{EngineExit, EngineIncarnation, Quarantine, just_started};
pub use relay::{Broken, EndReason, Relay, RelayAction, RelayEvent, RelayPlan, Repeat};
pub use replica::{Adoption, Replica};
pub use retry_schedule::RetrySchedule;
pub use retry_window::{RetryShare, RetryWindow};
pub use rights::{Grant, Rights};
pub use router::{NoPath, PathRequest, choose};
pub use shared_polling::SharedPolling;
pub use sources::{DomainPlanner, FleetStart, PollOutcome, STANDBYS, Source, Sources};
pub use split::{EngineCapacity, Split, split};
pub use stall_detector::StallDetector;
pub use start_forecast::{PrefillStage, start_ms};
pub use switch::Mechanism;
#[cfg(feature = "switches")]
pub use switch::without;
pub use ticket::{Ticket, TicketError};
pub use trend::Trend;
