//! The `drain` subcommand.

use serde_json::json;

use super::options::ProcessOptions;
use super::report::Failure;
use super::report::Report;
use crate::Exit;
use crate::admin;

pub(super) fn run(options: &ProcessOptions) -> Result<Report, Failure> {
    let mut lines = Vec::new();
    let mut results = Vec::new();
    let mut exit = Exit::Ok;
    for addr in &options.addrs {
        let error = admin::drain(*addr).err().map(Failure::from);
        match &error {
            None => lines.push(format!("{addr} drains")),
            Some(failure) => {
                lines.push(format!("error: {}", failure.message));
                exit = failure.exit;
            }
        }
        let error = error.map(|failure| failure.message);
        results.push(json!({ "addr": addr, "draining": error.is_none(), "error": error }));
    }
    Ok(Report::new(exit, results).lines(lines))
}
