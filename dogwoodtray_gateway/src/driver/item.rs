//! Runs one item until it has a result.

use std::cell::RefCell;
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::PlaceEnd;
use dogwoodtray_runtime::catalogue;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use super::job::Job;
use super::progress::Progress;
use super::spec::StoredResult;
use crate::model::JobItem;
use crate::net::EventReader;
use crate::net::UpstreamBody;
use crate::net::send;
use crate::node::Node;
use crate::places::Lease;
use crate::places::NoPlace;
use crate::places::Want;
use crate::request::Outgoing;
use crate::request::Verdict;
use crate::request::judge;

/// Silence of an endpoint after which an item goes on elsewhere. Events come every 30 ms, and a
/// resumed item reads its prompt and its own output within 100 ms.
const ITEM_SILENCE: Duration = Duration::from_millis(1_500);

/// Time after which an item whose head is missing leaves its endpoint again: something else runs
/// there, and online requests would wait behind it. It doubles each time, in case all endpoints
/// are slow.
const FIRST_HEAD_TIMEOUT: Duration = Duration::from_millis(200);

/// Pause after the first broken run; it doubles with each further one without progress.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Doublings of the pause. An item that breaks every endpoint is then tried every 13 s.
const MAX_DOUBLINGS: u32 = 8;

/// Time for which a route may be missing before its items are given up; a configuration that is
/// being replaced may miss it for a moment.
const ROUTE_GONE_TIME: Duration = Duration::from_secs(4);

/// Interval at which the output of an item is given to another driver. A loss of this process
/// costs that much of each item; the output grows by some 2.5 KB a second.
const HAND_OVER_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval at which a missing route is looked for.
const ROUTE_POLL: Duration = Duration::from_millis(500);

/// Time that an item waits for a place before it asks again.
const PLACE_WAIT: Duration = Duration::from_secs(60);

/// How one run ended.
enum Run {
    /// The output is whole.
    Whole,
    /// The endpoint failed on the item.
    Failed,
    /// The endpoint says that the item can never be done.
    Impossible,
    /// The place went back to online work.
    Preempted,
    /// The item waited inside its endpoint.
    Crowded,
    /// The run broke off or did not begin.
    Broken,
}

/// Runs an item until it has a result.
pub(super) async fn run(node: Rc<Node>, job: Rc<Job>, item: Rc<JobItem>) -> StoredResult {
    let given_up_at = node.now() + Duration::from_millis(job.spec.retention_ms);
    let due = job.due(&node);
    let mut failures = 0;
    let mut breaks = 0;
    let mut head_timeout = FIRST_HEAD_TIMEOUT;
    let mut excluded: Vec<Name> = Vec::new();
    loop {
        if node.now() >= given_up_at {
            return give_up(&node, &job, &item, "retention over");
        }
        let Some(service) = service_of(&node, &job, &item).await else {
            return give_up(&node, &job, &item, "route gone");
        };
        let progress = job.outputs().open(&item.id);
        let now = node.now();
        let left = node.driver.get().map(|driver| driver.pace.left(progress.borrow().events()));
        let want = Want {
            service,
            class: Class::Batch,
            start_by: due.before(left.unwrap_or_default()),
            due,
            give_up_at: now + PLACE_WAIT,
            excluded: excluded.clone(),
        };
        let lease = match node.place(&want).await {
            Ok(lease) => lease,
            Err(NoPlace::Refused { retry_after }) => {
                sleep(retry_after).await;
                continue;
            }
            Err(NoPlace::Expired) => continue,
        };
        let endpoint = Name::clone(&lease.endpoint);
        // Output may have been given while the item waited for its place.
        let progress = job.outputs().open(&item.id);
        let before = progress.borrow().last();
        let (began, had) = (node.now(), progress.borrow().events());
        match run_once(&node, &job, &item, &progress, lease, head_timeout).await {
            Run::Whole => {
                if let Some(driver) = node.driver.get() {
                    let events = progress.borrow().events();
                    driver.pace.observe(events, events.saturating_sub(had), node.now() - began);
                }
                return StoredResult {
                    item: Name::clone(&item.id),
                    completed: true,
                    output: progress.borrow().output(),
                };
            }
            Run::Impossible => return give_up(&node, &job, &item, "impossible"),
            Run::Failed => {
                failures += 1;
                job.outputs().reset(&item.id);
                if failures >= job.spec.max_attempts {
                    return give_up(&node, &job, &item, "too many failures");
                }
                sleep(FIRST_PAUSE).await;
            }
            Run::Preempted => excluded.clear(),
            Run::Crowded => head_timeout = (head_timeout * 2).min(ITEM_SILENCE),
            Run::Broken => {
                breaks = if progress.borrow().last() > before { 0 } else { breaks + 1 };
                excluded = vec![endpoint];
                sleep(FIRST_PAUSE * (1 << breaks.min(MAX_DOUBLINGS))).await;
            }
        }
    }
}

