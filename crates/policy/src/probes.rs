//! Which engines to leave after a look at whether they live.

use heathpitch_core::Name;

/// What a look at one engine found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// It answered.
    Alive,
    /// It did not answer in time: it hangs, or this node is too busy to hear it.
    TimedOut,
    /// It cannot be reached.
    Unreachable,
}

/// Engines to leave.
///
/// An engine that cannot be reached is left in any case. Late answers count only while at least a
/// third of the engines answered: when nearly all are late, this node is what is slow, and leaving
/// them all would be an outage of its own making.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{ProbeResult, suspects};
///
/// let (a, b, c) = ("a".parse()?, "b".parse()?, "c".parse()?);
/// let one = suspects(vec![(a, ProbeResult::Alive), (b, ProbeResult::TimedOut), (c, ProbeResult::Alive)]);
/// assert_eq!(one.len(), 1);
/// let (a, b) = ("a".parse()?, "b".parse()?);
/// assert!(suspects(vec![(a, ProbeResult::TimedOut), (b, ProbeResult::TimedOut)]).is_empty());
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
pub fn suspects(looks: Vec<(Name, ProbeResult)>) -> Vec<Name> {
    let late = looks.iter().filter(|(_, s)| *s == ProbeResult::TimedOut).count();
    let believed = late * 3 <= looks.len() * 2;
    let left = |sign: ProbeResult| match sign {
        ProbeResult::Alive => false,
        ProbeResult::TimedOut => believed,
        ProbeResult::Unreachable => true,
    };
    looks.into_iter().filter(|(_, sign)| left(*sign)).map(|(name, _)| name).collect()
}
