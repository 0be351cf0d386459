//! Check of the machine types of warm pools, made before a controller opens a port.

use super::known_fleet;
use crate::clients::{Cloud, StateStore};
use crate::control::partition_leader::stored_instance_types;
use crate::model::InstanceType;
use crate::settings::Settings;
use crate::transport::network::Net;
use badgerdrift_warm_pools::{FieldError, KnownFleet, PoolSettings};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::timeout;

/// Checks that the machine types of the pools are listed by the cloud or stored in the state service.
///
/// A stored type that the cloud no longer lists does not prevent the start of a controller: the cloud
/// may have dropped it. Neither does a cloud or a state service without an answer: the leader checks
/// the types again once they are known.
///
/// # Errors
///
/// A field names an unknown machine type. The error is of the first such field.
pub async fn check_machine_types(net: &Net, settings: &Settings, pools: &PoolSettings) -> Result<(), FieldError> {
    let request_timeout = Duration::from_millis(settings.react_ms());
    let (cloud, state) = (Cloud::on(net, settings), StateStore::on(net, settings));
    let (offered, stored) = tokio::join!(
        timeout(request_timeout, cloud.instance_types()),
        timeout(request_timeout, stored_instance_types(&state))
    );
    let (Ok(Some(offered)), Ok(Some(stored))) = (offered, stored) else {
        tracing::warn!("machine types of warm pools not checked: the cloud or the state service gave no list");
        return Ok(());
    };
    pools.check(&KnownFleet { machines: Some(machine_type_names(&offered, &stored)), ..known_fleet(settings) })
}

/// Returns the names of the listed and the stored machine types.
fn machine_type_names(offered: &[InstanceType], stored: &[InstanceType]) -> BTreeSet<String> {
    offered.iter().chain(stored).map(|instance_type| instance_type.name.clone()).collect()
}
