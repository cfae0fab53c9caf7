//! Tests of client connections.
