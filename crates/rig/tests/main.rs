//! Tests of the emulated upstreams and platform, of the history checker and of the load generator.

#[cfg(test)]
mod cases;
