//! Offers of free batch places to entries with queued work.

use std::collections::BTreeMap;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;

use super::Backlog;
use super::EntryLinkId;

/// Time after which an unused offer expires.
pub(super) const CREDIT_LIFETIME: Duration = Duration::from_secs(1);

/// Maximum number of places per new offer, so that several entries are served.
const MAX_PLACES_PER_OFFER: u32 = 16;

#[derive(Clone, Copy, Debug)]
struct Offer {
    peer: EntryLinkId,
    places: u32,
    offered_at: Timestamp,
}

/// Open offers of batch places to entries. Queued work with the least slack is served first.
#[derive(Debug, Default)]
pub(super) struct CreditOffers {
    backlogs: BTreeMap<EntryLinkId, Backlog>,
    offers: Vec<Offer>,
}

impl CreditOffers {
    /// Records the queued work of an entry with the least slack among the served models, in place
    /// of its last report.
    pub(super) fn set_backlog(
        &mut self,
        peer: EntryLinkId,
        backlog: Vec<Backlog>,
        models: &[Name],
    ) {
        let served = backlog.into_iter().filter(|b| b.items > 0 && models.contains(&b.model));
        match served.min_by_key(|b| b.slack_ms) {
            Some(backlog) => self.backlogs.insert(peer, backlog),
            None => self.backlogs.remove(&peer),
        };
    }

    pub(super) fn remove(&mut self, peer: EntryLinkId) {
        self.backlogs.remove(&peer);
        self.offers.retain(|offer| offer.peer != peer);
    }

    /// Records that an entry used one of its places.
    pub(super) fn record_use(&mut self, peer: EntryLinkId) {
        if let Some(backlog) = self.backlogs.get_mut(&peer) {
            backlog.items = backlog.items.saturating_sub(1);
        }
        let Some(index) = self.offers.iter().position(|offer| offer.peer == peer) else {
            return;
        };
        self.offers[index].places -= 1;
        if self.offers[index].places == 0 {
            self.offers.remove(index);
        }
    }

    /// Offers the free places that are not offered yet. Each returned offer holds the total number
    /// of places open to its entry.
    pub(super) fn make_offers(&mut self, now: Timestamp, free: u32) -> Vec<(EntryLinkId, u32)> {
        self.offers.retain(|offer| now - offer.offered_at < CREDIT_LIFETIME);
        let offered: u32 = self.offers.iter().map(|offer| offer.places).sum();
        let mut remaining = free.saturating_sub(offered);
        let mut candidates: Vec<(EntryLinkId, u32, i64)> = self
            .backlogs
            .iter()
            .map(|(peer, b)| (*peer, b.items.saturating_sub(self.open_places(*peer)), b.slack_ms))
            .collect();
        candidates.sort_by_key(|(_, _, slack_ms)| *slack_ms);

        let mut new_offers = Vec::new();
        for (peer, items, _) in candidates {
            let places = remaining.min(items).min(MAX_PLACES_PER_OFFER);
            if places == 0 {
                continue;
            }
            remaining -= places;
            // An entry replaces its open offer with the new one, so each holds all open places.
            let places = places + self.open_places(peer);
            self.offers.retain(|offer| offer.peer != peer);
            self.offers.push(Offer { peer, places, offered_at: now });
            new_offers.push((peer, places));
        }
        new_offers
    }

    fn open_places(&self, peer: EntryLinkId) -> u32 {
        self.offers.iter().filter(|offer| offer.peer == peer).map(|offer| offer.places).sum()
    }
}
