//! How the platform names and encodes what the gateway handles.

use std::fmt;

use dogwoodtray_coord::Name;
use hyper::header::HeaderName;
use quick_error::quick_error;

use super::Endpoint;
use super::JobItem;
use super::ResultPage;
use super::SiteConfig;

quick_error! {
    /// Reason why something of the platform cannot be decoded.
    #[derive(Debug, PartialEq, Eq)]
    pub enum DecodeError {
        /// It is not the JSON that is expected.
        Json(reason: String) {
            display("not the expected JSON: {reason}")
        }
        /// A field has a value that is not known.
        Field(field: &'static str, value: String) {
            display("unexpected {field}: {value}")
        }
    }
}

/// Names of headers, paths and kinds.
#[derive(Clone, Debug)]
pub struct Names {
    /// Header with the id of an attempt of a caller.
    pub request_id: HeaderName,
    /// Header with the time that the caller still waits, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Header with the id of the endpoint that a request is meant for.
    pub expected_endpoint: HeaderName,
    /// Header with which an endpoint signs its answer.
    pub signature: HeaderName,
    /// Header of an answer which says that the request did not run.
    pub not_run: HeaderName,
    /// Header with the last event that was received, for resuming.
    pub last_event_id: HeaderName,
    /// Header with the time that a read may wait for a result, in milliseconds.
    pub wait_ms: HeaderName,
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Beginning of the paths that read and cancel a job.
    pub job_path: &'static str,
    /// Beginning of the paths that read the body of an item.
    pub item_path: &'static str,
    /// Query parameter with the position that a read begins at.
    pub after_param: &'static str,
    /// Query parameter with the id of an item.
    pub item_param: &'static str,
    /// Kind and name of the object that holds the configuration.
    pub config: (&'static str, &'static str),
    /// Kind of the endpoints' objects.
    pub endpoints: &'static str,
    /// Kind of the requests to empty a VM.
    pub retirements: &'static str,
}

/// Translates between the platform and the gateway.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Returns the names.
    fn names(&self) -> &Names;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a configuration.
    fn config(&self, spec: &str) -> Result<SiteConfig, DecodeError>;

    /// Decodes the entry of an endpoint.
    ///
    /// # Errors
    ///
    /// Fails if the entry names no endpoint that can be used.
    fn endpoint(&self, id: &Name, spec: &str) -> Result<Endpoint, DecodeError>;

    /// Decodes the submission of a batch job.
    ///
    /// # Errors
    ///
    /// Fails if the body is not a submission.
    fn submission(&self, body: &[u8]) -> Result<Vec<JobItem>, DecodeError>;

    /// Encodes a page of results.
    fn page(&self, page: &ResultPage) -> String;

    /// Tells whether the status of a request to empty a VM says that it is done.
    fn is_retired(&self, status: &str) -> bool;

    /// Encodes the status of a request to empty a VM.
    fn retirement_status(&self, done: bool) -> String;
}
