//! One run of an item at an endpoint.

use std::cell::RefCell;
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Contents;
use dogwoodtray_coord::Name;
use dogwoodtray_http::EventTooLarge;
use dogwoodtray_http::OutOfBytes;
use dogwoodtray_http::Truncation;
use dogwoodtray_policy::PlaceCost;
use dogwoodtray_policy::PlaceOutcome;
use dogwoodtray_runtime::catalogue;
use http_body_util::BodyExt;
use hyper::StatusCode;
use quick_error::quick_error;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use super::job::Job;
use super::progress::Appended;
use super::progress::Progress;
use crate::contents::place_cost;
use crate::contents::request_contents;
use crate::item_request::ItemError;
use crate::item_request::ItemSender;
use crate::model::JobItem;
use crate::net::AnswerError;
use crate::net::AnswerKind;
use crate::net::EndpointBody;
use crate::net::EventParser;
use crate::net::SendError;
use crate::net::send;
use crate::node::Node;
use crate::observed_run::ObservedRun;
use crate::observed_run::RunKind;
use crate::places::GapMonitor;
use crate::places::PlacePermit;
use crate::request::EndpointRequest;
use crate::request::ResponseClass;
use crate::request::classify_response;
use crate::trial::Trial;
use crate::trial::TrialProgress;

/// Time without an event after which an item is resumed at another endpoint. Events arrive every
/// 30 ms, and the prefill of a resumed item, over its prompt and its output, takes at most 100 ms.
pub(super) const ITEM_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum size of the output of an item. Results are stored in objects of at most 1 MB.
const MAX_OUTPUT_BYTES: usize = 512 * 1024;

/// Interval at which the output of an item is replicated to the backup driver. If this process
/// crashes, each item loses at most the output of one interval. The output grows by about 2.5 KB
/// per second.
const REPLICATION_INTERVAL: Duration = Duration::from_millis(1_000);

/// Outcome of one run of an item at an endpoint.
pub(super) enum RunOutcome {
    /// The output is complete.
    Completed,
    /// The endpoint failed while it ran the item.
    Failed,
    /// The endpoint rejected the item as one that can never succeed.
    Unprocessable,
    /// The place was withdrawn for online work.
    Preempted,
    /// The place was withdrawn before any output of the run.
    PreemptedAtStart,
    /// The item was queued in the endpoint.
    Queued,
    /// The run was interrupted or did not start.
    Interrupted,
    /// The endpoint crashed, or broke off the exchange, before any output of the run.
    BrokenOffAtStart,
    /// The endpoint sent no event after those of earlier runs, and nothing proves that none is left.
    Empty,
}

/// Item in the form in which it is sent to endpoints.
pub(super) struct PreparedItem {
    request: EndpointRequest,
    pub(super) contents: Rc<Contents>,
    pub(super) cost: PlaceCost,
}

impl PreparedItem {
    /// Prepares the request of an item.
    ///
    /// # Errors
    ///
    /// Returns an error if the item can be sent to no endpoint.
    pub(super) fn new(node: &Node, job: &Job, item: &JobItem) -> Result<Self, ItemError> {
        let config = node.directory.borrow().config().cloned();
        let is_keyed = config.is_some_and(|config| !config.organizations().is_empty());
        let sender = match &job.spec.organization {
            Some(organization) => ItemSender::Organization(organization),
            None if is_keyed => ItemSender::Nobody,
            None => ItemSender::Unkeyed,
        };
        let names = node.dialect.names();
        let request = EndpointRequest::for_item(names, &job.spec.host, sender, item)?;
        let contents = Rc::new(request_contents(&*node.dialect, &request));
        let cost = place_cost(&*node.dialect, &job.spec.route, &request.headers);
        Ok(Self { request, contents, cost })
    }
}

