//! Routes.

use dogwoodtray_coord::Name;
use serde::Deserialize;
use serde::Serialize;

/// Maps a public name to what serves it.
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
    /// Adapter on top of the version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<Name>,
    /// Plain service that serves the route instead of a model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<Name>,
    /// Marks all requests of the route as non-idempotent.
    #[serde(default)]
    pub non_idempotent: bool,
    /// Paths below the route whose requests are non-idempotent, each with all paths below it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub non_idempotent_paths: Vec<Name>,
    /// Milliseconds that a request may take when its caller names no deadline.
    pub default_deadline_ms: u64,
    /// Whether idempotent requests are retried within the retry budget.
    #[serde(default = "enabled")]
    pub retries: bool,
    /// Organisations that may call the route; `*` stands for all.
    pub organisations: Vec<Name>,
}

const fn enabled() -> bool {
    true
}

/// What serves a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteTarget<'a> {
    /// A version of a model.
    Model {
        /// Name of the model.
        model: &'a str,
        /// Name of the version.
        version: &'a str,
        /// Name of the adapter on top of it.
        adapter: Option<&'a str>,
    },
    /// A plain service.
    Service(&'a str),
}

impl Route {
    /// Entry of `organisations` that stands for all organisations.
    pub const ANY_ORGANISATION: &'static str = "*";

    /// Returns what serves the route; `None` if the fields contradict each other.
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

    /// Tells whether an organisation may call the route.
    #[must_use]
    pub fn allows(&self, organisation: &str) -> bool {
        self.organisations
            .iter()
            .any(|allowed| **allowed == *Self::ANY_ORGANISATION || **allowed == *organisation)
    }

    /// Tells whether a request to a path below the route may run more than once.
    ///
    /// A service may read an unusual spelling of a path, such as `//payouts` or `/%70ayouts`, as
    /// one that is listed. Unusual spellings therefore count as non-idempotent on a route that
    /// lists any path.
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
        is_plain_path(path) && !self.non_idempotent_paths.iter().any(|listed| covers(listed, path))
    }
}

/// Tells whether a path has only one reading: absolute, without empty or dotted segments and
/// without escapes.
pub(crate) fn is_plain_path(path: &str) -> bool {
    let Some(rest) = path.strip_prefix('/') else {
        return false;
    };
    let rest = rest.strip_suffix('/').unwrap_or(rest);
    rest.is_empty() && path.len() == 1 || rest.split('/').all(is_plain_segment)
}

fn is_plain_segment(segment: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~:@".contains(&byte);
    !segment.is_empty() && segment != "." && segment != ".." && segment.bytes().all(plain)
}

/// Compares without regard to case, because some services do.
fn covers(listed: &str, path: &str) -> bool {
    let listed = listed.strip_suffix('/').unwrap_or(listed).as_bytes();
    let path = path.as_bytes();
    if path.len() < listed.len() || !path[..listed.len()].eq_ignore_ascii_case(listed) {
        return false;
    }
    path.len() == listed.len() || path[listed.len()] == b'/'
}
