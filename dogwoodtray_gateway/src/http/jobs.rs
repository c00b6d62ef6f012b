//! Requests that submit, cancel and read batch jobs.

use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::Name;
use dogwoodtray_platform::CreateResult;
use dogwoodtray_platform::GetResult;
use dogwoodtray_policy::JobAcceptance;
use dogwoodtray_policy::JobOwner;
use dogwoodtray_runtime::Clock;
use dogwoodtray_runtime::catalogue;
use dogwoodtray_runtime::millis;
use dogwoodtray_wire::messages;
use dogwoodtray_wire::messages::JobAdmitStatus;
use dogwoodtray_wire::messages::JobReadStatus;
use dogwoodtray_wire::messages::frame::Kind;
use hyper::Response;
use hyper::StatusCode;

use super::body::ResponseBody;
use super::response;
use super::response::GatewayResponse;
use crate::contents::bodies_hash;
use crate::driver::CANCELLATIONS_KIND;
use crate::driver::JOBS_KIND;
use crate::driver::JobSpec;
use crate::driver::PARTS_KIND;
use crate::driver::WATCHERS_KEY;
use crate::item_request::ItemSender;
use crate::model::BatchTerms;
use crate::model::ItemResult;
use crate::model::ItemState;
use crate::model::JobItem;
use crate::model::Organization;
use crate::model::ResultPage;
use crate::model::Route;
use crate::node::Node;
use crate::request::EndpointRequest;

/// Maximum number of items of a job, as defined by the platform.
const MAX_ITEMS: usize = 200;

/// Maximum time that a read waits for a result.
pub(super) const MAX_READ_WAIT: Duration = Duration::from_secs(2);

/// Additional time, beyond the wait of a read, that a driver has to reply. It may have to load the
/// job first.
const READ_REPLY_MARGIN: Duration = Duration::from_millis(400);

/// Maximum number of drivers that are called in turn. Any driver can load a job from the store.
const MAX_DRIVERS_TRIED: usize = 2;

/// `Retry-After` while the store or the drivers are unreachable.
const RETRY_AFTER: Duration = Duration::from_millis(400);

/// Time in which a driver must decide about the admission of a job: a read and a write of the store,
/// which take 250 ms each when it is slow, and a second try of both after a conflict.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time after an admission in which its job must be stored; half of the time after which its
/// reservation may be released.
const MAX_ADMISSION_AGE: Duration = Duration::from_secs(5);

/// Outcome of a submission.
#[derive(Debug)]
enum Submitted {
    /// The store replied to the creation of the job.
    Stored(CreateResult),
    /// The job does not fit into the limit of its route.
    OverLimit(messages::JobAdmitted),
    /// No driver could decide about the admission.
    Undecided,
    /// The reservation may have been released before the job was stored.
    TooLate,
}

/// Reply to a call for a job.
#[derive(Debug)]
pub(super) enum JobReply<T> {
    /// The job exists.
    Found(T),
    /// There is no such job.
    Missing,
    /// Neither the drivers nor the store could tell.
    Unavailable,
}

impl<T> JobReply<T> {
    /// Converts what a call found.
    pub(super) fn map<U>(self, convert: impl FnOnce(T) -> U) -> JobReply<U> {
        match self {
            Self::Found(found) => JobReply::Found(convert(found)),
            Self::Missing => JobReply::Missing,
            Self::Unavailable => JobReply::Unavailable,
        }
    }
}

