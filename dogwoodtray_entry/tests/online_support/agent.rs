//! One agent and its engine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_agent::AgentAction;
use dogwoodtray_agent::AgentConfig;
use dogwoodtray_agent::AgentCore;
use dogwoodtray_agent::AgentEvent;
use dogwoodtray_agent::EndpointEvent;
use dogwoodtray_agent::Work;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::Admission;
use dogwoodtray_policy::AdmissionConfig;

const TOKEN_TIME: Duration = Duration::from_millis(20);
/// Start of the ids of requests that kill each engine that runs them.
pub(crate) const POISON: &str = "poison";

const POISON_DOWN: Duration = Duration::from_millis(300);
const HEALTH_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the event that carries one token of an answer.
pub(crate) fn token(request: &str, index: u32) -> String {
    format!("data: {request}/{index}\n\n")
}

/// Returns the whole answer of a request.
pub(crate) fn answer(request: &str, tokens: u32) -> String {
    let mut text: String = (0..tokens).map(|index| token(request, index)).collect();
    text.push_str("data: [DONE]\n\n");
    text
}

struct Stream {
    work: Arc<Work>,
    next: u32,
    at: Timestamp,
}

/// One agent and its engine. The engine outlives its agent.
pub(crate) struct Endpoint {
    pub(crate) core: AgentCore,
    pub(crate) incarnation: u64,
    streams: BTreeMap<AttemptId, Stream>,
    up_at: Timestamp,
    next_health: Timestamp,
    /// How often each request was started at this engine.
    pub(crate) started: BTreeMap<Name, u32>,
}

impl Endpoint {
    pub(crate) fn new(incarnation: u64) -> Self {
        Self {
            core: core(incarnation),
            incarnation,
            streams: BTreeMap::new(),
            up_at: Timestamp::ZERO,
            next_health: Timestamp::ZERO,
            started: BTreeMap::new(),
        }
    }

    /// Restarts the agent. Its connections to the engine close, so the engine cancels its streams.
    pub(crate) fn restart_agent(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.core = core(incarnation);
        self.streams.clear();
    }

    /// Kills the engine for a while.
    pub(crate) fn crash(&mut self, now: Timestamp, down: Duration) -> Vec<AgentEvent> {
        self.up_at = now + down;
        let streams = std::mem::take(&mut self.streams);
        streams
            .into_keys()
            .map(|attempt| AgentEvent::Endpoint { attempt, event: EndpointEvent::Broken })
            .collect()
    }

    pub(crate) fn is_up(&self, now: Timestamp) -> bool {
        now >= self.up_at
    }

    /// Carries out an action towards the engine and returns what the engine does at once.
    pub(crate) fn carry_out(&mut self, now: Timestamp, action: AgentAction) -> Vec<AgentEvent> {
        match action {
            AgentAction::Forward { work } => self.forward(now, work),
            AgentAction::Abort { attempt } => match self.streams.remove(&attempt) {
                Some(_) => vec![AgentEvent::Endpoint { attempt, event: EndpointEvent::Aborted }],
                None => Vec::new(),
            },
            AgentAction::CheckHealth => vec![AgentEvent::Health { up: self.is_up(now) }],
            _ => Vec::new(),
        }
    }

    fn forward(&mut self, now: Timestamp, work: Arc<Work>) -> Vec<AgentEvent> {
        let attempt = work.attempt;
        if !self.is_up(now) {
            return vec![AgentEvent::Endpoint { attempt, event: EndpointEvent::ConnectFailed }];
        }
        let poison = work.request.starts_with(POISON);
        *self.started.entry(work.request.clone()).or_default() += 1;
        let (next, at) = (work.resume_from, now + TOKEN_TIME);
        self.streams.insert(attempt, Stream { work, next, at });
        let content_type = Name::from("text/event-stream");
        let event = EndpointEvent::Head { status: 200, content_type };
        let mut events = vec![AgentEvent::Endpoint { attempt, event }];
        if poison {
            events.extend(self.crash(now, POISON_DOWN));
        }
        events
    }

    /// Returns what the engine does as time passes.
    pub(crate) fn step(&mut self, now: Timestamp) -> Vec<AgentEvent> {
        let mut events = vec![AgentEvent::Tick];
        if now >= self.next_health {
            self.next_health = now + HEALTH_INTERVAL;
            events.push(AgentEvent::Health { up: self.is_up(now) });
        }
        let mut ended = Vec::new();
        for (attempt, stream) in &mut self.streams {
            if now < stream.at {
                continue;
            }
            stream.at = now + TOKEN_TIME;
            let attempt = *attempt;
            let data = if stream.next < stream.work.cost.output_tokens {
                token(&stream.work.request, stream.next)
            } else {
                ended.push(attempt);
                "data: [DONE]\n\n".to_owned()
            };
            let tokens = u32::from(stream.next < stream.work.cost.output_tokens);
            stream.next += tokens;
            let event = EndpointEvent::Data { data: Bytes::from(data), tokens };
            events.push(AgentEvent::Endpoint { attempt, event });
        }
        for attempt in ended {
            self.streams.remove(&attempt);
            events.push(AgentEvent::Endpoint { attempt, event: EndpointEvent::End });
        }
        events
    }
}

fn core(incarnation: u64) -> AgentCore {
    let cfg = AgentConfig {
        incarnation: Incarnation(incarnation),
        models: vec![Name::from("m")],
        stall_timeout: Duration::from_secs(10),
    };
    AgentCore::new(cfg, Box::new(Admission::new(AdmissionConfig::default())))
}
