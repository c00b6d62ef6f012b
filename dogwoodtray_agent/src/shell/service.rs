//! Service that passes events to the state machine and executes the resulting actions.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dogwoodtray_config::CurrentSnapshot;
use dogwoodtray_config::Received;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_runtime::EventLog;
use dogwoodtray_runtime::Flow;
use dogwoodtray_runtime::LinkEvent;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_runtime::Service;
use dogwoodtray_runtime::attempt_from_wire;
use dogwoodtray_runtime::attempt_to_wire;
use dogwoodtray_runtime::catalogue;
use dogwoodtray_runtime::config_set;
use dogwoodtray_runtime::evidence_from_wire;
use dogwoodtray_runtime::evidence_to_wire;
use dogwoodtray_wire::messages;
use dogwoodtray_wire::messages::frame::Kind;

use super::batch_weight::batch_weight;
use super::convert;
use super::endpoint::EndpointClient;
use crate::core::AgentAction;
use crate::core::AgentCore;
use crate::core::AgentEvent;
use crate::core::AgentMessage;
use crate::core::EndpointEvent;
use crate::core::EntryLinkId;

const HEALTH_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a drain waits for entries to acknowledge the last responses.
const ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// Input event of the service.
#[derive(Debug)]
pub(super) enum AgentServiceEvent {
    Link(Box<LinkEvent>),
    Endpoint { attempt: AttemptId, event: EndpointEvent },
    Health(bool),
    Drain,
    Stop,
}

/// State published for the operator port and for hello messages.
#[derive(Debug, Default)]
pub(super) struct PublishedState {
    pub(super) generation: AtomicU64,
    pub(super) leaving: AtomicBool,
    pub(super) endpoint_up: AtomicBool,
    pub(super) running: AtomicU64,
    pub(super) peers: AtomicU64,
    pub(super) finished: AtomicBool,
}

pub(super) struct AgentService {
    pub(super) core: AgentCore,
    pub(super) endpoint: EndpointClient,
    pub(super) events: EventLog,
    pub(super) shared: Arc<PublishedState>,
    pub(super) drain_timeout: Duration,
    pub(super) links: HashMap<EntryLinkId, EntryLink>,
    pub(super) models: Vec<Name>,
    pub(super) snapshot: CurrentSnapshot,
    pub(super) actions: Vec<AgentAction>,
    pub(super) heartbeat_seq: u64,
    pub(super) next_health_check: Timestamp,
    pub(super) drain: Option<Drain>,
}

pub(super) struct EntryLink {
    node: Name,
    link: LinkHandle,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Drain {
    deadline: Timestamp,
    idle_since: Option<Timestamp>,
}

impl Service for AgentService {
    type Event = AgentServiceEvent;

    fn on_event(&mut self, now: Timestamp, event: AgentServiceEvent) -> Flow {
        match event {
            AgentServiceEvent::Link(event) => self.on_link(now, *event),
            AgentServiceEvent::Endpoint { attempt, event } => {
                if is_final(&event) {
                    self.endpoint.remove_ended(attempt);
                }
                self.handle(now, AgentEvent::Endpoint { attempt, event });
            }
            AgentServiceEvent::Health(up) => self.handle(now, AgentEvent::Health { up }),
            AgentServiceEvent::Drain => self.start_drain(now),
            AgentServiceEvent::Stop => return Flow::Stop,
        }
        Flow::Continue
    }

    fn on_tick(&mut self, now: Timestamp) -> Flow {
        if now >= self.next_health_check {
            self.next_health_check = now + HEALTH_INTERVAL;
            self.endpoint.check_health();
        }
        self.handle(now, AgentEvent::Tick);
        self.publish_state();
        self.check_drain(now)
    }

    fn is_idle(&self) -> bool {
        self.core.is_idle() && self.drain.is_none()
    }
}

/// # Links
impl AgentService {
    fn on_link(&mut self, now: Timestamp, event: LinkEvent) {
        match event {
            LinkEvent::Up { link, hello } => {
                let peer = EntryLinkId(link.id().0);
                self.events.observe(hello.clock);
                self.events.emit(&catalogue::LINK_UP, None, &[("peer", &hello.node)]);
                self.sync_config(&link, hello.generation);
                for frame in evidence_to_wire(now, &self.core.evidence_mut().known()) {
                    link.send(frame);
                }
                self.links.insert(peer, EntryLink { node: hello.node.into(), link });
                self.handle(now, AgentEvent::PeerUp { peer });
            }
            LinkEvent::Down { link, reason } => {
                let peer = EntryLinkId(link.0);
                if let Some(entry) = self.links.remove(&peer) {
                    let fields: [(&str, &dyn std::fmt::Display); 2] =
                        [("peer", &entry.node), ("reason", &reason)];
                    self.events.emit(&catalogue::LINK_DOWN, None, &fields);
                }
                self.handle(now, AgentEvent::PeerDown { peer });
            }
            LinkEvent::Frame { link, kind } => self.on_frame(now, EntryLinkId(link.0), kind),
        }
    }

