//! Configuration in force at this daemon, in the form in which it is used.

mod view;

pub use view::{ConfigurationView, PlacementKey};
