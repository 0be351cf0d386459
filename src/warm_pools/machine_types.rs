//! The machine types that pools name, checked before a controller opens a port.

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

/// Checks the pools against the machine types that the cloud and the state service list; the error
/// names the first field at fault.
///
/// A type that was known once does not keep a controller from starting: the cloud may have
/// dropped it since. Neither does a cloud or a state service that gives no answer: the leader
/// checks the types again once they are known.
///
/// # Errors
///
/// The first field that names an unknown machine type.
pub async fn check_machine_types(net: &Net, settings: &Settings, pools: &PoolSettings) -> Result<(), FieldError> {
    let limit = Duration::from_millis(settings.react_ms());
    let (cloud, state) = (Cloud::on(net, settings), StateStore::on(net, settings));
    let (offered, stored) =
        tokio::join!(timeout(limit, cloud.instance_types()), timeout(limit, stored_instance_types(&state)));
    let (Ok(Some(offered)), Ok(Some(stored))) = (offered, stored) else {
        tracing::warn!("the machine types of warm pools can't be checked now");
        return Ok(());
    };
    pools.check(&KnownFleet { machines: Some(names(&offered, &stored)), ..known_fleet(settings) })
}

fn names(offered: &[InstanceType], stored: &[InstanceType]) -> BTreeSet<String> {
    offered.iter().chain(stored).map(|instance_type| instance_type.name.clone()).collect()
}
