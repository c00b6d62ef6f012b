//! Reads and ends of jobs, which name no route: which job a caller means, and the answer to its call.

use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_policy::JobCaller;
use dogwoodtray_policy::NoJob;
use dogwoodtray_runtime::catalogue;
use hyper::Method;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderMap;
use hyper::http::request::Parts;

use super::jobs;
use super::jobs::JobReply;
use super::response;
use super::response::GatewayResponse;
use super::server::header_text;
use super::server::query_param;
use crate::caller::KeyError;
use crate::caller::organization_of;
use crate::model::Organization;
use crate::model::SiteConfig;
use crate::node::Node;

/// Time that a call for a job takes at most, in addition to its wait for a result. A call to the store
/// times out after 1 s.
const JOB_CALL_TIME: Duration = Duration::from_millis(1_300);

/// What the key of a call about a job says about its caller, and what the call is refused with.
#[derive(Debug)]
pub(super) struct JobAccess {
    pub(super) caller: JobCaller,
    /// Whether all batch routes of the host need a key.
    needs_key: bool,
    key_error: KeyError,
    /// Time after which the configuration may be proven.
    proof_retry_after: Duration,
    generation: u64,
}

impl JobAccess {
    pub(super) fn new(node: &Node, config: &SiteConfig, headers: &HeaderMap) -> Self {
        let mut access = Self {
            caller: JobCaller::Unkeyed,
            needs_key: false,
            key_error: KeyError::Missing,
            proof_retry_after: Duration::ZERO,
            generation: config.generation.0,
        };
        if config.organizations().is_empty() {
            return access;
        }
        let host = header_text(headers, &header::HOST).unwrap_or_default();
        access.needs_key = !config.has_anonymous_jobs(host);
        if !headers.contains_key(header::AUTHORIZATION) {
            return access;
        }
        let name = |organization: &Organization| Name::clone(&organization.name);
        let organization = organization_of(config, headers).map(|found| name(found));
        access.caller = match (node.config_age.check(), organization) {
            (Err(retry_after), organization) => {
                access.proof_retry_after = retry_after;
                JobCaller::Unproven(organization.ok())
            }
            (Ok(()), Ok(organization)) => JobCaller::Member(organization),
            (Ok(()), Err(err)) => {
                access.key_error = err;
                JobCaller::Unknown
            }
        };
        access
    }

    /// Returns the response to a call that concerns no job, or one that its caller may not use.
    pub(super) fn refuse(&self, node: &Node, id: &str, reason: NoJob) -> GatewayResponse {
        let response = match reason {
            NoJob::Missing => response::plain(StatusCode::NOT_FOUND, "no such job\n"),
            NoJob::Unauthorized => {
                node.on_key_rejected(self.key_error, self.generation);
                response::unauthorized()
            }
            NoJob::Unproven => {
                node.config_age.count_refusal();
                response::refused(self.proof_retry_after)
            }
        };
        let caller = match &self.caller {
            JobCaller::Unkeyed => "no key",
            JobCaller::Member(_) => "organization",
            JobCaller::Unproven(_) => "unproven",
            JobCaller::Unknown => "unknown key",
        };
        metrics::counter!("dogwoodtray_missing_jobs_total", "caller" => caller).increment(1);
        let status = response.status().as_u16();
        let fields: [(&str, &dyn Display); 3] =
            [("caller", &caller), ("status", &status), ("generation", &self.generation)];
        node.events.emit(&catalogue::JOB_NOT_FOUND, Some(&Name::from(id)), &fields);
        response
    }

    fn refuse_missing(&self, node: &Node, id: &str) -> GatewayResponse {
        self.refuse(node, id, self.caller.no_job(self.needs_key))
    }

    /// Makes a call for the first existing job that the caller may mean. A call that is not sure whether
    /// a job exists ends the search.
    async fn call_first(
        &self,
        node: &Rc<Node>,
        id: &str,
        call: impl AsyncFn(&Name) -> JobReply<GatewayResponse>,
    ) -> GatewayResponse {
        for candidate in self.caller.candidates() {
            let name = candidate.owner.object_name(id);
            let reply = if candidate.may_use {
                call(&name).await
            } else {
                let refuse = || self.refuse(node, id, NoJob::Unproven);
                jobs::find(node, &name).await.map(|()| refuse())
            };
            match reply {
                JobReply::Found(response) => return response,
                JobReply::Missing => {}
                JobReply::Unavailable => return jobs::unavailable(),
            }
        }
        self.refuse_missing(node, id)
    }

    /// Ends the first existing job that the caller may mean, or one that does not exist yet.
    async fn end(&self, node: &Rc<Node>, id: &str) -> GatewayResponse {
        for candidate in self.caller.candidates() {
            let name = candidate.owner.object_name(id);
            match jobs::find(node, &name).await {
                JobReply::Found(()) if candidate.may_use => return jobs::cancel(node, &name).await,
                JobReply::Found(()) => return self.refuse(node, id, NoJob::Unproven),
                JobReply::Missing => {}
                JobReply::Unavailable => return jobs::unavailable(),
            }
        }
        let mut ended = None;
        for owner in self.caller.ends_ahead(self.needs_key) {
            let response = jobs::cancel(node, &owner.object_name(id)).await;
            if response.status() != StatusCode::OK {
                return response;
            }
            ended = Some(response);
        }
        ended.unwrap_or_else(|| self.refuse_missing(node, id))
    }
}

/// Answers a read or an end of a job.
pub(super) async fn handle(
    node: &Rc<Node>,
    config: &SiteConfig,
    parts: &Parts,
    id: &str,
) -> GatewayResponse {
    let names = node.dialect.names();
    let wait = header_text(&parts.headers, &names.wait_ms)
        .and_then(|text| text.parse().ok())
        .map_or(Duration::ZERO, Duration::from_millis)
        .min(jobs::MAX_READ_WAIT);
    let now = node.now();
    if !node.drain.takes(now, None, now + wait + JOB_CALL_TIME) {
        return response::stopping();
    }
    let access = JobAccess::new(node, config, &parts.headers);
    if parts.method == Method::DELETE {
        return access.end(node, id).await;
    }
    if parts.method != Method::GET {
        return response::plain(StatusCode::METHOD_NOT_ALLOWED, "read or cancel a job\n");
    }
    let after =
        query_param(parts, names.after_param).and_then(|text| text.parse().ok()).unwrap_or(0);
    access.call_first(node, id, async |name| jobs::read(node, name, after, wait).await).await
}

/// Answers a read of the body of an item.
pub(super) async fn handle_item(
    node: &Rc<Node>,
    config: &SiteConfig,
    parts: &Parts,
    id: &str,
) -> GatewayResponse {
    let now = node.now();
    if !node.drain.takes(now, None, now + JOB_CALL_TIME) {
        return response::stopping();
    }
    let access = JobAccess::new(node, config, &parts.headers);
    let item = query_param(parts, node.dialect.names().item_param).unwrap_or_default();
    access.call_first(node, id, async |name| jobs::read_item(node, name, &item).await).await
}
