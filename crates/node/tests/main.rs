//! Tests of the reducer.

mod search;