    fn on_frame(&mut self, now: Timestamp, peer: EntryLinkId, kind: Kind) {
        match kind {
            Kind::Heartbeat(heartbeat) => {
                self.events.observe(heartbeat.clock);
                if let Some(entry) = self.links.get(&peer) {
                    self.sync_config(&entry.link, heartbeat.generation);
                }
                let backlog = convert::backlog_from_wire(heartbeat.backlog);
                self.handle(now, AgentEvent::PeerBacklog { peer, backlog });
            }
            Kind::Dispatch(dispatch) => {
                self.events.observe(dispatch.clock);
                if let Some(work) = convert::work_from_wire(dispatch) {
                    self.handle(now, AgentEvent::Dispatch { peer, work });
                }
            }
            Kind::Cancel(message) => {
                if let Some(attempt) = attempt_from_wire(message.attempt) {
                    self.handle(now, AgentEvent::Cancel { attempt });
                }
            }
            Kind::Reattach(message) => {
                if let Some(attempt) = attempt_from_wire(message.attempt) {
                    let offset = message.offset;
                    self.handle(now, AgentEvent::Reattach { peer, attempt, offset });
                }
            }
            Kind::Ack(message) => {
                if let Some(attempt) = attempt_from_wire(message.attempt) {
                    self.handle(now, AgentEvent::Ack { attempt });
                }
            }
            Kind::ConfigFetch(_) => {
                let set = config_set(self.snapshot.generation(), &self.snapshot.full_bytes());
                self.send(peer, set);
            }
            Kind::ConfigSet(set) => self.on_config(peer, &set),
            Kind::EvidenceSet(set) => {
                self.core.evidence_mut().merge(now, evidence_from_wire(now, set));
                self.send_evidence(now);
            }
            // Entries do not send the other kinds to agents.
            _ => {}
        }
    }

    /// Fetches the configuration from a peer with a newer generation, or sends it to a peer with an
    /// older one.
    fn sync_config(&self, link: &LinkHandle, generation: u64) {
        let own_generation = self.snapshot.generation();
        if generation > own_generation.0 {
            link.send(messages::ConfigFetch { generation });
        } else if generation < own_generation.0 {
            link.send(config_set(own_generation, &self.snapshot.bytes_for(Generation(generation))));
        }
    }

    fn on_config(&mut self, peer: EntryLinkId, set: &messages::ConfigSet) {
        if set.generation <= self.snapshot.generation().0 {
            return;
        }
        match self.snapshot.receive(&set.snapshot) {
            Received::Applied => self.apply_config(),
            Received::NotNewer => {}
            Received::FullSnapshotNeeded => {
                self.send(peer, messages::ConfigFetch { generation: set.generation });
            }
        }
    }

    fn apply_config(&mut self) {
        if let Some(weight) = batch_weight(self.snapshot.snapshot(), &self.models) {
            self.core.set_batch_weight(weight);
        }
        let generation = self.snapshot.generation().0;
        self.shared.generation.store(generation, Ordering::Relaxed);
        let fields: [(&str, &dyn std::fmt::Display); 1] = [("generation", &generation)];
        self.events.emit(&catalogue::CONFIG_APPLIED, None, &fields);
    }

