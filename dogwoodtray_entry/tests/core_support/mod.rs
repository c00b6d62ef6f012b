//! An entry core in virtual time whose agents are played by the test.

#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_entry::online::AttemptDone;
use dogwoodtray_entry::online::AttemptOutcome;
use dogwoodtray_entry::online::DispatchMode;
use dogwoodtray_entry::online::LinkNo;
use dogwoodtray_entry::online::OnlineAction;
use dogwoodtray_entry::online::OnlineConfig;
use dogwoodtray_entry::online::OnlineCore;
use dogwoodtray_entry::online::OnlineEvent;
use dogwoodtray_entry::online::PeerInfo;
use dogwoodtray_entry::online::RequestEnd;
use dogwoodtray_entry::online::RequestNo;
use dogwoodtray_entry::online::RequestSpec;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::Cost;
use dogwoodtray_policy::Router;
use dogwoodtray_policy::RouterConfig;

/// Number of connected endpoints.
pub(crate) const ENDPOINTS: u64 = 4;

/// A token as an endpoint sends it.
pub(crate) const TOKEN: &str = "data: one\n\n";

/// Time that passes with each tick.
pub(crate) const STEP: Duration = Duration::from_millis(100);

/// Creates an item of a job.
pub(crate) fn item(content: u64, prefix: u64) -> Arc<RequestSpec> {
    let mode = DispatchMode::Whole;
    Arc::new(RequestSpec { class: Class::Batch, mode, ..online_spec(content, prefix) })
}

/// Creates an online request.
pub(crate) fn online(content: u64, prefix: u64) -> Arc<RequestSpec> {
    Arc::new(online_spec(content, prefix))
}

fn online_spec(content: u64, prefix: u64) -> RequestSpec {
    RequestSpec {
        content: ContentHash(content),
        id: Name::from(format!("r{content}")),
        class: Class::Online,
        model: Name::from("m"),
        method: Name::from("POST"),
        path: Name::from("/v1/chat/completions"),
        body: Bytes::new(),
        idempotent: true,
        idempotency_key: Name::from(""),
        fence: None,
        timeout: Duration::from_secs(60),
        cost: Cost { prompt_tokens: 10, output_tokens: 5 },
        prefix,
        organization: Name::from(""),
        mode: DispatchMode::Tokens,
    }
}

/// A dispatch that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Running {
    pub(crate) attempt: AttemptId,
    pub(crate) link: LinkNo,
}

/// Passes on what each entry has to tell the other.
pub(crate) fn exchange_evidence(first: &mut Entry, second: &mut Entry) {
    let news = first.core.evidence_mut().take_news();
    second.core.evidence_mut().merge(second.now, news);
    let news = second.core.evidence_mut().take_news();
    first.core.evidence_mut().merge(first.now, news);
}

/// Entry whose agents report a crash for each item that they run, or complete it.
pub(crate) struct Entry {
    pub(crate) core: OnlineCore,
    pub(crate) now: Timestamp,
    next_attempt: u64,
    next_request: u64,
    /// Dispatches in order of their time, without those that were ended with [`Self::done`].
    pub(crate) running: Vec<Running>,
    /// Requests that have ended, with their ends.
    pub(crate) ended: Vec<(RequestNo, RequestEnd)>,
    /// What callers have received.
    pub(crate) delivered: Vec<u8>,
}

impl Entry {
    pub(crate) fn new() -> Self {
        let router = Box::new(Router::new(RouterConfig::default()));
        let core = OnlineCore::new(OnlineConfig::new(Incarnation(1), 1), router);
        let mut entry = Self {
            core,
            now: Timestamp::ZERO,
            next_attempt: 0,
            next_request: 0,
            running: Vec::new(),
            ended: Vec::new(),
            delivered: Vec::new(),
        };
        entry.set_links(true);
        for link in (1..=ENDPOINTS).map(LinkNo) {
            let (free_online, free_batch, queued_online, leaving) = (64, 64, 0, false);
            entry.handle(OnlineEvent::Report {
                link,
                leaving,
                free_online,
                free_batch,
                queued_online,
            });
        }
        entry
    }

