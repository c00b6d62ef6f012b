//! Tests of the drivers that watch the jobs in the store for all others.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::collections::BTreeMap;
use std::thread::JoinHandle;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::choose_subset;
use dogwoodtray_gateway::Gateway;
use hyper::StatusCode;
use support::Behavior;
use support::Endpoint;
use support::SilentRelay;
use support::Site;
use support::run_local;
use support::submission;
use support::wait_until;
use tokio::sync::oneshot;
use tokio::time::sleep;

const DRIVERS: [&str; 8] = ["d1", "d2", "d3", "d4", "d5", "d6", "d7", "d8"];

/// Number of drivers that watch the jobs.
const WATCHERS: usize = 3;

/// Time after which no item of a cancelled job may begin, as defined by the platform.
const CANCEL_TIME: Duration = Duration::from_secs(3);

/// Driver on a thread of its own, which is killed when this value is dropped.
struct KillableDriver {
    kill_tx: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl KillableDriver {
    fn start(site: &Site, name: &'static str) -> Self {
        let (kill_tx, kill_rx) = oneshot::channel();
        let store = site.store.clone();
        let (caller_addr, admin_addr) = (site.caller_addr, site.admin_addr);
        let thread = std::thread::spawn(move || {
            run_local(async {
                let site = Site { store, caller_addr, admin_addr, revocation: None };
                let _driver = site.start_driver(name).await;
                // All tasks of the driver end with this runtime.
                let _ = kill_rx.await;
            });
        });
        Self { kill_tx: Some(kill_tx), thread: Some(thread) }
    }
}

impl Drop for KillableDriver {
    fn drop(&mut self) {
        drop(self.kill_tx.take());
        if let Some(thread) = self.thread.take() {
            // A failed driver fails the test by its missing work.
            let _ = thread.join();
        }
    }
}

/// A site with more drivers than watchers.
struct Fleet {
    site: Site,
    endpoint: Endpoint,
    drivers: BTreeMap<Name, KillableDriver>,
    _gateway: Gateway,
}

impl Fleet {
    /// Starts the processes and waits until only the watchers watch.
    async fn start(behavior: Behavior) -> Self {
        let site = Site::new();
        let endpoint = site.add_endpoint("e1", "engine", 64).await;
        *endpoint.default_behavior.borrow_mut() = behavior;
        let mut drivers = BTreeMap::new();
        for name in DRIVERS {
            drivers.insert(Name::from(name), KillableDriver::start(&site, name));
        }
        let gateway = site.start_gateway().await;
        let fleet = Self { site, endpoint, drivers, _gateway: gateway };
        fleet.wait_for_watchers().await;
        fleet
    }

    async fn wait_for_watchers(&self) {
        let store = self.site.store.clone();
        let count = || (store.open_watches("batch-jobs"), store.open_watches("batch-ends"));
        wait_until("the watchers watch", || count() == (WATCHERS, WATCHERS)).await;
    }

    fn names(&self) -> Vec<Name> {
        self.drivers.keys().cloned().collect()
    }

    fn watchers(&self) -> Vec<Name> {
        choose_subset("jobs", &self.names(), WATCHERS)
    }

    /// Returns jobs that are driven by drivers which do not watch.
    fn jobs_of_others(&self, count: usize) -> Vec<String> {
        let watchers = self.watchers();
        let owner = |job: &str| choose_subset(job, &self.names(), 1).remove(0);
        let jobs = (0..).map(|number| format!("j{number}"));
        jobs.filter(|job| !watchers.contains(&owner(job))).take(count).collect()
    }

    /// Puts a relay in front of a driver, through which all others reach it.
    async fn relay_to(&self, driver: &str) -> SilentRelay {
        // The gateway and the other drivers.
        let links = u32::try_from(self.drivers.len()).unwrap();
        self.site.relay_to(driver, links).await
    }

    /// Submits jobs of one item each, and waits until all items run.
    async fn submit(&self, jobs: &[String]) {
        let before = self.endpoint.request_count();
        for job in jobs {
            let response = self.site.post("/job/x", job, &submission(&[job])).await;
            assert_eq!(response.status, StatusCode::ACCEPTED);
        }
        wait_until("the items run", || self.endpoint.request_count() >= before + jobs.len()).await;
    }

