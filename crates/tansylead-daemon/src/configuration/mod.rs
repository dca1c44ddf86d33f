//! Configuration in force at this daemon and where it comes from.

mod store_reader;
mod view;

pub use store_reader::{StoreReader, StoreReaderLimits};
pub use view::{ConfigurationView, PlacementKey};
