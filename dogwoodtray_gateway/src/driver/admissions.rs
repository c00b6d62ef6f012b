//! Admission of jobs to routes that limit the tokens of their unfinished items.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::ObjectKey;
use dogwoodtray_coord::Precondition;
use dogwoodtray_coord::QuotaAction;
use dogwoodtray_coord::QuotaDecision;
use dogwoodtray_coord::QuotaEvent;
use dogwoodtray_coord::QuotaRequest;
use dogwoodtray_coord::SharedQuota;
use dogwoodtray_coord::StoreOp;
use dogwoodtray_coord::StoreReply;
use dogwoodtray_coord::WorkStatus;
use dogwoodtray_coord::WorkView;
use dogwoodtray_platform::ConditionalResult;
use dogwoodtray_platform::CreateResult;
use dogwoodtray_platform::GetResult;
use dogwoodtray_runtime::millis;
use dogwoodtray_wire::messages;
use dogwoodtray_wire::messages::JobAdmitStatus;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use super::Driver;
use super::JOBS_KIND;
use super::Job;
use super::WATCHERS_KEY;
use crate::node::Node;

/// Kind of the records of admitted jobs, named after their routes.
const QUOTAS_KIND: &str = "batch-quotas";

/// Quotas of the routes whose jobs this process admits.
#[derive(Debug, Default)]
pub(super) struct Admissions {
    quotas: RefCell<HashMap<Name, RouteQuota>>,
    last_request: Cell<u64>,
}

#[derive(Debug)]
struct RouteQuota {
    quota: SharedQuota,
    waiting: HashMap<u64, oneshot::Sender<QuotaDecision>>,
}

/// Jobs of one route that this process knows of.
struct RouteJobs<'a> {
    node: &'a Node,
    driver: &'a Driver,
    route: &'a Name,
}

impl WorkView for RouteJobs<'_> {
    fn status(&self, work: &Name) -> WorkStatus {
        if self.node.cancelled_jobs.borrow().contains(work) {
            return WorkStatus::Ended;
        }
        match self.driver.jobs.borrow().get(work) {
            None => WorkStatus::Unknown,
            Some(job) if job.is_terminal() => WorkStatus::Ended,
            Some(job) => WorkStatus::Open { units: job.open_tokens() },
        }
    }

    fn for_each_open(&self, f: &mut dyn FnMut(&Name, u64)) {
        let jobs = self.driver.jobs.borrow();
        let is_open = |job: &&Rc<Job>| !job.is_terminal() && job.spec.limit_name() == *self.route;
        let open = jobs.values().filter(is_open);
        open.for_each(|job| f(job.id(), job.open_tokens()));
    }
}

/// # Admission
impl Driver {
    /// Decides whether a job is admitted, for a gateway.
    pub(crate) async fn admit(
        self: &Rc<Self>,
        node: &Rc<Node>,
        admit: messages::JobAdmit,
    ) -> messages::JobAdmitted {
        let mut reply = messages::JobAdmitted { call: admit.call, ..Default::default() };
        match self.decide_admission(node, &admit).await {
            QuotaDecision::Admitted => reply.set_status(JobAdmitStatus::Admitted),
            QuotaDecision::Unavailable => reply.set_status(JobAdmitStatus::Unavailable),
            QuotaDecision::Refused(refusal) => {
                reply.set_status(JobAdmitStatus::Refused);
                reply.retry_after_ms = millis(refusal.retry_after);
                reply.held = refusal.held;
                reply.age_ms = millis(refusal.age);
            }
        }
        reply
    }

    async fn decide_admission(
        self: &Rc<Self>,
        node: &Rc<Node>,
        admit: &messages::JobAdmit,
    ) -> QuotaDecision {
        // Before the first listing, jobs that have ended would still count.
        if !self.cancellations_listed.get() {
            return QuotaDecision::Unavailable;
        }
        let id = self.admissions.last_request.get() + 1;
        self.admissions.last_request.set(id);
        let route = Name::from(admit.route.as_str());
        let (tx, rx) = oneshot::channel();
        self.admissions
            .quotas
            .borrow_mut()
            .entry(Name::clone(&route))
            .or_insert_with(|| RouteQuota {
                quota: SharedQuota::new(ObjectKey::new(QUOTAS_KIND, Name::clone(&route))),
                waiting: HashMap::new(),
            })
            .waiting
            .insert(id, tx);
        let work = Name::from(admit.job.as_str());
        let request = QuotaRequest { id, work, units: admit.tokens, limit: admit.limit };
        self.drive_quota(node, &route, QuotaEvent::Request(request));
        rx.await.unwrap_or(QuotaDecision::Unavailable)
    }

    /// Updates the quotas of all routes, which forget reservations whose jobs were never created.
    pub(super) fn tick_quotas(self: &Rc<Self>, node: &Rc<Node>) {
        let routes: Vec<Name> = self.admissions.quotas.borrow().keys().cloned().collect();
        for route in routes {
            self.drive_quota(node, &route, QuotaEvent::Tick);
        }
    }