/// Accepts a job. It is accepted once its submission exists in the store.
pub(super) async fn submit(
    node: &Rc<Node>,
    (route, organization): (&Route, Option<&Organization>),
    terms: BatchTerms,
    (id, acceptance): (&Name, JobAcceptance),
    body: &Bytes,
) -> GatewayResponse {
    match find_twin(node, &route.host, id, &acceptance).await {
        JobReply::Found(twin) => return accept_again(node, &twin),
        JobReply::Missing => {}
        JobReply::Unavailable => return unavailable(),
    }
    let id = &acceptance.owner.object_name(id);
    let target = (route, organization, acceptance.sender);
    let items = match node.dialect.submission(body) {
        Ok(items) if (1..=MAX_ITEMS).contains(&items.len()) => items,
        Ok(_) => return response::plain(StatusCode::BAD_REQUEST, "1 to 200 items are allowed\n"),
        Err(err) => {
            log::info!("cannot decode the submission of job {id}: {err}");
            return response::plain(StatusCode::BAD_REQUEST, "not a batch job\n");
        }
    };
    let can_be_sent = |item| {
        let names = node.dialect.names();
        EndpointRequest::for_item(names, &route.host, ItemSender::Unkeyed, item)
    };
    if let Some(err) = items.iter().find_map(|item| can_be_sent(item).err()) {
        log::info!("job {id} has an item that cannot be sent: {err}");
        return response::plain(StatusCode::BAD_REQUEST, "an item cannot be sent to an endpoint\n");
    }
    let count = items.len();
    let tokens: u64 = items.iter().map(|item| item.tokens).sum();
    let bodies = bodies_hash(&items);
    let submitted = admit_and_store(node, target, terms, id, items).await;
    let response = submission_response(&submitted);
    if matches!(submitted, Submitted::Stored(CreateResult::Done | CreateResult::Exists))
        && let Some(link) = node.peers.preferred_link(node, id)
    {
        link.send(messages::JobAccepted { job: id.to_string() });
    }
    let status = response.status().as_u16();
    if let Submitted::OverLimit(refusal) = &submitted {
        let limit = terms.max_waiting_tokens;
        let fields: [(&str, &dyn Display); 8] = [
            ("status", &status),
            ("items", &count),
            ("route", &route.name),
            ("tokens", &tokens),
            ("held", &refusal.held),
            ("limit", &limit),
            ("age_ms", &refusal.age_ms),
            ("retry_after_ms", &refusal.retry_after_ms),
        ];
        node.events.emit(&catalogue::JOB_REFUSED, Some(id), &fields);
        return response;
    }
    let code = if status == StatusCode::ACCEPTED {
        &catalogue::JOB_ACCEPTED
    } else {
        &catalogue::JOB_REFUSED
    };
    let outcome = format!("{submitted:?}");
    let fields: [(&str, &dyn Display); 5] = [
        ("status", &status),
        ("items", &count),
        ("route", &route.name),
        ("store", &outcome),
        ("bodies", &bodies),
    ];
    node.events.emit(code, Some(id), &fields);
    response
}

/// Looks for the job under the name of its other owner, if it may have been accepted while its route was
/// of the other kind. Returns that name.
async fn find_twin(
    node: &Node,
    host: &str,
    id: &str,
    acceptance: &JobAcceptance,
) -> JobReply<Name> {
    let Some(twin) = &acceptance.twin else { return JobReply::Missing };
    let has_open_jobs = || {
        let config = node.directory.borrow().config().cloned();
        config.is_some_and(|config| config.has_anonymous_jobs(host))
            || node.open_hosts.borrow().was_open(node.now(), host)
    };
    if *twin == JobOwner::Everyone && !has_open_jobs() {
        return JobReply::Missing;
    }
    let name = twin.object_name(id);
    let object = match node.read(JOBS_KIND, &name).await {
        GetResult::Found(object) => object,
        GetResult::Missing => return JobReply::Missing,
        GetResult::Unavailable => return JobReply::Unavailable,
    };
    let spec: JobSpec = match serde_json::from_str(object.spec.get()) {
        Ok(spec) => spec,
        Err(err) => {
            log::error!("cannot decode the submission of job {name}: {err}");
            return JobReply::Unavailable;
        }
    };
    if acceptance.is_twin(spec.sender.as_ref()) { JobReply::Found(name) } else { JobReply::Missing }
}

/// Answers the submission of a job that has been accepted before.
fn accept_again(node: &Rc<Node>, id: &Name) -> GatewayResponse {
    if let Some(link) = node.peers.preferred_link(node, id) {
        link.send(messages::JobAccepted { job: id.to_string() });
    }
    let response = response::plain(StatusCode::ACCEPTED, "");
    let status = response.status().as_u16();
    let fields: [(&str, &dyn Display); 2] = [("status", &status), ("store", &"accepted before")];
    node.events.emit(&catalogue::JOB_ACCEPTED, Some(id), &fields);
    response
}

