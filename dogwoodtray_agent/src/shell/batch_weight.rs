//! Settings that the agent reads from the configuration snapshot.

use dogwoodtray_config::Snapshot;
use dogwoodtray_config::View;
use dogwoodtray_coord::Name;

/// Returns the smallest batch weight of the routes to the served models, so that the route that
/// favors online latency most takes precedence.
pub(super) fn batch_weight(snapshot: &Snapshot, models: &[Name]) -> Option<f64> {
    let view = View::new(snapshot);
    let served = |model: &Option<Name>| model.as_ref().is_some_and(|model| models.contains(model));
    let routes = view.routes().filter(|route| served(&route.model));
    let weights = routes.filter_map(|route| view.batch_policy(route)).map(|p| p.batch_weight);
    weights.min_by(f64::total_cmp)
}