    fn send(&self, peer: EntryLinkId, message: impl Into<messages::Frame>) {
        if let Some(entry) = self.links.get(&peer) {
            entry.link.send(message);
        }
    }
}

/// # State machine
impl AgentService {
    fn handle(&mut self, now: Timestamp, event: AgentEvent) {
        let mut actions = std::mem::take(&mut self.actions);
        self.core.handle(now, event, &mut actions);
        // An entry learns of all runs that a crash ended at once, and then of the end of each.
        self.send_evidence(now);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    /// Sends new evidence about crashes to all entries.
    fn send_evidence(&mut self, now: Timestamp) {
        for frame in evidence_to_wire(now, &self.core.evidence_mut().take_news()) {
            for entry in self.links.values() {
                entry.link.send(frame.clone());
            }
        }
    }

    fn execute(&mut self, action: AgentAction) {
        match action {
            AgentAction::Send { peer, message } => self.send_message(peer, message),
            AgentAction::Forward { work } => {
                self.events.emit(&catalogue::WORK_FORWARDED, Some(&work.request), &[]);
                self.endpoint.forward(work);
            }
            AgentAction::Abort { attempt } => self.endpoint.abort(attempt),
            AgentAction::CheckHealth => self.endpoint.check_health(),
            AgentAction::EndpointDown => {
                self.events.emit(&catalogue::ENDPOINT_DOWN, None, &[]);
            }
            AgentAction::EndpointUp => self.events.emit(&catalogue::ENDPOINT_UP, None, &[]),
        }
    }

    fn send_message(&mut self, peer: EntryLinkId, message: AgentMessage) {
        match message {
            AgentMessage::Started { attempt } => {
                let attempt = attempt_to_wire(attempt);
                self.send(peer, messages::Started { attempt });
            }
            AgentMessage::Chunk { attempt, offset, data, tokens } => {
                let attempt = attempt_to_wire(attempt);
                self.send(peer, messages::Chunk { attempt, offset, data, tokens });
            }
            AgentMessage::Done { attempt, outcome, content_type, total_bytes, tokens } => {
                let mut done = messages::Done {
                    attempt: attempt_to_wire(attempt),
                    content_type: content_type.to_string(),
                    total_bytes,
                    tokens,
                    free_online: self.core.free_online(),
                    free_batch: self.core.free_batch(),
                    ..messages::Done::default()
                };
                convert::fill_outcome(&mut done, outcome);
                self.send(peer, done);
            }
            AgentMessage::Credit { places } => {
                self.send(peer, messages::Credit { model: String::new(), places });
            }
            AgentMessage::Heartbeat => {
                let heartbeat = self.next_heartbeat();
                self.send(peer, heartbeat);
            }
        }
    }

    fn next_heartbeat(&mut self) -> messages::Heartbeat {
        self.heartbeat_seq += 1;
        messages::Heartbeat {
            seq: self.heartbeat_seq,
            clock: Some(self.events.clock()),
            generation: self.snapshot.generation().0,
            leaving: self.core.is_leaving(),
            free_online: self.core.free_online(),
            free_batch: self.core.free_batch(),
            queued_online: self.core.queued_online(),
            ..messages::Heartbeat::default()
        }
    }

    fn publish_state(&self) {
        let shared = &self.shared;
        shared.leaving.store(self.core.is_leaving(), Ordering::Relaxed);
        shared.endpoint_up.store(self.core.is_endpoint_up(), Ordering::Relaxed);
        shared.running.store(self.core.running() as u64, Ordering::Relaxed);
        shared.peers.store(self.links.len() as u64, Ordering::Relaxed);
    }
}

/// # Graceful shutdown
impl AgentService {
    fn start_drain(&mut self, now: Timestamp) {
        if self.drain.is_some() {
            return;
        }
        self.events.emit(&catalogue::DRAIN_STARTED, None, &[]);
        self.drain = Some(Drain { deadline: now + self.drain_timeout, idle_since: None });
        self.handle(now, AgentEvent::Drain);
    }

    fn check_drain(&mut self, now: Timestamp) -> Flow {
        let Some(mut drain) = self.drain else {
            return Flow::Continue;
        };
        let running = self.core.running();
        if now >= drain.deadline {
            let fields: [(&str, &dyn std::fmt::Display); 1] = [("running", &running)];
            self.events.emit(&catalogue::DRAIN_TIMEOUT, None, &fields);
            return self.finish();
        }
        if running > 0 {
            drain.idle_since = None;
            self.drain = Some(drain);
            return Flow::Continue;
        }
        let idle_since = *drain.idle_since.get_or_insert(now);
        self.drain = Some(drain);
        if self.core.unacknowledged() > 0 && now - idle_since < ACK_TIMEOUT {
            return Flow::Continue;
        }
        self.events.emit(&catalogue::DRAIN_FINISHED, None, &[]);
        self.finish()
    }

    fn finish(&self) -> Flow {
        self.shared.finished.store(true, Ordering::Release);
        Flow::Stop
    }
}

const fn is_final(event: &EndpointEvent) -> bool {
    !matches!(event, EndpointEvent::ResponseHead { .. } | EndpointEvent::Data { .. })
}
