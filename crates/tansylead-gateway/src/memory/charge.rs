//! Bytes charged for one thing that is held, returned when it is dropped.

use super::account::MemoryAccount;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tansylead_http::{BodyMemory, NoMemory};
use tansylead_route::{MemoryUse, Target};

/// Bytes held for one caller's connection; clones share it.
#[derive(Debug, Clone, Default)]
pub struct HeldBytes {
    bytes: Arc<AtomicUsize>,
}

impl HeldBytes {
    /// Bytes held now.
    pub fn get(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }
}

/// Bytes charged for one thing that is held for a caller.
#[derive(Debug)]
pub struct Charge {
    account: MemoryAccount,
    holder: HeldBytes,
    bytes: usize,
}

impl Charge {
    pub(super) fn new(account: MemoryAccount, holder: HeldBytes) -> Self {
        Self {
            account,
            holder,
            bytes: 0,
        }
    }

    /// Charges `bytes` bytes in all. Nothing changes if there is no memory for them.
    pub fn set(&mut self, bytes: usize, memory_use: MemoryUse) -> Result<(), NoMemory> {
        if bytes > self.bytes {
            let more = bytes - self.bytes;
            self.account.add(more, memory_use)?;
            self.holder.bytes.fetch_add(more, Ordering::Relaxed);
        } else {
            self.release(self.bytes - bytes);
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Charges `bytes` bytes in all, whatever the limit is: they are held already.
    pub fn force(&mut self, bytes: usize) {
        if bytes > self.bytes {
            let more = bytes - self.bytes;
            self.account.add_held(more);
            self.holder.bytes.fetch_add(more, Ordering::Relaxed);
        } else {
            self.release(self.bytes - bytes);
        }
        self.bytes = bytes;
    }

    fn release(&self, bytes: usize) {
        self.account.remove(bytes);
        self.holder.bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.release(self.bytes);
    }
}

/// Memory of a request to this target, without its body and its answers, in bytes.
pub fn request_bytes(target: &Target) -> usize {
    /// Of the request with its head.
    const REQUEST_BYTES: usize = 16 * 1024;
    /// Of the call of one service.
    const CALL_BYTES: usize = 6 * 1024;
    let calls = match target {
        Target::Services(_) => 1,
        Target::Shards(set) => set.shards.len(),
    };
    REQUEST_BYTES + calls * CALL_BYTES
}

/// The charge of a body.
#[derive(Debug)]
pub struct AccountedBody {
    charge: Charge,
    large: MemoryUse,
}

impl AccountedBody {
    /// A body without bytes; `large` says what it counts as if it is not small.
    pub fn new(account: &MemoryAccount, holder: &HeldBytes, large: MemoryUse) -> Self {
        Self {
            charge: account.charge(holder),
            large,
        }
    }
}

impl BodyMemory for AccountedBody {
    fn reserve(&mut self, bytes: usize) -> Result<(), NoMemory> {
        let memory_use = MemoryUse::for_size(bytes, self.large);
        self.charge.set(bytes, memory_use)
    }
}
