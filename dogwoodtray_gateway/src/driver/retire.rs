//! Drains VMs that are about to be removed.
//!
//! A VM holds no durable state, so a driver is drained once it drives no job and grants no places.

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
                Update::All(objects) => objects,
                Update::One(Change::Put(object)) => vec![object],
                Update::One(Change::Removed(name)) => {
                    started.remove(&name);
                    return;
                }
            };
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
        node.draining.set(true);
        node.announce_leaving();
        while !driver.is_idle() {
            sleep(POLL_PERIOD).await;
        }
    } else {
        sleep(SELF_RETIREMENT_TIME).await;
        while node.peers.is_present(node, name) {
            sleep(POLL_PERIOD).await;
        }
    }
    set_status(node, name, true).await;
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
