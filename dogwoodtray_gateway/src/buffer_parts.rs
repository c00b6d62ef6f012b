//! Parts of the buffers of a gateway that the organizations of its callers have.

use std::cell::RefCell;
use std::collections::HashMap;

use dogwoodtray_coord::Name;
use dogwoodtray_http::ByteBudget;

use crate::model::Organization;
use crate::model::SiteConfig;
use crate::node::Node;

/// Fraction of the buffers that the requests of one organization may use.
const ORGANIZATION_DIVISOR: usize = 4;

/// Parts of the buffers by organization. All callers without one share the part of `None`.
#[derive(Debug, Default)]
pub(crate) struct BufferParts {
    parts: RefCell<HashMap<Option<Name>, ByteBudget>>,
}

/// # Buffers of callers
impl Node {
    /// Returns the buffers of the requests of an organization. If the configuration names none, all
    /// requests share the buffers.
    pub(crate) fn buffers_of(
        &self,
        config: &SiteConfig,
        organization: Option<&Organization>,
    ) -> ByteBudget {
        let mut parts = self.buffer_parts.parts.borrow_mut();
        let named = config.organizations().len();
        // Organizations that were removed from the configuration.
        if parts.len() > named + 1 {
            parts.retain(|_, part| part.used() > 0);
        }
        if named == 0 {
            return self.buffers.clone();
        }
        let name = organization.map(|organization| Name::clone(&organization.name));
        let limit = self.buffers.limit() / ORGANIZATION_DIVISOR;
        parts.entry(name).or_insert_with(|| self.buffers.part(limit)).clone()
    }
}
