//! Batch places offered by agents.

use std::collections::BTreeMap;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;

/// Current offers of batch places, by model and endpoint.
#[derive(Debug, Default)]
pub(crate) struct Credits {
    offers: BTreeMap<(Name, u64), Offer>,
}

#[derive(Debug)]
struct Offer {
    places: u32,
    until: Timestamp,
}

impl Credits {
    /// Records an offer, replacing the previous offer of the same endpoint for the model.
    pub(crate) fn offer(&mut self, endpoint: u64, model: Name, places: u32, until: Timestamp) {
        self.offers.insert((model, endpoint), Offer { places, until });
    }

    /// Removes offers that are used up or expired.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.offers.retain(|_, offer| offer.places > 0 && offer.until > now);
    }

    /// Returns the models with offers.
    pub(crate) fn models(&self) -> Vec<Name> {
        let mut models: Vec<Name> =
            self.offers.keys().map(|(model, _)| Name::clone(model)).collect();
        models.dedup();
        models
    }

    /// Returns the number of places offered for a model.
    pub(crate) fn places(&self, model: &Name) -> u32 {
        self.offers_for(model).map(|(_, offer)| offer.places).sum()
    }

    /// Takes one place from the endpoint with the most free places, excluding
    /// `excluded_endpoint`.
    pub(crate) fn take(&mut self, model: &Name, excluded_endpoint: Option<u64>) -> Option<u64> {
        let (endpoint, _) = self
            .offers_for(model)
            .filter(|(endpoint, offer)| offer.places > 0 && Some(*endpoint) != excluded_endpoint)
            .max_by_key(|(_, offer)| offer.places)?;
        let offer = self.offers.get_mut(&(Name::clone(model), endpoint))?;
        offer.places -= 1;
        Some(endpoint)
    }

    fn offers_for(&self, model: &Name) -> impl Iterator<Item = (u64, &Offer)> {
        self.offers
            .range((Name::clone(model), 0)..=(Name::clone(model), u64::MAX))
            .map(|((_, endpoint), offer)| (*endpoint, offer))
    }
}
