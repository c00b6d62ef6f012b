//! Offers of free batch places to entries with waiting work.

use std::collections::BTreeMap;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;

use super::Backlog;
use super::PeerId;

/// Time after which an unused offer lapses.
pub(super) const CREDIT_LIFETIME: Duration = Duration::from_secs(1);

/// Most places offered to one entry at a time, so that several entries are served.
const MAX_PLACES_PER_OFFER: u32 = 16;

#[derive(Clone, Copy, Debug)]
struct Offer {
    peer: PeerId,
    places: u32,
    made: Timestamp,
}

/// Hands free batch places to the entries whose work has the least slack.
#[derive(Debug, Default)]
pub(super) struct CreditBook {
    backlog: BTreeMap<PeerId, Backlog>,
    offers: Vec<Offer>,
}

impl CreditBook {
    /// Takes over what waits at an entry for one of the served models.
    pub(super) fn report(&mut self, peer: PeerId, backlog: Vec<Backlog>, models: &[Name]) {
        let served = backlog.into_iter().filter(|b| b.items > 0 && models.contains(&b.model));
        match served.min_by_key(|b| b.slack_ms) {
            Some(waiting) => self.backlog.insert(peer, waiting),
            None => self.backlog.remove(&peer),
        };
    }

    pub(super) fn remove(&mut self, peer: PeerId) {
        self.backlog.remove(&peer);
        self.offers.retain(|offer| offer.peer != peer);
    }

    /// An entry used one of its places.
    pub(super) fn used(&mut self, peer: PeerId) {
        if let Some(waiting) = self.backlog.get_mut(&peer) {
            waiting.items = waiting.items.saturating_sub(1);
        }
        let Some(at) = self.offers.iter().position(|offer| offer.peer == peer) else {
            return;
        };
        self.offers[at].places -= 1;
        if self.offers[at].places == 0 {
            self.offers.remove(at);
        }
    }

    /// Returns new offers, each with all places that are open to its entry, if places are free that
    /// are not on offer yet.
    pub(super) fn offer(&mut self, now: Timestamp, free: u32) -> Vec<(PeerId, u32)> {
        self.offers.retain(|offer| now - offer.made < CREDIT_LIFETIME);
        let offered: u32 = self.offers.iter().map(|offer| offer.places).sum();
        let mut left = free.saturating_sub(offered);
        let mut order: Vec<(PeerId, u32, i64)> = self
            .backlog
            .iter()
            .map(|(peer, b)| (*peer, b.items.saturating_sub(self.offered_to(*peer)), b.slack_ms))
            .collect();
        order.sort_by_key(|(_, _, slack_ms)| *slack_ms);

        let mut made = Vec::new();
        for (peer, items, _) in order {
            let places = left.min(items).min(MAX_PLACES_PER_OFFER);
            if places == 0 {
                continue;
            }
            left -= places;
            // An entry replaces the last offer by the new one, so it holds all open places.
            let places = places + self.offered_to(peer);
            self.offers.retain(|offer| offer.peer != peer);
            self.offers.push(Offer { peer, places, made: now });
            made.push((peer, places));
        }
        made
    }

    fn offered_to(&self, peer: PeerId) -> u32 {
        self.offers.iter().filter(|offer| offer.peer == peer).map(|offer| offer.places).sum()
    }
}
