//! Parsing of HTTP requests.

use bytes::Bytes;
use dogwoodtray_platform::percent_decode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use serde::de::DeserializeOwned;

use super::Failure;
use super::bad_request;
use super::error;

/// Maximum size of a request body. The limits of the individual protocols are lower.
const MAX_BODY_BYTES: usize = 16 << 20;

/// HTTP request whose body was read in full.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    /// Unescaped segments of the path.
    pub(crate) path: Vec<String>,
    pub(crate) query: Vec<(String, String)>,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Type that can be parsed from a query parameter.
pub(crate) trait FromQuery: Sized {
    fn from_query(text: &str) -> Option<Self>;
}

impl FromQuery for u64 {
    fn from_query(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl FromQuery for String {
    fn from_query(text: &str) -> Option<Self> {
        Some(text.to_owned())
    }
}

impl Call {
    /// Reads a request with its body.
    ///
    /// # Errors
    ///
    /// Returns a failure with status 400 if the path or the query is invalid, and with status 413
    /// if the body can't be read.
    pub(crate) async fn read(req: Request<Incoming>) -> Result<Self, Failure> {
        let (parts, body) = req.into_parts();
        let path = parts.uri.path().trim_start_matches('/').split('/').map(percent_decode);
        let path = path
            .collect::<Option<Vec<_>>>()
            .ok_or_else(|| bad_request("path is not valid UTF-8"))?;
        let query = parse_query(parts.uri.query().unwrap_or_default())
            .ok_or_else(|| bad_request("query is not valid UTF-8"))?;
        let body = match Limited::new(body, MAX_BODY_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(err) => {
                return Err(error(StatusCode::PAYLOAD_TOO_LARGE, "body_not_read", err));
            }
        };
        Ok(Self { method: parts.method, path, query, headers: parts.headers, body })
    }

    /// Returns the segments of the path, to match them against the routes.
    pub(crate) fn route(&self) -> Vec<&str> {
        self.path.iter().map(String::as_str).collect()
    }

    /// Returns the value of a header, or `None` if it is missing or not visible ASCII.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Parses a query parameter; returns `None` if it is missing.
    ///
    /// # Errors
    ///
    /// Returns a failure with status 400 if the parameter is invalid.
    pub(crate) fn param<T: FromQuery>(&self, name: &str) -> Result<Option<T>, Failure> {
        let Some((_, text)) = self.query.iter().find(|(key, _)| key == name) else {
            return Ok(None);
        };
        T::from_query(text)
            .map(Some)
            .ok_or_else(|| bad_request(format!("query parameter {name} is not valid")))
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns a failure with status 400 if the body is invalid.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Failure> {
        serde_json::from_slice(&self.body).map_err(|err| bad_request(format!("body: {err}")))
    }
}

fn parse_query(query: &str) -> Option<Vec<(String, String)>> {
    query
        .split('&')
        .filter(|pair| !pair.is_empty())
        .map(|pair| {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            Some((percent_decode(key)?, percent_decode(value)?))
        })
        .collect()
}
