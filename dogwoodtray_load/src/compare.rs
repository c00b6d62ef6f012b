//! Comparison of runs.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::ClassReport;
use crate::LoadReport;

/// Comparison of several runs. The first run is the baseline.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadComparison {
    /// Runs in the order in which they were passed.
    pub runs: Vec<LoadReport>,
}

/// Creates a comparison of runs. The first run is the baseline.
///
/// Runs with the same label and different loads form one curve in charts.
#[must_use]
pub fn compare(runs: impl IntoIterator<Item = LoadReport>) -> LoadComparison {
    LoadComparison { runs: runs.into_iter().collect() }
}

impl LoadComparison {
    /// Returns a human-readable summary.
    #[must_use]
    pub fn summary(&self) -> String {
        self.to_string()
    }

    /// Returns the report as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        // Maps with string keys and finite numbers can always be serialized as JSON.
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    /// Returns the sorted names of the classes of all runs.
    pub(crate) fn class_names(&self) -> Vec<&str> {
        let mut names: Vec<&str> =
            self.runs.iter().flat_map(|run| run.classes.keys().map(String::as_str)).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Returns the labels in order of first appearance.
    pub(crate) fn labels(&self) -> Vec<&str> {
        let mut labels = Vec::new();
        for run in &self.runs {
            if !labels.contains(&run.label.as_str()) {
                labels.push(&run.label);
            }
        }
        labels
    }

    /// Returns the points of offered load and first-token p99 in ms, by label.
    pub(crate) fn curves(&self, class: &str) -> BTreeMap<&str, Vec<(f64, f64)>> {
        let mut curves: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
        for run in &self.runs {
            if let Some(report) = run.classes.get(class) {
                let point = (run.offered_per_second(), report.first_token.p99_ms);
                curves.entry(&run.label).or_default().push(point);
            }
        }
        for points in curves.values_mut() {
            points.sort_by(|a, b| a.0.total_cmp(&b.0));
        }
        curves
    }

    fn fmt_class(&self, f: &mut fmt::Formatter<'_>, name: &str) -> fmt::Result {
        writeln!(
            f,
            "{name:<24}{:>10}{:>8}{:>12}{:>7}{:>12}{:>7}{:>9}{:>7}",
            "offered/s", "whole", "first p99", "ratio", "total p99", "ratio", "tok/s", "ratio"
        )?;
        let mut baseline: Option<&ClassReport> = None;
        for run in &self.runs {
            let Some(class) = run.classes.get(name) else {
                continue;
            };
            let base = *baseline.get_or_insert(class);
            writeln!(
                f,
                "  {:<22}{:>10.1}{:>8}{:>12.1}{:>7}{:>12.1}{:>7}{:>9.0}{:>7}",
                run.label,
                run.offered_per_second(),
                class.whole,
                class.first_token.p99_ms,
                format_ratio(class.first_token.p99_ms, base.first_token.p99_ms),
                class.total.p99_ms,
                format_ratio(class.total.p99_ms, base.total.p99_ms),
                class.tokens_per_second,
                format_ratio(class.tokens_per_second, base.tokens_per_second),
            )?;
        }
        Ok(())
    }

    fn fmt_jobs(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut baselines = BTreeMap::new();
        for run in &self.runs {
            for (name, job) in &run.jobs {
                let base = *baselines.entry(name).or_insert(job.tokens_per_second);
                writeln!(
                    f,
                    "jobs {name}, {}: {} ended, {} unfinished, {:.0} tok/s, ratio {}",
                    run.label,
                    job.ended,
                    job.unfinished,
                    job.tokens_per_second,
                    format_ratio(job.tokens_per_second, base),
                )?;
            }
        }
        Ok(())
    }
}

impl fmt::Display for LoadComparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for name in self.class_names() {
            self.fmt_class(f, name)?;
        }
        self.fmt_jobs(f)
    }
}

/// Formats the ratio of a value to its baseline, or a dash if the baseline is not positive.
fn format_ratio(value: f64, base: f64) -> String {
    if base > 0.0 { format!("{:.2}", value / base) } else { "-".to_owned() }
}
