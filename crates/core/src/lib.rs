//! Words of the domain.
//!
//! Names, labels, selectors, layer paths, outcomes, the configuration document that operators
//! write and the settings file that a node reads. Nothing here does input or output.

mod account;
mod diff;
mod digest;
mod document;
mod error;
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
mod route;
mod selector;
mod settings;
mod strategy;
mod validate;
mod vm;

pub use account::Account;
pub use diff::{Change, diff};
pub use digest::digest;
pub use document::Document;
pub use error::{ConfigError, ErrorKind};
pub use ids::{Attempt, Epoch, Incarnation, Millis, RequestId, Revision};
pub use index::Index;
pub use invariant::{Violation, check};
pub use labels::Labels;
pub use layers::LayerRange;
pub use model::Model;
pub use name::{Name, NameError};
pub use outcome::{Evidence, NotRun, Outcome};
pub use parse::{nearest, parse_document, parse_settings};
pub use path::{Path, PathError, Stage};
pub use pool::Pool;
pub use priority::{Priority, UnknownPriority};
pub use route::{Route, RouteKind, RouteSettings};
pub use selector::{Match, Selector};
pub use settings::{PeerSettings, Settings, Timing};
pub use strategy::Strategy;
pub use validate::validate;
pub use vm::{Vm, VmRole, VmState};
