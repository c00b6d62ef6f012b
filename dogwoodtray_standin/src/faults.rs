//! Faults that are set over HTTP.

use hyper::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;

use crate::http::Failure;
use crate::http::error;

/// Set of faults that can be changed field by field.
pub(crate) trait FaultSet: Serialize + DeserializeOwned {
    /// Says what is wrong with the set.
    fn problem(&self) -> Option<&'static str>;
}

/// Returns the set with the fields of a JSON object replaced.
///
/// # Errors
///
/// Returns a failure with status 400 when the object is not valid.
pub(crate) fn patched<T: FaultSet>(faults: &T, body: &[u8]) -> Result<T, Failure> {
    let changes: Map<String, Value> = serde_json::from_slice(body).map_err(bad)?;
    let mut value = serde_json::to_value(faults).map_err(bad)?;
    if let Value::Object(fields) = &mut value {
        fields.extend(changes);
    }
    let next: T = serde_json::from_value(value).map_err(bad)?;
    match next.problem() {
        Some(problem) => Err(bad(problem)),
        None => Ok(next),
    }
}

/// Tells whether a number is a probability.
pub(crate) fn is_probability(number: f64) -> bool {
    (0.0..=1.0).contains(&number)
}

fn bad(message: impl ToString) -> Failure {
    error(StatusCode::BAD_REQUEST, "bad_faults", message.to_string())
}
