//! Tickets: request keys minted by the one node life that may run the request.
//!
//! A ticket needs no call on the platform and works in a failure domain that is cut off. Only the
//! life named in it ever dispatches the request; once that life is gone nobody does.

use std::fmt;
use std::str::FromStr;

use heathpitch_core::{Incarnation, Name};

/// First characters of every ticket.
const PREFIX: &str = "hpt";

/// A key that names its owner.
///
/// # Examples
///
/// ```
/// use heathpitch_core::Incarnation;
/// use heathpitch_policy::Ticket;
///
/// let ticket = Ticket { node: "n1".parse()?, life: Incarnation(255), serial: 3 };
/// assert_eq!(ticket.to_string(), "hpt.n1.ff.3");
/// assert_eq!("hpt.n1.ff.3".parse::<Ticket>()?, ticket);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// Node that minted it.
    pub node: Name,
    /// Life of the node.
    pub life: Incarnation,
    /// Count within that life.
    pub serial: u64,
}

/// The key is not a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TicketError {
    /// It does not start like one: the caller chose the key.
    #[error("the key is not a ticket")]
    Foreign,
    /// It starts like one, but is malformed.
    #[error("the ticket is malformed")]
    Malformed,
}

impl FromStr for Ticket {
    type Err = TicketError;

    fn from_str(s: &str) -> Result<Self, TicketError> {
        let rest = s.strip_prefix(PREFIX).and_then(|r| r.strip_prefix('.'));
        let mut parts = rest.ok_or(TicketError::Foreign)?.rsplitn(3, '.');
        let serial = parts.next().and_then(|p| u64::from_str_radix(p, 16).ok());
        let life = parts.next().and_then(|p| u64::from_str_radix(p, 16).ok());
        let node = parts.next().and_then(|p| p.parse().ok());
        match (node, life, serial) {
            (Some(node), Some(life), Some(serial)) => {
                Ok(Self { node, life: Incarnation(life), serial })
            }
            _ => Err(TicketError::Malformed),
        }
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PREFIX}.{}.{:x}.{:x}", self.node, self.life.0, self.serial)
    }
}
