//! Open-loop load.