    fn drive_quota(self: &Rc<Self>, node: &Rc<Node>, route: &Name, event: QuotaEvent) {
        let mut out = Vec::new();
        if let Some(entry) = self.admissions.quotas.borrow_mut().get_mut(route) {
            let view = RouteJobs { node, driver: self, route };
            entry.quota.handle(node.now(), event, &view, &mut out);
        }
        for action in out {
            self.perform_quota_action(node, route, action);
        }
    }

    fn perform_quota_action(self: &Rc<Self>, node: &Rc<Node>, route: &Name, action: QuotaAction) {
        let (driver, node, route) = (Rc::clone(self), Rc::clone(node), Name::clone(route));
        match action {
            QuotaAction::Call { call, op } => {
                spawn_local(async move {
                    let reply = run_store_op(&node, op).await;
                    driver.drive_quota(&node, &route, QuotaEvent::Reply { call, reply });
                });
            }
            QuotaAction::Decide { id, decision } => {
                let mut quotas = self.admissions.quotas.borrow_mut();
                let tx = quotas.get_mut(&route).and_then(|entry| entry.waiting.remove(&id));
                if let Some(tx) = tx {
                    // The gateway may have disconnected.
                    let _ = tx.send(decision);
                }
            }
            QuotaAction::Verify { work } => {
                spawn_local(async move {
                    match node.read(JOBS_KIND, &work).await {
                        GetResult::Found(object) => {
                            driver.add_job(&node, &object);
                        }
                        GetResult::Missing => {
                            log::info!("job {work} was admitted but never stored");
                            driver.drive_quota(&node, &route, QuotaEvent::Missing { work });
                        }
                        // The reservation is verified again later.
                        GetResult::Unavailable => {}
                    }
                });
            }
        }
    }
}

/// # Reports
impl Driver {
    /// Reports the tokens of unfinished items of driven jobs to the driver that admits jobs. A report
    /// contains only what has changed since the last one on the same link.
    pub(super) fn report_held_tokens(&self, node: &Node) {
        let first = node.peers.ranked(node, WATCHERS_KEY).into_iter().next();
        let Some(owner) = first.filter(|owner| *owner != node.cfg.node) else { return };
        let Some(link) = node.peers.link_to(&owner) else { return };
        let mut report = messages::TokensHeld::default();
        for job in self.jobs.borrow().values().filter(|job| job.spec.limited && job.is_driving()) {
            let tokens = job.open_tokens();
            if job.take_unreported(link.id(), tokens) {
                report.jobs.push(messages::HeldTokens { job: job.id().to_string(), tokens });
            }
        }
        if !report.jobs.is_empty() {
            link.send(report);
        }
    }

    /// Applies a report of a driver about its jobs.
    pub(crate) fn on_tokens_held(&self, report: &messages::TokensHeld) {
        let jobs = self.jobs.borrow();
        for held in &report.jobs {
            if let Some(job) = jobs.get(held.job.as_str()) {
                job.limit_open_tokens(held.tokens);
            }
        }
    }
}

/// Runs a store call of a quota.
async fn run_store_op(node: &Node, op: StoreOp) -> StoreReply {
    let unavailable = StoreReply::Unavailable { retry_after: Duration::ZERO };
    match op {
        StoreOp::Get { key } => match node.store.get(QUOTAS_KIND, &key.name).await {
            GetResult::Found(object) => StoreReply::Found {
                version: object.revision,
                value: Arc::from(object.spec.get().as_bytes()),
            },
            GetResult::Missing => StoreReply::Missing,
            GetResult::Unavailable => unavailable,
        },
        StoreOp::Put { key, expect, value } => {
            let Ok(spec) = String::from_utf8(value.to_vec()) else { return unavailable };
            match expect {
                Precondition::Absent => {
                    match node.store.create(QUOTAS_KIND, &key.name, spec).await {
                        // The reply holds no revision, so the object is read back.
                        CreateResult::Done | CreateResult::Unknown => StoreReply::Ambiguous,
                        CreateResult::Exists => StoreReply::Conflict,
                        CreateResult::Unavailable => unavailable,
                        CreateResult::TooLarge => StoreReply::TooLarge,
                    }
                }
                Precondition::Version(revision) => {
                    match node.store.replace_at(QUOTAS_KIND, &key.name, revision, spec).await {
                        ConditionalResult::Done { revision } => {
                            StoreReply::Written { version: revision }
                        }
                        ConditionalResult::Conflict => StoreReply::Conflict,
                        ConditionalResult::Unavailable => unavailable,
                        ConditionalResult::Unknown => StoreReply::Ambiguous,
                        ConditionalResult::TooLarge => StoreReply::TooLarge,
                    }
                }
            }
        }
        StoreOp::Delete { .. } | StoreOp::List { .. } => {
            debug_assert!(false, "a quota reads and writes one object");
            unavailable
        }
    }
}
