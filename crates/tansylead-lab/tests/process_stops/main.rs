//! Real daemons that stop, are killed or frozen, under load with posts. One test program, so that
//! its tests run side by side.

#[path = "../common/mod.rs"]
mod common;
mod planned_stop;
mod posts;