fn submission_response(submitted: &Submitted) -> GatewayResponse {
    match submitted {
        Submitted::Stored(CreateResult::Done | CreateResult::Exists) => {
            response::plain(StatusCode::ACCEPTED, "")
        }
        Submitted::Stored(CreateResult::Unavailable) | Submitted::Undecided => {
            response::refused(RETRY_AFTER)
        }
        Submitted::Stored(CreateResult::Unknown) | Submitted::TooLate => {
            response::plain(StatusCode::GATEWAY_TIMEOUT, "the job may have been accepted\n")
        }
        Submitted::Stored(CreateResult::TooLarge) => {
            response::plain(StatusCode::PAYLOAD_TOO_LARGE, "item too large\n")
        }
        Submitted::OverLimit(refusal) => {
            response::over_limit(Duration::from_millis(refusal.retry_after_ms.into()))
        }
    }
}

/// Stores a job, after its admission if the route limits the tokens of its unfinished items.
async fn admit_and_store(
    node: &Rc<Node>,
    (route, organization, sender): (&Route, Option<&Organization>, Option<Name>),
    terms: BatchTerms,
    id: &Name,
    items: Vec<JobItem>,
) -> Submitted {
    let spec = JobSpec { sender, ..new_spec(node, route, organization, terms, items) };
    if terms.max_waiting_tokens == 0 {
        return Submitted::Stored(store_job(node, spec, id).await);
    }
    let started = node.now();
    let limit = (spec.limit_name(), terms.max_waiting_tokens);
    let admitted = admit(node, limit, id, spec.tokens).await;
    let status =
        admitted.as_ref().map_or(JobAdmitStatus::Unavailable, messages::JobAdmitted::status);
    metrics::counter!("dogwoodtray_job_admissions_total", "decision" => decision_label(status))
        .increment(1);
    match (status, admitted) {
        (JobAdmitStatus::Admitted, _) => {}
        (JobAdmitStatus::Refused, Some(refusal)) => return Submitted::OverLimit(refusal),
        _ => return Submitted::Undecided,
    }
    let stored = store_job(node, spec, id).await;
    if node.now() - started > MAX_ADMISSION_AGE {
        return Submitted::TooLate;
    }
    Submitted::Stored(stored)
}

const fn decision_label(status: JobAdmitStatus) -> &'static str {
    match status {
        JobAdmitStatus::Admitted => "admitted",
        JobAdmitStatus::Refused => "refused",
        JobAdmitStatus::Unavailable | JobAdmitStatus::Unspecified => "unavailable",
    }
}

/// Asks the driver that admits the jobs of a route, by the name of their limit and the limit itself.
/// Returns `None` if no driver replies.
async fn admit(
    node: &Rc<Node>,
    (limit_name, limit): (Name, u64),
    id: &Name,
    tokens: u64,
) -> Option<messages::JobAdmitted> {
    let reply = call_driver(node, WATCHERS_KEY, ADMISSION_TIMEOUT, |call| messages::JobAdmit {
        call,
        route: limit_name.to_string(),
        job: id.to_string(),
        tokens,
        limit,
    });
    match reply.await {
        Some(Kind::JobAdmitted(admitted)) => Some(admitted),
        _ => None,
    }
}

fn new_spec(
    node: &Node,
    route: &Route,
    organization: Option<&Organization>,
    terms: BatchTerms,
    items: Vec<JobItem>,
) -> JobSpec {
    let generation = node.directory.borrow().generation();
    JobSpec::new(route, organization, terms, generation, Clock::unix_ms(), items)
}

/// Stores the objects of a job, its submission last.
async fn store_job(node: &Rc<Node>, spec: JobSpec, id: &Name) -> CreateResult {
    let (spec, parts) = spec.encode();
    for (index, part) in (0..).zip(parts) {
        let name = JobSpec::part_name(id, index);
        match node.create(PARTS_KIND, &name, part).await {
            CreateResult::Done | CreateResult::Exists => {}
            // The job does not exist before its submission is stored.
            CreateResult::Unknown => return CreateResult::Unavailable,
            other => return other,
        }
    }
    node.create(JOBS_KIND, id, spec).await
}

/// Cancels a job.
pub(super) async fn cancel(node: &Rc<Node>, id: &Name) -> GatewayResponse {
    let created = node.create(CANCELLATIONS_KIND, id, "{}".to_owned()).await;
    let response = match created {
        CreateResult::Done | CreateResult::Exists => response::plain(StatusCode::OK, ""),
        CreateResult::Unavailable => response::refused(RETRY_AFTER),
        CreateResult::Unknown | CreateResult::TooLarge => {
            response::plain(StatusCode::GATEWAY_TIMEOUT, "the end may have been stored\n")
        }
    };
    if matches!(created, CreateResult::Done | CreateResult::Exists) {
        // Any driver may drive the job, as drivers can differ from this process about its owner.
        node.announce_cancellation(Name::clone(id), &node.peers.links());
    }
    let status = response.status().as_u16();
    node.events.emit(&catalogue::JOB_CANCELLED, Some(id), &[("status", &status)]);
    response
}

