//! Service that owns the links and routes requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_config::Snapshot;
use dogwoodtray_config::View;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Suspicion;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::choose_subset;
use dogwoodtray_platform::VmEntry;
use dogwoodtray_platform::VmRole;
use dogwoodtray_runtime::DialHandle;
use dogwoodtray_runtime::Flow;
use dogwoodtray_runtime::LinkConfig;
use dogwoodtray_runtime::LinkEvent;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_runtime::Service;
use dogwoodtray_runtime::attempt_from_wire;
use dogwoodtray_runtime::attempt_to_wire;
use dogwoodtray_runtime::catalogue;
use dogwoodtray_runtime::dial;
use dogwoodtray_runtime::suspicions_from_wire;
use dogwoodtray_runtime::suspicions_to_wire;
use dogwoodtray_wire::messages;
use dogwoodtray_wire::messages::Role;
use dogwoodtray_wire::messages::frame::Kind;
use tokio::runtime::Handle;
use tokio::sync::mpsc::UnboundedSender;

use super::JobsInput;
use super::OnceInput;
use super::Shared;
use super::convert;
use super::once::ONCE_OBJECT;
use super::probe::ProbeQuestion;
use super::shared::PeerStatus;
use crate::jobs::Backlog;
use crate::online::BatchEnd;
use crate::online::LinkNo;
use crate::online::OnlineAction;
use crate::online::OnlineCore;
use crate::online::OnlineEvent;
use crate::online::PeerInfo;
use crate::online::RequestEnd;
use crate::online::RequestNo;
use crate::online::RequestSpec;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Suspicions in one heartbeat.
const MAX_SUSPICIONS: usize = 64;

/// Part of an answer on its way to a caller.
#[derive(Debug)]
pub(crate) enum AnswerPart {
    /// Bytes of the answer.
    Data { status: u16, content_type: Name, data: Bytes },
    /// The request ended.
    End(RequestEnd),
}

/// What reaches the service.
#[derive(Debug)]
pub(crate) enum RouterInput {
    Link(Box<LinkEvent>),
    Submit { request: RequestNo, spec: Arc<RequestSpec>, reply: UnboundedSender<AnswerPart> },
    CallerGone { request: RequestNo },
    SubmitBatch { attempt: AttemptId, link: u64, spec: Arc<RequestSpec>, resume_from: u32 },
    CancelBatch { attempt: AttemptId },
    Backlog(Vec<Backlog>),
    Config { generation: u64, bytes: Bytes },
    Vms(Vec<VmEntry>),
    Drain,
}

struct Peer {
    node: Name,
    role: Role,
    incarnation: Incarnation,
    generation: u64,
    link: LinkHandle,
}

/// Owns the links and routes requests.
pub(super) struct RouterService {
    core: OnlineCore,
    shared: Arc<Shared>,
    runtime: Handle,
    link_cfg: LinkConfig,
    links: HashMap<LinkNo, Peer>,
    dialled: HashMap<Name, DialHandle>,
    callers: HashMap<RequestNo, UnboundedSender<AnswerPart>>,
    backlog: Vec<Backlog>,
    config: Bytes,
    actions: Vec<OnlineAction>,
    heartbeat_seq: u64,
    next_heartbeat: Timestamp,
    drain_deadline: Option<Timestamp>,
}

impl RouterService {
    pub(super) fn new(
        core: OnlineCore,
        shared: Arc<Shared>,
        runtime: Handle,
        link_cfg: LinkConfig,
    ) -> Self {
        Self {
            core,
            shared,
            runtime,
            link_cfg,
            links: HashMap::new(),
            dialled: HashMap::new(),
            callers: HashMap::new(),
            backlog: Vec::new(),
            config: Bytes::new(),
            actions: Vec::new(),
            heartbeat_seq: 0,
            next_heartbeat: Timestamp::ZERO,
            drain_deadline: None,
        }
    }
}

impl Service for RouterService {
    type Event = RouterInput;

