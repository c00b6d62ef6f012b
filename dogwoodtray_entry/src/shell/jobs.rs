//! Service that accepts and runs jobs.

use std::collections::HashMap;
use std::fmt::Display;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_config::Retirement;
use dogwoodtray_config::Subject;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Epoch;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::StoreReply;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::Class;
use dogwoodtray_runtime::Clock;
use dogwoodtray_runtime::Flow;
use dogwoodtray_runtime::Service;
use dogwoodtray_runtime::catalogue;
use dogwoodtray_runtime::request_once;
use dogwoodtray_wire::messages;
use dogwoodtray_wire::messages::Frame;
use tokio::sync::mpsc::UnboundedSender;

use super::ChatAnswer;
use super::EntryState;
use super::RouterInput;
use super::probe::PROBE_TIMEOUT;
use super::probe::ProbeRequest;
use super::probe::probe;
use super::store::StoreRunner;
use crate::http::chat_cost_and_prefix;
use crate::jobs::CallId;
use crate::jobs::ItemAttemptEnd;
use crate::jobs::JobAction;
use crate::jobs::JobCore;
use crate::jobs::JobEvent;
use crate::jobs::JobReply;
use crate::jobs::ReplyToken;
use crate::online::AttemptOutcome;
use crate::online::BatchEnd;
use crate::online::DispatchMode;
use crate::online::EVENT_STREAM;
use crate::online::RequestSpec;

/// Interval between backlog reports. A change in the set of models with a backlog is reported at
/// once. Agents count down the reported items as they offer places, so more frequent reports would
/// not fill places sooner.
const BACKLOG_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between checks of the retirement plans.
const RETIREMENT_INTERVAL: Duration = Duration::from_secs(1);

const SERVER_ERROR: u16 = 500;

/// Input of the jobs service.
#[derive(Debug)]
pub(crate) enum JobsInput {
    /// Request of a caller; replies are sent to the channel.
    Request {
        request: JobRequest,
        reply: UnboundedSender<JobReply>,
    },
    StoreReplied {
        call: CallId,
        reply: StoreReply,
    },
    PlacesOffered {
        link: u64,
        models: Vec<Name>,
        places: u32,
    },
    AttemptStarted(AttemptId),
    AttemptEnded {
        attempt: AttemptId,
        end: BatchEnd,
    },
    Probe(ProbeRequest),
    ProbeReply {
        holder: Incarnation,
        object: Name,
        epoch: Epoch,
        held: Option<bool>,
    },
    JobCancelled(Name),
    LiveEntries(Vec<Name>),
    ResultsConsumed(ReplyToken),
    Drain,
    /// End of a graceful shutdown, at which the requests that are still open are answered.
    EndDrain,
}

/// Request of a caller about jobs.
#[derive(Debug)]
pub(crate) enum JobRequest {
    Submit(crate::jobs::Submission),
    Status(Name),
    Results(Name),
    Cancel(Name),
}

/// Item whose attempt is running, with the text that earlier attempts generated.
struct RunningItem {
    request: Name,
    partial: Bytes,
}

/// Accepts and runs jobs.
pub(super) struct JobsService {
    pub(super) core: JobCore,
    pub(super) shared: Arc<EntryState>,
    pub(super) store: StoreRunner,
    callers: HashMap<ReplyToken, UnboundedSender<JobReply>>,
    running: HashMap<AttemptId, RunningItem>,
    actions: Vec<JobAction>,
    next_token: u64,
    next_backlog: Timestamp,
    next_retirement: Timestamp,
    reported_models: Vec<Name>,
}

impl JobsService {
    pub(super) fn new(core: JobCore, shared: Arc<EntryState>, store: StoreRunner) -> Self {
        Self {
            core,
            shared,
            store,
            callers: HashMap::new(),
            running: HashMap::new(),
            actions: Vec::new(),
            next_token: 0,
            next_backlog: Timestamp::ZERO,
            next_retirement: Timestamp::ZERO,
            reported_models: Vec::new(),
        }
    }
}

impl Service for JobsService {
    type Event = JobsInput;

