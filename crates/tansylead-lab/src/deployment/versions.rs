//! Index versions that change while a deployment runs.
//!
//! A new version has its own shard list (a repartition), so an answer that mixed versions would
//! show in its shards as well as in its records.

use super::description::{PlaceDescription, ServiceGroup};
use super::plan::{FIRST_SNAPSHOT, LeafAddresses, holding, leaf_name, placement, snapshot};
use super::running::RunningDeployment;
use crate::leaf::{Holding, HoldingsRequest};
use eyre::WrapErr;
use tansylead_types::{ChangeId, ConfigObject, ObjectKey, ServiceName, SnapshotVersion};

/// Shards of a version: one more for each version after the first, so that lists differ.
fn group_at(group: &ServiceGroup, version: SnapshotVersion) -> ServiceGroup {
    let later = version.0.saturating_sub(FIRST_SNAPSHOT.0);
    ServiceGroup {
        shards: group.shards + u32::try_from(later).unwrap_or(0),
        ..group.clone()
    }
}

impl RunningDeployment {
    /// Makes the leafs of a service hold exactly these versions, in all places.
    pub async fn hold_versions(
        &self,
        service: &ServiceName,
        versions: &[SnapshotVersion],
    ) -> eyre::Result<()> {
        let group = self.group_of(service)?;
        for place in &self.plan.description.places {
            for index in 0..group.leafs_per_place {
                let holdings: eyre::Result<Vec<Holding>> = versions
                    .iter()
                    .map(|version| holding(&group_at(&group, *version), index, *version))
                    .collect();
                let request = HoldingsRequest {
                    leaf: leaf_name(service, &place.name, index)?,
                    holdings: holdings?,
                };
                let process = self.process_of(&request.leaf)?;
                process.control.set_holdings(&request).await?;
            }
        }
        Ok(())
    }

    /// Offers exactly these versions of a service to queries, in all places; returns the store's
    /// revision after the last write.
    pub async fn offer_versions(
        &self,
        service: &ServiceName,
        versions: &[SnapshotVersion],
    ) -> eyre::Result<u64> {
        let mut revision = 0;
        let group = self.group_of(service)?;
        let addresses = self.leaf_addresses().await?;
        let newest = versions.iter().max().copied().unwrap_or_default();
        for place in &self.plan.description.places {
            let object = offer(place, &group, service, versions, &addresses)?;
            let key = ObjectKey::Placement(service.clone(), place.name.clone());
            let change = ChangeId::new(format!("offer-{newest}-{}", place.name))
                .wrap_err("name a change")?;
            revision = self.store.put(&key, &change, &object).await?.revision;
        }
        Ok(revision)
    }

    /// Adds the shard lists of versions that are to be offered later to what callers check against.
    pub fn expect_versions(
        &mut self,
        service: &ServiceName,
        versions: &[SnapshotVersion],
    ) -> eyre::Result<()> {
        let group = self.group_of(service)?;
        let place = self.plan.description.places.first().cloned();
        let place = place.ok_or_else(|| eyre::eyre!("there are no places"))?;
        for version in versions {
            let group = group_at(&group, *version);
            let snapshot = snapshot(&place, &group, service, *version)?;
            self.shard_lists.add_snapshot(service, &snapshot);
        }
        Ok(())
    }

    fn group_of(&self, service: &ServiceName) -> eyre::Result<ServiceGroup> {
        let group = self.plan.description.group_of(service);
        group
            .cloned()
            .ok_or_else(|| eyre::eyre!("there is no service `{service}`"))
    }
}

fn offer(
    place: &PlaceDescription,
    group: &ServiceGroup,
    service: &ServiceName,
    versions: &[SnapshotVersion],
    addresses: &LeafAddresses,
) -> eyre::Result<ConfigObject> {
    let mut offered = placement(place, group, service, addresses)?;
    offered.snapshots.clear();
    for version in versions {
        let group = group_at(group, *version);
        offered
            .snapshots
            .push(snapshot(place, &group, service, *version)?);
    }
    Ok(ConfigObject::Placement(offered))
}
