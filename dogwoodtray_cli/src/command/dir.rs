//! Directories of objects.

use std::fmt;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use dogwoodtray_config::FileError;
use dogwoodtray_config::Finding;
use dogwoodtray_config::ObjectSet;
use dogwoodtray_config::check;
use dogwoodtray_config::parse_file;
use serde::Serialize;

use super::report::Failure;
use super::report::Report;
use crate::Exit;

/// What is wrong with a directory.
#[derive(Debug, Default, Serialize)]
pub(super) struct Errors {
    files: Vec<FileError>,
    findings: Vec<Finding>,
}

impl Errors {
    pub(super) const fn is_empty(&self) -> bool {
        self.files.is_empty() && self.findings.is_empty()
    }

    pub(super) fn report(&self) -> Report {
        let exit = if self.is_empty() { Exit::Ok } else { Exit::Findings };
        let report = Report::new(exit, self).lines(&self.files).lines(&self.findings);
        if self.is_empty() { report } else { report.line(self) }
    }
}

impl From<Vec<Finding>> for Errors {
    fn from(findings: Vec<Finding>) -> Self {
        Self { files: Vec::new(), findings }
    }
}

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "errors: {}", self.files.len() + self.findings.len())
    }
}

/// Reads all `*.toml` files of a directory in order of name, and checks the set.
///
/// When files have errors, objects are missing, so only what the files say wrong is listed.
pub(super) fn read(dir: &Path) -> Result<(ObjectSet, Errors), Failure> {
    let mut set = ObjectSet::new();
    let mut errors = Errors::default();
    let unreadable = |path: &Path, err: io::Error| {
        Failure::usage(format!("{} cannot be read: {err}", path.display()))
    };
    let paths = toml_files(dir).map_err(|err| unreadable(dir, err))?;
    if paths.is_empty() {
        return Err(Failure::usage(format!("{} holds no *.toml file", dir.display())));
    }
    for path in paths {
        let text = fs::read_to_string(&path).map_err(|err| unreadable(&path, err))?;
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        match parse_file(&name, &text) {
            Ok(objects) => set.append(objects),
            Err(found) => errors.files.extend(found),
        }
    }
    if errors.files.is_empty() {
        errors.findings = check(&set);
    }
    Ok((set, errors))
}

fn toml_files(dir: &Path) -> io::Result<Vec<PathBuf>> {
    let mut paths = Vec::new();
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "toml") {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}
