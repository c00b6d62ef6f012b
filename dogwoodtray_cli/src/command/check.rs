//! `check`.

use super::dir;
use super::options::DirectoryOptions;
use super::report::Failure;
use super::report::Report;

pub(super) fn run(options: &DirectoryOptions) -> Result<Report, Failure> {
    let (set, errors) = dir::read(&options.dir)?;
    let report = errors.report();
    if errors.is_empty() {
        return Ok(report.line(format!("{} objects without errors", set.len())));
    }
    Ok(report)
}
