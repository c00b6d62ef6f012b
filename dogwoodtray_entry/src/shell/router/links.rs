//! Handling of links to agents and entries.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Display;

use dogwoodtray_coord::Evidence;
use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
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
use dogwoodtray_runtime::evidence_from_wire;
use dogwoodtray_runtime::evidence_to_wire;
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
                let link = LinkNo(link.0);
                if let Some(peer) = self.links.remove(&link) {
                    self.remove_peer(&peer, reason);
                }
                self.handle_event(now, OnlineEvent::LinkDown { link });
            }
            LinkEvent::Frame { link, kind } => self.on_frame(now, LinkNo(link.0), kind),
        }
    }

    /// Marks a peer as lost once its last link is closed: two entries may have a link in each
    /// direction.
    fn remove_peer(&mut self, peer: &Peer, reason: &str) {
        if peer.transient {
            return;
        }
        let fields: [(&str, &dyn Display); 2] = [("peer", &peer.node), ("reason", &reason)];
        self.shared.events.emit(&catalogue::LINK_DOWN, None, &fields);
        let same_node = |other: &Peer| other.node == peer.node && !other.transient;
        if !self.links.values().any(same_node) {
            self.members.record_link_closed(&peer.node, peer.incarnation);
            self.generations.peer_disconnected(&peer.node);
        }
    }

    fn add_peer(&mut self, now: Timestamp, peer: &Peer) {
        if peer.transient {
            return;
        }
        let role = peer.role.as_str_name();
        let fields: [(&str, &dyn Display); 2] = [("peer", &peer.node), ("role", &role)];
        self.shared.events.emit(&catalogue::LINK_UP, None, &fields);
        self.members.record_heartbeat(now, &peer.node, peer.incarnation, false);
        self.generations.peer_connected(&peer.node);
        self.generations.peer_reported(&peer.node, Generation(peer.generation));
        self.sync_config(peer);
    }

    pub(super) fn on_link_up(&mut self, now: Timestamp, link: LinkHandle, hello: messages::Hello) {
        let link_no = LinkNo(link.id().0);
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
        let heartbeat = self.heartbeat();
        peer.link.send(heartbeat);
        if !peer.transient {
            for frame in evidence_to_wire(now, &self.core.evidence_mut().known()) {
                peer.link.send(frame);
            }
        }
        self.links.insert(link_no, peer);
        if role == Role::Agent {
            self.handle_event(now, OnlineEvent::LinkUp { link: link_no, peer: info });
            self.publish_state(now);
        }
    }

    pub(super) fn on_frame(&mut self, now: Timestamp, link: LinkNo, kind: Kind) {
        match kind {
            Kind::Heartbeat(heartbeat) => self.on_heartbeat(now, link, heartbeat),
            Kind::Started(message) => {
                if let Some(attempt) = attempt_from_wire(message.attempt) {
                    self.handle_event(now, OnlineEvent::Started { attempt });
                }
            }
            Kind::Chunk(message) => {
                if let Some(attempt) = attempt_from_wire(message.attempt) {
                    let (offset, data, tokens) = (message.offset, message.data, message.tokens);
                    self.handle_event(now, OnlineEvent::Chunk { attempt, offset, data, tokens });
                }
            }
            Kind::Done(message) => {
                if let Some(attempt) = attempt_from_wire(message.attempt) {
                    let done = convert::attempt_done(message);
                    self.handle_event(now, OnlineEvent::Done { attempt, done });
                }
            }
            Kind::Credit(credit) => {
                let models = self.core.models_on_link(link);
                let places = credit.places;
                self.shared.send_to_jobs(JobsInput::PlacesOffered { link: link.0, models, places });
            }
            Kind::ConfigFetch(_) => self.send_full_config(link),
            Kind::ConfigSet(set) => self.on_config(Some(link), set.generation, &set.snapshot),
            Kind::Probe(probe) => {
                if let Some(peer) = self.links.get(&link) {
                    self.forward_probe(ProbeRequest::new(probe, peer.link.clone()));
                }
            }
            Kind::Dispatch(dispatch) => {
                if let Some(peer) = self.links.get(&link) {
                    let link = peer.link.clone();
                    self.shared
                        .send_to_once(OnceInput::Forwarded { dispatch: Box::new(dispatch), link });
                }
            }
            Kind::JobCancelled(message) => {
                self.shared.send_to_jobs(JobsInput::JobCancelled(message.job.into()));
            }
            Kind::EvidenceSet(set) => {
                self.core.evidence_mut().merge(now, evidence_from_wire(now, set));
                self.send_evidence(now);
            }
            // Other kinds are not sent to an entry over a link.
            _ => {}
        }
    }

    pub(super) fn forward_probe(&self, probe: ProbeRequest) {
        if probe.object.starts_with(ONCE_OBJECT) {
            self.shared.send_to_once(OnceInput::Probe(probe));
        } else {
            self.shared.send_to_jobs(JobsInput::Probe(probe));
        }
    }

    pub(super) fn on_heartbeat(
        &mut self,
        now: Timestamp,
        link: LinkNo,
        heartbeat: messages::Heartbeat,
    ) {
        self.shared.events.observe(heartbeat.clock);
        let Some(peer) = self.links.get_mut(&link) else { return };
        peer.generation = heartbeat.generation;
        self.generations.peer_reported(&peer.node, Generation(peer.generation));
        let is_agent = peer.role == Role::Agent;
        let leaving = heartbeat.leaving || self.leaving_vms.contains(&peer.node);
        self.members.record_heartbeat(now, &peer.node, peer.incarnation, leaving);
        let peer = &self.links[&link];
        self.sync_config(peer);
        if is_agent {
            let report = OnlineEvent::Report {
                link,
                leaving,
                free_online: heartbeat.free_online,
                free_batch: heartbeat.free_batch,
                queued_online: heartbeat.queued_online,
            };
            self.handle_event(now, report);
        }
    }

    pub(super) fn send_heartbeats(&mut self, now: Timestamp) {
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        let heartbeat = self.heartbeat();
        for peer in self.links.values() {
            peer.link.send(heartbeat.clone());
        }
    }

    /// Sends new evidence about crashes to all peers. They pass it on, so it reaches the entries that
    /// have no link to this one.
    pub(super) fn send_evidence(&mut self, now: Timestamp) {
        let news = self.core.evidence_mut().take_news();
        for evidence in &news {
            if let Evidence::Cleared { content, .. } = evidence {
                let fields: [(&str, &dyn Display); 1] = [("content", content)];
                self.shared.events.emit(&catalogue::CONTENT_CLEARED, None, &fields);
            }
        }
        for frame in evidence_to_wire(now, &news) {
            for peer in self.links.values().filter(|peer| !peer.transient) {
                peer.link.send(frame.clone());
            }
        }
    }

    fn heartbeat(&mut self) -> messages::Heartbeat {
        self.heartbeat_seq += 1;
        let backlog = self.backlog.iter().map(|entry| messages::Backlog {
            model: entry.model.to_string(),
            items: entry.items,
            slack_ms: entry.slack_ms,
        });
        messages::Heartbeat {
            seq: self.heartbeat_seq,
            clock: Some(self.shared.events.clock()),
            generation: self.generation(),
            leaving: self.drain_deadline.is_some(),
            backlog: backlog.collect(),
            ..messages::Heartbeat::default()
        }
    }

    /// Opens links to a bounded subset of the agents and of the other entries.
    pub(super) fn on_vm_list(&mut self, vms: &[VmEntry]) {
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
        self.leaving_vms = leaving.map(|vm| Name::clone(&vm.name)).collect();
        let others = vms.iter().filter(|vm| vm.name != self.shared.settings.node);
        self.members.set_listed(others.map(|vm| Name::clone(&vm.name)));
        self.dialed.retain(|addr, _| wanted.contains(addr));
        for addr in wanted {
            if !self.dialed.contains_key(&addr) {
                let handle = dial(&self.runtime, Name::clone(&addr), self.link_config.clone());
                self.dialed.insert(addr, handle);
            }
        }
        let entries = vms.iter().filter(|vm| vm.role == VmRole::Entry);
        let names = entries.map(|vm| Name::clone(&vm.name)).collect();
        self.shared.send_to_jobs(JobsInput::LiveEntries(names));
    }
}
