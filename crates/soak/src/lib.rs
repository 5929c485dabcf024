//! Randomised faults against nodes that run as processes.
//!
//! A [`Script`] is drawn from a seed: kills, stops, pauses, restarts, spoilt links, a store that
//! misbehaves, engines that come, go and fail, configurations that change. [`run`] plays it on
//! real processes under load and gives every [`Breach`] that callers and engines saw.

mod judge;
mod load;
mod play;
mod script;
mod world;

pub use judge::{Breach, Evidence, HeldUp, Left, Revoked, Trouble};
pub use load::{Kind, Told};
pub use play::{SoakReport, run};
pub use script::{Fault, Script, Step};
pub use world::SoakError;
