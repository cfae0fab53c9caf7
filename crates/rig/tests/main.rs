//! Tests of the upstream and platform stand-ins, of the history checker and of the load generator.

#[cfg(test)]
mod cases;
