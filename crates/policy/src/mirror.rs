//! A copy of items that others follow by what changed since they last asked.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// Removals remembered; one who follows from before them gets everything.
const GONE_MOST: usize = 1_024;

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
/// assert_eq!((first.whole, first.items), (true, vec![1]));
/// mirror.put("b".into(), 8, 2);
/// mirror.remove("a");
/// let next = mirror.since(first.serial);
/// assert_eq!((next.whole, next.items, next.gone), (false, vec![2], vec!["a".into()]));
/// ```
#[derive(Clone, Debug)]
pub struct Mirror<T> {
    serial: u64,
    items: BTreeMap<Arc<str>, Entry<T>>,
    /// Sum of the items' prints.
    digest: u64,
    gone: VecDeque<(u64, Arc<str>)>,
    /// Serial of the last removal that is no longer remembered.
    forgotten: u64,
}

#[derive(Clone, Debug)]
struct Entry<T> {
    serial: u64,
    print: u64,
    item: T,
}

/// What changed since a serial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta<T> {
    /// Serial to ask from next.
    pub serial: u64,
    /// Whether `items` are all there are.
    pub whole: bool,
    /// Items that are new or changed.
    pub items: Vec<T>,
    /// Keys that are gone.
    pub gone: Vec<Arc<str>>,
}

impl<T> Default for Mirror<T> {
    fn default() -> Self {
        Self { serial: 0, items: BTreeMap::new(), digest: 0, gone: VecDeque::new(), forgotten: 0 }
    }
}

/// # Changes
impl<T> Mirror<T> {
    /// Takes an item as it stands since `revision` at whoever owns it; nothing if it has that already.
    pub fn put(&mut self, key: Arc<str>, revision: u64, item: T) {
        let print = print(&key, revision);
        if self.items.get(&key).is_some_and(|e| e.print == print) {
            return;
        }
        self.serial += 1;
        let entry = Entry { serial: self.serial, print, item };
        let old = self.items.insert(key, entry).map_or(0, |e| e.print);
        self.digest = self.digest.wrapping_add(print).wrapping_sub(old);
    }

    /// Takes an item off.
    pub fn remove(&mut self, key: &str) {
        let Some((key, entry)) = self.items.remove_entry(key) else { return };
        self.serial += 1;
        self.digest = self.digest.wrapping_sub(entry.print);
        self.gone.push_back((self.serial, key));
        if self.gone.len() > GONE_MOST {
            self.forgotten = self.gone.pop_front().map_or(self.forgotten, |(serial, _)| serial);
        }
    }
}

/// # Digest
impl<T> Mirror<T> {
    /// Digest of all items: two mirrors with the same one hold the same items.
    ///
    /// Lets one who follows another mirror than before go on without being told everything.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Serial of the last change.
    pub fn serial(&self) -> u64 {
        self.serial
    }
}

/// Print of an item: no two items in a thousand mirrors of a thousand have the same one.
fn print(key: &str, revision: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (key, revision).hash(&mut hasher);
    hasher.finish()
}

/// # Reading
impl<T: Clone> Mirror<T> {
    /// What changed since `serial`; everything for 0 and for what is no longer remembered.
    pub fn since(&self, serial: u64) -> Delta<T> {
        let whole = serial == 0 || serial < self.forgotten || serial > self.serial;
        let from = if whole { 0 } else { serial };
        let items = self.items.values().filter(|e| e.serial > from).map(|e| e.item.clone());
        let gone = self.gone.iter().filter(|(s, k)| !whole && *s > from && !self.holds(k));
        Delta {
            serial: self.serial,
            whole,
            items: items.collect(),
            gone: gone.map(|(_, key)| key.clone()).collect(),
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
