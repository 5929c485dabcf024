//! Library facade of heathpitch, for embedding its coordination logic.
//!
//! [`core`] defines the domain types, [`policy`] the decisions as state machines. Neither performs I/O,
//! so both can be driven by a daemon, a test or a simulator.
//!
//! # Examples
//!
//! ```
//! use heathpitch::core::Outcome;
//! use heathpitch::policy::{Relay, RelayAction, RelayEvent, RelayPlan, Repeat};
//!
//! let plan = RelayPlan { max_tokens: 8, layers: 4, attempts: 3, repeat: Repeat::Allowed };
//! let mut relay = Relay::new(plan);
//! assert_eq!(relay.on(RelayEvent::NoPath), [RelayAction::GiveUp(Outcome::NotRun)]);
//! ```

pub use heathpitch_core as core;
pub use heathpitch_policy as policy;
