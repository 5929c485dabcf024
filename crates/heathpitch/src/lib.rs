//! Coordination parts of heathpitch, for others to embed.
//!
//! [`core`] holds the words of the domain, [`policy`] the decisions as state machines. Neither does
//! input or output, so they can be driven by any daemon, test or simulator.
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