    fn on_event(&mut self, now: Timestamp, event: RouterInput) -> Flow {
        match event {
            RouterInput::Link(event) => self.on_link(now, *event),
            RouterInput::Submit { request, spec, reply } => {
                self.callers.insert(request, reply);
                self.decide(now, OnlineEvent::Submit { request, spec });
            }
            RouterInput::CallerGone { request } => {
                self.callers.remove(&request);
                self.decide(now, OnlineEvent::CallerGone { request });
            }
            RouterInput::SubmitBatch { attempt, link, spec, resume_from } => {
                let link = LinkNo(link);
                self.decide(now, OnlineEvent::SubmitBatch { attempt, link, spec, resume_from });
            }
            RouterInput::CancelBatch { attempt } => {
                self.decide(now, OnlineEvent::CancelBatch { attempt });
            }
            RouterInput::Backlog(backlog) => {
                self.backlog = backlog;
                self.send_heartbeats(now);
            }
            RouterInput::Config { generation, bytes } => self.on_config(generation, bytes),
            RouterInput::Vms(vms) => self.on_vms(&vms),
            RouterInput::Drain => self.start_drain(now),
        }
        Flow::Continue
    }

    fn on_tick(&mut self, now: Timestamp) -> Flow {
        self.decide(now, OnlineEvent::Tick);
        let news = self.core.take_suspicion_news();
        if news || now >= self.next_heartbeat {
            self.send_heartbeats(now);
            self.publish_state();
        }
        self.check_drain(now)
    }
}

/// # Links
impl RouterService {
    fn on_link(&mut self, now: Timestamp, event: LinkEvent) {
        match event {
            LinkEvent::Up { link, hello } => self.on_link_up(now, link, hello),
            LinkEvent::Down { link, reason } => {
                let no = LinkNo(link.0);
                if let Some(peer) = self.links.remove(&no) {
                    let fields: [(&str, &dyn Display); 2] =
                        [("peer", &peer.node), ("reason", &reason)];
                    self.shared.events.emit(&catalogue::LINK_DOWN, None, &fields);
                }
                self.decide(now, OnlineEvent::LinkDown { link: no });
            }
            LinkEvent::Frame { link, kind } => self.on_frame(now, LinkNo(link.0), kind),
        }
    }

    fn on_link_up(&mut self, now: Timestamp, link: LinkHandle, hello: messages::Hello) {
        let no = LinkNo(link.id().0);
        self.shared.events.observe(hello.clock);
        let role = hello.role();
        let peer = Peer {
            node: hello.node.as_str().into(),
            role,
            incarnation: Incarnation(hello.incarnation),
            generation: hello.generation,
            link,
        };
        let fields: [(&str, &dyn Display); 2] =
            [("peer", &peer.node), ("role", &role.as_str_name())];
        self.shared.events.emit(&catalogue::LINK_UP, None, &fields);
        self.catch_up(&peer);
        let info = PeerInfo {
            node: Name::clone(&peer.node),
            incarnation: peer.incarnation,
            data_centre: hello.data_centre.into(),
            models: hello.models.iter().map(|model| model.as_str().into()).collect(),
        };
        // Suspicions go to all peers at a time, so that none of them misses any.
        let heartbeat = self.heartbeat(Vec::new());
        peer.link.send(heartbeat);
        self.links.insert(no, peer);
        if role == Role::Agent {
            self.decide(now, OnlineEvent::LinkUp { link: no, peer: info });
            self.publish_state();
        }
    }