    /// Waits until each job has its result.
    async fn wait_for_results(&self, jobs: &[String]) {
        for job in jobs {
            for _ in 0..400 {
                let page = self.site.get(&format!("/api/lots/{job}?after=0")).await;
                if page.status == StatusCode::OK && page.body.contains("completed") {
                    break;
                }
                sleep(Duration::from_millis(50)).await;
            }
            let page = self.site.get(&format!("/api/lots/{job}?after=0")).await;
            assert!(page.body.contains("completed"), "{job}: {}", page.body);
        }
    }
}

fn slow() -> Behavior {
    Behavior::Stream { to: 60, pause: Duration::from_millis(50) }
}

/// Guards against calls for a job that grow with the number of drivers: each change of a job would
/// be returned to every driver that watches.
#[test]
fn calls_for_a_job_do_not_grow_with_the_drivers() {
    run_local(async {
        let fleet = Fleet::start(Behavior::Stream { to: 3, pause: Duration::ZERO }).await;
        let store = fleet.site.store.clone();
        let calls = || store.calls_of("batch-jobs");
        let jobs = fleet.jobs_of_others(20);
        let before = calls();
        fleet.submit(&jobs).await;
        fleet.wait_for_results(&jobs).await;
        let per_job = (calls() - before) / jobs.len() as u64;
        // Creation, read by the owner, status, and both changes at each watcher.
        assert!(per_job <= 3 + 2 * WATCHERS as u64, "{per_job} calls for a job");
    });
}

/// Guards against jobs that nobody drives after their driver, which did not watch, is lost.
#[test]
fn jobs_of_a_lost_driver_are_taken_over() {
    run_local(async {
        let mut fleet = Fleet::start(slow()).await;
        let jobs = fleet.jobs_of_others(6);
        fleet.submit(&jobs).await;
        let watchers = fleet.watchers();
        fleet.drivers.retain(|name, _| watchers.contains(name));
        fleet.wait_for_results(&jobs).await;
    });
}

/// Guards against jobs that nobody drives after all watchers are lost.
#[test]
fn the_loss_of_all_watchers_loses_no_job() {
    run_local(async {
        let mut fleet = Fleet::start(slow()).await;
        let jobs: Vec<String> = (0..8).map(|number| format!("k{number}")).collect();
        fleet.submit(&jobs).await;
        let watchers = fleet.watchers();
        fleet.drivers.retain(|name, _| !watchers.contains(name));
        fleet.wait_for_results(&jobs).await;
        fleet.wait_for_watchers().await;
    });
}

/// Guards against a cancelled job that goes on because its gateway failed before it told the
/// drivers.
#[test]
fn a_cancellation_in_the_store_reaches_a_driver_that_does_not_watch() {
    run_local(async {
        let fleet = Fleet::start(slow()).await;
        let jobs = fleet.jobs_of_others(1);
        fleet.submit(&jobs).await;
        fleet.site.store.put("batch-ends", &jobs[0], "{}");
        let endpoint = fleet.endpoint.clone();
        wait_until("the item is aborted", || !*endpoint.requests.borrow()[0].in_progress.borrow())
            .await;
        assert_eq!(endpoint.request_count(), 1);
    });
}

/// Guards against a job that is lost because its next driver cannot read it in an outage of the
/// store, and against output that is lost because that driver did not know the job when it arrived.
#[test]
fn a_job_that_is_taken_over_in_an_outage_resumes_after_it() {
    run_local(async {
        let mut fleet = Fleet::start(slow()).await;
        let jobs = fleet.jobs_of_others(4);
        fleet.submit(&jobs).await;
        // Wait until the output so far is replicated.
        sleep(Duration::from_millis(1_500)).await;
        let before = fleet.endpoint.request_count();
        fleet.site.store.set_down(true);
        let owner = choose_subset(&jobs[0], &fleet.names(), 1).remove(0);
        fleet.drivers.remove(&owner);
        // Longer than the time after which another driver takes over.
        sleep(Duration::from_secs(3)).await;
        fleet.site.store.set_down(false);
        let endpoint = fleet.endpoint.clone();
        wait_until("the item runs again", || endpoint.request_count() > before).await;
        let resumed = endpoint.requests.borrow()[before].last_event_id;
        assert!(resumed.is_some_and(|id| id >= 10), "resumed after {resumed:?}");
        fleet.wait_for_results(&jobs).await;
    });
}

/// Guards against a driver that goes on with a cancelled job because the links, on which it was told,
/// were silent at that moment.
#[test]
fn a_driver_learns_of_a_cancellation_that_was_sent_on_silent_links() {
    run_local(async {
        let item = Behavior::Stream { to: 100, pause: Duration::from_millis(50) };
        let fleet = Fleet::start(item).await;
        let job = &fleet.jobs_of_others(1)[0];
        let owner = choose_subset(job, &fleet.names(), 1).remove(0);
        let relay = fleet.relay_to(&owner).await;
        // Wait until the links through the relay are up, so that the job keeps its owner.
        sleep(Duration::from_millis(500)).await;
        let items: Vec<String> = (0..190).map(|number| format!("i{number}")).collect();
        let items: Vec<&str> = items.iter().map(String::as_str).collect();
        fleet.site.post("/job/x", job, &submission(&items)).await;
        let endpoint = fleet.endpoint.clone();
        wait_until("all places are in use", || endpoint.request_count() >= 64).await;
        relay.silence();
        sleep(Duration::from_millis(300)).await;
        let cancelled = fleet.site.delete(&format!("/api/lots/{job}")).await;
        assert_eq!(cancelled.status, StatusCode::OK);
        // The links are closed after 2 s of silence, and opened again at once.
        sleep(CANCEL_TIME).await;
        let before = endpoint.request_count();
        assert!(before < items.len(), "the job has items left");
        sleep(Duration::from_secs(4)).await;
        assert_eq!(endpoint.request_count(), before, "items of a cancelled job begin");
    });
}
