//! Requests under which leafs end.

mod leaf_ends;

pub(crate) use leaf_ends::on_lost;