    /// Connects or disconnects all agents.
    pub(crate) fn set_links(&mut self, are_up: bool) {
        for number in 1..=ENDPOINTS {
            let link = LinkNo(number);
            let peer = PeerInfo {
                node: Name::from(format!("agent-{number}")),
                incarnation: Incarnation(number),
                data_centre: Name::from("dc"),
                models: vec![Name::from("m")],
            };
            self.handle(if are_up {
                OnlineEvent::LinkUp { link, peer }
            } else {
                OnlineEvent::LinkDown { link }
            });
        }
    }

    pub(crate) fn handle(&mut self, event: OnlineEvent) {
        let mut actions = Vec::new();
        self.core.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                OnlineAction::Dispatch { attempt, link, .. } => {
                    self.running.push(Running { attempt, link });
                }
                OnlineAction::Deliver { data, .. } => self.delivered.extend_from_slice(&data),
                OnlineAction::Finish { request, end } => self.ended.push((request, end)),
                _ => {}
            }
        }
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.tick();
        }
    }

    pub(crate) fn tick(&mut self) {
        self.now = self.now + STEP;
        self.handle(OnlineEvent::Tick);
    }

    /// Submits an item at the next endpoint. Returns the attempt if it is dispatched.
    pub(crate) fn submit(&mut self, spec: &Arc<RequestSpec>) -> Option<AttemptId> {
        self.next_attempt += 1;
        let attempt = AttemptId { incarnation: Incarnation(1), counter: self.next_attempt };
        let link = LinkNo(1 + self.next_attempt % ENDPOINTS);
        let event =
            OnlineEvent::SubmitBatch { attempt, link, spec: Arc::clone(spec), resume_from: 0 };
        self.handle(event);
        self.running.iter().any(|running| running.attempt == attempt).then_some(attempt)
    }

    /// Submits an online request.
    pub(crate) fn submit_online(&mut self, spec: &Arc<RequestSpec>) -> RequestNo {
        self.next_request += 1;
        let request = RequestNo(self.next_request);
        self.handle(OnlineEvent::Submit { request, spec: Arc::clone(spec) });
        request
    }

    pub(crate) fn output(&mut self, attempt: AttemptId) {
        self.chunk(attempt, TOKEN);
    }

    fn chunk(&mut self, attempt: AttemptId, text: &'static str) {
        let data = Bytes::from_static(text.as_bytes());
        self.handle(OnlineEvent::Chunk { attempt, offset: 0, data, tokens: 1 });
    }

    pub(crate) fn done(&mut self, attempt: AttemptId, outcome: AttemptOutcome) {
        let content_type = Name::from("text/event-stream");
        self.end(attempt, AttemptDone { outcome, content_type, total_bytes: 0, tokens: 0 });
    }

    /// Answers an attempt with an error.
    pub(crate) fn answer_with_error(
        &mut self,
        attempt: AttemptId,
        status: u16,
        text: &'static str,
    ) {
        self.chunk(attempt, text);
        let done = AttemptDone {
            outcome: AttemptOutcome::Answered { status },
            content_type: Name::from("application/json"),
            total_bytes: text.len() as u64,
            tokens: 1,
        };
        self.end(attempt, done);
    }

    fn end(&mut self, attempt: AttemptId, done: AttemptDone) {
        self.running.retain(|running| running.attempt != attempt);
        self.handle(OnlineEvent::Done { attempt, done });
    }

    pub(crate) fn crash(&mut self, attempt: AttemptId) {
        self.done(attempt, AttemptOutcome::Crashed);
    }

    /// Ends what runs at an endpoint with its crash.
    pub(crate) fn crash_endpoint(&mut self, link: LinkNo) {
        let is_there = |running: &&Running| running.link == link;
        let ended: Vec<AttemptId> =
            self.running.iter().filter(is_there).map(|running| running.attempt).collect();
        for attempt in ended {
            self.done(attempt, AttemptOutcome::Crashed);
        }
    }

    /// Completes the answer of an attempt.
    pub(crate) fn complete(&mut self, attempt: AttemptId) {
        self.output(attempt);
        self.done(attempt, AttemptOutcome::Answered { status: 200 });
    }
}
