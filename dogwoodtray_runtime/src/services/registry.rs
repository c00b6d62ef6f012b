//! Registry of services by name.

use std::any::Any;
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::sync::PoisonError;

use crossbeam::sync::ShardedLock;
use dogwoodtray_coord::Name;

use super::Mailbox;

type MailboxMap = HashMap<Name, Box<dyn Any + Send + Sync>>;

/// Registry by which services look up each other's mailboxes by name.
///
/// # Examples
///
/// ```
/// use dogwoodtray_runtime::{Mailbox, ServiceRegistry};
///
/// let registry = ServiceRegistry::new();
/// let (mailbox, rx) = Mailbox::<u32>::channel();
/// registry.register("counter", mailbox);
///
/// let found = registry.find::<u32>("counter").expect("registered above");
/// assert!(found.send(7));
/// assert_eq!(rx.recv(), Ok(7));
/// assert!(registry.find::<u32>("other").is_none());
/// ```
#[derive(Clone, Default)]
pub struct ServiceRegistry {
    mailboxes: Arc<ShardedLock<MailboxMap>>,
}

impl ServiceRegistry {
    /// Creates an empty registry.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers the mailbox of a service under a name, replacing any earlier one.
    pub fn register<E: Send + 'static>(&self, name: impl Into<Name>, mailbox: Mailbox<E>) {
        let mut mailboxes = self.mailboxes.write().unwrap_or_else(PoisonError::into_inner);
        mailboxes.insert(name.into(), Box::new(mailbox));
    }

    /// Returns the mailbox registered under a name, or `None` if there is none.
    ///
    /// If its event type is not `E`, debug builds panic and release builds return `None`.
    #[must_use]
    pub fn find<E: Send + 'static>(&self, name: &str) -> Option<Mailbox<E>> {
        let mailboxes = self.mailboxes.read().unwrap_or_else(PoisonError::into_inner);
        let mailbox = mailboxes.get(name)?.downcast_ref::<Mailbox<E>>();
        debug_assert!(mailbox.is_some(), "service {name} has another event type");
        mailbox.cloned()
    }
}

impl fmt::Debug for ServiceRegistry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mailboxes = self.mailboxes.read().unwrap_or_else(PoisonError::into_inner);
        f.debug_set().entries(mailboxes.keys()).finish()
    }
}
