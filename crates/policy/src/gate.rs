//! Admission to a node: lowest priority shed first, and no account above its share under load.

use std::collections::HashMap;

use heathpitch_core::{Account, Invariant, Name, Priority, check};

/// Part of the capacity above which accounts are held to their shares.
const CONTENDED: f64 = 0.5;

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
struct Use {
    open: u32,
    weight: u32,
}

/// Counts open requests by account and admits by priority and weight.
///
/// Nothing waits here: a request is admitted at once or refused at once.
///
/// # Examples
///
/// ```
/// use heathpitch_core::{Account, Priority};
/// use heathpitch_policy::{Gate, Shed};
///
/// let desk = Account::new("desk".parse()?);
/// let mut gate = Gate::new();
/// (0..6).try_for_each(|_| gate.enter(&desk, Priority::Low, 10))?;
/// assert_eq!(gate.enter(&desk, Priority::Low, 10), Ok(()));
/// assert_eq!(gate.enter(&desk, Priority::Low, 10), Err(Shed::Full));
/// assert_eq!(gate.enter(&desk, Priority::High, 10), Ok(()));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Gate {
    open: u32,
    weights: u64,
    uses: HashMap<Name, Use>,
}

/// # Entering and leaving
impl Gate {
    /// A gate with nobody inside.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests inside.
    pub fn open(&self) -> u32 {
        self.open
    }

    /// Lets a request in if a node of this `capacity` has room for it.
    ///
    /// # Errors
    ///
    /// [`Shed`] with the reason.
    pub fn enter(&mut self, account: &Account, at: Priority, capacity: u32) -> Result<(), Shed> {
        let room = f64::from(capacity.max(1));
        let after = f64::from(self.open + 1);
        match self.uses.get(&account.name).copied().unwrap_or_default() {
            _ if after > room * ceiling(at) => Err(Shed::Full),
            used if after > room * CONTENDED && used.open >= self.share(account, room) => {
                Err(Shed::Share)
            }
            _ => {
                self.count(account);
                Ok(())
            }
        }
    }

    /// Counts a request out.
    pub fn leave(&mut self, account: &Name) {
        check(Invariant::OpenCount, self.open > 0);
        self.open = self.open.saturating_sub(1);
        match self.uses.get_mut(account) {
            Some(used) if used.open > 1 => used.open -= 1,
            Some(used) => {
                self.weights = self.weights.saturating_sub(used.weight.into());
                self.uses.remove(account);
            }
            None => check(Invariant::OpenCount, false),
        }
    }

    fn count(&mut self, account: &Account) {
        self.open += 1;
        let used = self.uses.entry(account.name.clone()).or_default();
        used.open += 1;
        if used.open == 1 {
            used.weight = account.weight;
            self.weights += u64::from(account.weight);
        }
    }

    /// Requests the account may have open: its weight among all inside, itself counted.
    fn share(&self, account: &Account, room: f64) -> u32 {
        let inside = match self.uses.contains_key(&account.name) {
            true => self.weights,
            false => self.weights + u64::from(account.weight),
        };
        let part = f64::from(account.weight) / inside.max(1) as f64;
        (room * part).ceil().max(1.0) as u32
    }
}

/// Part of the capacity a priority may fill.
fn ceiling(at: Priority) -> f64 {
    match at {
        Priority::Low => 0.7,
        Priority::Normal => 0.9,
        Priority::High => 1.0,
    }
}
