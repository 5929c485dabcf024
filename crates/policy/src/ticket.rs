//! Tickets: request keys minted by the one node incarnation that may run the request.
//!
//! A ticket needs no call to the platform, so it works in a partitioned failure domain. Only the
//! incarnation named in it ever dispatches the request; once that has ended, no node does.

use std::fmt;
use std::str::FromStr;

use heathpitch_core::{Incarnation, Name};

/// Prefix of every ticket.
const PREFIX: &str = "hpt";

/// Request key that names its owner.
///
/// # Examples
///
/// ```
/// use heathpitch_core::Incarnation;
/// use heathpitch_policy::Ticket;
///
/// let ticket = Ticket { node: "n1".parse()?, incarnation: Incarnation(255), serial: 3 };
/// assert_eq!(ticket.to_string(), "hpt.n1.ff.3");
/// assert_eq!("hpt.n1.ff.3".parse::<Ticket>()?, ticket);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// Node that minted it.
    pub node: Name,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Serial number within that incarnation.
    pub serial: u64,
}

/// Error of parsing a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TicketError {
    /// The prefix is missing: the client chose the key.
    #[error("the key is not a ticket")]
    Foreign,
    /// The prefix matches, but the rest is malformed.
    #[error("the ticket is malformed")]
    Malformed,
}

impl FromStr for Ticket {
    type Err = TicketError;

    fn from_str(s: &str) -> Result<Self, TicketError> {
        let rest = s.strip_prefix(PREFIX).and_then(|r| r.strip_prefix('.'));
        let mut parts = rest.ok_or(TicketError::Foreign)?.rsplitn(3, '.');
        let serial = parts.next().and_then(|p| u64::from_str_radix(p, 16).ok());
        let incarnation = parts.next().and_then(|p| u64::from_str_radix(p, 16).ok());
        let node = parts.next().and_then(|p| p.parse().ok());
        match (node, incarnation, serial) {
            (Some(node), Some(incarnation), Some(serial)) => {
                Ok(Self { node, incarnation: Incarnation(incarnation), serial })
            }
            _ => Err(TicketError::Malformed),
        }
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PREFIX}.{}.{:x}.{:x}", self.node, self.incarnation.0, self.serial)
    }
}
