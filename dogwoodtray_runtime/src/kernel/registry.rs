//! Registry of services by name.

use std::any::Any;
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::sync::PoisonError;

use crossbeam::sync::ShardedLock;
use dogwoodtray_coord::Name;

use super::Mailbox;

type Entries = HashMap<Name, Box<dyn Any + Send + Sync>>;

/// Registry in which services find each other by name.
///
/// # Examples
///
/// ```
/// use dogwoodtray_runtime::{Kernel, Mailbox};
///
/// let kernel = Kernel::new();
/// let (mailbox, rx) = Mailbox::<u32>::channel();
/// kernel.register("counter", mailbox);
///
/// let found = kernel.find::<u32>("counter").expect("registered above");
/// assert!(found.send(7));
/// assert_eq!(rx.recv(), Ok(7));
/// assert!(kernel.find::<u32>("other").is_none());
/// ```
#[derive(Clone, Default)]
pub struct Kernel {
    entries: Arc<ShardedLock<Entries>>,
}

impl Kernel {
    /// Creates an empty registry.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers the mailbox of a service under its name, in place of an earlier one.
    pub fn register<E: Send + 'static>(&self, name: impl Into<Name>, mailbox: Mailbox<E>) {
        let mut entries = self.entries.write().unwrap_or_else(PoisonError::into_inner);
        entries.insert(name.into(), Box::new(mailbox));
    }

    /// Finds the mailbox of a service.
    #[must_use]
    pub fn find<E: Send + 'static>(&self, name: &str) -> Option<Mailbox<E>> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        let mailbox = entries.get(name)?.downcast_ref::<Mailbox<E>>();
        debug_assert!(mailbox.is_some(), "service {name} takes another type of event");
        mailbox.cloned()
    }
}

impl fmt::Debug for Kernel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        f.debug_set().entries(entries.keys()).finish()
    }
}
