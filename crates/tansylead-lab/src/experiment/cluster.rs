//! The deployment of one run, and what faults do to it. Started fresh, ended when dropped.

use crate::caller::ShardLists;
use crate::deployment::plan::{FIRST_SNAPSHOT, LeafAddresses, leaf_name};
use crate::deployment::running::{RunningDeployment, StartOptions};
use crate::experiment::file::{Scenario, Shape, Variant};
use crate::experiment::shape::{self, SECOND_SNAPSHOT};
use crate::experiment::usage;
use crate::leaf::{HoldingsRequest, LeafCounters, LeafFaults};
use crate::process::Programs;
use crate::store::{StoreFaults, seed_objects};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_types::{ConfigObject, LeafId, ObjectKey, PlaceName, SnapshotVersion, TrafficTable};

/// Time allowed for a daemon to end after SIGTERM.
const STOP_LIMIT: Duration = Duration::from_secs(30);

/// Everything that runs during one run.
pub struct Cluster {
    /// The processes.
    pub deployment: RunningDeployment,
    leaf_addresses: LeafAddresses,
    retired_cpu: Duration,
}

impl Cluster {
    /// Starts everything and returns once all daemons are ready.
    pub async fn start(
        shape: &Shape,
        scenario: &Scenario,
        variant: Variant,
        seed: u64,
    ) -> eyre::Result<Self> {
        let plan = shape::deployment_plan(shape, scenario, seed)?;
        let programs = Programs::beside_current()?.with_daemon_variant(variant.name());
        let options = StartOptions {
            execution_log: false,
            ..StartOptions::new(programs)
        };
        let mut deployment = RunningDeployment::start(plan, options).await?;
        let leafs = deployment.leaf_statuses().await?.into_iter();
        Ok(Self {
            leaf_addresses: leafs.map(|leaf| (leaf.leaf, leaf.address)).collect(),
            deployment,
            retired_cpu: Duration::ZERO,
        })
    }

    /// Addresses for callers, by place.
    pub fn caller_addresses(&self) -> BTreeMap<PlaceName, Vec<SocketAddr>> {
        let mut addresses: BTreeMap<PlaceName, Vec<SocketAddr>> = BTreeMap::new();
        for daemon in &self.deployment.daemons {
            let place = daemon.settings.place.clone();
            addresses
                .entry(place)
                .or_default()
                .push(daemon.caller_address());
        }
        addresses
    }

    /// Addresses of all leafs.
    pub fn leaf_addresses(&self) -> &LeafAddresses {
        &self.leaf_addresses
    }

    /// Shard lists of both versions, for the checks of answers.
    pub fn shard_lists(&self) -> eyre::Result<ShardLists> {
        let objects = self.placements(&[FIRST_SNAPSHOT, SECOND_SNAPSHOT])?;
        Ok(ShardLists::from_objects(
            objects.iter().map(|(_, object)| object),
        ))
    }

    fn placements(
        &self,
        versions: &[SnapshotVersion],
    ) -> eyre::Result<Vec<(ObjectKey, ConfigObject)>> {
        let description = &self.deployment.plan.description;
        shape::placements(description, &self.leaf_addresses, versions)
    }

    /// Replaces the faults of the store.
    pub async fn set_store_faults(&self, faults: &StoreFaults) -> eyre::Result<()> {
        self.deployment.store.set_faults(faults).await?;
        Ok(())
    }

    /// Puts faults on the first leaf of every service in the first place.
    pub async fn break_first_leafs(&self, faults: &LeafFaults) -> eyre::Result<()> {
        for leaf in self.leafs(|place, index| place == 0 && index == 0)? {
            self.deployment
                .set_leaf_faults(&leaf.name, faults.clone())
                .await?;
        }
        Ok(())
    }

