//! Test-only stand-ins, load and experiment tool, history checks.
