//! How well a node reaches the engines of a service.

use std::fmt;

use heathpitch_core::Millis;

/// Engines of a service as one node sees them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServiceReach {
    pub(crate) listed: usize,
    /// Listed engines that get no new requests of this node, because of what it or another node found.
    pub(crate) suspect: usize,
    /// Time since any of them last answered a new request of this node.
    pub(crate) contact_age: Option<Millis>,
}

impl fmt::Display for ServiceReach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} engines listed, {} of them suspect, ", self.listed, self.suspect)?;
        match self.contact_age {
            Some(age) => write!(f, "last answer {age} ms ago"),
            None => f.write_str("none has answered yet"),
        }
    }
}
