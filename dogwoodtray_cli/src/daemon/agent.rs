//! Agent daemon.

use std::error::Error;
use std::time::Duration;

use dogwoodtray_agent::Agent;
use dogwoodtray_agent::AgentSettings as Running;
use dogwoodtray_agent::EndpointKind;

use super::run::run;
use super::run::stop_requested;
use crate::Exit;
use crate::settings;
use crate::settings::AgentSettings;

/// Time without any byte from an engine after which an exchange is given up. An engine sends a
/// token every few dozen milliseconds.
const ENGINE_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without any byte from a plain service after which an exchange is given up. A service
/// answers as a whole.
const SERVICE_STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs an agent until it is drained by a signal or through its operator port.
pub fn run_agent(settings: AgentSettings) -> Exit {
    run(|| serve(settings))
}

async fn serve(settings: AgentSettings) -> Result<(), Box<dyn Error>> {
    let agent = Agent::bind(running(settings)).await?;
    tokio::select! {
        stop = stop_requested() => {
            stop?;
            agent.drain();
            agent.finished().await;
        }
        () = agent.finished() => {}
    }
    Ok(())
}

fn running(settings: AgentSettings) -> Running {
    let (kind, stall_timeout) = match settings.endpoint_kind {
        settings::EndpointKind::Engine => (EndpointKind::Engine, ENGINE_STALL_TIMEOUT),
        settings::EndpointKind::Service => (EndpointKind::Service, SERVICE_STALL_TIMEOUT),
    };
    Running {
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