/// Runs the item at one endpoint, starting after the output of earlier runs. A trial is left to the next
/// run if the endpoint did not run it.
pub(super) async fn run_once(
    node: &Rc<Node>,
    job: &Job,
    item: &JobItem,
    prepared: &PreparedItem,
    progress: &RefCell<Progress>,
    (mut permit, trial): (PlacePermit, &mut Option<Trial>),
    head_timeout: Duration,
) -> RunOutcome {
    let endpoint = Name::clone(&permit.endpoint);
    let events_before = progress.borrow().event_count();
    let mut gaps = permit.gap_monitor();
    let preempted = || {
        let has_output = progress.borrow().event_count() > events_before;
        if has_output { RunOutcome::Preempted } else { RunOutcome::PreemptedAtStart }
    };
    let (run, place_outcome, reason) = tokio::select! {
        biased;
        () = permit.preempted() => (preempted(), PlaceOutcome::Withdrawn, String::new()),
        ended = exchange(node, job, item, prepared, progress, (&endpoint, trial, &mut gaps), head_timeout) => ended,
    };
    if matches!(run, RunOutcome::Queued) {
        permit.report_slow();
    }
    permit.set_outcome(place_outcome);
    let is_retried = matches!(
        run,
        RunOutcome::Failed
            | RunOutcome::Interrupted
            | RunOutcome::BrokenOffAtStart
            | RunOutcome::Empty
    );
    if is_retried {
        let events = progress.borrow().event_count();
        let fields: [(&str, &dyn Display); 4] =
            [("item", &item.id), ("endpoint", &endpoint), ("reason", &reason), ("events", &events)];
        node.events.emit(&catalogue::ITEM_RETRIED, Some(job.id()), &fields);
    }
    run
}

/// Sends the item to the endpoint and reads the response. Returns the outcome of the run, the
/// outcome of the place, and the reason of a failure.
async fn exchange(
    node: &Rc<Node>,
    job: &Job,
    item: &JobItem,
    prepared: &PreparedItem,
    progress: &RefCell<Progress>,
    (endpoint, trial, gaps): (&Name, &mut Option<Trial>, &mut GapMonitor),
    head_timeout: Duration,
) -> (RunOutcome, PlaceOutcome, String) {
    let interrupted = |place_outcome, reason: &dyn Display| {
        (RunOutcome::Interrupted, place_outcome, reason.to_string())
    };
    let target = node.directory.borrow().endpoint(endpoint).cloned();
    let Some(target) = target else {
        node.on_unusable_grant(endpoint);
        return interrupted(PlaceOutcome::Withdrawn, &"endpoint left");
    };
    let names = node.dialect.names();
    let remaining = Duration::from_millis(job.spec.retention_ms);
    let last_event = progress.borrow().last_event_id();
    let req = match prepared.request.request_for(names, &target.id, remaining, last_event) {
        Ok(req) => req,
        Err(err) => return interrupted(PlaceOutcome::Failed, &err),
    };
    let contents = &prepared.contents;
    let mut observed =
        ObservedRun::start(node, &item.id, contents, endpoint, RunKind::Item, trial.take());
    let exchange = match timeout(head_timeout, send(node, &target, req, AnswerKind::Stream)).await {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(err)) => {
            // After bytes that are no response, the driver closed the connection itself.
            if matches!(&err, SendError::Lost(err) if !err.is_parse()) {
                let outcome = broken_off(&mut observed, &err).await;
                return (outcome, PlaceOutcome::Failed, err.to_string());
            }
            if matches!(err, SendError::NotSent(_)) {
                *trial = observed.on_not_run(TrialProgress::Unreachable);
            }
            if matches!(err, SendError::BadStatus(_)) {
                observed.on_failure();
                return interrupted(PlaceOutcome::Errored, &err);
            }
            return interrupted(PlaceOutcome::Failed, &err);
        }
        Err(_) => return (RunOutcome::Queued, PlaceOutcome::Full, String::new()),
    };
    node.on_answer_head(&target, &exchange.parts, &item.id);
    let status = exchange.parts.status;
    let class = classify_response(names, &exchange.parts, &item.id);
    match class {
        ResponseClass::NotRun => *trial = observed.on_not_run(TrialProgress::NotRun),
        ResponseClass::Answer if status.is_success() => {}
        _ => observed.on_failure(),
    }
    match class {
        ResponseClass::NotRun if status == StatusCode::SERVICE_UNAVAILABLE => {
            interrupted(PlaceOutcome::Full, &status)
        }
        ResponseClass::NotRun if status == StatusCode::MISDIRECTED_REQUEST => {
            interrupted(PlaceOutcome::Failed, &status)
        }
        ResponseClass::NotRun => interrupted(PlaceOutcome::Withdrawn, &status),
        ResponseClass::Malformed => interrupted(PlaceOutcome::Errored, &"damaged answer"),
        ResponseClass::Failure if status == StatusCode::INTERNAL_SERVER_ERROR => {
            (RunOutcome::Failed, PlaceOutcome::Errored, status.to_string())
        }
        ResponseClass::Failure => interrupted(PlaceOutcome::Errored, &status),
        ResponseClass::Answer if status.is_success() => {
            let replicate = || replicate_output(node, job, item, &progress.borrow());
            observed.on_head();
            let mut body = exchange.body;
            body.set_resumable();
            read_events(body, progress, &mut observed, gaps, replicate).await
        }
        ResponseClass::Answer if status == StatusCode::UNPROCESSABLE_ENTITY => {
            (RunOutcome::Unprocessable, PlaceOutcome::Answered, status.to_string())
        }
        ResponseClass::Answer => interrupted(PlaceOutcome::Answered, &status),
    }
}

