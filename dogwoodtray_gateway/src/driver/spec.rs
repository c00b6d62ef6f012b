//! Stored objects of a job.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::caller::priority_of;
use crate::caller::scoped_name;
use crate::model::BatchTerms;
use crate::model::JobItem;
use crate::model::MAX_ITEM_TOKENS;
use crate::model::Organization;
use crate::model::Route;

/// Maximum size of a submission that is stored as one object. The store limits values to 1 MB.
const MAX_OBJECT_BYTES: usize = 700 * 1024;

/// Submission of a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct JobSpec {
    /// Route on which the job was submitted.
    pub(crate) route: Name,
    /// Host of the route.
    pub(crate) host: Name,
    /// Organization that submitted the job, if the configuration named any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) organization: Option<Name>,
    /// Organization whose key came with the submission, if the job belongs to everyone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) sender: Option<Name>,
    /// Rank of its items among those that wait; 0 is the highest.
    #[serde(default)]
    pub(crate) priority: u32,
    /// Generation of the configuration by which the job was accepted.
    #[serde(default)]
    pub(crate) generation: Generation,
    /// Wall-clock time of the acceptance, in milliseconds since the Unix epoch.
    pub(crate) accepted_unix_ms: u64,
    /// Time after acceptance in which all results are due, in milliseconds.
    pub(crate) target_ms: u64,
    /// Time after which an unfinished item fails, in milliseconds.
    pub(crate) retention_ms: u64,
    /// Number of failed runs after which an item fails.
    pub(crate) max_attempts: u32,
    /// Number of items.
    pub(crate) total: u32,
    /// Number of separate objects that hold the items; 0 if they are in `items`.
    pub(crate) parts: u32,
    /// Whether the route limited the tokens of its unfinished items at the acceptance.
    #[serde(default)]
    pub(crate) limited: bool,
    /// Tokens of all items.
    #[serde(default)]
    pub(crate) tokens: u64,
    /// Items; empty if they are in separate objects.
    pub(crate) items: Vec<StoredItem>,
}

/// Item as it is stored.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct StoredItem {
    id: Name,
    path: String,
    headers: Vec<(String, String)>,
    /// Body, encoded in base64.
    body: String,
    #[serde(default)]
    tokens: u64,
}

/// Group of results that is stored in one write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Segment {
    /// Incarnation of the process that wrote the segment.
    pub(crate) writer: u64,
    /// Results, ordered by position.
    pub(crate) results: Vec<StoredResult>,
}

/// Result as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredResult {
    /// Id of the item.
    pub(crate) item: Name,
    /// Whether the endpoint completed the item.
    pub(crate) completed: bool,
    /// Data of all events, joined by line feeds.
    pub(crate) output: String,
}

/// Status of a job.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct JobStatus {
    /// Whether all items have a result.
    pub(crate) finished: bool,
}

impl JobSpec {
    pub(crate) fn new(
        route: &Route,
        organization: Option<&Organization>,
        terms: BatchTerms,
        generation: Generation,
        accepted_unix_ms: u64,
        items: Vec<JobItem>,
    ) -> Self {
        let millis =
            |time: std::time::Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        Self {
            route: Name::clone(&route.name),
            host: Name::clone(&route.host),
            organization: organization.map(|organization| Name::clone(&organization.name)),
            sender: None,
            priority: priority_of(route, organization),
            generation,
            accepted_unix_ms,
            target_ms: millis(terms.completion_target),
            retention_ms: millis(terms.retention),
            max_attempts: route.max_attempts,
            total: u32::try_from(items.len()).unwrap_or(u32::MAX),
            parts: 0,
            limited: terms.max_waiting_tokens > 0,
            tokens: items.iter().map(|item| item.tokens).sum(),
            items: items.into_iter().map(StoredItem::new).collect(),
        }
    }

    /// Returns the name of the limit on the tokens of its unfinished items, which each organization
    /// has for itself.
    pub(crate) fn limit_name(&self) -> Name {
        scoped_name(self.organization.as_ref(), &self.route)
    }

    /// Encodes the submission, and the separate objects for its items if it is large.
    pub(crate) fn encode(mut self) -> (String, Vec<String>) {
        let encoded = encode(&self);
        if encoded.len() <= MAX_OBJECT_BYTES {
            return (encoded, Vec::new());
        }
        let mut parts = Vec::new();
        let mut part = Vec::new();
        let mut bytes = 0;
        for item in std::mem::take(&mut self.items) {
            let size = item.body.len();
            if bytes + size > MAX_OBJECT_BYTES && !part.is_empty() {
                parts.push(encode(&part));
                part.clear();
                bytes = 0;
            }
            bytes += size;
            part.push(item);
        }
        parts.push(encode(&part));
        self.parts = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        (encode(&self), parts)
    }

    pub(crate) fn part_name(job: &Name, part: u32) -> Name {
        numbered_name(job, part)
    }
}

impl Segment {
    pub(crate) fn name(job: &Name, number: u32) -> Name {
        numbered_name(job, number)
    }

    pub(crate) fn encode(&self) -> String {
        encode(self)
    }
}

impl StoredItem {
    fn new(item: JobItem) -> Self {
        let body = STANDARD.encode(&item.body);
        Self { id: item.id, path: item.path, headers: item.headers, body, tokens: item.tokens }
    }

    /// Decodes the item. Returns `None` if its body is not valid base64.
    pub(crate) fn decode(self) -> Option<JobItem> {
        let body = Bytes::from(STANDARD.decode(self.body).ok()?);
        Some(JobItem {
            id: self.id,
            path: self.path,
            headers: self.headers,
            body,
            tokens: self.tokens.min(MAX_ITEM_TOKENS),
        })
    }
}

/// Returns the name of one of several objects of a job within a kind.
fn numbered_name(job: &Name, number: u32) -> Name {
    Name::from(format!("{job}.{number}"))
}

pub(crate) fn encode<T: Serialize>(value: &T) -> String {
    // Serialization to memory fails only for maps with keys that are not strings or numbers.
    let text = serde_json::to_string(value).unwrap_or_default();
    debug_assert!(!text.is_empty(), "objects of a job are serializable");
    text
}
