//! Labels of pools, client accounts and VMs.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Name;

/// A set of key-value labels.
///
/// # Examples
///
/// ```
/// use heathpitch_core::Labels;
///
/// let pool: Labels = [("hall", "memphis"), ("tier", "gold")].try_into()?;
/// let want: Labels = [("tier", "gold")].try_into()?;
/// assert!(pool.covers(&want));
/// assert!(!want.covers(&pool));
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Labels(pub BTreeMap<Name, Name>);

impl Labels {
    /// Whether `self` contains every label of `want` with the same value.
    pub fn covers(&self, want: &Labels) -> bool {
        want.0.iter().all(|(k, v)| self.0.get(k) == Some(v))
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl<const N: usize> TryFrom<[(&str, &str); N]> for Labels {
    type Error = crate::NameError;

    fn try_from(pairs: [(&str, &str); N]) -> Result<Self, Self::Error> {
        let parse = |(k, v): (&str, &str)| Ok((k.parse()?, v.parse()?));
        pairs.into_iter().map(parse).collect::<Result<_, _>>().map(Self)
    }
}
