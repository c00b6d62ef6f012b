//! Route objects.

use dogwoodtray_coord::Name;
use serde::Deserialize;
use serde::Serialize;

/// A public name and the model or service that serves it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Public name, unique among routes.
    pub name: Name,
    /// Model that serves the route; set together with `version`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<Name>,
    /// Version of the model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Name>,
    /// Adapter for the version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<Name>,
    /// Service that serves the route instead of a model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<Name>,
    /// Whether all requests to the route are non-idempotent.
    #[serde(default)]
    pub non_idempotent: bool,
    /// Paths below the route whose requests are non-idempotent, including all paths below them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub non_idempotent_paths: Vec<Name>,
    /// Deadline in milliseconds for requests that specify none.
    pub default_deadline_ms: u64,
    /// Whether idempotent requests are retried within the retry budget.
    #[serde(default = "enabled")]
    pub retries: bool,
    /// Organisations that may call the route; `*` allows all.
    pub organisations: Vec<Name>,
}

const fn enabled() -> bool {
    true
}

/// The model version or service that serves a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteTarget<'a> {
    /// A version of a model.
    Model {
        /// Name of the model.
        model: &'a str,
        /// Name of the version.
        version: &'a str,
        /// Name of the adapter, if any.
        adapter: Option<&'a str>,
    },
    /// A plain service, which needs no model.
    Service(&'a str),
}

impl Route {
    /// Entry of `organisations` that allows all organisations.
    pub const ANY_ORGANISATION: &'static str = "*";

    /// Returns the target of the route, or `None` if the fields contradict each other.
    #[must_use]
    pub fn target(&self) -> Option<RouteTarget<'_>> {
        match (&self.model, &self.version, &self.service) {
            (Some(model), Some(version), None) => {
                Some(RouteTarget::Model { model, version, adapter: self.adapter.as_deref() })
            }
            (None, None, Some(service)) if self.adapter.is_none() => {
                Some(RouteTarget::Service(service))
            }
            _ => None,
        }
    }

    /// Returns whether an organisation may call the route.
    #[must_use]
    pub fn allows(&self, organisation: &str) -> bool {
        self.organisations
            .iter()
            .any(|allowed| **allowed == *Self::ANY_ORGANISATION || **allowed == *organisation)
    }

    /// Returns whether a request to a path below the route may run more than once.
    ///
    /// A service may treat a non-canonical path, such as `//payouts` or `/%70ayouts`, as equal to a
    /// listed path. If the route lists any path, requests to non-canonical paths are therefore
    /// non-idempotent.
    ///
    /// # Examples
    ///
    /// ```
    /// let file = r#"
    ///     [[route]]
    ///     name = "kegledger"
    ///     service = "kegledger"
    ///     non_idempotent_paths = ["/payouts"]
    ///     default_deadline_ms = 2000
    ///     organisations = ["*"]
    /// "#;
    /// let set = dogwoodtray_config::parse_file("routes.toml", file).unwrap();
    /// let route = set.routes().next().unwrap();
    /// assert!(route.is_idempotent("/balances/17"));
    /// assert!(!route.is_idempotent("/payouts/17?dry=1"));
    /// assert!(!route.is_idempotent("//payouts"));
    /// ```
    #[must_use]
    pub fn is_idempotent(&self, path: &str) -> bool {
        if self.non_idempotent {
            return false;
        }
        if self.non_idempotent_paths.is_empty() {
            return true;
        }
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        is_canonical_path(path)
            && !self.non_idempotent_paths.iter().any(|listed| contains_path(listed, path))
    }
}

/// Returns whether a path is canonical: absolute, and without escapes, empty or dotted segments.
///
/// A canonical path has only one interpretation.
pub(crate) fn is_canonical_path(path: &str) -> bool {
    let Some(rest) = path.strip_prefix('/') else {
        return false;
    };
    let rest = rest.strip_suffix('/').unwrap_or(rest);
    rest.is_empty() && path.len() == 1 || rest.split('/').all(is_canonical_segment)
}

fn is_canonical_segment(segment: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~:@".contains(&byte);
    !segment.is_empty() && segment != "." && segment != ".." && segment.bytes().all(is_allowed)
}

/// Returns whether `path` equals `listed` or is located below it.
///
/// The comparison ignores case, because some services do.
fn contains_path(listed: &str, path: &str) -> bool {
    let listed = listed.strip_suffix('/').unwrap_or(listed).as_bytes();
    let path = path.as_bytes();
    if path.len() < listed.len() || !path[..listed.len()].eq_ignore_ascii_case(listed) {
        return false;
    }
    path.len() == listed.len() || path[listed.len()] == b'/'
}
