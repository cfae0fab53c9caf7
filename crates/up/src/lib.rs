//! Connections to upstreams.
