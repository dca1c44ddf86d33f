//! Crowds of misbehaving clients at single daemons, which overlap with the other faults. Whatever they do, no process
//! may end because of them, or need more memory than its machine has.

use crate::crowd::{Crowd, CrowdPlan, Misbehaviour};
use crate::deployment::Deployment;
use crate::process_usage::peak_resident_bytes;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

/// Separates these draws from those of the faults, so that a seed keeps giving the same faults.
const SEED_OFFSET: u64 = 0x6372_6f77_6473;
/// Share of a soak's faults after which a crowd comes.
const SHARE: f64 = 0.2;
/// Maximum number of crowds at a time.
const MAXIMUM_CROWDS: usize = 2;
/// Size of an answer that a crowd asks for.
const ANSWER_BYTES: usize = 512 * 1024;

/// Draws, sends and recalls the crowds of a soak.
#[derive(Debug)]
pub(crate) struct Crowds {
    random: StdRng,
    present: Vec<(Crowd, Instant)>,
    reported: BTreeSet<String>,
}

impl Crowds {
    /// Prepares the crowds of a seed.
    pub(crate) fn draw(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed.wrapping_add(SEED_OFFSET)),
            present: Vec::new(),
            reported: BTreeSet::new(),
        }
    }

    /// Sends a crowd if one is drawn now, and recalls those whose time is over. Returns a description of a new one.
    pub(crate) fn run_due(&mut self, deployment: &Deployment) -> Option<String> {
        let now = Instant::now();
        self.present.retain(|(_, end)| *end > now);
        let is_drawn = self.random.random_bool(SHARE);
        // All draws are made each time, so that the number of crowds present does not change later draws.
        let index = self.random.random::<u32>() as usize % deployment.daemons.len();
        let misbehaviour = Misbehaviour::ALL.choose(&mut self.random).copied()?;
        let clients = self.random.random_range(20..200);
        let stay = Duration::from_millis(self.random.random_range(1_000..6_000));
        let routes = &deployment.routes;
        let choices = [&routes.lookup, &routes.post, &routes.query];
        let route = choices.choose(&mut self.random).copied()?;
        if !is_drawn || self.present.len() >= MAXIMUM_CROWDS {
            return None;
        }
        let plan = CrowdPlan {
            misbehaviour,
            clients,
            body_bytes: deployment.body_bytes(),
            answer_bytes: ANSWER_BYTES,
            route: route.clone(),
        };
        let daemon = deployment.caller_addresses()[index];
        self.present.push((Crowd::start(&plan, daemon), now + stay));
        Some(format!(
            "Crowd({index}, {misbehaviour:?}, {clients} clients, {stay:?})"
        ))
    }

    /// Looks at all processes. Returns what is wrong, each once.
    pub(crate) fn check(&mut self, deployment: &mut Deployment) -> Vec<String> {
        let mut violations = Vec::new();
        for proxied in &mut deployment.daemons {
            let daemon = &mut proxied.daemon;
            let name = daemon.plan().name.clone();
            // A planned stop ends with success, and a process that was killed is not here any more.
            if let Some(status) = daemon.exit_status()
                && !status.success()
            {
                violations.push(format!("ENDED: {name} by itself: {status}"));
            }
            let memory = daemon.plan().machine.memory_bytes();
            let used = daemon
                .process_id()
                .and_then(|id| peak_resident_bytes(id).ok());
            if used.is_some_and(|used| used > memory) {
                violations.push(format!(
                    "MEMORY: {name} has needed more than {memory} bytes"
                ));
            }
        }
        violations.retain(|violation| self.reported.insert(violation.clone()));
        violations
    }

    /// Recalls all crowds.
    pub(crate) fn recall(&mut self) {
        self.present.clear();
    }
}
