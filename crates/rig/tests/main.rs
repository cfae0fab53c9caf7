//! The stand-ins keep the contract that the tests of other crates rely on.

#[cfg(test)]
mod cases;