/// Reports a run that its endpoint broke off, and returns its outcome.
async fn broken_off(observed: &mut ObservedRun, reason: &dyn Display) -> RunOutcome {
    observed.on_broken_off(reason);
    observed.reported().await;
    if observed.has_output() { RunOutcome::Interrupted } else { RunOutcome::BrokenOffAtStart }
}

/// Sends the output so far to the driver that would take over the job.
fn replicate_output(node: &Node, job: &Job, item: &JobItem, progress: &Progress) {
    if let Some(link) = node.peers.backup_for(node, job.id())
        && let Some(message) = progress.to_message(job.id(), &item.id)
    {
        link.send(message);
    }
}

/// Reads events until the stream ends, and replicates the output at intervals.
async fn read_events(
    mut body: EndpointBody,
    progress: &RefCell<Progress>,
    observed: &mut ObservedRun,
    gaps: &mut GapMonitor,
    replicate_output: impl Fn(),
) -> (RunOutcome, PlaceOutcome, String) {
    let mut parser = EventParser::default();
    let mut last_replicated = Instant::now();
    // Bytes that add no event to the output are no progress.
    let mut last_event_at = Instant::now();
    loop {
        let idle_until = last_event_at + ITEM_IDLE_TIMEOUT;
        let (place_outcome, reason) = match gaps.watch(timeout_at(idle_until, body.frame())).await {
            Ok(None) => {
                // Clears the parts that it shares with other requests.
                observed.on_completed();
                return (RunOutcome::Completed, PlaceOutcome::Answered, String::new());
            }
            Ok(Some(Err(err))) => {
                let mut outcome = broken_off(observed, &err).await;
                if matches!(err, AnswerError::Truncated(Truncation::NoEvents))
                    && progress.borrow().event_count() > 0
                {
                    outcome = RunOutcome::Empty;
                }
                return (outcome, PlaceOutcome::Withdrawn, err.to_string());
            }
            Err(_) => (PlaceOutcome::Failed, "silence".to_owned()),
            Ok(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else { continue };
                parser.push(&data);
                let appended = append_events(&mut parser, &mut progress.borrow_mut());
                match appended {
                    Ok(count) => {
                        if count > 0 {
                            last_event_at = Instant::now();
                            observed.on_output();
                            gaps.on_event();
                        }
                        if last_replicated.elapsed() >= REPLICATION_INTERVAL {
                            last_replicated = Instant::now();
                            replicate_output();
                        }
                        continue;
                    }
                    Err(error) => {
                        progress.borrow_mut().clear();
                        if error.is_violation() {
                            metrics::counter!("dogwoodtray_endpoint_violations_total").increment(1);
                            (PlaceOutcome::Errored, error.to_string())
                        } else {
                            (PlaceOutcome::Withdrawn, error.to_string())
                        }
                    }
                }
            }
        };
        return (RunOutcome::Interrupted, place_outcome, reason);
    }
}

quick_error! {
    /// Reason why the events of an endpoint cannot be used.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    enum EventError {
        Missing {
            display("events are missing")
        }
        TooLarge(err: EventTooLarge) {
            display("{err}")
            from()
        }
        OutputTooLarge {
            display("the output exceeds {MAX_OUTPUT_BYTES} bytes")
        }
        NoBuffer(err: OutOfBytes) {
            display("{err}")
            from()
        }
    }
}

impl EventError {
    /// Returns `true` if the endpoint is to blame.
    const fn is_violation(self) -> bool {
        !matches!(self, Self::NoBuffer(_))
    }
}

/// Appends all complete events to the output and returns the number of those that added to it.
fn append_events(parser: &mut EventParser, progress: &mut Progress) -> Result<usize, EventError> {
    let mut count = 0;
    while let Some(event) = parser.next_event()? {
        match progress.append(event.id(), event.data()) {
            Appended::Output => count += 1,
            Appended::Nothing => {}
            Appended::Gap => return Err(EventError::Missing),
        }
    }
    if progress.output_bytes() > MAX_OUTPUT_BYTES {
        return Err(EventError::OutputTooLarge);
    }
    progress.reserve(parser.buffered())?;
    Ok(count)
}
