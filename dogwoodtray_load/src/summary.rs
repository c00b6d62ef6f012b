//! Plain-text summary of a report.

use std::collections::BTreeMap;
use std::fmt;

use crate::LoadReport;

impl LoadReport {
    /// Returns a human-readable summary.
    #[must_use]
    pub fn summary(&self) -> String {
        self.to_string()
    }

    fn fmt_classes(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<20}{:>10}{:>8}{:>8}{:>9}{:>7}{:>7}{:>8}{:>9}",
            "online", "offered/s", "sent", "whole", "refused", "wrong", "trunc", "failed", "tok/s"
        )?;
        for (name, class) in &self.classes {
            writeln!(
                f,
                "{name:<20}{:>10.1}{:>8}{:>8}{:>9}{:>7}{:>7}{:>8}{:>9.0}",
                class.offered_per_second,
                class.sent,
                class.whole,
                class.refused.values().sum::<u64>(),
                class.wrong,
                class.truncated,
                class.failed,
                class.tokens_per_second,
            )?;
            fmt_refused(f, &class.refused)?;
            if class.skipped > 0 {
                writeln!(f, "  not sent, too many on the way: {}", class.skipped)?;
            }
        }
        Ok(())
    }

    fn fmt_latencies(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<34}{:>9}{:>9}{:>9}{:>9}{:>9}",
            "latency in ms", "p50", "p90", "p95", "p99", "max"
        )?;
        for (name, class) in &self.classes {
            let rows = [
                ("first token", class.first_token),
                ("between tokens", class.between_tokens),
                ("total", class.total),
            ];
            for (metric, latency) in rows {
                writeln!(
                    f,
                    "{name:<20}{metric:<14}{:>9.1}{:>9.1}{:>9.1}{:>9.1}{:>9.1}",
                    latency.p50_ms, latency.p90_ms, latency.p95_ms, latency.p99_ms, latency.max_ms
                )?;
            }
        }
        Ok(())
    }

    fn fmt_jobs(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, job) in &self.jobs {
            writeln!(
                f,
                "jobs {name}: {} accepted, {} ended, {} unfinished, {} late, p50 {:.0} ms, {:.0} tok/s",
                job.accepted,
                job.ended,
                job.unfinished,
                job.late,
                job.turnaround.p50_ms,
                job.tokens_per_second,
            )?;
            let items = &job.items;
            writeln!(
                f,
                "  items: {} whole, {} failed, {} wrong, {} missing, {} duplicate, {} unknown; \
                 {} done in the window",
                items.whole,
                items.failed,
                items.wrong,
                items.missing,
                items.duplicate,
                items.unknown,
                job.done_in_window,
            )?;
            fmt_refused(f, &job.refused)?;
        }
        Ok(())
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}: seed {}, {:.1} s measured", self.label, self.seed, self.seconds)?;
        if !self.classes.is_empty() {
            self.fmt_classes(f)?;
            self.fmt_latencies(f)?;
        }
        self.fmt_jobs(f)?;
        let lag = &self.send_lag;
        writeln!(
            f,
            "send lag in ms: p50 {:.1}, p99 {:.1}, max {:.1}",
            lag.p50_ms, lag.p99_ms, lag.max_ms
        )
    }
}

fn fmt_refused(f: &mut fmt::Formatter<'_>, refused: &BTreeMap<String, u64>) -> fmt::Result {
    for (code, count) in refused {
        writeln!(f, "  refused, {code}: {count}")?;
    }
    Ok(())
}