/// Finds the service that runs the item under the configuration in force.
async fn service_of(node: &Node, job: &Job, item: &JobItem) -> Option<Name> {
    let missing_since = node.now();
    loop {
        let config = node.directory.borrow().config().cloned();
        match config {
            None => {}
            Some(config) => {
                let path = item.path.split('?').next().unwrap_or_default();
                if let Some(route) = config.route(&job.spec.host, path) {
                    return route.service_at(rand::random()).cloned();
                }
                if node.now() - missing_since >= ROUTE_GONE_TIME {
                    return None;
                }
            }
        }
        sleep(ROUTE_POLL).await;
    }
}

fn give_up(node: &Node, job: &Job, item: &JobItem, reason: &'static str) -> StoredResult {
    let fields: [(&str, &dyn Display); 2] = [("item", &item.id), ("reason", &reason)];
    node.events.emit(&catalogue::ITEM_GIVEN_UP, Some(job.id()), &fields);
    StoredResult { item: Name::clone(&item.id), completed: false, output: String::new() }
}

/// Runs the item at one endpoint, from where the runs before it stopped.
async fn run_once(
    node: &Rc<Node>,
    job: &Job,
    item: &JobItem,
    progress: &RefCell<Progress>,
    mut lease: Lease,
    head_timeout: Duration,
) -> Run {
    let endpoint = Name::clone(&lease.endpoint);
    let (run, end, reason) = tokio::select! {
        biased;
        () = lease.preempted() => (Run::Preempted, PlaceEnd::Withdrawn, String::new()),
        ended = exchange(node, job, item, progress, &endpoint, head_timeout) => ended,
    };
    if matches!(run, Run::Crowded) {
        lease.slow();
    }
    lease.ended(end);
    if matches!(run, Run::Failed | Run::Broken) {
        let events = progress.borrow().events();
        let fields: [(&str, &dyn Display); 4] =
            [("item", &item.id), ("endpoint", &endpoint), ("reason", &reason), ("events", &events)];
        node.events.emit(&catalogue::ITEM_RETRIED, Some(job.id()), &fields);
    }
    run
}

