//! Streams that break off and go on at an endpoint that answers with an error, in virtual time.

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
use dogwoodtray_entry::online::RequestEnd;
use dogwoodtray_entry::online::RequestNo;
use dogwoodtray_entry::online::RequestSpec;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::Cost;
use dogwoodtray_policy::Router;
use dogwoodtray_policy::RouterConfig;

const TOKEN: &str = "data: one\n\n";
const ERROR: &str = "the model is overloaded";

fn spec() -> Arc<RequestSpec> {
    Arc::new(RequestSpec {
        content: ContentHash(1),
        id: Name::from("r1"),
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
        prefix: 0,
        organization: Name::from(""),
        mode: DispatchMode::Tokens,
    })
}

/// Entry with three agents, of which the caller's request sees one after the other.
struct Fleet {
    core: OnlineCore,
    now: Timestamp,
    delivered: Vec<u8>,
    end: Option<RequestEnd>,
    dispatched: Vec<AttemptId>,
}

impl Fleet {
    fn new() -> Self {
        let router = Box::new(Router::new(RouterConfig::default()));
        let core = OnlineCore::new(OnlineConfig::new(Incarnation(1), 1), router);
        let now = Timestamp::ZERO;
        let mut fleet =
            Self { core, now, delivered: Vec::new(), end: None, dispatched: Vec::new() };
        for number in 1..=3 {
            let peer = PeerInfo {
                node: Name::from(format!("agent-{number}")),
                incarnation: Incarnation(number),
                data_centre: Name::from("dc"),
                models: vec![Name::from("m")],
            };
            let link = LinkNo(number);
            fleet.handle(OnlineEvent::LinkUp { link, peer });
            let (free_online, free_batch, queued_online) = (4, 0, 0);
            let leaving = false;
            fleet.handle(OnlineEvent::Report {
                link,
                leaving,
                free_online,
                free_batch,
                queued_online,
            });
        }
        fleet
    }

    fn handle(&mut self, event: OnlineEvent) {
        self.now = self.now + Duration::from_millis(20);
        let mut actions = Vec::new();
        self.core.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                OnlineAction::Dispatch { attempt, .. } => self.dispatched.push(attempt),
                OnlineAction::Deliver { data, .. } => self.delivered.extend_from_slice(&data),
                OnlineAction::Finish { end, .. } => self.end = Some(end),
                _ => {}
            }
        }
    }

    fn chunk(&mut self, attempt: AttemptId, text: &str, tokens: u32) {
        let data = Bytes::from(text.to_owned());
        self.handle(OnlineEvent::Chunk { attempt, offset: 0, data, tokens });
    }

    fn done(&mut self, attempt: AttemptId, outcome: AttemptOutcome, text: &str) {
        let done = AttemptDone {
            outcome,
            content_type: Name::from("application/json"),
            total_bytes: text.len() as u64,
            tokens: 1,
        };
        self.handle(OnlineEvent::Done { attempt, done });
    }
}

/// Guards against the text of an error in the middle of a stream, and against a stream that looks
/// complete after it.
#[test]
fn an_error_of_the_next_endpoint_does_not_reach_a_stream_that_has_begun() {
    for status in [400, 404, 422, 429, 500, 503] {
        let mut fleet = Fleet::new();
        fleet.handle(OnlineEvent::Submit { request: RequestNo(1), spec: spec() });
        let first = fleet.dispatched[0];
        fleet.chunk(first, TOKEN, 1);
        fleet.done(first, AttemptOutcome::Crashed { crash_id: 7 }, TOKEN);
        let mut answered = 1;
        while fleet.end.is_none() {
            fleet.handle(OnlineEvent::Tick);
            let Some(next) = fleet.dispatched.get(answered).copied() else { continue };
            answered += 1;
            fleet.chunk(next, ERROR, 1);
            fleet.done(next, AttemptOutcome::Answered { status }, ERROR);
        }
        assert!(answered > 1, "{status}: the stream is not resumed");
        assert_eq!(String::from_utf8_lossy(&fleet.delivered), TOKEN, "{status}");
        let end = fleet.end.unwrap();
        assert!(matches!(end, RequestEnd::Unknown { .. }), "{status}: {end:?}");
    }
}
