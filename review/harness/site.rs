//! Configuration of a small deployment, and what its clients send.

use std::net::SocketAddr;
use std::time::Duration;

use crate::http;
use crate::json::Json;
use crate::json::quote;
use crate::record::Record;

/// Path prefix of the batch route.
pub const BATCH_PREFIX: &str = "/pule252/";

/// Path prefix of the route for streams that may be resumed.
pub const STREAM_PREFIX: &str = "/lohu930/";

/// Returns a configuration with a batch route and a route for streams to a service.
pub fn config(version: u64, batch_service: &str, services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!("{{\"name\":\"{name}\",\"health-path\":\"/health\",\"max-conns\":180,\"protocol\":\"h1\",\"tls\":false}}")
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-lots\",\"host\":\"lots.example\",\"path-prefix\":\"{BATCH_PREFIX}\",\"route-kind\":\"batch\",\"timeout-ms\":15000,\"latency-goal-ms\":400,\"priority\":2,\"service\":\"{batch_service}\",\"max-attempts\":3,\"completion-target-ms\":18000,\"retention-s\":60,\"sticky\":true}},{{\"name\":\"r-check\",\"host\":\"lots.example\",\"path-prefix\":\"{STREAM_PREFIX}\",\"route-kind\":\"streaming\",\"timeout-ms\":5000,\"latency-goal-ms\":300,\"priority\":0,\"service\":\"{batch_service}\",\"max-attempts\":2,\"resumable\":true,\"gap-target-ms\":400,\"sticky\":true}}],\"services\":[{}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
        services.join(",")
    )
}

/// Returns the body that submits a batch job with items of these ids and prompts.
fn submission(items: &[(String, String)]) -> String {
    let items: Vec<String> = items
        .iter()
        .map(|(id, prompt)| {
            format!(
                "{{\"id\":{},\"path\":\"{BATCH_PREFIX}3/{id}\",\"headers\":{{\"Model\":\"m\",\"Token-Counts\":\"350,163\",\"Prompt-Prefix\":{}}},\"body\":\"q83vEjRWeJA=\",\"tokens\":513}}",
                quote(id),
                quote(prompt)
            )
        })
        .collect();
    format!("{{\"items\":[{}]}}", items.join(","))
}

/// Submits a batch job once, with a prompt of its own for each item. Returns the status.
pub fn submit(record: &Record, gateway: SocketAddr, job: &str, items: &[String]) -> u16 {
    let items: Vec<(String, String)> =
        items.iter().map(|id| (id.clone(), format!("{id}:350"))).collect();
    submit_prompts(record, gateway, job, &items)
}

/// Submits a batch job once. Returns the status.
pub fn submit_prompts(
    record: &Record,
    gateway: SocketAddr,
    job: &str,
    items: &[(String, String)],
) -> u16 {
    record.add(format!("client POST batch job {job} with {} items to {gateway}", items.len()));
    let headers = format!("Attempt-Id: {job}\r\nContent-Type: application/json\r\n");
    let path = format!("{BATCH_PREFIX}{job}");
    let limit = Duration::from_secs(4);
    let response = http::call(gateway, "POST", &path, &headers, &submission(items), limit);
    let status = http::status(&response);
    record.add(format!("client batch job {job}: {status}"));
    status
}

/// Result of an item as a page lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub id: String,
    pub state: String,
    pub output: String,
}

/// Reads results from a position on. Returns `None` if the answer is not a page.
pub fn read(record: &Record, gateway: SocketAddr, job: &str, after: usize) -> Option<Vec<Listed>> {
    let path = format!("/api/lots/{job}?after={after}");
    let limit = Duration::from_millis(2_500);
    let response = http::call(gateway, "GET", &path, "Wait-Ms: 1000\r\n", "", limit);
    let status = http::status(&response);
    let page = response.ok().filter(|_| status == 200).and_then(|r| Json::parse(&r.text()));
    let Some(page) = page else {
        record.add(format!("client GET {path}: {status}"));
        return None;
    };
    let field = |result: &Json, name: &str| result.get(name).text().unwrap_or_default().to_owned();
    let listed: Vec<Listed> = page
        .get("results")
        .list()
        .iter()
        .map(|result| Listed {
            id: field(result, "id"),
            state: field(result, "state"),
            output: field(result, "output"),
        })
        .collect();
    let names: Vec<String> = listed.iter().map(|l| format!("{} {}", l.id, l.state)).collect();
    record.add(format!(
        "client GET {path}: 200, total {}, results [{}]",
        page.get("total"),
        names.join(", ")
    ));
    Some(listed)
}

/// Ends a batch job. Returns the status.
pub fn end(record: &Record, gateway: SocketAddr, job: &str) -> u16 {
    let response =
        http::call(gateway, "DELETE", &format!("/api/lots/{job}"), "", "", Duration::from_secs(5));
    let status = http::status(&response);
    record.add(format!("client DELETE batch job {job}: {status}"));
    status
}

/// Sends a request for a stream once. Returns the status.
pub fn stream(record: &Record, gateway: SocketAddr, id: &str, prompt: &str) -> u16 {
    record.add(format!("client POST stream {id}, prompt {prompt}, to {gateway}"));
    let headers = format!(
        "Attempt-Id: {id}\r\nModel: m\r\nToken-Counts: 450,10\r\nPrompt-Prefix: {prompt}\r\nDeadline-Ms: 5000\r\n"
    );
    let path = format!("{STREAM_PREFIX}{id}");
    let response = http::call(gateway, "POST", &path, &headers, "slip", Duration::from_secs(6));
    let status = http::status(&response);
    let retry_after =
        response.as_ref().ok().and_then(|r| r.header("retry-after")).unwrap_or("none");
    record.add(format!("client stream {id}: {status}, retry-after {retry_after}"));
    status
}
