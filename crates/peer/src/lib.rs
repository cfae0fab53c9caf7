//! Transport of messages between instances.
