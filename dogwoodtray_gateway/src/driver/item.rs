//! Runs one item until it has a result.

use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::ContentVerdict;
use dogwoodtray_coord::Contents;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::TRIAL_PAUSE;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::TrialSubject;
use dogwoodtray_policy::Class;
use dogwoodtray_runtime::catalogue;
use tokio::time::sleep;

use super::item_run::ITEM_IDLE_TIMEOUT;
use super::item_run::PreparedItem;
use super::item_run::RunOutcome;
use super::item_run::run_once;
use super::job::Job;
use super::spec::StoredResult;
use crate::model::JobItem;
use crate::node::Node;
use crate::observed_run::ABORT_CHECK_DELAY;
use crate::places::PlaceError;
use crate::places::PlaceParams;
use crate::routing::RouteKey;
use crate::routing::RoutedService;
use crate::routing::Selection;
use crate::trial::Trial;
use crate::trial::TrialProgress;

/// Initial limit on the wait for the response head of an item. A later head means that the item is
/// queued in the endpoint behind other work, where it would delay online requests. The limit
/// doubles on each timeout, in case all endpoints are slow.
const INITIAL_HEAD_TIMEOUT: Duration = Duration::from_millis(200);

/// Delay after the first interrupted run; it doubles with each further run without progress.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum number of doublings of the delay, to 400 ms. Items that crash endpoints are held back by
/// the evidence of these crashes, and others are not to wait.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Delay after a run that crashed its endpoint before any output, in which the drivers analyze the
/// crash.
const CRASH_ANALYSIS_TIME: Duration = Duration::from_millis(250);

/// Number of runs in turn that end without an event after the same one, by which an item is complete.
/// An endpoint that does not frame its answers has no other way to say that nothing is left.
const CONFIRMING_EMPTY_RUNS: u32 = 3;

/// Time in which a trial has to get a place. The next trial of the same content is due later than that.
const TRIAL_PLACE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum time until an item whose trial was given to another one checks its contents again.
const MAX_TRIAL_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time for which an item that was tried leaves the next trial to others.
const GIVE_WAY_DELAY: Duration = Duration::from_millis(300);

/// Time for which a route may be missing before its items fail. The route may be absent briefly
/// while a configuration is being replaced.
const MISSING_ROUTE_TIMEOUT: Duration = Duration::from_secs(4);

