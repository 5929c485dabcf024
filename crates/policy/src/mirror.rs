//! A copy of items that others follow by what changed since they last asked.

use std::collections::{BTreeMap, VecDeque};
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
/// mirror.put("a".into(), 1);
/// let first = mirror.since(0);
/// assert_eq!((first.whole, first.items), (true, vec![1]));
/// mirror.put("b".into(), 2);
/// mirror.remove("a");
/// let next = mirror.since(first.serial);
/// assert_eq!((next.whole, next.items, next.gone), (false, vec![2], vec!["a".into()]));
/// ```
#[derive(Clone, Debug)]
pub struct Mirror<T> {
    serial: u64,
    items: BTreeMap<Arc<str>, (u64, T)>,
    gone: VecDeque<(u64, Arc<str>)>,
    /// Serial of the last removal that is no longer remembered.
    forgotten: u64,
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
        Self { serial: 0, items: BTreeMap::new(), gone: VecDeque::new(), forgotten: 0 }
    }
}

/// # Changes
impl<T> Mirror<T> {
    /// Takes an item.
    pub fn put(&mut self, key: Arc<str>, item: T) {
        self.serial += 1;
        self.items.insert(key, (self.serial, item));
    }

    /// Takes an item off.
    pub fn remove(&mut self, key: &str) {
        let Some((key, _)) = self.items.remove_entry(key) else { return };
        self.serial += 1;
        self.gone.push_back((self.serial, key));
        if self.gone.len() > GONE_MOST {
            self.forgotten = self.gone.pop_front().map_or(self.forgotten, |(serial, _)| serial);
        }
    }
}

/// # Reading
impl<T: Clone> Mirror<T> {
    /// What changed since `serial`; everything for 0 and for what is no longer remembered.
    pub fn since(&self, serial: u64) -> Delta<T> {
        let whole = serial == 0 || serial < self.forgotten || serial > self.serial;
        let from = if whole { 0 } else { serial };
        let items = self.items.values().filter(|(s, _)| *s > from).map(|(_, i)| i.clone());
        let gone = self.gone.iter().filter(|(s, k)| !whole && *s > from && !self.holds(k));
        Delta {
            serial: self.serial,
            whole,
            items: items.collect(),
            gone: gone.map(|(_, key)| key.clone()).collect(),
        }
    }

    fn holds(&self, key: &str) -> bool {
        self.items.contains_key(key)
    }
}
