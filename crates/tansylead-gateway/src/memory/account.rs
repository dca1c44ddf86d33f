//! Bytes held for all callers, and their limit.

use super::charge::{Charge, HeldBytes};
use crate::settings::ResourceSettings;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tansylead_http::NoMemory;
use tansylead_route::{CallerMemoryLimits, MemoryPressure, MemoryUse};
use tokio::sync::Notify;

/// Bytes held for all callers, and their limit; clones share it.
#[derive(Debug, Clone)]
pub struct MemoryAccount {
    state: Arc<AccountState>,
}

/// Atomics, because buffers carry their charges wherever they go; one thread uses them.
#[derive(Debug)]
struct AccountState {
    total: AtomicUsize,
    used: AtomicUsize,
    short: Notify,
}

impl MemoryAccount {
    /// An account of which nothing is used.
    pub fn new(resources: &ResourceSettings) -> Self {
        Self {
            state: Arc::new(AccountState {
                total: AtomicUsize::new(resources.caller_memory_bytes()),
                used: AtomicUsize::new(0),
                short: Notify::new(),
            }),
        }
    }

    /// Applies changed settings; what is held beyond a lower limit is freed step by step.
    pub fn set_limit(&self, resources: &ResourceSettings) {
        let total = resources.caller_memory_bytes();
        self.state.total.store(total, Ordering::Relaxed);
        self.state.short.notify_one();
    }

    /// Bytes held now.
    pub fn used(&self) -> usize {
        self.state.used.load(Ordering::Relaxed)
    }

    /// The limits.
    pub fn limits(&self) -> CallerMemoryLimits {
        CallerMemoryLimits::new(self.state.total.load(Ordering::Relaxed))
    }

    /// How short memory is.
    pub fn pressure(&self) -> MemoryPressure {
        self.limits().pressure(self.used())
    }

    /// A charge of nothing, for a holder.
    pub fn charge(&self, holder: &HeldBytes) -> Charge {
        Charge::new(self.clone(), holder.clone())
    }

    /// Waits until memory may have become short.
    pub(super) async fn wait_for_shortage(&self) {
        self.state.short.notified().await;
    }

    pub(super) fn add(&self, bytes: usize, memory_use: MemoryUse) -> Result<(), NoMemory> {
        let used = self.used() + bytes;
        let limits = self.limits();
        if used > limits.limit(memory_use) {
            self.state.short.notify_one();
            return Err(NoMemory);
        }
        self.add_held(bytes);
        Ok(())
    }

    /// Adds bytes that are held already.
    pub(super) fn add_held(&self, bytes: usize) {
        self.state.used.fetch_add(bytes, Ordering::Relaxed);
        if self.pressure() > MemoryPressure::None {
            self.state.short.notify_one();
        }
    }

    pub(super) fn remove(&self, bytes: usize) {
        self.state.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}
