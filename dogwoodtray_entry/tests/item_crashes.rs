//! Items of jobs that crash the endpoints that begin to run them, in virtual time.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

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
use dogwoodtray_entry::online::RequestSpec;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::Cost;
use dogwoodtray_policy::Router;
use dogwoodtray_policy::RouterConfig;

const ENDPOINTS: u64 = 4;
const STEP: Duration = Duration::from_millis(100);

/// Time in which an item that is not held runs more than a hundred times.
const OBSERVED: Duration = Duration::from_secs(60);

/// Crashes by items with a common prefix, and further runs of them.
const MAX_RUNS: u32 = 5 + 3;

/// Time after which an item runs again although its prefix is blocked.
const MAX_HELD: Duration = Duration::from_secs(20);

fn item(content: u64, prefix: u64) -> Arc<RequestSpec> {
    Arc::new(RequestSpec {
        content: ContentHash(content),
        id: Name::from(format!("i{content}")),
        class: Class::Batch,
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
        mode: DispatchMode::Whole,
    })
}

/// Entry whose agents report a crash for each item that they run, or complete it.
struct Entry {
    core: OnlineCore,
    now: Timestamp,
    next_attempt: u64,
}

impl Entry {
    fn new() -> Self {
        let router = Box::new(Router::new(RouterConfig::default()));
        let core = OnlineCore::new(OnlineConfig::new(Incarnation(1), 1), router);
        let mut entry = Self { core, now: Timestamp::ZERO, next_attempt: 0 };
        for number in 1..=ENDPOINTS {
            let peer = PeerInfo {
                node: Name::from(format!("agent-{number}")),
                incarnation: Incarnation(number),
                data_centre: Name::from("dc"),
                models: vec![Name::from("m")],
            };
            entry.handle(OnlineEvent::LinkUp { link: LinkNo(number), peer });
        }
        entry
    }

    fn handle(&mut self, event: OnlineEvent) -> Vec<OnlineAction> {
        let mut actions = Vec::new();
        self.core.handle(self.now, event, &mut actions);
        actions
    }

    fn tick(&mut self) {
        self.now = self.now + STEP;
        self.handle(OnlineEvent::Tick);
    }

    /// Submits an item at the next endpoint. Returns the attempt if it is dispatched.
    fn submit(&mut self, spec: &Arc<RequestSpec>) -> Option<AttemptId> {
        self.next_attempt += 1;
        let attempt = AttemptId { incarnation: Incarnation(1), counter: self.next_attempt };
        let link = LinkNo(1 + self.next_attempt % ENDPOINTS);
        let event =
            OnlineEvent::SubmitBatch { attempt, link, spec: Arc::clone(spec), resume_from: 0 };
        let actions = self.handle(event);
        let is_sent = |action: &OnlineAction| matches!(action, OnlineAction::Dispatch { .. });
        actions.iter().any(is_sent).then_some(attempt)
    }

    fn output(&mut self, attempt: AttemptId) {
        let data = Bytes::from_static(b"data: one\n\n");
        self.handle(OnlineEvent::Chunk { attempt, offset: 0, data, tokens: 1 });
    }

    fn done(&mut self, attempt: AttemptId, outcome: AttemptOutcome) {
        let content_type = Name::from("text/event-stream");
        let done = AttemptDone { outcome, content_type, total_bytes: 0, tokens: 0 };
        self.handle(OnlineEvent::Done { attempt, done });
    }

    fn crash(&mut self, attempt: AttemptId) {
        self.done(attempt, AttemptOutcome::Crashed { crash_id: attempt.counter });
    }
}

/// Guards against items that crash one endpoint after the other, by themselves or by their prefix,
/// and against items that are not tried again, or not run after their prefix was cleared.
#[test]
fn items_that_crash_endpoints_are_held_and_tried_rarely() {
    for (first, second) in [(item(1, 0), item(1, 0)), (item(1, 9), item(2, 9))] {
        let mut entry = Entry::new();
        let (mut runs, mut held_since) = (0, None);
        let mut longest_held = Duration::ZERO;
        while entry.now < Timestamp::ZERO + OBSERVED {
            for spec in [&first, &second] {
                if let Some(attempt) = entry.submit(spec) {
                    runs += 1;
                    entry.tick();
                    entry.crash(attempt);
                    held_since = None;
                }
            }
            entry.tick();
            let held = entry.now - *held_since.get_or_insert(entry.now);
            longest_held = longest_held.max(held);
        }
        assert!(runs <= MAX_RUNS, "{runs} runs");
        assert!(longest_held <= MAX_HELD, "not tried for {longest_held:?}");
        let sound = item(3, 7);
        assert!(entry.submit(&sound).is_some(), "an item with another prefix is held");
        let trial = loop {
            entry.tick();
            if let Some(attempt) = entry.submit(&first) {
                break attempt;
            }
        };
        entry.tick();
        entry.output(trial);
        entry.done(trial, AttemptOutcome::Answered { status: 200 });
        assert!(entry.submit(&second).is_some(), "it is held after its content was cleared");
    }
}

/// Guards against an item that is held because endpoints crashed by chance while they ran it.
#[test]
fn an_item_under_which_endpoints_crash_with_others_is_not_held() {
    let mut entry = Entry::new();
    let spec = item(1, 9);
    for round in 0..8 {
        let attempt = entry.submit(&spec).unwrap_or_else(|| panic!("held in round {round}"));
        let others: Vec<AttemptId> =
            (0..3).filter_map(|n| entry.submit(&item(100 + round * 10 + n, 20 + n))).collect();
        assert_eq!(others.len(), 3, "an item beside it is held in round {round}");
        entry.tick();
        for attempt in others.iter().chain([&attempt]) {
            entry.output(*attempt);
        }
        entry.tick();
        for attempt in others.iter().chain([&attempt]) {
            entry.crash(*attempt);
        }
        entry.tick();
        entry.tick();
        entry.tick();
    }
}
