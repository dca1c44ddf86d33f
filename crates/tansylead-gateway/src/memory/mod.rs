//! The account of the memory that is held for callers. There is one for the process.

mod account;
mod charge;
mod relief;

pub use account::MemoryAccount;
pub use charge::{AccountedBody, Charge, HeldBytes, request_bytes};
pub(crate) use relief::relieve;
