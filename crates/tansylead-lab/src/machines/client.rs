//! Client of the stand-in machine list's control interface.

use super::server::{FAULTS_PATH, MachinesFaults, TRUE_MACHINES_PATH};
use crate::http::JsonClient;
use std::net::SocketAddr;
use tansylead_types::StepError;
use tansylead_types::store::{MACHINES_PATH, MachineList};

/// Sets and breaks the stand-in machine list.
#[derive(Debug, Clone)]
pub struct MachinesControl {
    http: JsonClient,
}

impl MachinesControl {
    /// A client for the machine list at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: JsonClient::new(address),
        }
    }

    /// Replaces the true list.
    pub async fn set_list(&self, list: &MachineList) -> Result<MachineList, StepError> {
        self.http.post(TRUE_MACHINES_PATH, list).await
    }

    /// Replaces the faults in force.
    pub async fn set_faults(&self, faults: &MachinesFaults) -> Result<MachinesFaults, StepError> {
        self.http.post(FAULTS_PATH, faults).await
    }

    /// The list as readers see it.
    pub async fn seen(&self) -> Result<MachineList, StepError> {
        self.http.get(MACHINES_PATH).await
    }
}
