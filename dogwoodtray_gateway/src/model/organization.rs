//! Organizations of the configuration and their keys.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use dogwoodtray_coord::Name;
use hyper::header::HeaderValue;

use super::name_header::name_header;

/// Organization whose callers may use the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Organization {
    /// Name, by which endpoints know it.
    pub name: Name,
    /// Rank of its requests, which goes before that of their route; 0 is the highest.
    pub priority: Option<u32>,
    /// Limit of its requests per second over all processes; 0 for no limit.
    pub rate_per_s: f64,
    /// Number of requests that may exceed the rate at once.
    pub burst: f64,
}

impl Organization {
    /// Returns the header value that tells an endpoint the organization with this name. Returns
    /// `None` if the name cannot be sent, or would arrive changed. No request of it may run then.
    #[must_use]
    pub fn name_header(name: &str) -> Option<HeaderValue> {
        name_header(name)
    }

    /// Returns `true` if its requests are limited.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }
}

/// Organizations by key and by name.
#[derive(Clone, Default, PartialEq)]
pub struct Organizations {
    by_name: HashMap<Name, Arc<Organization>>,
    /// Keys are secrets, so they appear in no log and no debug output.
    by_key: HashMap<Name, Arc<Organization>>,
}

impl Organizations {
    /// Creates the table from organizations and their keys. A key that two organizations have is
    /// left out, as it does not tell whose caller has it.
    #[must_use]
    pub fn new(list: Vec<(Organization, Vec<Name>)>) -> Self {
        let mut table = Self::default();
        let mut ambiguous = Vec::new();
        for (organization, keys) in list {
            let organization = Arc::new(organization);
            for key in keys {
                let before = table.by_key.insert(Name::clone(&key), Arc::clone(&organization));
                if before.is_some_and(|other| other.name != organization.name) {
                    ambiguous.push(key);
                }
            }
            table.by_name.insert(Name::clone(&organization.name), organization);
        }
        for key in &ambiguous {
            table.by_key.remove(key);
        }
        table
    }

    /// Returns the number of organizations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns `true` if the configuration names no organization, so that requests need no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns the organization that has a key.
    #[must_use]
    pub fn by_key(&self, key: &str) -> Option<&Arc<Organization>> {
        self.by_key.get(key)
    }

    /// Returns the organization with a name.
    #[must_use]
    pub fn by_name(&self, name: &str) -> Option<&Arc<Organization>> {
        self.by_name.get(name)
    }

    /// Returns all organizations.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organization>> {
        self.by_name.values()
    }
}

impl fmt::Debug for Organizations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Organizations")
            .field("organizations", &self.by_name.len())
            .field("keys", &self.by_key.len())
            .finish()
    }
}

#[cfg(test)]
mod tests {
    use dogwoodtray_coord::Name;

    use super::Organization;
    use super::Organizations;

    fn table(list: &[(&str, &[&str])]) -> Organizations {
        let organization = |name: &str| Organization {
            name: Name::from(name),
            priority: None,
            rate_per_s: 0.0,
            burst: 0.0,
        };
        let list = list.iter().map(|(name, keys)| {
            (organization(name), keys.iter().map(|key| Name::from(*key)).collect())
        });
        Organizations::new(list.collect())
    }

    /// Guards against a key that gives its holder the rights of another organization.
    #[test]
    fn a_key_of_two_organizations_belongs_to_none() {
        let table = table(&[("clinic", &["k1", "shared"]), ("ward", &["shared", "k2"])]);
        assert!(table.by_key("shared").is_none());
        assert_eq!(table.by_key("k1").map(|found| &*found.name), Some("clinic"));
        assert_eq!(table.by_key("k2").map(|found| &*found.name), Some("ward"));
    }

    /// Guards against keys in logs of a configuration.
    #[test]
    fn debug_output_names_no_key() {
        let text = format!("{:?}", table(&[("clinic", &["secret"])]));
        assert!(!text.contains("secret"), "{text}");
    }
}