    fn on_event(&mut self, now: Timestamp, event: JobsInput) -> Flow {
        match event {
            JobsInput::Request { request, reply } => self.on_request(now, request, reply),
            JobsInput::StoreReplied { call, reply } => {
                self.handle_event(now, JobEvent::StoreReplied { call, reply });
            }
            JobsInput::PlacesOffered { link, models, places } => {
                for model in models {
                    self.handle_event(
                        now,
                        JobEvent::PlacesOffered { endpoint: link, model, places },
                    );
                }
            }
            JobsInput::AttemptStarted(attempt) => {
                self.handle_event(now, JobEvent::ItemStarted { attempt });
            }
            JobsInput::AttemptEnded { attempt, end } => {
                let end = self.item_attempt_end(attempt, end);
                self.handle_event(now, JobEvent::ItemEnded { attempt, end });
            }
            JobsInput::Probe(request) => {
                let held = self.core.holds_claim(&request.object, request.epoch);
                request.reply(held);
            }
            JobsInput::ProbeReply { holder, object, epoch, held } => {
                self.handle_event(now, JobEvent::ProbeReply { holder, object, epoch, held });
            }
            JobsInput::JobCancelled(job) => self.handle_event(now, JobEvent::JobCancelled { job }),
            JobsInput::LiveEntries(names) => {
                self.handle_event(now, JobEvent::LiveEntries { names });
            }
            JobsInput::ResultsConsumed(token) => {
                self.handle_event(now, JobEvent::ResultsConsumed { token });
            }
            JobsInput::Drain => self.handle_event(now, JobEvent::Drain),
            // Callers that still wait learn that the process stops.
            JobsInput::EndDrain => self.callers.clear(),
        }
        self.report_backlog(now);
        Flow::Continue
    }

    fn on_tick(&mut self, now: Timestamp) -> Flow {
        let disconnected: Vec<ReplyToken> =
            self.callers.iter().filter(|(_, tx)| tx.is_closed()).map(|(token, _)| *token).collect();
        for token in disconnected {
            self.callers.remove(&token);
            self.handle_event(now, JobEvent::CallerDisconnected { token });
        }
        self.handle_event(now, JobEvent::Tick { now_unix_ms: Clock::unix_ms() });
        self.close_retired_models(now);
        self.report_backlog(now);
        let open_jobs = self.core.driven_job_count() as u64;
        self.shared.jobs_open.store(open_jobs, Ordering::Relaxed);
        self.shared.jobs_drained.store(self.core.drained(), Ordering::Release);
        if self.shared.finished.load(Ordering::Acquire) { Flow::Stop } else { Flow::Continue }
    }

    fn is_idle(&self) -> bool {
        self.running.is_empty() && self.reported_models.is_empty() && self.callers.is_empty()
    }
}

impl JobsService {
    /// Ends the items of models that are past the last day of their retirement plan.
    fn close_retired_models(&mut self, now: Timestamp) {
        if now < self.next_retirement {
            return;
        }
        self.next_retirement = now + RETIREMENT_INTERVAL;
        let view = self.shared.view();
        let open = |model: &str| {
            matches!(view.retirement(Subject::Model(model), Clock::unix_ms()), Retirement::Open(_))
        };
        let closed = view.models().iter().filter(|model| !open(&model.name));
        let models = closed.map(|model| Name::clone(&model.name)).collect();
        self.handle_event(now, JobEvent::ClosedServices { models });
    }

    fn on_request(&mut self, now: Timestamp, request: JobRequest, tx: UnboundedSender<JobReply>) {
        self.next_token += 1;
        let token = ReplyToken(self.next_token);
        self.callers.insert(token, tx);
        let event = match request {
            JobRequest::Submit(submission) => {
                JobEvent::Submit { token, submission, now_unix_ms: Clock::unix_ms() }
            }
            JobRequest::Status(job) => JobEvent::Status { token, job },
            JobRequest::Results(job) => JobEvent::Results { token, job },
            JobRequest::Cancel(job) => JobEvent::Cancel { token, job },
        };
        self.handle_event(now, event);
    }

    fn handle_event(&mut self, now: Timestamp, event: JobEvent) {
        let mut actions = std::mem::take(&mut self.actions);
        self.core.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, action: JobAction) {
        match action {
            JobAction::Store { call, op } => {
                let shared = Arc::clone(&self.shared);
                self.store.run(op, move |reply| {
                    shared.send_to_jobs(JobsInput::StoreReplied { call, reply });
                });
            }
            JobAction::Reply { token, reply } => self.reply(token, reply),
            JobAction::CancelAttempt { attempt } => {
                self.shared.send_to_router(RouterInput::CancelBatch { attempt });
            }
            JobAction::Probe { addr, holder, object, epoch } => {
                self.probe(addr, holder, object, epoch);
            }
            JobAction::NotifyCancel { addr, job } => self.notify_cancel(addr, &job),
            dispatch @ JobAction::Dispatch { .. } => self.dispatch(dispatch),
        }
    }

    fn reply(&mut self, token: ReplyToken, reply: JobReply) {
        emit_reply_event(&self.shared, &reply);
        let is_part = matches!(reply, JobReply::ResultsPart(_));
        let Some(caller) = self.callers.get(&token) else { return };
        // Disconnected callers are removed on the next tick.
        let _ = caller.send(reply);
        if is_part {
            // The channel is unbounded, so the next part is requested at once.
            self.shared.send_to_jobs(JobsInput::ResultsConsumed(token));
        } else {
            self.callers.remove(&token);
        }
    }

