//! The briarcove command line and entry instance.