    fn on_frame(&mut self, now: Timestamp, link: LinkNo, kind: Kind) {
        match kind {
            Kind::Heartbeat(heartbeat) => self.on_heartbeat(now, link, heartbeat),
            Kind::Started(message) => {
                if let Some(attempt) = attempt_from_wire(message.attempt) {
                    self.decide(now, OnlineEvent::Started { attempt });
                }
            }
            Kind::Chunk(message) => {
                if let Some(attempt) = attempt_from_wire(message.attempt) {
                    let (offset, data, tokens) = (message.offset, message.data, message.tokens);
                    self.decide(now, OnlineEvent::Chunk { attempt, offset, data, tokens });
                }
            }
            Kind::Done(message) => {
                if let Some(attempt) = attempt_from_wire(message.attempt) {
                    let done = convert::done(message);
                    self.decide(now, OnlineEvent::Done { attempt, done });
                }
            }
            Kind::Credit(credit) => {
                let models = self.core.models_of(link);
                let places = credit.places;
                self.shared.tell_jobs(JobsInput::Credit { link: link.0, models, places });
            }
            Kind::ConfigFetch(_) => self.send_config(link),
            Kind::ConfigSet(set) => self.on_config(set.generation, set.snapshot),
            Kind::Probe(probe) => {
                if let Some(peer) = self.links.get(&link) {
                    self.pass_on_probe(ProbeQuestion::new(probe, peer.link.clone()));
                }
            }
            Kind::Dispatch(dispatch) => {
                if let Some(peer) = self.links.get(&link) {
                    let link = peer.link.clone();
                    self.shared
                        .tell_once(OnceInput::Forwarded { dispatch: Box::new(dispatch), link });
                }
            }
            Kind::JobCancelled(message) => {
                self.shared.tell_jobs(JobsInput::JobCancelled(message.job.into()));
            }
            // The other kinds are not sent to an entry on an open link.
            _ => {}
        }
    }

    fn pass_on_probe(&self, probe: ProbeQuestion) {
        if probe.object.starts_with(ONCE_OBJECT) {
            self.shared.tell_once(OnceInput::Probe(probe));
        } else {
            self.shared.tell_jobs(JobsInput::Probe(probe));
        }
    }

    fn on_heartbeat(&mut self, now: Timestamp, link: LinkNo, heartbeat: messages::Heartbeat) {
        self.shared.events.observe(heartbeat.clock);
        self.core.merge_suspicions(&suspicions_from_wire(heartbeat.suspects));
        let Some(peer) = self.links.get_mut(&link) else { return };
        peer.generation = heartbeat.generation;
        let is_agent = peer.role == Role::Agent;
        let peer = &self.links[&link];
        self.catch_up(peer);
        if is_agent {
            let report = OnlineEvent::Report {
                link,
                leaving: heartbeat.leaving,
                free_online: heartbeat.free_online,
                free_batch: heartbeat.free_batch,
                queued_online: heartbeat.queued_online,
            };
            self.decide(now, report);
        }
    }

    fn send_heartbeats(&mut self, now: Timestamp) {
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        let suspects = self.core.gossip(MAX_SUSPICIONS);
        let heartbeat = self.heartbeat(suspects);
        for peer in self.links.values() {
            peer.link.send(heartbeat.clone());
        }
    }

    fn heartbeat(&mut self, suspects: Vec<Suspicion>) -> messages::Heartbeat {
        self.heartbeat_seq += 1;
        let backlog = self.backlog.iter().map(|b| messages::Backlog {
            model: b.model.to_string(),
            items: b.items,
            slack_ms: b.slack_ms,
        });
        messages::Heartbeat {
            seq: self.heartbeat_seq,
            clock: Some(self.shared.events.clock()),
            generation: self.generation(),
            leaving: self.drain_deadline.is_some(),
            backlog: backlog.collect(),
            suspects: suspicions_to_wire(suspects),
            ..messages::Heartbeat::default()
        }
    }

    /// Dials a bounded subset of the agents and of the other entries.
    fn on_vms(&mut self, vms: &[VmEntry]) {
        let settings = &self.shared.settings;
        let mut wanted = BTreeSet::new();
        for role in [VmRole::Agent, VmRole::Entry] {
            let listed: BTreeMap<Name, Name> = vms
                .iter()
                .filter(|vm| vm.role == role && vm.name != settings.node)
                .map(|vm| (Name::clone(&vm.name), Name::clone(&vm.addr)))
                .collect();
            let names: Vec<Name> = listed.keys().cloned().collect();
            for name in choose_subset(&settings.node, &names, settings.max_links) {
                wanted.insert(Name::clone(&listed[&name]));
            }
        }
        self.dialled.retain(|addr, _| wanted.contains(addr));
        for addr in wanted {
            if !self.dialled.contains_key(&addr) {
                let handle = dial(&self.runtime, Name::clone(&addr), self.link_cfg.clone());
                self.dialled.insert(addr, handle);
            }
        }
        let entries = vms.iter().filter(|vm| vm.role == VmRole::Entry);
        let names = entries.map(|vm| Name::clone(&vm.name)).collect();
        self.shared.tell_jobs(JobsInput::LiveEntries(names));
    }
}

