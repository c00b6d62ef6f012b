//! Directories of object files.

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

/// Errors in the files and objects of a directory.
#[derive(Debug, Default, Serialize)]
pub(super) struct ObjectErrors {
    files: Vec<FileError>,
    findings: Vec<Finding>,
}

impl ObjectErrors {
    pub(super) const fn is_empty(&self) -> bool {
        self.files.is_empty() && self.findings.is_empty()
    }

    pub(super) fn report(&self) -> Report {
        let exit = if self.is_empty() { Exit::Ok } else { Exit::Findings };
        let report = Report::new(exit, self).lines(&self.files).lines(&self.findings);
        if self.is_empty() { report } else { report.line(self) }
    }
}

impl From<Vec<Finding>> for ObjectErrors {
    fn from(findings: Vec<Finding>) -> Self {
        Self { files: Vec::new(), findings }
    }
}

impl fmt::Display for ObjectErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "errors: {}", self.files.len() + self.findings.len())
    }
}

/// Reads all `*.toml` files of a directory in the order of their names, and checks the object set.
///
/// If a file has errors, its objects are missing from the set. The set is then not checked, and
/// only the errors of the files are returned.
pub(super) fn read(dir: &Path) -> Result<(ObjectSet, ObjectErrors), Failure> {
    let mut set = ObjectSet::new();
    let mut errors = ObjectErrors::default();
    let read_error = |path: &Path, err: io::Error| {
        Failure::usage(format!("{} cannot be read: {err}", path.display()))
    };
    let paths = toml_files(dir).map_err(|err| read_error(dir, err))?;
    if paths.is_empty() {
        return Err(Failure::usage(format!("{} holds no *.toml file", dir.display())));
    }
    for path in paths {
        let text = fs::read_to_string(&path).map_err(|err| read_error(&path, err))?;
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        match parse_file(&name, &text) {
            Ok(objects) => set.append(objects),
            Err(file_errors) => errors.files.extend(file_errors),
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
