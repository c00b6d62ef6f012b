//! Configuration and its spread.

use std::fmt::Display;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use dogwoodtray_config::Snapshot;
use dogwoodtray_config::View;
use dogwoodtray_coord::FetchFrom;
use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Name;
use dogwoodtray_runtime::catalogue;
use dogwoodtray_wire::messages;

use super::service::Peer;
use super::service::RouterService;
use crate::online::LinkNo;

/// # Configuration
impl RouterService {
    pub(super) fn generation(&self) -> u64 {
        self.shared.generation.load(Ordering::Relaxed)
    }

    pub(super) fn on_config(&mut self, generation: u64, bytes: Bytes) {
        if generation <= self.generations.held().0 {
            return;
        }
        let Ok((snapshot, _)) = Snapshot::decode(&bytes) else {
            let fields: [(&str, &dyn Display); 1] = [("generation", &generation)];
            self.shared.events.emit(&catalogue::CONFIG_REJECTED, None, &fields);
            return;
        };
        let adopted = self.generations.adopt(Generation(generation));
        debug_assert!(adopted, "the generation was checked to be newer");
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
    pub(super) fn catch_up(&self, peer: &Peer) {
        let known = self.generation();
        let from = Some(FetchFrom::Peer(Name::clone(&peer.node)));
        if peer.generation > known && self.generations.fetch_from() == from {
            peer.link.send(messages::ConfigFetch { generation: peer.generation });
        } else if peer.generation < known {
            peer.link.send(self.config_message());
        }
    }

    pub(super) fn send_config(&self, link: LinkNo) {
        if let Some(peer) = self.links.get(&link) {
            peer.link.send(self.config_message());
        }
    }

    pub(super) fn config_message(&self) -> messages::ConfigSet {
        messages::ConfigSet { generation: self.generation(), snapshot: self.config.clone() }
    }
}
