//! State of the router service and its inputs.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_config::CurrentSnapshot;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Generation;
use dogwoodtray_coord::GenerationView;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::MemberConfig;
use dogwoodtray_coord::MemberView;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_platform::VmEntry;
use dogwoodtray_runtime::DialHandle;
use dogwoodtray_runtime::Flow;
use dogwoodtray_runtime::LinkConfig;
use dogwoodtray_runtime::LinkEvent;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_runtime::Service;
use dogwoodtray_runtime::catalogue;
use dogwoodtray_wire::messages::Role;
use tokio::runtime::Handle;
use tokio::sync::mpsc::UnboundedSender;

use super::super::EntryState;
use crate::jobs::Backlog;
use crate::online::LinkNo;
use crate::online::OnlineAction;
use crate::online::OnlineCore;
use crate::online::OnlineEvent;
use crate::online::RequestEnd;
use crate::online::RequestNo;
use crate::online::RequestSpec;

pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of links that an entry opens to other entries. They carry the generation and
/// evidence about crashes, which reach all entries within a few hops, so a full mesh would only add
/// heartbeats.
pub(super) const ENTRY_LINKS: usize = 8;

/// Part of an answer to a caller.
#[derive(Debug)]
pub(crate) enum AnswerPart {
    /// Bytes of the answer.
    Data { status: u16, content_type: Name, data: Bytes },
    /// The request ended.
    End(RequestEnd),
}

/// Input of the router service.
#[derive(Debug)]
pub(crate) enum RouterInput {
    Link(Box<LinkEvent>),
    Submit {
        request: RequestNo,
        spec: Arc<RequestSpec>,
        reply: UnboundedSender<AnswerPart>,
    },
    CallerDisconnected {
        request: RequestNo,
    },
    SubmitBatch {
        attempt: AttemptId,
        link: u64,
        spec: Arc<RequestSpec>,
        resume_from: u32,
    },
    CancelBatch {
        attempt: AttemptId,
    },
    Backlog(Vec<Backlog>),
    Config {
        generation: u64,
        bytes: Bytes,
    },
    /// Generation of the configuration published at the platform.
    PlatformGeneration(Generation),
    /// The platform could not be read.
    PlatformUnavailable,
    VmList(Vec<VmEntry>),
    Drain,
}

pub(super) struct Peer {
    pub(super) node: Name,
    pub(super) role: Role,
    pub(super) incarnation: Incarnation,
    pub(super) generation: u64,
    /// Whether the link is used for a single request.
    pub(super) transient: bool,
    pub(super) link: LinkHandle,
}

/// Owns the links to peers and routes requests.
pub(in crate::shell) struct RouterService {
    pub(super) core: OnlineCore,
    pub(super) shared: Arc<EntryState>,
    pub(super) runtime: Handle,
    pub(super) link_config: LinkConfig,
    pub(super) links: HashMap<LinkNo, Peer>,
    pub(super) dialed: HashMap<Name, DialHandle>,
    pub(super) callers: HashMap<RequestNo, UnboundedSender<AnswerPart>>,
    pub(super) backlog: Vec<Backlog>,
    pub(super) generations: GenerationView,
    pub(super) members: MemberView,
    /// VMs listed as leaving in the VM list of the platform.
    pub(super) leaving_vms: BTreeSet<Name>,
    pub(super) config: CurrentSnapshot,
    pub(super) actions: Vec<OnlineAction>,
    pub(super) heartbeat_seq: u64,
    pub(super) next_heartbeat: Timestamp,
    pub(super) drain_deadline: Option<Timestamp>,
}

impl RouterService {
    pub(in crate::shell) fn new(
        core: OnlineCore,
        shared: Arc<EntryState>,
        runtime: Handle,
        link_config: LinkConfig,
    ) -> Self {
        Self {
            core,
            shared,
            runtime,
            link_config,
            links: HashMap::new(),
            dialed: HashMap::new(),
            callers: HashMap::new(),
            backlog: Vec::new(),
            generations: GenerationView::new(),
            members: MemberView::new(MemberConfig::default()),
            leaving_vms: BTreeSet::new(),
            config: CurrentSnapshot::empty(),
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
                self.handle_event(now, OnlineEvent::Submit { request, spec });
            }
            RouterInput::CallerDisconnected { request } => {
                self.callers.remove(&request);
                self.handle_event(now, OnlineEvent::CallerDisconnected { request });
            }
            RouterInput::SubmitBatch { attempt, link, spec, resume_from } => {
                let link = LinkNo(link);
                self.handle_event(
                    now,
                    OnlineEvent::SubmitBatch { attempt, link, spec, resume_from },
                );
            }
            RouterInput::CancelBatch { attempt } => {
                self.handle_event(now, OnlineEvent::CancelBatch { attempt });
            }
            RouterInput::Backlog(backlog) => {
                self.backlog = backlog;
                self.send_heartbeats(now);
            }
            RouterInput::Config { generation, bytes } => self.on_config(None, generation, &bytes),
            RouterInput::PlatformGeneration(generation) => {
                self.generations.store_replied(generation);
            }
            RouterInput::PlatformUnavailable => self.generations.store_failed(),
            RouterInput::VmList(vms) => self.on_vm_list(&vms),
            RouterInput::Drain => self.start_drain(now),
        }
        Flow::Continue
    }

    fn on_tick(&mut self, now: Timestamp) -> Flow {
        self.handle_event(now, OnlineEvent::Tick);
        for block in self.core.evidence_mut().take_decided() {
            let fields: [(&str, &dyn Display); 2] =
                [("content", &block.content), ("crashes", &block.crashes)];
            self.shared.events.emit(&catalogue::CONTENT_BLOCKED, None, &fields);
        }
        if now >= self.next_heartbeat {
            self.members.remove_dead(now);
            self.send_heartbeats(now);
            self.publish_state(now);
        }
        self.check_drain(now)
    }

    fn is_idle(&self) -> bool {
        self.core.requests() == 0 && self.core.attempts() == 0 && self.drain_deadline.is_none()
    }
}
