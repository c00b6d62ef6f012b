//! Configuration snapshot that the agent knows and passes on.

use bytes::Bytes;
use dogwoodtray_config::Snapshot as ObjectSnapshot;
use dogwoodtray_config::View;
use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Name;
use dogwoodtray_wire::messages::ConfigSet;

/// Newest snapshot. The generation never decreases.
#[derive(Clone, Debug, Default)]
pub(super) struct Snapshot {
    generation: Generation,
    bytes: Bytes,
}

impl Snapshot {
    pub(super) const fn generation(&self) -> Generation {
        self.generation
    }

    /// Takes a newer snapshot over. Returns whether it was newer.
    pub(super) fn apply(&mut self, set: ConfigSet) -> bool {
        if set.generation <= self.generation.0 {
            return false;
        }
        self.generation = Generation(set.generation);
        self.bytes = set.snapshot;
        true
    }

    pub(super) fn message(&self) -> ConfigSet {
        ConfigSet { generation: self.generation.0, snapshot: self.bytes.clone() }
    }
}

/// Returns the balance between the classes that the batch policies ask for. Where several routes
/// share an endpoint, the one that puts the online tail first decides.
pub(super) fn batch_weight(snapshot: &[u8], models: &[Name]) -> Option<f64> {
    let (snapshot, _) = ObjectSnapshot::decode(snapshot).ok()?;
    let view = View::new(&snapshot);
    let served = |model: &Option<Name>| model.as_ref().is_some_and(|model| models.contains(model));
    let routes = view.routes().filter(|route| served(&route.model));
    let weights = routes.filter_map(|route| view.batch_policy(route)).map(|p| p.batch_weight);
    weights.min_by(f64::total_cmp)
}
