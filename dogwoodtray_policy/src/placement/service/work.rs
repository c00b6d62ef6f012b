//! Predicted work of a request.

use std::time::Duration;

use super::ServicePlaces;
use crate::Class;
use crate::placement::PlaceRequest;

impl ServicePlaces {
    /// Returns the time for which the request is expected to hold a place.
    pub(super) fn predicted_work(&self, request: &PlaceRequest) -> Duration {
        match request.class {
            Class::Online => self.mean_hold_time,
            Class::Batch => request.due - request.start_by,
        }
    }
}
