//! Cache of the ranked judges of each service, valid until the members change.

use crate::cluster::ClusterView;
use std::collections::HashMap;
use std::rc::Rc;
use tansylead_types::{NodeId, ServiceName};

/// Ranked judges of the services that were looked up.
#[derive(Debug)]
pub struct RankedJudges {
    view: Rc<ClusterView>,
    /// Version of the members that the other fields were computed from.
    members_version: Option<u64>,
    members: Rc<[NodeId]>,
    judges: HashMap<ServiceName, Rc<[NodeId]>>,
}

impl RankedJudges {
    /// An empty cache.
    pub fn new(view: Rc<ClusterView>) -> Self {
        Self {
            view,
            members_version: None,
            members: Rc::new([]),
            judges: HashMap::new(),
        }
    }

    /// The members that run, this daemon included.
    pub fn members(&mut self) -> Rc<[NodeId]> {
        self.refresh();
        Rc::clone(&self.members)
    }

    /// The judges of a service, best first. None before this daemon has joined the others: it would rank
    /// itself among too few.
    pub fn judges(&mut self, service: &ServiceName) -> Rc<[NodeId]> {
        if !self.view.is_joined() {
            return Rc::new([]);
        }
        self.refresh();
        if let Some(judges) = self.judges.get(service) {
            return Rc::clone(judges);
        }
        let judges: Rc<[NodeId]> = self.view.judges(service).into();
        self.judges.insert(service.clone(), Rc::clone(&judges));
        judges
    }

    /// Rank of a daemon among the judges of a service, 0 is the best; `None` if it is no judge.
    pub fn rank(&mut self, service: &ServiceName, node: NodeId) -> Option<usize> {
        let judges = self.judges(service);
        judges.iter().position(|judge| *judge == node)
    }

    fn refresh(&mut self) {
        let version = self.view.members_version();
        if self.members_version == Some(version) {
            return;
        }
        self.members_version = Some(version);
        self.members = self.view.member_nodes().into();
        self.judges.clear();
    }
}
