//! Words that nodes tell each other, each with a serial: what is told next, and what is forgotten.

use std::collections::HashMap;
use std::hash::Hash;

use heathpitch_core::Millis;

/// At most so many words that came after the one with the serial `after`, in their order; and the serial up to which
/// all is known then, `last` if these are all.
pub(crate) fn since<K, V>(
    known: &HashMap<K, V>,
    serial: impl Fn(&V) -> u64,
    after: u64,
    most: usize,
    last: u64,
) -> (Vec<(&K, &V)>, u64) {
    let mut new: Vec<_> = known.iter().filter(|(_, word)| serial(word) > after).collect();
    new.sort_unstable_by_key(|(_, word)| serial(word));
    let upto = if new.len() > most { serial(new[most - 1].1) } else { last };
    new.truncate(most);
    (new, upto)
}

/// Forgets the oldest word if there are more than `most`.
pub(crate) fn bound<K: Clone + Eq + Hash, V>(
    known: &mut HashMap<K, V>,
    at: impl Fn(&V) -> Millis,
    most: usize,
) {
    if known.len() > most {
        let oldest = known.iter().min_by_key(|(_, word)| at(word)).map(|(key, _)| key.clone());
        oldest.map(|key| known.remove(&key));
    }
}