async fn exchange(
    node: &Rc<Node>,
    job: &Job,
    item: &JobItem,
    progress: &RefCell<Progress>,
    endpoint: &Name,
    head_timeout: Duration,
) -> (Run, PlaceEnd, String) {
    let broken = |end, reason: &dyn Display| (Run::Broken, end, reason.to_string());
    let known = node.directory.borrow().endpoint(endpoint).cloned();
    let Some(known) = known else {
        return broken(PlaceEnd::Withdrawn, &"endpoint left");
    };
    let names = node.dialect.names();
    let left = Duration::from_millis(job.spec.retention_ms);
    let Some(req) = outgoing(node, job, item)
        .and_then(|out| out.to(names, &known.id, left, progress.borrow().last()))
    else {
        return (Run::Impossible, PlaceEnd::Withdrawn, "not a request".to_owned());
    };
    let exchange = match timeout(head_timeout, send(known.addr, req)).await {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(err)) => return broken(PlaceEnd::Failed, &err),
        Err(_) => return (Run::Crowded, PlaceEnd::Full, String::new()),
    };
    let status = exchange.parts.status;
    match judge(names, &exchange.parts, &item.id) {
        Verdict::NotRun if status == StatusCode::SERVICE_UNAVAILABLE => {
            broken(PlaceEnd::Full, &status)
        }
        Verdict::NotRun => broken(PlaceEnd::Withdrawn, &status),
        Verdict::Damaged => broken(PlaceEnd::Withdrawn, &"damaged answer"),
        Verdict::Failure if status == StatusCode::INTERNAL_SERVER_ERROR => {
            (Run::Failed, PlaceEnd::Answered, status.to_string())
        }
        Verdict::Failure => broken(PlaceEnd::Withdrawn, &status),
        Verdict::Answer if status.is_success() => {
            let keep = || hand_over(node, job, item, &progress.borrow());
            read(exchange.body, progress, keep).await
        }
        Verdict::Answer if status == StatusCode::UNPROCESSABLE_ENTITY => {
            (Run::Impossible, PlaceEnd::Answered, status.to_string())
        }
        Verdict::Answer => broken(PlaceEnd::Answered, &status),
    }
}

/// Gives the output so far to the driver that would take the job over.
fn hand_over(node: &Node, job: &Job, item: &JobItem, progress: &Progress) {
    if let Some(link) = node.peers.backup_for(node, job.id())
        && let Some(message) = progress.message(job.id(), &item.id)
    {
        link.send(message);
    }
}

/// Reads events until the stream ends.
async fn read(
    mut body: UpstreamBody,
    progress: &RefCell<Progress>,
    hand_over: impl Fn(),
) -> (Run, PlaceEnd, String) {
    let mut reader = EventReader::default();
    let mut handed_over = Instant::now();
    loop {
        let (end, reason) = match timeout(ITEM_SILENCE, body.frame()).await {
            Ok(None) if reader.has_rest() => (PlaceEnd::Withdrawn, "part of an event".to_owned()),
            Ok(None) => return (Run::Whole, PlaceEnd::Answered, String::new()),
            Ok(Some(Err(err))) => (PlaceEnd::Withdrawn, err.to_string()),
            Err(_) => (PlaceEnd::Failed, "silence".to_owned()),
            Ok(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else { continue };
                reader.push(&data);
                if take_events(&mut reader, &mut progress.borrow_mut()) {
                    if handed_over.elapsed() >= HAND_OVER_INTERVAL {
                        handed_over = Instant::now();
                        hand_over();
                    }
                    continue;
                }
                progress.replace(Progress::default());
                (PlaceEnd::Withdrawn, "events are missing".to_owned())
            }
        };
        return (Run::Broken, end, reason);
    }
}

fn take_events(reader: &mut EventReader, progress: &mut Progress) -> bool {
    while let Some(event) = reader.next_event() {
        if !progress.add(event.id(), event.data()) {
            return false;
        }
    }
    true
}

fn outgoing(node: &Node, job: &Job, item: &JobItem) -> Option<Outgoing> {
    let mut headers = HeaderMap::new();
    headers.insert(header::HOST, HeaderValue::from_str(&job.spec.host).ok()?);
    for (name, value) in &item.headers {
        headers.append(name.parse::<HeaderName>().ok()?, HeaderValue::from_str(value).ok()?);
    }
    let id = HeaderValue::from_str(&item.id).ok()?;
    headers.insert(node.dialect.names().request_id.clone(), id);
    Some(Outgoing {
        method: Method::POST,
        path_and_query: item.path.clone(),
        headers,
        body: item.body.clone(),
    })
}
