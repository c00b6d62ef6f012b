//! Fault settings that are changed over HTTP.

use hyper::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;

use crate::http::Failure;
use crate::http::error;

/// Fault settings whose fields can be changed one by one.
pub(crate) trait FaultSettings: Serialize + DeserializeOwned {
    /// Returns a message that describes the first invalid field, or `None` if all are valid.
    fn validation_error(&self) -> Option<&'static str>;
}

/// Returns a copy of the faults with the fields of a JSON object replaced.
///
/// # Errors
///
/// Returns a failure with status 400 if the object or the resulting faults are invalid.
pub(crate) fn apply_patch<T: FaultSettings>(faults: &T, body: &[u8]) -> Result<T, Failure> {
    let changes: Map<String, Value> = serde_json::from_slice(body).map_err(invalid_faults)?;
    let mut value = serde_json::to_value(faults).map_err(invalid_faults)?;
    if let Value::Object(fields) = &mut value {
        fields.extend(changes);
    }
    let next: T = serde_json::from_value(value).map_err(invalid_faults)?;
    match next.validation_error() {
        Some(message) => Err(invalid_faults(message)),
        None => Ok(next),
    }
}

/// Returns `true` if the number lies between 0 and 1.
pub(crate) fn is_probability(number: f64) -> bool {
    (0.0..=1.0).contains(&number)
}

fn invalid_faults(message: impl ToString) -> Failure {
    error(StatusCode::BAD_REQUEST, "bad_faults", message.to_string())
}
