//! Decisions of heathpitch as state machines.
//!
//! Each module takes typed events and a time and gives typed actions back. None of them reads a
//! clock, opens a socket, starts a task or draws from an unseeded generator, so a test, a
//! simulator or another daemon can drive them.

mod account_limiter;
mod blocks;
mod bucket;
mod budget;
mod chain;
mod claims;
mod claims_page;
mod clocks;
mod demand;
mod engine;
mod engine_limit;
mod fleet;
mod followers;
mod freshness;
mod gate;
mod gauge;
mod health;
mod idempotency;
mod layout;
mod layout_copies;
mod layout_deal;
mod layout_repair;
mod leavers;
mod limit_record;
mod limits;
mod lives;
mod members;
mod mirror;
mod news;
mod occupancy;
mod pace;
mod placement;
mod predict;
mod prefix;
mod quarantine;
mod relay;
mod replica;
mod retry_window;
mod returns;
mod rights;
mod router;
mod settle;
mod shared_polling;
mod sources;
mod split;
mod suspects;
mod switch;
mod tally;
mod ticket;
mod wish;

pub use account_limiter::{AccountLimiter, LimitExceeded};
pub use blocks::{BLOCK, blocks, prompt_tokens};
pub use bucket::Bucket;
pub use budget::{RetryBudget, come_back};
pub use chain::{ChainEngine, ChainQuery, find_chain, find_local_chain};
pub use claims::{ClaimAction, ClaimEvent, Claims, Verdict};
pub use claims_page::{ClaimEntry, ClaimPage};
pub use clocks::{Clocks, SuspensionDetector};
pub use demand::Demand;
pub use engine::{EngineReport, EngineRole};
pub use engine_limit::{EngineLimit, Right};
pub use fleet::{Fleet, ServiceView, Upstream};
pub use followers::Followers;
pub use freshness::Freshness;
pub use gate::{Gate, Shed};
pub use gauge::Gauge;
pub use health::{Health, HealthEvent, HealthStatus};
pub use idempotency::{IdempotencyTable, KeyState, StoredAnswer};
pub use layout::{
    Assignment, LayoutReason, Worker, copy_counts, layer_gaps, plan_layout, primaries,
};
pub use leavers::Leavers;
pub use limit_record::{LimitEntry, LimitRecord, LimitRecorder};
pub use limits::{LimitTold, Limits};
pub use lives::{Lives, Word};
pub use members::{Member, MemberState, Members};
pub use mirror::{Delta, Mirror};
pub use occupancy::Occupancy;
pub use pace::Pace;
pub use placement::{
    LoadedLayers, ModelDemand, Move, MoveReason, PlacementEngine, model_gaps, plan_placement,
};
pub use predict::{Need, predict};
pub use prefix::{BlockEvent, PrefixIndex};
pub use quarantine::{End, EngineLife, Quarantine, has_just_begun};
pub use relay::{Broken, EndReason, Relay, RelayAction, RelayEvent, RelayPlan, Repeat};
pub use replica::{Adoption, Replica};
pub use retry_window::{RetryShare, RetryWindow};
pub use returns::Returns;
pub use rights::{Grant, Rights};
pub use router::{Ask, NoPath, choose};
pub use settle::{Settlement, settle};
pub use shared_polling::SharedPolling;
pub use sources::{DomainPlanner, FleetStart, Heard, STANDBYS, Source, Sources};
pub use split::{Capable, Split, split};
pub use suspects::{Sign, suspects};
pub use switch::Mechanism;
#[cfg(feature = "switches")]
pub use switch::without;
pub use tally::Tally;
pub use ticket::{Ticket, TicketError};
pub use wish::{Entered, Wish};
