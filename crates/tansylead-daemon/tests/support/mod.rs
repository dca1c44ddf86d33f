//! Small peers for tests: a leaf that follows a script, byte by byte, and a store.
#![allow(dead_code)]

pub mod daemon;
pub mod http;
pub mod leaf;
pub mod store;
