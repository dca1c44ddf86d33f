//! Faults of entire zones.

use crate::deployment::Deployment;
use crate::proxy::LinkFault;
use std::io;

impl Deployment {
    /// Power loss of a zone: stops its leafs and daemons unannounced.
    pub fn lose_zone(&mut self, zone: &str) {
        for proxied in self.leafs.iter_mut().filter(|leaf| leaf.plan.zone == zone) {
            proxied.leaf = None;
            proxied.proxy.reset();
        }
        for proxied in &mut self.daemons {
            if proxied.daemon.plan().zone == zone {
                proxied.daemon.kill();
            }
        }
    }

    /// Restores the power of a zone: restarts its daemons, and its leafs as new runs.
    pub async fn restore_zone(&mut self, zone: &str) -> io::Result<()> {
        for index in 0..self.leafs.len() {
            if self.leafs[index].plan.zone == zone {
                self.restart_leaf(index).await?;
            }
        }
        for proxied in &mut self.daemons {
            if proxied.daemon.plan().zone == zone {
                proxied.daemon.restart()?;
            }
        }
        Ok(())
    }

    /// Cuts or restores the links between a zone's leafs and all daemons, and between its daemons and
    /// the store. Callers still reach its daemons, and daemons reach each other.
    pub fn cut_zone(&self, zone: &str, is_cut: bool) {
        let fault = if is_cut {
            LinkFault::Silent
        } else {
            LinkFault::None
        };
        let leafs = self.leafs.iter().filter(|leaf| leaf.plan.zone == zone);
        let daemons = self.daemons.iter();
        let daemons = daemons.filter(|daemon| daemon.daemon.plan().zone == zone);
        let leaf_links = leafs.map(|leaf| &leaf.proxy);
        let store_links = daemons.map(|daemon| &daemon.store_link);
        for link in leaf_links.chain(store_links) {
            link.set_fault(fault);
            if !is_cut {
                link.reset();
            }
        }
    }
}
