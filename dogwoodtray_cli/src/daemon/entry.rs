//! Entry daemon.

use std::error::Error;

use dogwoodtray_entry::Entry;
use dogwoodtray_entry::EntrySettings as Running;
use dogwoodtray_entry::OrganizationLimits;

use super::run::run;
use super::run::stop_requested;
use crate::Exit;
use crate::settings::EntrySettings;

const SECONDS_PER_MINUTE: f64 = 60.0;

/// Runs an entry until it is drained by a signal or through its operator port.
pub fn run_entry(settings: EntrySettings) -> Exit {
    run(|| serve(settings))
}

async fn serve(settings: EntrySettings) -> Result<(), Box<dyn Error>> {
    let entry = Entry::bind(running(&settings)).await?;
    tokio::select! {
        stop = stop_requested() => {
            stop?;
            entry.drain();
            entry.finished().await;
        }
        () = entry.finished() => {}
    }
    Ok(())
}

fn running(settings: &EntrySettings) -> Running {
    let mut running = Running::new(
        settings.node.clone(),
        settings.data_centre.clone(),
        settings.listen,
        settings.peer,
        settings.admin,
        settings.platform,
    );
    running.routing = settings.route_policy.into();
    running.region = settings.region.clone();
    running.organization_limits = OrganizationLimits {
        requests_per_s: settings.organisation_limits.requests_per_s,
        open_requests: settings.organisation_limits.open_requests,
    };
    running.budget.reads_per_second = per_second(settings.platform_share.reads_per_min);
    running.budget.writes_per_second = per_second(settings.platform_share.writes_per_min);
    running.drain_timeout = settings.drain_timeout;
    running
}

fn per_second(per_min: u32) -> f64 {
    f64::from(per_min) / SECONDS_PER_MINUTE
}