/// Interval at which a missing route is looked up again.
const ROUTE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time that an item waits for a place before it requests one again.
const PLACE_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs an item, at one endpoint after another, until it has a result.
pub(super) async fn run(node: Rc<Node>, job: Rc<Job>, item: Rc<JobItem>) -> StoredResult {
    let expires_at = node.now() + Duration::from_millis(job.spec.retention_ms);
    let due = job.due(&node);
    let mut failures = 0;
    let mut interruptions = 0;
    let mut empty_runs = 0;
    let mut head_timeout = INITIAL_HEAD_TIMEOUT;
    let mut excluded: Vec<Name> = Vec::new();
    // Trial that the last run left to the next one.
    let mut kept: Option<Trial> = None;
    let mut was_tried = false;
    let route_key = RouteKey::new(&job.spec.host, &item.path);
    let prepared = match PreparedItem::new(&node, &job, &item) {
        Ok(prepared) => prepared,
        Err(err) => return failed_result(&node, &job, &item, &err),
    };
    loop {
        let mut trial =
            kept.take().filter(|trial| may_go_on(&node, trial, &prepared.contents, expires_at));
        if trial.is_none() {
            let blocked = hold(&node, &job, &item, &prepared.contents, expires_at, was_tried).await;
            let subject = trial_subject(&node, expires_at);
            trial = Trial::keep_or_open(None, &node, &item.id, subject, blocked);
        }
        if node.now() >= expires_at {
            return failed_result(&node, &job, &item, &"retention over");
        }
        let Some(service) = resolve_service(&node, &job, &route_key).await else {
            return failed_result(&node, &job, &item, &"route gone");
        };
        let progress = job.outputs().longest(&item.id);
        let now = node.now();
        let remaining = node
            .driver
            .get()
            .map(|driver| driver.estimator.remaining(item.tokens, progress.borrow().event_count()));
        let remaining = remaining.unwrap_or_default();
        // An item that has been held is late and would wait behind all others.
        let (due, place_timeout) = match &trial {
            None => (due, PLACE_TIMEOUT),
            // No other trial starts while this one is out.
            Some(trial) if trial.is_out() => (now + TRIAL_PAUSE + remaining, TRIAL_PAUSE),
            Some(_) => (now + TRIAL_PLACE_TIMEOUT + remaining, TRIAL_PLACE_TIMEOUT),
        };
        let params = PlaceParams {
            service: Name::clone(&service.name),
            class: Class::Batch,
            start_by: due.saturating_sub(remaining),
            due,
            expires_at: (now + place_timeout).min(expires_at),
            // One trial of an endpoint that failed is enough until the item makes progress.
            repeatable: interruptions == 0,
            excluded: excluded.clone(),
            trial: trial.as_ref().map(|trial| trial.key().clone()),
            organization: job.spec.organization.clone(),
            priority: job.spec.priority,
            counted: true,
            cost: prepared.cost,
        };
        let place = node.acquire_place(&params);
        let place = node.while_selected(&service, |_| true, place).await;
        if let (Some(trial), Ok(Err(error))) = (&mut trial, &place) {
            trial.set_progress(match error {
                PlaceError::Refused { .. } | PlaceError::OverLimit { .. } => TrialProgress::Refused,
                PlaceError::Expired => TrialProgress::NoPlace,
            });
        }
        let permit = match place {
            Ok(Ok(permit)) => permit,
            Ok(Err(
                PlaceError::Refused { retry_after } | PlaceError::OverLimit { retry_after },
            )) => {
                drop(trial);
                sleep(retry_after.min(MAX_TRIAL_RETRY_DELAY)).await;
                continue;
            }
            Ok(Err(PlaceError::Expired)) => continue,
            Err(next) => {
                log_left_service(&node, &job, &item, &service, &next);
                continue;
            }
        };
        trial.iter_mut().for_each(Trial::on_granted);
        // A content may have been blocked while the item waited for its place.
        if node.is_newly_blocked(&prepared.contents, trial.as_ref().map(Trial::key)) {
            continue;
        }
        let endpoint = Name::clone(&permit.endpoint);
        // Another driver may have sent output while the item waited for its place.
        let progress = job.outputs().longest(&item.id);
        let last_event_before = progress.borrow().last_event_id();
        let (started_at, events_before) = (node.now(), progress.borrow().event_count());
        let is_trial = trial.is_some();
        let mut outcome =
            run_once(&node, &job, &item, &prepared, &progress, (permit, &mut trial), head_timeout)
                .await;
        kept = trial;
        was_tried |= is_trial && kept.is_none();
        if progress.borrow().event_count() > events_before {
            empty_runs = 0;
        } else if matches!(outcome, RunOutcome::Empty) {
            empty_runs += 1;
            if empty_runs >= CONFIRMING_EMPTY_RUNS {
                let events = progress.borrow().event_count();
                let fields: [(&str, &dyn Display); 3] =
                    [("item", &item.id), ("endpoint", &endpoint), ("events", &events)];
                node.events.emit(&catalogue::ITEM_COMPLETED_BY_EMPTY_RUNS, Some(job.id()), &fields);
                outcome = RunOutcome::Completed;
            }
        }
        match outcome {
            RunOutcome::Completed => {
                if let Some(driver) = node.driver.get() {
                    let events = progress.borrow().event_count();
                    driver.estimator.observe(
                        item.tokens,
                        events,
                        events.saturating_sub(events_before),
                        node.now() - started_at,
                    );
                }
                return StoredResult {
                    item: Name::clone(&item.id),
                    completed: true,
                    output: progress.borrow().output(),
                };
            }
            RunOutcome::Unprocessable => return failed_result(&node, &job, &item, &"impossible"),
            RunOutcome::Failed => {
                failures += 1;
                job.outputs().reset(&item.id);
                if failures >= job.spec.max_attempts {
                    return failed_result(&node, &job, &item, &"too many failures");
                }
                sleep(INITIAL_BACKOFF).await;
            }
            RunOutcome::Preempted => excluded.clear(),
            RunOutcome::PreemptedAtStart => {
                excluded.clear();
                sleep(ABORT_CHECK_DELAY + CRASH_ANALYSIS_TIME).await;
            }
            RunOutcome::Queued => head_timeout = (head_timeout * 2).min(ITEM_IDLE_TIMEOUT),
            RunOutcome::BrokenOffAtStart => {
                interruptions += 1;
                excluded = vec![endpoint];
                sleep(CRASH_ANALYSIS_TIME).await;
            }
            RunOutcome::Interrupted | RunOutcome::Empty => {
                interruptions = if progress.borrow().last_event_id() > last_event_before {
                    0
                } else {
                    interruptions + 1
                };
                excluded = vec![endpoint];
                sleep(INITIAL_BACKOFF * (1 << interruptions.min(MAX_BACKOFF_DOUBLINGS))).await;
            }
        }
    }
}

