//! Test doubles and helpers: a scripted leaf, a store, a daemon and HTTP exchanges.
#![allow(dead_code)]

pub mod daemon;
pub mod http;
pub mod leaf;
pub mod store;
