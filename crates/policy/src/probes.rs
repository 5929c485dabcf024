//! Which engines to avoid after a liveness probe.

use heathpitch_core::Name;

/// Result of probing one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// It answered.
    Alive,
    /// It did not answer in time: it hangs, or this node is too busy to process the answer.
    TimedOut,
    /// It cannot be reached.
    Unreachable,
}

/// Engines to stop using.
///
/// An unreachable engine is always among them. Time-outs count only while at most two thirds of the
/// engines time out: beyond that this node itself is slow, and avoiding them all would cause an
/// outage.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{ProbeResult, suspects};
///
/// let (a, b, c) = ("a".parse()?, "b".parse()?, "c".parse()?);
/// let results = vec![
///     (a, ProbeResult::Alive),
///     (b, ProbeResult::TimedOut),
///     (c, ProbeResult::Alive),
/// ];
/// let suspected = suspects(results);
/// assert_eq!(suspected.len(), 1);
/// let (a, b) = ("a".parse()?, "b".parse()?);
/// assert!(suspects(vec![(a, ProbeResult::TimedOut), (b, ProbeResult::TimedOut)]).is_empty());
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
pub fn suspects(results: Vec<(Name, ProbeResult)>) -> Vec<Name> {
    let timed_out = results.iter().filter(|(_, s)| *s == ProbeResult::TimedOut).count();
    let credible = timed_out * 3 <= results.len() * 2;
    let suspected = |result: ProbeResult| match result {
        ProbeResult::Alive => false,
        ProbeResult::TimedOut => credible,
        ProbeResult::Unreachable => true,
    };
    results.into_iter().filter(|(_, result)| suspected(*result)).map(|(name, _)| name).collect()
}