/// # Configuration
impl RouterService {
    fn generation(&self) -> u64 {
        self.shared.generation.load(Ordering::Relaxed)
    }

    fn on_config(&mut self, generation: u64, bytes: Bytes) {
        if generation <= self.generation() {
            return;
        }
        let Ok((snapshot, _)) = Snapshot::decode(&bytes) else {
            let fields: [(&str, &dyn Display); 1] = [("generation", &generation)];
            self.shared.events.emit(&catalogue::CONFIG_REJECTED, None, &fields);
            return;
        };
        self.shared.set_view(View::new(&snapshot));
        self.shared.generation.store(generation, Ordering::Relaxed);
        self.config = bytes;
        let fields: [(&str, &dyn Display); 1] = [("generation", &generation)];
        self.shared.events.emit(&catalogue::CONFIG_APPLIED, None, &fields);
        for peer in self.links.values().filter(|peer| peer.generation < generation) {
            peer.link.send(self.config_message());
        }
    }

    /// Fetches the configuration from a peer that is ahead, or hands it to one that is behind.
    fn catch_up(&self, peer: &Peer) {
        let known = self.generation();
        if peer.generation > known {
            peer.link.send(messages::ConfigFetch { generation: peer.generation });
        } else if peer.generation < known {
            peer.link.send(self.config_message());
        }
    }

    fn send_config(&self, link: LinkNo) {
        if let Some(peer) = self.links.get(&link) {
            peer.link.send(self.config_message());
        }
    }

    fn config_message(&self) -> messages::ConfigSet {
        messages::ConfigSet { generation: self.generation(), snapshot: self.config.clone() }
    }
}

/// # Decisions
impl RouterService {
    fn decide(&mut self, now: Timestamp, event: OnlineEvent) {
        let mut actions = std::mem::take(&mut self.actions);
        self.core.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, action: OnlineAction) {
        match action {
            OnlineAction::Dispatch { link, attempt, spec, time_left, resume_from, suspect } => {
                let mut dispatch =
                    convert::dispatch(attempt, &spec, time_left, resume_from, suspect);
                dispatch.clock = Some(self.shared.events.clock());
                self.log_dispatch(link, attempt, &spec);
                self.send(link, dispatch);
            }
            OnlineAction::Cancel { link, attempt } => {
                let attempt = attempt_to_wire(attempt);
                self.send(link, messages::Cancel { attempt });
            }
            OnlineAction::Reattach { link, attempt, offset } => {
                let fields: [(&str, &dyn Display); 1] = [("attempt", &attempt)];
                self.shared.events.emit(&catalogue::ATTEMPT_REATTACHED, None, &fields);
                let attempt = attempt_to_wire(attempt);
                self.send(link, messages::Reattach { attempt, offset });
            }
            OnlineAction::Ack { link, attempt } => {
                let attempt = attempt_to_wire(attempt);
                self.send(link, messages::Ack { attempt });
            }
            OnlineAction::Deliver { request, status, content_type, data } => {
                self.deliver(request, AnswerPart::Data { status, content_type, data });
            }
            OnlineAction::Finish { request, end } => {
                self.deliver(request, AnswerPart::End(end));
                self.callers.remove(&request);
            }
            OnlineAction::BatchStarted { attempt } => {
                self.shared.tell_jobs(JobsInput::Started(attempt));
            }
            OnlineAction::BatchEnded { attempt, end } => self.end_batch(attempt, end),
            OnlineAction::Retried { id, reason } => {
                metrics::counter!("dogwoodtray_retries_total").increment(1);
                let fields: [(&str, &dyn Display); 1] = [("reason", &reason)];
                self.shared.events.emit(&catalogue::REQUEST_RETRIED, Some(&id), &fields);
            }
            OnlineAction::Hedged { id } => {
                metrics::counter!("dogwoodtray_hedges_total").increment(1);
                self.shared.events.emit(&catalogue::REQUEST_HEDGED, Some(&id), &[]);
            }
            OnlineAction::StaleFrame => {
                metrics::counter!("dogwoodtray_stale_frames_total").increment(1);
            }
        }
    }

