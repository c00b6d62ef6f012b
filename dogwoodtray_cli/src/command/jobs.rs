//! The `jobs` subcommand.

use std::time::Duration;

use serde_json::json;

use super::options::PlatformOptions;
use super::report::Failure;
use super::report::Report;
use crate::Exit;
use crate::platform::Platform;

/// Object kind of the index of open jobs.
const OPEN_JOBS_KIND: &str = "open-jobs";

pub(super) fn run(options: &PlatformOptions) -> Result<Report, Failure> {
    let platform = Platform::open(options.platform, Duration::from_secs(options.timeout_s))?;
    let ids = platform.list(OPEN_JOBS_KIND, "")?;
    let json = json!({ "open_jobs": ids });
    Ok(Report::new(Exit::Ok, json).line(format!("open jobs: {}", ids.len())).lines(ids))
}