/// Waits while contents of the item are blocked because they crash endpoints. Returns those that its
/// next run is to try, if any. Also returns when the retention of the item is over. If the item was tried
/// before, others that were not may go first: one of them may be sound and clear the content.
async fn hold(
    node: &Node,
    job: &Job,
    item: &JobItem,
    contents: &Contents,
    expires_at: Timestamp,
    was_tried: bool,
) -> Vec<ContentHash> {
    let mut is_logged = false;
    let mut gives_way = was_tried;
    loop {
        let (content, retry_after) =
            match node.content_verdict(trial_subject(node, expires_at), contents, None) {
                ContentVerdict::Allowed => return Vec::new(),
                ContentVerdict::Trial(_) if gives_way => {
                    gives_way = false;
                    sleep(GIVE_WAY_DELAY).await;
                    continue;
                }
                ContentVerdict::Trial(contents) => return contents,
                ContentVerdict::Blocked { content, retry_after } => (content, retry_after),
            };
        let left = expires_at - node.now();
        if left.is_zero() {
            return Vec::new();
        }
        if !is_logged {
            is_logged = true;
            let crashes = node.crash_count(content);
            let retry_after_ms = retry_after.as_millis();
            let fields: [(&str, &dyn Display); 4] = [
                ("item", &item.id),
                ("content", &content),
                ("crashes", &crashes),
                ("retry_after_ms", &retry_after_ms),
            ];
            node.events.emit(&catalogue::ITEM_HELD, Some(job.id()), &fields);
            metrics::counter!("dogwoodtray_held_items_total").increment(1);
        }
        // Before it is given up, the next trial may be due sooner.
        let until_expiring = left.saturating_sub(TRIAL_PLACE_TIMEOUT);
        let wait = if until_expiring.is_zero() { left } else { until_expiring };
        tokio::select! {
            () = sleep(retry_after.min(wait)) => {}
            () = node.content_cleared() => {}
        }
    }
}

/// Returns `true` if a trial that was not run is of all blocked contents of the item and may be sent
/// again at once.
fn may_go_on(node: &Node, trial: &Trial, contents: &Contents, expires_at: Timestamp) -> bool {
    let id = Some(trial.key().id);
    let verdict = node.content_verdict(trial_subject(node, expires_at), contents, id);
    matches!(verdict, ContentVerdict::Trial(blocked) if *trial.key().contents == *blocked)
}

/// Returns how the item is tried: one that is given up soon need not wait as long as others.
fn trial_subject(node: &Node, expires_at: Timestamp) -> TrialSubject {
    if expires_at - node.now() <= TRIAL_PLACE_TIMEOUT {
        TrialSubject::ExpiringItem
    } else {
        TrialSubject::Item
    }
}

/// Returns the service that the current configuration selects for the item. Waits while its route
/// is missing, and returns `None` if that takes too long. A configuration that is older than that by
/// which the job was accepted proves nothing.
async fn resolve_service(node: &Node, job: &Job, key: &RouteKey) -> Option<RoutedService> {
    let mut missing_since = node.now();
    loop {
        if node.directory.borrow().generation() < job.spec.generation {
            missing_since = node.now();
        }
        match node.select_service(key) {
            Selection::Service(name) => {
                return Some(RoutedService { key: key.clone(), name });
            }
            Selection::NoRoute if node.now() - missing_since >= MISSING_ROUTE_TIMEOUT => {
                return None;
            }
            Selection::NoRoute | Selection::NoConfig => sleep(ROUTE_POLL_INTERVAL).await,
        }
    }
}

/// Logs that the item no longer waits for a place of this service.
fn log_left_service(
    node: &Node,
    job: &Job,
    item: &JobItem,
    service: &RoutedService,
    next: &Selection,
) {
    let fields: [(&str, &dyn Display); 3] =
        [("item", &item.id), ("service", &service.name), ("next", next)];
    node.events.emit(&catalogue::SERVICE_LEFT, Some(job.id()), &fields);
}

/// Logs that the item has failed permanently, and returns its result.
fn failed_result(node: &Node, job: &Job, item: &JobItem, reason: &dyn Display) -> StoredResult {
    let fields: [(&str, &dyn Display); 2] = [("item", &item.id), ("reason", reason)];
    node.events.emit(&catalogue::ITEM_GIVEN_UP, Some(job.id()), &fields);
    StoredResult { item: Name::clone(&item.id), completed: false, output: String::new() }
}