    fn log_dispatch(&self, link: LinkNo, attempt: AttemptId, spec: &RequestSpec) {
        metrics::counter!("dogwoodtray_attempts_total").increment(1);
        let node = self.links.get(&link).map_or("", |peer| &*peer.node);
        let fields: [(&str, &dyn Display); 2] = [("attempt", &attempt), ("peer", &node)];
        self.shared.events.emit(&catalogue::ATTEMPT_DISPATCHED, Some(&spec.id), &fields);
    }

    fn end_batch(&self, attempt: AttemptId, end: BatchEnd) {
        self.shared.tell_jobs(JobsInput::Ended { attempt, end });
    }

    fn deliver(&self, request: RequestNo, part: AnswerPart) {
        if let Some(caller) = self.callers.get(&request) {
            // The receiver is gone once the caller is; `CallerGone` follows.
            let _ = caller.send(part);
        }
    }

    fn send(&self, link: LinkNo, message: impl Into<messages::Frame>) {
        if let Some(peer) = self.links.get(&link) {
            peer.link.send(message);
        }
    }

    fn publish_state(&self) {
        let shared = &self.shared;
        shared.agents.store(self.core.endpoints() as u64, Ordering::Relaxed);
        shared.requests.store(self.core.requests() as u64, Ordering::Relaxed);
        shared.attempts.store(self.core.attempts() as u64, Ordering::Relaxed);
        shared.set_models(self.core.models().into_iter().collect());
        let peers = self.links.values().map(|peer| PeerStatus {
            node: peer.node.to_string(),
            state: "live",
            generation: peer.generation,
        });
        shared.set_peers(peers.collect());
    }
}

/// # Graceful shutdown
impl RouterService {
    fn start_drain(&mut self, now: Timestamp) {
        if self.drain_deadline.is_some() {
            return;
        }
        self.shared.events.emit(&catalogue::DRAIN_STARTED, None, &[]);
        self.shared.leaving.store(true, Ordering::Relaxed);
        self.drain_deadline = Some(now + self.shared.settings.drain_timeout);
        self.shared.tell_jobs(JobsInput::Drain);
        self.shared.tell_once(OnceInput::Drain);
        self.send_heartbeats(now);
    }

    fn check_drain(&self, now: Timestamp) -> Flow {
        if self.shared.finished.load(Ordering::Acquire) {
            return Flow::Stop;
        }
        let Some(deadline) = self.drain_deadline else {
            return Flow::Continue;
        };
        let answers = self.shared.open_answers.load(Ordering::Acquire);
        let jobs_drained = self.shared.jobs_drained.load(Ordering::Acquire);
        let once_drained = self.shared.once_drained.load(Ordering::Acquire);
        let idle = answers == 0 && self.core.requests() == 0 && jobs_drained && once_drained;
        if idle {
            self.shared.events.emit(&catalogue::DRAIN_FINISHED, None, &[]);
        } else if now >= deadline {
            let requests = self.core.requests();
            let fields: [(&str, &dyn Display); 4] = [
                ("answers", &answers),
                ("requests", &requests),
                ("jobs_drained", &jobs_drained),
                ("once_drained", &once_drained),
            ];
            self.shared.events.emit(&catalogue::DRAIN_TIMEOUT, None, &fields);
        } else {
            return Flow::Continue;
        }
        self.shared.finished.store(true, Ordering::Release);
        Flow::Stop
    }
}
