//! List of VMs.

use dogwoodtray_coord::Name;
use serde::Deserialize;
use serde::Serialize;

/// Role of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// The VM runs an entry.
    Entry,
    /// The VM runs an endpoint with its agent.
    Agent,
}

/// State of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// Entry of the list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: Name,
    /// Role of the VM.
    pub role: VmRole,
    /// IP address and port for links.
    pub addr: Name,
    /// Data centre in which the VM is located.
    pub data_centre: Name,
    /// State of the VM.
    pub state: VmState,
}

impl Vm {
    /// Creates a live VM.
    #[must_use]
    pub fn live(
        name: impl Into<Name>,
        role: VmRole,
        addr: impl Into<Name>,
        data_centre: impl Into<Name>,
    ) -> Self {
        Self {
            name: name.into(),
            role,
            addr: addr.into(),
            data_centre: data_centre.into(),
            state: VmState::Live,
        }
    }
}
