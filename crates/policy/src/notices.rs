//! Notices that nodes pass on to each other, each with a serial: which to send next and which to
//! evict.

use std::collections::HashMap;
use std::hash::Hash;

use heathpitch_core::Millis;

/// At most `most` notices with a serial above `after`, in order, and the serial to continue from:
/// `last` if there are no more.
pub(crate) fn since<K, V>(
    known: &HashMap<K, V>,
    serial: impl Fn(&V) -> u64,
    after: u64,
    most: usize,
    last: u64,
) -> (Vec<(&K, &V)>, u64) {
    let mut new: Vec<_> = known.iter().filter(|(_, notice)| serial(notice) > after).collect();
    new.sort_unstable_by_key(|(_, notice)| serial(notice));
    let upto = if new.len() > most { serial(new[most - 1].1) } else { last };
    new.truncate(most);
    (new, upto)
}

/// Evicts the oldest notice if there are more than `most`.
pub(crate) fn bound<K: Clone + Eq + Hash, V>(
    known: &mut HashMap<K, V>,
    at: impl Fn(&V) -> Millis,
    most: usize,
) {
    if known.len() > most {
        let oldest = known.iter().min_by_key(|(_, notice)| at(notice)).map(|(key, _)| key.clone());
        oldest.map(|key| known.remove(&key));
    }
}
