//! Distribution of the configuration between peers.

use std::fmt::Display;
use std::sync::atomic::Ordering;

use dogwoodtray_config::Received;
use dogwoodtray_config::View;
use dogwoodtray_coord::FetchSource;
use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Name;
use dogwoodtray_runtime::catalogue;
use dogwoodtray_runtime::config_set;
use dogwoodtray_wire::messages;

use super::service::Peer;
use super::service::RouterService;
use crate::online::LinkNo;

/// # Configuration
impl RouterService {
    pub(super) fn generation(&self) -> u64 {
        self.shared.generation.load(Ordering::Relaxed)
    }

    /// Applies a snapshot or changes from a peer, or from the platform if `from` is `None`.
    pub(super) fn on_config(&mut self, from: Option<LinkNo>, generation: u64, bytes: &[u8]) {
        if generation <= self.generations.current().0 {
            return;
        }
        match self.config.receive(bytes) {
            Received::Applied => self.apply_config(),
            Received::NotNewer => {}
            Received::FullSnapshotNeeded => self.request_full_config(from, generation),
        }
    }

    fn apply_config(&mut self) {
        let generation = self.config.generation();
        let activated = self.generations.activate(generation);
        debug_assert!(activated, "the generation was checked to be newer");
        self.shared.set_view(View::new(self.config.snapshot()));
        self.shared.generation.store(generation.0, Ordering::Relaxed);
        let fields: [(&str, &dyn Display); 1] = [("generation", &generation.0)];
        self.shared.events.emit(&catalogue::CONFIG_APPLIED, None, &fields);
        for peer in self.links.values().filter(|peer| peer.generation < generation.0) {
            peer.link.send(self.config_for(peer));
        }
    }

    fn request_full_config(&self, from: Option<LinkNo>, generation: u64) {
        match from.and_then(|link| self.links.get(&link)) {
            Some(peer) => {
                peer.link.send(messages::ConfigFetch { generation });
            }
            None => {
                let fields: [(&str, &dyn Display); 1] = [("generation", &generation)];
                self.shared.events.emit(&catalogue::CONFIG_REJECTED, None, &fields);
            }
        }
    }

    /// Requests the configuration from a peer with a newer generation, or sends it to a peer with
    /// an older one.
    pub(super) fn sync_config(&self, peer: &Peer) {
        let known = self.generation();
        let from = Some(FetchSource::Peer(Name::clone(&peer.node)));
        if peer.generation > known && self.generations.fetch_source() == from {
            peer.link.send(messages::ConfigFetch { generation: peer.generation });
        } else if peer.generation < known {
            peer.link.send(self.config_for(peer));
        }
    }

    pub(super) fn send_full_config(&self, link: LinkNo) {
        if let Some(peer) = self.links.get(&link) {
            peer.link.send(config_set(self.config.generation(), &self.config.full_bytes()));
        }
    }

    fn config_for(&self, peer: &Peer) -> messages::ConfigSet {
        let bytes = self.config.bytes_for(Generation(peer.generation));
        config_set(self.config.generation(), &bytes)
    }
}
