//! Entry daemon.

use std::error::Error;

use dogwoodtray_entry::Entry;
use dogwoodtray_entry::EntrySettings as RoleSettings;
use dogwoodtray_entry::OrganizationLimits;

use super::run::run;
use super::run::shutdown_signal;
use crate::Exit;
use crate::settings::EntrySettings;

const SECONDS_PER_MINUTE: f64 = 60.0;

/// Runs an entry until a drain, requested by a signal or through its operator port, has finished.
pub fn run_entry(settings: EntrySettings) -> Exit {
    run(|| serve(settings))
}

async fn serve(settings: EntrySettings) -> Result<(), Box<dyn Error>> {
    let entry = Entry::bind(role_settings(&settings)).await?;
    tokio::select! {
        stop = shutdown_signal() => {
            stop?;
            entry.drain();
            entry.finished().await;
        }
        () = entry.finished() => {}
    }
    Ok(())
}

fn role_settings(settings: &EntrySettings) -> RoleSettings {
    let mut role_settings = RoleSettings::new(
        settings.node.clone(),
        settings.data_centre.clone(),
        settings.listen,
        settings.peer,
        settings.admin,
        settings.platform,
    );
    role_settings.routing = settings.route_policy.into();
    role_settings.region = settings.region.clone();
    role_settings.organization_limits = OrganizationLimits {
        requests_per_s: settings.organisation_limits.requests_per_s,
        open_requests: settings.organisation_limits.open_requests,
    };
    role_settings.budget.reads_per_second = per_second(settings.platform_share.reads_per_min);
    role_settings.budget.writes_per_second = per_second(settings.platform_share.writes_per_min);
    role_settings.drain_timeout = settings.drain_timeout;
    role_settings
}

fn per_second(per_min: u32) -> f64 {
    f64::from(per_min) / SECONDS_PER_MINUTE
}