    /// Makes chosen leafs hold exactly these versions.
    pub async fn set_holdings(
        &self,
        versions: &[SnapshotVersion],
        is_chosen: impl Fn(u32) -> bool,
    ) -> eyre::Result<()> {
        let groups = &self.deployment.plan.description.services;
        for leaf in self.leafs(|_, index| is_chosen(index))? {
            let control = &self.deployment.process_of(&leaf.name)?.control;
            let request = HoldingsRequest {
                holdings: shape::holdings(&groups[leaf.group], leaf.index, versions)?,
                leaf: leaf.name,
            };
            control.set_holdings(&request).await?;
        }
        Ok(())
    }

    /// Leafs chosen by the number of their place and their own number in it.
    fn leafs(&self, is_chosen: impl Fn(usize, u32) -> bool) -> eyre::Result<Vec<ChosenLeaf>> {
        let description = &self.deployment.plan.description;
        let mut chosen = Vec::new();
        for (place_index, place) in description.places.iter().enumerate() {
            for (group_index, group) in description.services.iter().enumerate() {
                for index in 0..group.leafs_per_place {
                    if is_chosen(place_index, index) {
                        chosen.push(ChosenLeaf {
                            name: leaf_name(&group.names[0], &place.name, index)?,
                            group: group_index,
                            index,
                        });
                    }
                }
            }
        }
        Ok(chosen)
    }

    /// Offers the given versions in every placement.
    pub async fn publish_versions(&self, versions: &[SnapshotVersion]) -> eyre::Result<()> {
        seed_objects(&self.deployment.store, &self.placements(versions)?).await?;
        Ok(())
    }

    /// Puts another table in the store.
    pub async fn publish_table(&self, table: TrafficTable) -> eyre::Result<()> {
        let object = (ObjectKey::Table, ConfigObject::Table(table));
        seed_objects(&self.deployment.store, &[object]).await?;
        Ok(())
    }

    /// Stops and restarts all daemons, one of each place at a time.
    pub async fn restart_in_turn(&mut self, daemons_per_place: usize) -> eyre::Result<()> {
        for turn in 0..daemons_per_place {
            let chosen: Vec<usize> = (0..self.deployment.daemons.len())
                .filter(|index| index % daemons_per_place == turn)
                .collect();
            for index in &chosen {
                let daemon = &mut self.deployment.daemons[*index];
                self.retired_cpu += usage::process_cpu(daemon.process.id())?;
                daemon.process.terminate()?;
            }
            for index in &chosen {
                let daemon = &mut self.deployment.daemons[*index];
                let ended = daemon.process.wait(STOP_LIMIT).await?;
                eyre::ensure!(
                    ended.is_some(),
                    "daemon {} still runs {STOP_LIMIT:?} after SIGTERM",
                    daemon.name
                );
                daemon.start_again(&self.deployment.programs)?;
            }
            self.deployment.wait_all_ready().await?;
        }
        Ok(())
    }

    /// Counters of all leafs together.
    pub async fn leaf_counters(&mut self) -> eyre::Result<LeafCounters> {
        let mut sum = LeafCounters::default();
        for leaf in self.deployment.leaf_statuses().await? {
            sum.add(&leaf.counters);
        }
        Ok(sum)
    }

    /// Processor time of all daemons so far, also of those that were restarted, up to their stop.
    pub fn daemon_cpu(&self) -> eyre::Result<Duration> {
        let mut sum = self.retired_cpu;
        for daemon in &self.deployment.daemons {
            sum += usage::process_cpu(daemon.process.id())?;
        }
        Ok(sum)
    }

    /// Resident memory of the largest daemon, in bytes.
    pub fn largest_resident_bytes(&self) -> eyre::Result<u64> {
        let mut largest = 0;
        for daemon in &self.deployment.daemons {
            largest = largest.max(usage::resident_bytes(daemon.process.id())?);
        }
        Ok(largest)
    }
}

struct ChosenLeaf {
    name: LeafId,
    group: usize,
    index: u32,
}
