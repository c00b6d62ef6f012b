//! Drivers that watch the jobs in the store on behalf of all drivers.
//!
//! Every change of a watched kind is a counted call for each process that watches it. A few drivers
//! therefore watch the jobs and cancellations and tell the others over their links: the owner of a
//! job that it is to drive the job, and all drivers which jobs are cancelled.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_runtime::LinkId;
use dogwoodtray_wire::messages;

use super::Driver;
use crate::node::Node;

/// Key for selecting the drivers that watch the jobs, and that admit jobs to limited routes.
pub(crate) const WATCHERS_KEY: &str = "jobs";

/// Number of drivers that watch the jobs. The store may reject the calls of some of them.
pub(crate) const WATCHER_COUNT: usize = 3;

/// Time for which a driver continues to watch after others were preferred, so that a short
/// interruption of its links costs no new lists.
const LINGER_TIME: Duration = Duration::from_secs(5);

/// State of a driver as a watcher.
#[derive(Debug, Default)]
pub(super) struct Watcher {
    watching_until: Cell<Timestamp>,
    /// Driver that was told to drive each open job, and the link on which it was told.
    notified: RefCell<HashMap<Name, (Name, LinkId)>>,
}

impl Driver {
    /// Returns `true` if this process watches the jobs.
    pub(crate) fn is_watcher(&self, node: &Node) -> bool {
        let watchers = node.peers.ranked(node, WATCHERS_KEY);
        if watchers.iter().take(WATCHER_COUNT).any(|name| *name == node.cfg.node) {
            self.watcher.watching_until.set(node.now() + LINGER_TIME);
        }
        node.now() < self.watcher.watching_until.get()
    }

    /// Tells the owners of open jobs to drive them, unless they were told on their current links.
    pub(super) fn notify_owners(&self, node: &Node) {
        let mut notified = self.watcher.notified.borrow_mut();
        let jobs = self.jobs.borrow();
        notified.retain(|id, _| jobs.get(id).is_some_and(|job| !job.is_terminal()));
        for (id, _) in jobs.iter().filter(|(_, job)| !job.is_terminal()) {
            let Some(owner) = node.peers.owner_of(node, id) else { continue };
            let Some(link) = node.peers.link_to(&owner) else { continue };
            let is_notified =
                notified.get(id).is_some_and(|(to, on)| *to == owner && *on == link.id());
            if !is_notified && link.send(messages::JobAccepted { job: id.to_string() }) {
                notified.insert(Name::clone(id), (owner, link.id()));
            }
        }
    }
}
