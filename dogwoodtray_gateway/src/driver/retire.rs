//! Drains VMs that are about to be removed.
//!
//! A VM holds no durable state, so a driver is drained once it drives no job and another driver can take
//! its place. The last driver keeps serving, and its VM is not reported as drained.

use std::collections::HashSet;
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_platform::Change;
use dogwoodtray_platform::Object;
use dogwoodtray_platform::UpdateResult;
use dogwoodtray_runtime::catalogue;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::Driver;
use crate::node::Node;
use crate::sync::Update;

/// Timeout of the watch of retirements. A retirement leaves a VM several seconds to drain.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that the driver on a retiring VM has to drain and record that itself. After that the other
/// drivers record the retirement, because the process on that VM may have stopped.
const SELF_RETIREMENT_TIME: Duration = Duration::from_secs(3);

/// Interval at which the progress of a retirement is checked and failed writes are retried.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Starts to follow the retirements in the store.
pub(super) fn spawn(node: &Rc<Node>, driver: &Rc<Driver>) {
    let driver = Rc::clone(driver);
    let mut started: HashSet<Name> = HashSet::new();
    let kind = node.dialect.names().retirements;
    node.spawn_watch(
        kind,
        |_| WATCH_TIMEOUT,
        move |node, update| {
            let objects = match update {
                Update::All(objects) => {
                    driver.retiring.borrow_mut().clear();
                    objects
                }
                Update::One(Change::Put(object)) => vec![object],
                Update::One(Change::Removed(name)) => {
                    started.remove(&name);
                    driver.retiring.borrow_mut().remove(&name);
                    return;
                }
            };
            let names = objects.iter().map(|object| Name::clone(&object.name));
            driver.retiring.borrow_mut().extend(names);
            for object in objects.iter().filter(|object| is_pending(node, object)) {
                if started.insert(Name::clone(&object.name)) {
                    let (node, driver) = (Rc::clone(node), Rc::clone(&driver));
                    let name = Name::clone(&object.name);
                    spawn_local(async move { retire(&node, &driver, &name).await });
                }
            }
        },
    );
}

fn is_pending(node: &Node, object: &Object) -> bool {
    !node.dialect.is_retired(object.status.get())
}

/// Drains this VM, or waits until the process on another VM has stopped, and records the retirement
/// as completed.
async fn retire(node: &Rc<Node>, driver: &Driver, name: &Name) {
    node.events.emit(&catalogue::RETIREMENT_STARTED, None, &[("vm", name)]);
    if *name == node.cfg.node {
        set_status(node, name, false).await;
        if !hand_over(node, driver).await {
            // The others record the retirement when this process is gone.
            return;
        }
    } else {
        sleep(SELF_RETIREMENT_TIME).await;
        while node.peers.is_present(node, name) {
            sleep(POLL_PERIOD).await;
        }
    }
    set_status(node, name, true).await;
}

/// Hands the work of this driver over to others, for as long as one of them stays. Returns `false` if
/// this process stops meanwhile.
async fn hand_over(node: &Rc<Node>, driver: &Driver) -> bool {
    let mut is_reported = false;
    while !driver.is_stopping() {
        let has_successor = node.peers.has_driver(node, |other| driver.outlasts(node, other));
        if node.draining.replace(has_successor) != has_successor {
            node.announce_leaving();
        }
        if has_successor && driver.is_idle() {
            return true;
        }
        if !has_successor && !is_reported {
            is_reported = true;
            let fields: [(&str, &dyn Display); 1] = [("vm", &node.cfg.node)];
            node.events.emit(&catalogue::RETIREMENT_WAITS, None, &fields);
        }
        sleep(POLL_PERIOD).await;
    }
    false
}

impl Driver {
    /// Returns `true` if another driver stays when this one has retired. Of two that are to retire, the
    /// one whose name comes first stays until there is another one.
    fn outlasts(&self, node: &Node, other: &Name) -> bool {
        !self.retiring.borrow().contains(other) || *other < node.cfg.node
    }
}

/// Stores the state of a retirement, with retries until it is stored or the retirement is removed.
async fn set_status(node: &Node, name: &Name, done: bool) {
    let kind = node.dialect.names().retirements;
    loop {
        let status = node.dialect.retirement_status(done);
        let updated = node.store.set_status(kind, name, status).await;
        let fields: [(&str, &dyn Display); 2] = [("vm", name), ("done", &done)];
        match updated {
            UpdateResult::Done => {
                return node.events.emit(&catalogue::RETIREMENT_RECORDED, None, &fields);
            }
            UpdateResult::Missing => return,
            UpdateResult::Conflict | UpdateResult::Unavailable | UpdateResult::Unknown => {
                sleep(POLL_PERIOD).await;
            }
        }
    }
}