/// Returns the response to a call while neither the drivers nor the store can tell whether its job exists.
pub(super) fn unavailable() -> GatewayResponse {
    response::refused(RETRY_AFTER)
}

/// Finds out whether a job exists, from the drivers or the store.
pub(super) async fn find(node: &Rc<Node>, id: &Name) -> JobReply<()> {
    let reply = call_driver(node, id, READ_REPLY_MARGIN, |call| messages::JobRead {
        call,
        job: id.to_string(),
        probe: true,
        ..messages::JobRead::default()
    });
    if let Some(Kind::JobPage(page)) = reply.await {
        return if page.status() == JobReadStatus::Missing {
            JobReply::Missing
        } else {
            JobReply::Found(())
        };
    }
    match node.read(JOBS_KIND, id).await {
        GetResult::Found(_) => JobReply::Found(()),
        GetResult::Missing => JobReply::Missing,
        GetResult::Unavailable => JobReply::Unavailable,
    }
}

/// Reads results from a position on.
pub(super) async fn read(
    node: &Rc<Node>,
    id: &Name,
    after: u32,
    wait: Duration,
) -> JobReply<GatewayResponse> {
    debug_assert!(wait <= MAX_READ_WAIT, "the server bounds the wait");
    let wait_ms = millis(wait);
    let reply = call_driver(node, id, wait + READ_REPLY_MARGIN, |call| messages::JobRead {
        call,
        job: id.to_string(),
        after,
        wait_ms,
        ..messages::JobRead::default()
    });
    let Some(Kind::JobPage(page)) = reply.await else { return JobReply::Unavailable };
    if page.status() == JobReadStatus::Missing {
        return JobReply::Missing;
    }
    let results: Vec<ItemResult> = page.results.into_iter().map(item_result).collect();
    let count = u32::try_from(results.len()).unwrap_or(u32::MAX);
    let page = ResultPage { total: page.total, next: after.saturating_add(count), results };
    JobReply::Found(response::json(node.dialect.page(&page)))
}

/// Reads the body of an item.
pub(super) async fn read_item(node: &Rc<Node>, id: &Name, item: &str) -> JobReply<GatewayResponse> {
    let reply = call_driver(node, id, READ_REPLY_MARGIN, |call| messages::JobItemRead {
        call,
        job: id.to_string(),
        item: item.to_owned(),
    });
    let Some(Kind::JobItemBody(body)) = reply.await else { return JobReply::Unavailable };
    match body.status() {
        JobReadStatus::Missing if body.job_found => {
            JobReply::Found(response::plain(StatusCode::NOT_FOUND, "no such item\n"))
        }
        JobReadStatus::Missing => JobReply::Missing,
        _ => JobReply::Found(Response::new(ResponseBody::full(body.body))),
    }
}

/// Calls the preferred driver for a key, and the next one if it does not reply or is unavailable.
async fn call_driver<M: Into<messages::Frame>>(
    node: &Rc<Node>,
    key: &str,
    limit: Duration,
    message: impl Fn(u64) -> M,
) -> Option<Kind> {
    for name in node.peers.ranked(node, key).into_iter().take(MAX_DRIVERS_TRIED) {
        let Some(link) = node.peers.link_to(&name) else { continue };
        let reply = node.call(&link, limit, &message).await;
        match &reply {
            Some(Kind::JobPage(page)) if page.status() == JobReadStatus::Unavailable => {}
            Some(Kind::JobItemBody(body)) if body.status() == JobReadStatus::Unavailable => {}
            Some(Kind::JobAdmitted(admitted))
                if admitted.status() == JobAdmitStatus::Unavailable => {}
            Some(_) => return reply,
            None => node.peers.mark_suspect(node, &name),
        }
    }
    log::info!("no driver could reply to a call for {key}");
    None
}

fn item_result(result: messages::JobResult) -> ItemResult {
    ItemResult {
        item: Name::from(result.item),
        state: if result.completed { ItemState::Completed } else { ItemState::Failed },
        output: result.output,
    }
}