    fn dispatch(&mut self, action: JobAction) {
        let JobAction::Dispatch {
            endpoint,
            attempt,
            job,
            epoch,
            item,
            model,
            body,
            idempotent,
            deadline,
            resume_from,
            partial,
            content,
        } = action
        else {
            return;
        };
        let request = Name::from(format!("{job}.{item}"));
        self.running.insert(attempt, RunningItem { request: Name::clone(&request), partial });
        let (cost, prefix) = chat_cost_and_prefix(&body);
        let spec = RequestSpec {
            id: Name::clone(&request),
            class: Class::Batch,
            model,
            method: Name::from("POST"),
            path: Name::from("/v1/chat/completions"),
            cost,
            prefix,
            body,
            idempotent,
            idempotency_key: request,
            fence: Some((Name::from(format!("jobs/{job}")), epoch)),
            timeout: deadline,
            content,
            organization: Name::from(""),
            mode: DispatchMode::Whole,
        };
        let spec = Arc::new(spec);
        let link = endpoint;
        self.shared.send_to_router(RouterInput::SubmitBatch { attempt, link, spec, resume_from });
    }

    /// Converts the end of an attempt. Renders a complete answer; keeps the text generated so far
    /// if the attempt was preempted.
    fn item_attempt_end(&mut self, attempt: AttemptId, end: BatchEnd) -> ItemAttemptEnd {
        let running = self.running.remove(&attempt);
        let BatchEnd { outcome, content_type, answer, tokens } = end;
        let partial = running.as_ref().map(|item| item.partial.clone()).unwrap_or_default();
        match outcome {
            AttemptOutcome::Answered { status } if status < SERVER_ERROR => {
                let streamed = content_type.starts_with(EVENT_STREAM);
                let body =
                    if streamed { render_completion(&running, [partial, answer]) } else { answer };
                if status < 400 {
                    ItemAttemptEnd::Answered { status, body }
                } else {
                    ItemAttemptEnd::Failed { status, body }
                }
            }
            AttemptOutcome::Answered { status } => ItemAttemptEnd::Failed { status, body: answer },
            AttemptOutcome::Crashed => ItemAttemptEnd::Crashed,
            AttemptOutcome::Cancelled => ItemAttemptEnd::Cancelled,
            AttemptOutcome::Preempted => {
                let partial = Bytes::from([partial, answer].concat());
                ItemAttemptEnd::Preempted { partial, tokens }
            }
            AttemptOutcome::NotRun(_) => ItemAttemptEnd::NotRun,
            // The exchange ended without an answer, so it is not known whether the item ran.
            AttemptOutcome::Failed | AttemptOutcome::Unknown => ItemAttemptEnd::Unknown,
        }
    }

    fn probe(&self, addr: Name, holder: Incarnation, object: Name, epoch: Epoch) {
        let shared = Arc::clone(&self.shared);
        self.store.runtime.spawn(async move {
            let held = probe(&shared, &addr, holder, &object, epoch).await;
            shared.send_to_jobs(JobsInput::ProbeReply { holder, object, epoch, held });
        });
    }

    fn notify_cancel(&self, addr: Name, job: &str) {
        let hello = self.shared.hello();
        let message = Frame::from(messages::JobCancelled { job: job.to_owned() });
        self.store.runtime.spawn(async move {
            // There is no reply. If the message is lost, the driver sees the cancellation at its
            // next write.
            let ignore_frames = |_| ControlFlow::Continue(());
            request_once(&addr, hello, message, PROBE_TIMEOUT, |_| {}, ignore_frames).await;
        });
    }

    fn report_backlog(&mut self, now: Timestamp) {
        let backlog = self.core.backlog();
        let models: Vec<Name> = backlog.iter().map(|entry| Name::clone(&entry.model)).collect();
        let changed = models != self.reported_models;
        if !changed && (models.is_empty() || now < self.next_backlog) {
            return;
        }
        self.next_backlog = now + BACKLOG_INTERVAL;
        self.reported_models = models;
        self.shared.send_to_router(RouterInput::Backlog(backlog));
    }
}

fn render_completion(running: &Option<RunningItem>, parts: [Bytes; 2]) -> Bytes {
    let mut answer = ChatAnswer::default();
    for part in &parts {
        answer.push(part);
    }
    let id = running.as_ref().map_or("", |item| &*item.request);
    let model = answer.model.clone();
    Bytes::from(answer.render(id, &model).to_string())
}

fn emit_reply_event(shared: &EntryState, reply: &JobReply) {
    match reply {
        JobReply::Accepted { job, resent } => {
            let fields: [(&str, &dyn Display); 1] = [("resent", resent)];
            shared.events.emit(&catalogue::JOB_ACCEPTED, Some(job), &fields);
        }
        JobReply::NotRun(refusal) => {
            let reason = format!("{refusal:?}");
            let fields: [(&str, &dyn Display); 1] = [("reason", &reason)];
            shared.events.emit(&catalogue::JOB_REFUSED, None, &fields);
        }
        JobReply::Cancelled { .. } => shared.events.emit(&catalogue::JOB_CANCELLED, None, &[]),
        _ => {}
    }
}
