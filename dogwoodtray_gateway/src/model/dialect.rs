//! Names and encodings of the platform.

use std::fmt;

use dogwoodtray_coord::Name;
use hyper::header::HeaderMap;
use hyper::header::HeaderName;
use quick_error::quick_error;

use super::Endpoint;
use super::JobItem;
use super::ResultPage;
use super::SiteConfig;

quick_error! {
    /// Error of decoding data of the platform.
    #[derive(Debug, PartialEq, Eq)]
    pub enum DecodeError {
        /// The data is not valid JSON of the expected structure.
        Json(reason: String) {
            display("not the expected JSON: {reason}")
        }
        /// A field has an unexpected value.
        Field(field: &'static str, value: String) {
            display("unexpected {field}: {value}")
        }
    }
}

/// Names of headers, paths, query parameters and object kinds.
#[derive(Clone, Debug)]
pub struct ProtocolNames {
    /// Header with the id of a caller's attempt at a request.
    pub request_id: HeaderName,
    /// Header with the remaining time until the deadline, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Header with the id of the endpoint that a request is addressed to.
    pub expected_endpoint: HeaderName,
    /// Header with the signature of an endpoint in a response.
    pub signature: HeaderName,
    /// Response header that is present if the request did not run.
    pub not_run: HeaderName,
    /// Response header that is `1` if the endpoint is leaving.
    pub leaving: HeaderName,
    /// Header with the id of the last received event, for resuming a stream.
    pub last_event_id: HeaderName,
    /// Header with the parts of the prompt of a request.
    pub prompt_parts: HeaderName,
    /// Header that tells an endpoint the organization of a request.
    pub organization: HeaderName,
    /// Header with the maximum wait of a read for a result, in milliseconds.
    pub wait_ms: HeaderName,
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Prefix of the paths for reading and cancelling a job.
    pub job_path: &'static str,
    /// Prefix of the paths for reading the body of an item.
    pub item_path: &'static str,
    /// Query parameter with the start position of a read.
    pub after_param: &'static str,
    /// Query parameter with the id of an item.
    pub item_param: &'static str,
    /// Kind and name of the configuration object.
    pub config: (&'static str, &'static str),
    /// Kind of the endpoint objects.
    pub endpoints: &'static str,
    /// Kind of the requests to retire a VM.
    pub retirements: &'static str,
}

/// Size of a request in tokens, as its caller states it; 0 where it states none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatedSize {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Output tokens that the caller expects.
    pub expected_output_tokens: u32,
    /// Maximum number of output tokens.
    pub max_output_tokens: u32,
}

/// Conversion between the formats of the platform and the types of the gateway.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Returns the names that the platform uses.
    fn names(&self) -> &ProtocolNames;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a valid configuration.
    fn config(&self, spec: &str) -> Result<SiteConfig, DecodeError>;

    /// Decodes the entry of an endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry is not a valid endpoint.
    fn endpoint(&self, id: &Name, spec: &str) -> Result<Endpoint, DecodeError>;

    /// Returns the ids of the parts of a prompt that other requests may share, from the value of its
    /// header. A part that belongs to the request itself is left out.
    fn shared_parts<'a>(&self, prompt: &'a str) -> Vec<&'a str>;

    /// Returns the size of a request that its headers state.
    fn stated_size(&self, headers: &HeaderMap) -> StatedSize;

    /// Decodes the submission of a batch job.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not a valid submission.
    fn submission(&self, body: &[u8]) -> Result<Vec<JobItem>, DecodeError>;

    /// Encodes a page of results.
    fn page(&self, page: &ResultPage) -> String;

    /// Returns `true` if the status of a request to retire a VM reports completion.
    fn is_retired(&self, status: &str) -> bool;

    /// Encodes the status of a request to retire a VM.
    fn retirement_status(&self, done: bool) -> String;
}
