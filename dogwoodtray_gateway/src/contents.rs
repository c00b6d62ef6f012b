//! Hashes of the contents of requests.

use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Contents;
use dogwoodtray_policy::PlaceCost;
use hyper::header;
use hyper::header::HeaderMap;

use crate::model::Dialect;
use crate::model::JobItem;
use crate::request::EndpointRequest;

/// Returns the contents of a request: a hash that it shares with its resends, and those of its prompt
/// and the parts of it, which it may share with others.
pub(crate) fn request_contents(dialect: &dyn Dialect, req: &EndpointRequest) -> Contents {
    let host = req.headers.get(header::HOST).map_or(&b""[..], |host| host.as_bytes());
    // A resend comes from the same organization, perhaps with another of its keys.
    let organization = req.headers.get(&dialect.names().organization);
    let organization = organization.map(|name| ContentHash::of(name.as_bytes()));
    let whole = [
        ContentHash::of(host),
        ContentHash::of(req.method.as_str().as_bytes()),
        ContentHash::of(req.path_and_query.as_str().as_bytes()),
        ContentHash::of(&req.body),
    ];
    Contents {
        request: combined(whole.into_iter().chain(organization)),
        parts: prompt_contents(dialect, &req.headers),
    }
}

/// Returns the hashes of the parts of a prompt that other requests may share, and that of the whole
/// prompt, which requests with different bodies may share.
fn prompt_contents(dialect: &dyn Dialect, headers: &HeaderMap) -> Vec<ContentHash> {
    let prompt = headers.get(&dialect.names().prompt_parts).and_then(|value| value.to_str().ok());
    let Some(prompt) = prompt else { return Vec::new() };
    let parts = dialect.shared_parts(prompt).into_iter();
    let mut contents: Vec<_> = parts.map(|id| ContentHash::of(id.as_bytes())).collect();
    contents.push(ContentHash::of(prompt.as_bytes()));
    contents
}

/// Returns what the headers of a request say about its cost.
pub(crate) fn place_cost(dialect: &dyn Dialect, route: &str, headers: &HeaderMap) -> PlaceCost {
    let size = dialect.stated_size(headers);
    let prompt = headers.get(&dialect.names().prompt_parts).and_then(|value| value.to_str().ok());
    let shared = prompt.and_then(|prompt| dialect.shared_parts(prompt).pop());
    PlaceCost {
        prompt_tokens: size.prompt_tokens,
        expected_output_tokens: size.expected_output_tokens,
        max_output_tokens: size.max_output_tokens,
        route: short_hash(route),
        prefix: shared.map_or(0, short_hash),
    }
}

fn short_hash(text: &str) -> u32 {
    ContentHash::of(text.as_bytes()).0 as u32
}

/// Returns a hash of the ids and bodies of the items of a job, by which a body that changes on its way
/// from the caller to the endpoint is noticed.
pub(crate) fn bodies_hash<'a>(items: impl IntoIterator<Item = &'a JobItem>) -> ContentHash {
    combined(
        items
            .into_iter()
            .flat_map(|item| [ContentHash::of(item.id.as_bytes()), ContentHash::of(&item.body)]),
    )
}

fn combined(hashes: impl IntoIterator<Item = ContentHash>) -> ContentHash {
    let bytes: Vec<u8> = hashes.into_iter().flat_map(|hash| hash.0.to_le_bytes()).collect();
    ContentHash::of(&bytes)
}

/// Returns the hashes as they appear in a log line.
pub(crate) fn content_list(contents: &[ContentHash]) -> String {
    let texts: Vec<String> = contents.iter().map(ToString::to_string).collect();
    texts.join(",")
}
