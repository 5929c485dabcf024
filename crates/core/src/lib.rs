//! Domain types shared by all crates.
//!
//! Names, labels, selectors, layer paths, outcomes, the configuration document that operators
//! write and the settings file that a node reads. This crate does no I/O.

mod account;
mod call_route;
mod catalog;
mod diff;
mod digest;
mod document;
mod engine_entry;
mod error;
mod forwarder;
mod gateway_settings;
mod ids;
mod index;
mod invariant;
mod labels;
mod layers;
mod model;
mod name;
mod outcome;
mod parse;
mod path;
mod pool;
mod priority;
mod rate;
mod request_fingerprint;
mod route;
mod selector;
mod service_spec;
mod settings;
mod strategy;
mod validate;
mod vm;

pub use account::Account;
pub use call_route::{CallKind, CallRoute, Target};
pub use catalog::{CallerLimits, Catalog, KeyHolder, LookupError};
pub use diff::{Change, diff};
pub use digest::digest;
pub use document::Document;
pub use engine_entry::{EngineEntry, EntryState};
pub use error::{ConfigError, ErrorKind};
pub use forwarder::{ForwardToken, ForwardTokenError, Forwarder};
pub use gateway_settings::{GatewaySettings, LoadMode, LoadSettings, PlatformBounds, VmCapacity};
pub use ids::{Attempt, Epoch, Incarnation, Millis, RequestId, Revision};
pub use index::Index;
pub use invariant::{Invariant, check};
pub use labels::Labels;
pub use layers::LayerRange;
pub use model::Model;
pub use name::{Name, NameError};
pub use outcome::{Evidence, NotRun, Outcome};
pub use parse::{nearest, parse_document, parse_settings};
pub use path::{Path, PathError, Stage};
pub use pool::Pool;
pub use priority::{Priority, UnknownPriority};
pub use rate::Rate;
pub use request_fingerprint::{FingerprintError, RequestFingerprint};
pub use route::{Route, RouteKind, RouteSettings};
pub use selector::{Match, Selector};
pub use service_spec::{Card, Delay, LayeredModel, ServiceSpec};
pub use settings::{PeerSettings, Settings, Timing};
pub use strategy::Strategy;
pub use validate::validate;
pub use vm::{Vm, VmRole, VmState};
