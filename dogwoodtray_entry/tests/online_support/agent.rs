//! Simulated agent with its engine.

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

const TOKEN_INTERVAL: Duration = Duration::from_millis(20);
/// Prefix of the ids of requests that kill each engine that runs them.
pub(crate) const POISON_PREFIX: &str = "poison";

const POISON_DOWNTIME: Duration = Duration::from_millis(300);
const HEALTH_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the event that carries one token of an answer.
pub(crate) fn token(request: &str, index: u32) -> String {
    format!("data: {request}/{index}\n\n")
}

/// Returns the complete answer to a request.
pub(crate) fn answer(request: &str, tokens: u32) -> String {
    let mut text: String = (0..tokens).map(|index| token(request, index)).collect();
    text.push_str("data: [DONE]\n\n");
    text
}

struct Stream {
    work: Arc<Work>,
    next_token: u32,
    next_token_at: Timestamp,
}

/// Agent with its engine. The engine keeps running while its agent restarts.
pub(crate) struct Endpoint {
    pub(crate) core: AgentCore,
    pub(crate) incarnation: u64,
    streams: BTreeMap<AttemptId, Stream>,
    up_at: Timestamp,
    next_health: Timestamp,
    pub(crate) node: Name,
    /// Number of times that each request was started at this engine.
    pub(crate) started: BTreeMap<Name, u32>,
}

impl Endpoint {
    pub(crate) fn new(node: Name, incarnation: u64) -> Self {
        Self {
            core: agent_core(&node, incarnation),
            node,
            incarnation,
            streams: BTreeMap::new(),
            up_at: Timestamp::ZERO,
            next_health: Timestamp::ZERO,
            started: BTreeMap::new(),
        }
    }

    /// Restarts the agent. This closes its connections to the engine, which cancels their streams.
    pub(crate) fn restart_agent(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.core = agent_core(&self.node, incarnation);
        self.streams.clear();
    }

    /// Kills the engine, which is restarted after `down`.
    pub(crate) fn crash(&mut self, now: Timestamp, down: Duration) -> Vec<AgentEvent> {
        self.up_at = now + down;
        let streams = std::mem::take(&mut self.streams);
        streams
            .into_keys()
            .map(|attempt| AgentEvent::Endpoint { attempt, event: EndpointEvent::ConnectionLost })
            .collect()
    }

    pub(crate) fn is_up(&self, now: Timestamp) -> bool {
        now >= self.up_at
    }

    /// Applies an action to the engine and returns the immediate events.
    pub(crate) fn apply_action(&mut self, now: Timestamp, action: AgentAction) -> Vec<AgentEvent> {
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
        let poison = work.request.starts_with(POISON_PREFIX);
        *self.started.entry(work.request.clone()).or_default() += 1;
        let (next_token, next_token_at) = (work.resume_from, now + TOKEN_INTERVAL);
        self.streams.insert(attempt, Stream { work, next_token, next_token_at });
        let content_type = Name::from("text/event-stream");
        let event = EndpointEvent::ResponseHead { status: 200, content_type };
        let mut events = vec![AgentEvent::Endpoint { attempt, event }];
        if poison {
            events.extend(self.crash(now, POISON_DOWNTIME));
        }
        events
    }

    /// Advances the engine to `now` and returns the events of that time.
    pub(crate) fn advance(&mut self, now: Timestamp) -> Vec<AgentEvent> {
        let mut events = vec![AgentEvent::Tick];
        if now >= self.next_health {
            self.next_health = now + HEALTH_INTERVAL;
            events.push(AgentEvent::Health { up: self.is_up(now) });
        }
        let mut ended = Vec::new();
        for (attempt, stream) in &mut self.streams {
            if now < stream.next_token_at {
                continue;
            }
            stream.next_token_at = now + TOKEN_INTERVAL;
            let attempt = *attempt;
            let data = if stream.next_token < stream.work.cost.output_tokens {
                token(&stream.work.request, stream.next_token)
            } else {
                ended.push(attempt);
                "data: [DONE]\n\n".to_owned()
            };
            let tokens = u32::from(stream.next_token < stream.work.cost.output_tokens);
            stream.next_token += tokens;
            let event = EndpointEvent::Data { data: Bytes::from(data), tokens };
            events.push(AgentEvent::Endpoint { attempt, event });
        }
        for attempt in ended {
            self.streams.remove(&attempt);
            events.push(AgentEvent::Endpoint { attempt, event: EndpointEvent::ResponseEnd });
        }
        events
    }
}

fn agent_core(node: &Name, incarnation: u64) -> AgentCore {
    let cfg = AgentConfig {
        node: Name::clone(node),
        incarnation: Incarnation(incarnation),
        models: vec![Name::from("m")],
        stall_timeout: Duration::from_secs(10),
    };
    AgentCore::new(cfg, Box::new(Admission::new(AdmissionConfig::default())))
}
