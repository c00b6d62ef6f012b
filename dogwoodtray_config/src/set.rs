//! Sets of configuration objects.

use std::collections::BTreeMap;

use crate::objects::Adapter;
use crate::objects::BatchPolicy;
use crate::objects::Model;
use crate::objects::ModelVersion;
use crate::objects::Object;
use crate::objects::ObjectId;
use crate::objects::RetirementPlan;
use crate::objects::Route;

/// A set of objects, sorted by kind and name.
///
/// A set is not necessarily valid: [`check`](crate::check) reports its errors, such as duplicate
/// names.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObjectSet {
    objects: Vec<Object>,
}

impl ObjectSet {
    /// Creates an empty set.
    #[must_use]
    pub const fn new() -> Self {
        Self { objects: Vec::new() }
    }

    /// Returns an iterator over all objects.
    pub fn iter(&self) -> impl Iterator<Item = &Object> {
        self.objects.iter()
    }

    /// Returns the number of objects.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.objects.len()
    }

    /// Returns `true` if the set contains no objects.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.objects.is_empty()
    }

    /// Adds the objects of another set.
    pub fn append(&mut self, other: Self) {
        self.extend(other.objects);
    }

    /// Returns the objects by kind and name. If several objects share a name, the last one is kept.
    pub(crate) fn by_id(&self) -> BTreeMap<ObjectId, &Object> {
        self.objects.iter().map(|object| (object.id(), object)).collect()
    }
}

/// Generates an iterator method for each kind.
macro_rules! iterators {
    ($($method:ident: $variant:ident($object:ty), $doc:literal;)*) => {
        impl ObjectSet {
            $(
                #[doc = $doc]
                pub fn $method(&self) -> impl Iterator<Item = &$object> {
                    self.objects.iter().filter_map(|object| match object {
                        Object::$variant(object) => Some(object),
                        _ => None,
                    })
                }
            )*
        }
    };
}

iterators! {
    models: Model(Model), "Returns the models.";
    versions: Version(ModelVersion), "Returns the versions of all models.";
    adapters: Adapter(Adapter), "Returns the adapters.";
    routes: Route(Route), "Returns the routes.";
    batch_policies: BatchPolicy(BatchPolicy), "Returns the batch policies.";
    retirement_plans: RetirementPlan(RetirementPlan), "Returns the retirement plans.";
}

impl Extend<Object> for ObjectSet {
    fn extend<T: IntoIterator<Item = Object>>(&mut self, objects: T) {
        self.objects.extend(objects);
        self.objects.sort_by(|a, b| (a.kind(), a.name()).cmp(&(b.kind(), b.name())));
    }
}

impl FromIterator<Object> for ObjectSet {
    fn from_iter<T: IntoIterator<Item = Object>>(objects: T) -> Self {
        let mut set = Self::new();
        set.extend(objects);
        set
    }
}
