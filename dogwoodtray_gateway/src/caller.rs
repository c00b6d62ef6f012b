//! Organization of a caller.

use std::fmt::Display;
use std::sync::Arc;

use dogwoodtray_coord::Name;
use dogwoodtray_policy::JobOwner;
use dogwoodtray_runtime::catalogue;
use hyper::header;
use hyper::header::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use quick_error::quick_error;

use crate::model::Organization;
use crate::model::Route;
use crate::model::SiteConfig;
use crate::node::Node;

/// Scheme of the credentials in the header `Authorization`.
const SCHEME: &str = "bearer";

quick_error! {
    /// Reason why a request with a key is not accepted.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    #[allow(unreachable_pub, reason = "quick_error! accepts `pub` only")]
    pub enum KeyError {
        Missing {
            display("missing")
        }
        Malformed {
            display("malformed")
        }
        Unknown {
            display("unknown")
        }
    }
}

/// Returns the organization that has the key of a request.
pub(crate) fn organization_of<'a>(
    config: &'a SiteConfig,
    headers: &HeaderMap,
) -> Result<&'a Arc<Organization>, KeyError> {
    let key = bearer_token(headers)?;
    config.organizations().by_key(key).ok_or(KeyError::Unknown)
}

fn bearer_token(headers: &HeaderMap) -> Result<&str, KeyError> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let value = values.next().ok_or(KeyError::Missing)?;
    if values.next().is_some() {
        return Err(KeyError::Malformed);
    }
    let text = value.to_str().map_err(|_| KeyError::Malformed)?;
    let (scheme, token) = text.trim().split_once(' ').ok_or(KeyError::Malformed)?;
    let token = token.trim();
    if !scheme.eq_ignore_ascii_case(SCHEME) || token.is_empty() {
        return Err(KeyError::Malformed);
    }
    Ok(token)
}

/// # Keys
impl Node {
    /// Records that a request was answered 401.
    pub(crate) fn on_key_rejected(&self, error: KeyError, generation: u64) {
        metrics::counter!("dogwoodtray_rejected_keys_total", "reason" => error.to_string())
            .increment(1);
        let fields: [(&str, &dyn Display); 2] = [("key", &error), ("generation", &generation)];
        self.events.emit(&catalogue::KEY_REJECTED, None, &fields);
    }
}

/// Replaces the credentials of a caller by the name of its organization, in the headers that an
/// endpoint receives. Without an organization, the endpoint receives neither.
pub(crate) fn set_organization(
    headers: &mut HeaderMap,
    header_name: &HeaderName,
    organization: Option<HeaderValue>,
) {
    headers.remove(header::AUTHORIZATION);
    headers.remove(header_name);
    if let Some(organization) = organization {
        headers.insert(header_name.clone(), organization);
    }
}

/// Returns the rank of the requests of an organization on a route. Without organizations, all
/// requests have the same rank.
pub(crate) fn priority_of(route: &Route, organization: Option<&Organization>) -> u32 {
    organization.map_or(0, |organization| organization.priority.unwrap_or(route.priority))
}

/// Returns a name that two organizations never share: that of an object of one organization, or the
/// plain name if the object belongs to none.
pub(crate) fn scoped_name(organization: Option<&Name>, name: &str) -> Name {
    organization.map_or_else(
        || Name::from(name),
        |organization| JobOwner::Organization(Name::clone(organization)).object_name(name),
    )
}

#[cfg(test)]
mod tests {
    use hyper::header;
    use hyper::header::HeaderMap;
    use hyper::header::HeaderValue;

    use super::KeyError;
    use super::bearer_token;

    fn token(values: &[&'static str]) -> Result<String, KeyError> {
        let mut headers = HeaderMap::new();
        for value in values {
            headers.append(header::AUTHORIZATION, HeaderValue::from_static(value));
        }
        bearer_token(&headers).map(str::to_owned)
    }

    /// Guards against credentials that are read in another way than the caller meant them.
    #[test]
    fn only_a_single_bearer_token_is_accepted() {
        assert_eq!(token(&["Bearer k1"]), Ok("k1".to_owned()));
        assert_eq!(token(&["bearer  k1 "]), Ok("k1".to_owned()));
        assert_eq!(token(&[]), Err(KeyError::Missing));
        assert_eq!(token(&["k1"]), Err(KeyError::Malformed));
        assert_eq!(token(&["Basic k1"]), Err(KeyError::Malformed));
        assert_eq!(token(&["Bearer "]), Err(KeyError::Malformed));
        assert_eq!(token(&["Bearer k1", "Bearer k2"]), Err(KeyError::Malformed));
    }
}
