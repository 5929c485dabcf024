//! A set of items that other nodes replicate by polling for what changed since their last poll.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// Bounds the removals remembered; a follower that is further behind gets a full copy.
const MAX_REMOVALS: usize = 1_024;

/// Items by key, each with the serial of its last change.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::Mirror;
///
/// let mut mirror = Mirror::default();
/// mirror.put("a".into(), 7, 1);
/// let first = mirror.since(0);
/// assert_eq!((first.full, first.items), (true, vec![1]));
/// mirror.put("b".into(), 8, 2);
/// mirror.remove("a");
/// let next = mirror.since(first.serial);
/// assert_eq!((next.full, next.items, next.removed), (false, vec![2], vec!["a".into()]));
/// ```
#[derive(Clone, Debug)]
pub struct Mirror<T> {
    serial: u64,
    items: BTreeMap<Arc<str>, Entry<T>>,
    /// Wrapping sum of the item hashes.
    digest: u64,
    removed: VecDeque<(u64, Arc<str>)>,
    /// Serial of the latest removal that is no longer remembered.
    forgotten: u64,
}

#[derive(Clone, Debug)]
struct Entry<T> {
    serial: u64,
    hash: u64,
    item: T,
}

/// What changed since a serial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta<T> {
    /// Serial to pass in the next poll.
    pub serial: u64,
    /// Whether `items` is a full copy.
    pub full: bool,
    /// Added or changed items.
    pub items: Vec<T>,
    /// Keys that were removed.
    pub removed: Vec<Arc<str>>,
}

impl<T> Default for Mirror<T> {
    fn default() -> Self {
        Self {
            serial: 0,
            items: BTreeMap::new(),
            digest: 0,
            removed: VecDeque::new(),
            forgotten: 0,
        }
    }
}

/// # Updates
impl<T> Mirror<T> {
    /// Inserts or replaces an item, with its `revision` at its owner; no effect if that revision is
    /// already held.
    pub fn put(&mut self, key: Arc<str>, revision: u64, item: T) {
        let hash = item_hash(&key, revision);
        if self.items.get(&key).is_some_and(|e| e.hash == hash) {
            return;
        }
        self.serial += 1;
        let entry = Entry { serial: self.serial, hash, item };
        let old = self.items.insert(key, entry).map_or(0, |e| e.hash);
        self.digest = self.digest.wrapping_add(hash).wrapping_sub(old);
    }

    /// Removes an item.
    pub fn remove(&mut self, key: &str) {
        let Some((key, entry)) = self.items.remove_entry(key) else { return };
        self.serial += 1;
        self.digest = self.digest.wrapping_sub(entry.hash);
        self.removed.push_back((self.serial, key));
        if self.removed.len() > MAX_REMOVALS {
            self.forgotten = self.removed.pop_front().map_or(self.forgotten, |(serial, _)| serial);
        }
    }
}

/// # Digest
impl<T> Mirror<T> {
    /// Digest of all items: two mirrors with the same digest hold the same items.
    ///
    /// Lets a follower switch to another mirror without a full copy.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Serial of the last change.
    pub fn serial(&self) -> u64 {
        self.serial
    }
}

/// Hash of an item, wide enough to be unique among a thousand mirrors of a thousand items each.
fn item_hash(key: &str, revision: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (key, revision).hash(&mut hasher);
    hasher.finish()
}

/// # Queries
impl<T: Clone> Mirror<T> {
    /// Changes since `serial`; a full copy for 0 and for a serial that is unknown or too old.
    pub fn since(&self, serial: u64) -> Delta<T> {
        let full = serial == 0 || serial < self.forgotten || serial > self.serial;
        let from = if full { 0 } else { serial };
        let items = self.items.values().filter(|e| e.serial > from).map(|e| e.item.clone());
        let removed = self.removed.iter().filter(|(s, k)| !full && *s > from && !self.holds(k));
        Delta {
            serial: self.serial,
            full,
            items: items.collect(),
            removed: removed.map(|(_, key)| key.clone()).collect(),
        }
    }

    /// The item of a key.
    pub fn get(&self, key: &str) -> Option<&T> {
        self.items.get(key).map(|e| &e.item)
    }

    fn holds(&self, key: &str) -> bool {
        self.items.contains_key(key)
    }
}
