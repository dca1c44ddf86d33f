//! Real processes in which something fails. One test program, so that its tests run side by side.

#[path = "../common/mod.rs"]
mod common;
mod leafs;
mod snapshots;
mod table;
mod whole_path;
