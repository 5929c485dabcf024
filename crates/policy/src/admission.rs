//! Admission control of a node: sheds the lowest priority first, and limits accounts to their share
//! under load.

use std::collections::HashMap;

use heathpitch_core::{Account, Invariant, Name, Priority, check};

/// Fraction of the capacity above which accounts are limited to their shares.
const CONTENTION_THRESHOLD: f64 = 0.5;

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Shed {
    /// The node is too full for this priority.
    #[error("the node is full for this priority")]
    Full,
    /// The account already has its share of a contended node.
    #[error("the account has its share of a contended node")]
    Share,
}

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    open: u32,
    weight: u32,
}

/// Counts open requests by account, and admits requests by priority and weight.
///
/// There is no queue: a request is admitted or rejected at once.
///
/// # Examples
///
/// ```
/// use heathpitch_core::{Account, Priority};
/// use heathpitch_policy::{AdmissionControl, Shed};
///
/// let desk = Account::new("desk".parse()?);
/// let mut admission = AdmissionControl::new();
/// (0..6).try_for_each(|_| admission.admit(&desk, Priority::Low, 10))?;
/// assert_eq!(admission.admit(&desk, Priority::Low, 10), Ok(()));
/// assert_eq!(admission.admit(&desk, Priority::Low, 10), Err(Shed::Full));
/// assert_eq!(admission.admit(&desk, Priority::High, 10), Ok(()));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct AdmissionControl {
    open: u32,
    weights: u64,
    usage: HashMap<Name, Usage>,
}

/// # Admission and release
impl AdmissionControl {
    /// Creates a controller without open requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of open requests.
    pub fn open(&self) -> u32 {
        self.open
    }

    /// Admits a request if a node of this `capacity` has room for it.
    ///
    /// # Errors
    ///
    /// [`Shed`] with the reason.
    pub fn admit(&mut self, account: &Account, at: Priority, capacity: u32) -> Result<(), Shed> {
        let room = f64::from(capacity.max(1));
        let after = f64::from(self.open + 1);
        match self.usage.get(&account.name).copied().unwrap_or_default() {
            _ if after > room * max_fill(at) => Err(Shed::Full),
            used if after > room * CONTENTION_THRESHOLD
                && used.open >= self.share(account, room) =>
            {
                Err(Shed::Share)
            }
            _ => {
                self.count(account);
                Ok(())
            }
        }
    }

    /// Releases the slot of a request.
    pub fn release(&mut self, account: &Name) {
        check(Invariant::OpenCount, self.open > 0);
        self.open = self.open.saturating_sub(1);
        match self.usage.get_mut(account) {
            Some(used) if used.open > 1 => used.open -= 1,
            Some(used) => {
                self.weights = self.weights.saturating_sub(used.weight.into());
                self.usage.remove(account);
            }
            None => check(Invariant::OpenCount, false),
        }
    }

    fn count(&mut self, account: &Account) {
        self.open += 1;
        let used = self.usage.entry(account.name.clone()).or_default();
        used.open += 1;
        if used.open == 1 {
            used.weight = account.weight;
            self.weights += u64::from(account.weight);
        }
    }

    /// Requests the account may have open, by its weight among all active accounts including
    /// itself.
    fn share(&self, account: &Account, room: f64) -> u32 {
        let total = match self.usage.contains_key(&account.name) {
            true => self.weights,
            false => self.weights + u64::from(account.weight),
        };
        let part = f64::from(account.weight) / total.max(1) as f64;
        (room * part).ceil().max(1.0) as u32
    }
}

/// Fraction of the capacity that requests of a priority may fill.
fn max_fill(at: Priority) -> f64 {
    match at {
        Priority::Low => 0.7,
        Priority::Normal => 0.9,
        Priority::High => 1.0,
    }
}
