//! Agent daemon.

use std::error::Error;
use std::time::Duration;

use dogwoodtray_agent::Agent;
use dogwoodtray_agent::AgentSettings as RoleSettings;
use dogwoodtray_agent::EndpointKind;

use super::run::run;
use super::run::shutdown_signal;
use crate::Exit;
use crate::settings;
use crate::settings::AgentSettings;

/// Time without a byte from an engine after which a call is aborted. An engine sends a token every
/// few dozen milliseconds.
const ENGINE_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without a byte from a plain service after which a call is aborted. A service sends its
/// whole response at once.
const SERVICE_STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs an agent until a drain, requested by a signal or through its operator port, has finished.
pub fn run_agent(settings: AgentSettings) -> Exit {
    run(|| serve(settings))
}

async fn serve(settings: AgentSettings) -> Result<(), Box<dyn Error>> {
    let agent = Agent::bind(role_settings(settings)).await?;
    tokio::select! {
        stop = shutdown_signal() => {
            stop?;
            agent.drain();
            agent.finished().await;
        }
        () = agent.finished() => {}
    }
    Ok(())
}

fn role_settings(settings: AgentSettings) -> RoleSettings {
    let (kind, stall_timeout) = match settings.endpoint_kind {
        settings::EndpointKind::Engine => (EndpointKind::Engine, ENGINE_STALL_TIMEOUT),
        settings::EndpointKind::Service => (EndpointKind::Service, SERVICE_STALL_TIMEOUT),
    };
    RoleSettings {
        node: settings.node,
        data_centre: settings.data_centre,
        peer: settings.peer,
        admin: settings.admin,
        endpoint: settings.endpoint,
        kind,
        models: settings.models,
        checks_fence: settings.endpoint_checks_fence,
        admission: settings.admission_policy.into(),
        max_places: settings.max_places,
        stall_timeout,
        drain_timeout: settings.drain_timeout,
    }
}
