//! Empties VMs that are to be taken away.
//!
//! Nothing lasts on a VM, so a driver is empty once it drives no job and gives no places.

use std::collections::HashSet;
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_platform::Change;
use dogwoodtray_platform::Object;
use dogwoodtray_platform::Updated;
use dogwoodtray_runtime::catalogue;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::Driver;
use crate::node::Node;
use crate::sync::Update;

/// Wait of the watch of retirements, which leave seconds to act.
const WATCH_WAIT: Duration = Duration::from_secs(5);

/// Time that a VM gets to empty itself before another driver sees to it that it is recorded, as
/// its process may be gone.
const OWN_TIME: Duration = Duration::from_secs(3);

/// Interval at which a retirement is looked at again.
const POLL: Duration = Duration::from_millis(100);

/// Follows the requests to empty VMs.
pub(super) fn spawn(node: &Rc<Node>, driver: &Rc<Driver>) {
    let driver = Rc::clone(driver);
    let mut known: HashSet<Name> = HashSet::new();
    let kind = node.dialect.names().retirements;
    node.spawn_follow(
        kind,
        |_| WATCH_WAIT,
        move |node, update| {
            let objects = match update {
                Update::All(objects) => objects,
                Update::One(Change::Put(object)) => vec![object],
                Update::One(Change::Removed(name)) => {
                    known.remove(&name);
                    return;
                }
            };
            for object in objects.iter().filter(|object| is_open(node, object)) {
                if known.insert(Name::clone(&object.name)) {
                    let (node, driver) = (Rc::clone(node), Rc::clone(&driver));
                    let name = Name::clone(&object.name);
                    spawn_local(async move { retire(&node, &driver, &name).await });
                }
            }
        },
    );
}

fn is_open(node: &Node, object: &Object) -> bool {
    !node.dialect.is_retired(object.status.get())
}

async fn retire(node: &Rc<Node>, driver: &Driver, name: &Name) {
    node.events.emit(&catalogue::RETIREMENT_STARTED, None, &[("vm", name)]);
    if *name == node.cfg.node {
        set_status(node, name, false).await;
        node.draining.set(true);
        node.announce_leaving();
        while !driver.is_idle() {
            sleep(POLL).await;
        }
    } else {
        sleep(OWN_TIME).await;
        while node.peers.is_there(node, name) {
            sleep(POLL).await;
        }
    }
    set_status(node, name, true).await;
}

async fn set_status(node: &Node, name: &Name, done: bool) {
    let kind = node.dialect.names().retirements;
    loop {
        let status = node.dialect.retirement_status(done);
        let updated = node.store.set_status(kind, name, status).await;
        let fields: [(&str, &dyn Display); 2] = [("vm", name), ("done", &done)];
        match updated {
            Updated::Done => {
                return node.events.emit(&catalogue::RETIREMENT_RECORDED, None, &fields);
            }
            Updated::Missing => return,
            Updated::Conflict | Updated::Unavailable | Updated::Unknown => sleep(POLL).await,
        }
    }
}
