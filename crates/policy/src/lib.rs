//! Routing and control decisions of heathpitch, written as state machines.
//!
//! Each module takes typed events and a time and returns typed actions. None of them reads a clock,
//! opens a socket, spawns a task or uses an unseeded random generator, so that a test, a simulator
//! or another daemon can drive them.

mod account_limiter;
mod account_shares;
mod admission;
mod admission_rate;
mod answered_parts;
mod answered_polls;
mod backpressure;
mod balance;
mod blocks;
mod bucket;
mod budget;
mod chain;
mod claim_decision;
mod claims;
mod claims_page;
mod clocks;
mod connectivity;
mod demand;
mod domain_demand;
mod domain_load;
mod drain_notices;
mod engine;
mod engine_limit;
mod engine_stats;
mod exit_book;
mod exit_rate;
mod exit_record;
mod fair_level;
mod fleet;
mod followers;
mod forwarders;
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
mod move_load;
mod move_order;
mod notices;
mod occupancy;
mod part_answers;
mod part_candidate;
mod part_exits;
mod part_quarantine;
mod part_scope;
mod placement;
mod predict;
mod prefill_stage;
mod prefill_time;
mod prefix;
mod pressure;
mod probe_repeat;
mod probes;
mod proof_attempts;
mod proof_schedule;
mod proof_state;
mod quarantine;
mod rank_mix;
mod recent_demand;
mod relay;
mod replica;
mod retry_book;
mod retry_ledger;
mod retry_pool;
mod retry_promise;
mod retry_reserve;
mod retry_result;
mod retry_schedule;
mod retry_slots;
mod retry_window;
mod rights;
mod router;
mod shared_polling;
mod sharing;
mod shed_reason;
mod silence_threshold;
mod sources;
mod split;
mod stall_detector;
mod start_forecast;
mod store_access;
mod suspect;
mod switch;
mod ticket;
mod trend;
mod usual_deadline;
mod usual_duration;
mod water_level;

pub use account_limiter::{AccountLimiter, LimitExceeded};
pub use account_shares::{AccountShare, AccountShares};
pub use admission::{AdmissionControl, Shed};
pub use answered_parts::{AnsweredParts, LastAnswer, PartKey};
pub use answered_polls::AnsweredPolls;
pub use backpressure::{Admission, Backpressure};
pub use balance::Balance;
pub use blocks::{BLOCK_TOKENS, blocks, prompt_tokens};
pub use bucket::Bucket;
pub use budget::{RetryBudget, retry_after};
pub use chain::{
    ChainEngine, ChainQuery, find_chain, find_chain_in, find_local_chain, has_capacity,
};
pub use claim_decision::{ClaimDecision, decide_claim};
pub use claims::{ClaimAction, ClaimEvent, Claims, Verdict};
pub use claims_page::{ClaimEntry, ClaimPage};
pub use clocks::{Clocks, SuspensionDetector};
pub use connectivity::{CheckResult, Connectivity, Suspicion};
pub use demand::Demand;
pub use domain_demand::{DemandError, DomainDemand, MAX_DEMAND_ENTRIES};
pub use domain_load::DomainLoad;
pub use drain_notices::DrainNotices;
pub use engine::{EngineReport, EngineRole};
pub use engine_limit::{EngineLimit, Right};
pub use engine_stats::EngineStats;
pub use exit_record::{ExitRecord, ExitRecorder, RecordedAnswer, RecordedExit};
pub use fair_level::fair_level;
pub use fleet::{Fleet, ServiceView, Upstream};
pub use followers::Followers;
pub use forwarders::{Forwarders, sample_forwarders};
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
pub use move_load::{MoveBooking, MoveLoad};
pub use move_order::{MoveResult, StalledStream, plan_moves};
pub use occupancy::Occupancy;
pub use part_answers::PartAnswer;
pub use part_quarantine::{HeldPart, PartEvidence, PartExit, PartQuarantine, PartSuspicion};
pub use placement::{
    LoadedLayers, ModelDemand, Move, MoveReason, PlacementEngine, model_gaps, plan_placement,
};
pub use predict::{Need, predict};
pub use prefill_stage::PrefillStage;
pub use prefill_time::prefill_ms;
pub use prefix::{BlockEvent, PrefixIndex};
pub use pressure::Pressure;
pub use probe_repeat::may_repeat_probe;
pub use probes::{ProbeResult, suspects};
pub use proof_attempts::{
    EXCUSE_TTL_MS, FAILURE_SPAN_MS, MIN_CONNECT_MS, MIN_FAILURES, MIN_REFUSALS, PAUSE_MS,
    ProofAttempts, ProofEvidence, ProofFailure, REPEAT_SILENCE_MS, silence_ms,
};
pub use proof_schedule::{
    FIRST_RETRY_MS, MAX_PENDING_PROOFS, MIN_APPLY_MS, PROOF_ANSWER_MS, PROOF_INTERVAL_MS,
    ProofRole, ProofSchedule, REPOLL_AGE_MS,
};
pub use proof_state::{ProofState, admission_age};
pub use quarantine::{EngineExit, EngineIncarnation, Quarantine, just_started};
pub use rank_mix::RankMix;
pub use recent_demand::{DemandCount, DemandKey, RecentDemand};
pub use relay::{Broken, EndReason, Relay, RelayAction, RelayEvent, RelayPlan, Repeat};
pub use replica::{Adoption, Replica};
pub use retry_book::RetryBook;
pub use retry_pool::RetryPool;
pub use retry_promise::{PromiseError, PromiseSums, RetryPromise, SlotCapacity};
pub use retry_reserve::RetryReserve;
pub use retry_result::RetryResult;
pub use retry_schedule::RetrySchedule;
pub use retry_window::{RetryShare, RetryWindow};
pub use rights::{Grant, Rights};
pub use router::{NoPath, PathRequest, choose};
pub use shared_polling::SharedPolling;
pub use sharing::SharingQuery;
pub use shed_reason::ShedReason;
pub use silence_threshold::silence_threshold;
pub use sources::{DomainPlanner, FleetStart, PollOutcome, STANDBYS, Source, Sources};
pub use split::{EngineCapacity, Split, split};
pub use stall_detector::StallDetector;
pub use start_forecast::start_ms;
pub use store_access::{CallOutcome, StoreAccess};
pub use suspect::Suspect;
pub use switch::Mechanism;
#[cfg(feature = "switches")]
pub use switch::without;
pub use ticket::{Ticket, TicketError};
pub use trend::Trend;
pub use usual_deadline::UsualDeadline;
pub use usual_duration::UsualDuration;
