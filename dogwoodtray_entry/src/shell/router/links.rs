//! Links to agents and entries.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Display;

use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Suspicion;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::choose_subset;
use dogwoodtray_platform::VmEntry;
use dogwoodtray_platform::VmRole;
use dogwoodtray_platform::VmState;
use dogwoodtray_runtime::LinkEvent;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_runtime::attempt_from_wire;
use dogwoodtray_runtime::catalogue;
use dogwoodtray_runtime::dial;
use dogwoodtray_runtime::suspicions_from_wire;
use dogwoodtray_runtime::suspicions_to_wire;
use dogwoodtray_wire::messages;
use dogwoodtray_wire::messages::Role;
use dogwoodtray_wire::messages::frame::Kind;

use super::super::JobsInput;
use super::super::OnceInput;
use super::super::convert;
use super::super::once::ONCE_OBJECT;
use super::super::probe::ProbeRequest;
use super::service::ENTRY_LINKS;
use super::service::HEARTBEAT_INTERVAL;
use super::service::MAX_SUSPICIONS;
use super::service::Peer;
use super::service::RouterService;
use crate::online::LinkNo;
use crate::online::OnlineEvent;
use crate::online::PeerInfo;

/// # Links
impl RouterService {
    pub(super) fn on_link(&mut self, now: Timestamp, event: LinkEvent) {
        match event {
            LinkEvent::Up { link, hello } => self.on_link_up(now, link, hello),
            LinkEvent::Down { link, reason } => {
                let no = LinkNo(link.0);
                if let Some(peer) = self.links.remove(&no) {
                    self.remove_peer(&peer, reason);
                }
                self.decide(now, OnlineEvent::LinkDown { link: no });
            }
            LinkEvent::Frame { link, kind } => self.on_frame(now, LinkNo(link.0), kind),
        }
    }

    /// Two entries may have a link in each direction, so a peer is lost with its last one.
    fn remove_peer(&mut self, peer: &Peer, reason: &str) {
        if peer.transient {
            return;
        }
        let fields: [(&str, &dyn Display); 2] = [("peer", &peer.node), ("reason", &reason)];
        self.shared.events.emit(&catalogue::LINK_DOWN, None, &fields);
        let same = |other: &Peer| other.node == peer.node && !other.transient;
        if !self.links.values().any(same) {
            self.members.closed(&peer.node, peer.incarnation);
            self.generations.peer_lost(&peer.node);
        }
    }

    fn add_peer(&mut self, now: Timestamp, peer: &Peer) {
        if peer.transient {
            return;
        }
        let role = peer.role.as_str_name();
        let fields: [(&str, &dyn Display); 2] = [("peer", &peer.node), ("role", &role)];
        self.shared.events.emit(&catalogue::LINK_UP, None, &fields);
        self.members.heard(now, &peer.node, peer.incarnation, false);
        self.generations.peer_linked(&peer.node);
        self.generations.peer_reported(&peer.node, Generation(peer.generation));
        self.catch_up(peer);
    }

    pub(super) fn on_link_up(&mut self, now: Timestamp, link: LinkHandle, hello: messages::Hello) {
        let no = LinkNo(link.id().0);
        self.shared.events.observe(hello.clock);
        let role = hello.role();
        let peer = Peer {
            node: hello.node.as_str().into(),
            role,
            incarnation: Incarnation(hello.incarnation),
            generation: hello.generation,
            transient: hello.transient,
            link,
        };
        self.add_peer(now, &peer);
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
            self.publish_state(now);
        }
    }

    pub(super) fn on_frame(&mut self, now: Timestamp, link: LinkNo, kind: Kind) {
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
            Kind::ConfigFetch(_) => self.send_whole_config(link),
            Kind::ConfigSet(set) => self.on_config(Some(link), set.generation, &set.snapshot),
            Kind::Probe(probe) => {
                if let Some(peer) = self.links.get(&link) {
                    self.pass_on_probe(ProbeRequest::new(probe, peer.link.clone()));
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

    pub(super) fn pass_on_probe(&self, probe: ProbeRequest) {
        if probe.object.starts_with(ONCE_OBJECT) {
            self.shared.tell_once(OnceInput::Probe(probe));
        } else {
            self.shared.tell_jobs(JobsInput::Probe(probe));
        }
    }

    pub(super) fn on_heartbeat(
        &mut self,
        now: Timestamp,
        link: LinkNo,
        heartbeat: messages::Heartbeat,
    ) {
        self.shared.events.observe(heartbeat.clock);
        self.core.merge_suspicions(&suspicions_from_wire(heartbeat.suspects));
        let Some(peer) = self.links.get_mut(&link) else { return };
        peer.generation = heartbeat.generation;
        self.generations.peer_reported(&peer.node, Generation(peer.generation));
        let is_agent = peer.role == Role::Agent;
        let leaving = heartbeat.leaving || self.listed_leaving.contains(&peer.node);
        self.members.heard(now, &peer.node, peer.incarnation, leaving);
        let peer = &self.links[&link];
        self.catch_up(peer);
        if is_agent {
            let report = OnlineEvent::Report {
                link,
                leaving,
                free_online: heartbeat.free_online,
                free_batch: heartbeat.free_batch,
                queued_online: heartbeat.queued_online,
            };
            self.decide(now, report);
        }
    }

    pub(super) fn send_heartbeats(&mut self, now: Timestamp) {
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
    pub(super) fn on_vms(&mut self, vms: &[VmEntry]) {
        let settings = &self.shared.settings;
        let mut wanted = BTreeSet::new();
        let roles = [(VmRole::Agent, settings.max_links), (VmRole::Entry, ENTRY_LINKS)];
        for (role, max_links) in roles {
            let listed: BTreeMap<Name, Name> = vms
                .iter()
                .filter(|vm| vm.role == role && vm.name != settings.node)
                .map(|vm| (Name::clone(&vm.name), Name::clone(&vm.addr)))
                .collect();
            let names: Vec<Name> = listed.keys().cloned().collect();
            for name in choose_subset(&settings.node, &names, max_links) {
                wanted.insert(Name::clone(&listed[&name]));
            }
        }
        let leaving = vms.iter().filter(|vm| vm.state == VmState::Leaving);
        self.listed_leaving = leaving.map(|vm| Name::clone(&vm.name)).collect();
        let others = vms.iter().filter(|vm| vm.name != self.shared.settings.node);
        self.members.list(others.map(|vm| Name::clone(&vm.name)));
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
