//! A stand-in for the platform, and catalogue files to apply to it.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process,
    sync::atomic::{AtomicU32, Ordering},
};

use bytes::Bytes;
use cat::Head;
use node::Kind;
use plat::{Client, Settings};
use rig::{platform, server::Server};

use crate::command::{Run, briarcove};

static NEXT_FILE: AtomicU32 = AtomicU32::new(0);

/// A running stand-in for the platform.
pub(crate) struct Bench {
    server: Server,
}

impl Bench {
    pub(crate) fn start() -> Self {
        let server = platform::spawn(platform::Config::default()).unwrap();
        Self { server }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.server.addresses()[0]
    }

    /// Applies a catalogue in which the entry `find-act` has these limits.
    pub(crate) fn apply(&self, limits: &str) -> Run {
        apply(self.address(), limits)
    }

    pub(crate) fn audit(&self, words: &[&str]) -> Run {
        let address = self.address().to_string();
        briarcove(&[&["audit", "--platform", &address], words].concat())
    }

    /// Reads an object directly from the platform, without a proxy.
    pub(crate) fn object(&self, kind: Kind, name: &str) -> Option<Bytes> {
        let settings = Settings::new(self.address());
        let runtime = compio::runtime::Runtime::new().unwrap();
        let object =
            runtime.block_on(async { Client::new(settings).unwrap().read(kind, name).await });
        object.unwrap().map(|object| object.value)
    }

    pub(crate) fn head(&self) -> Head {
        Head::from_json(&self.object(Kind::Catalogue, "head").unwrap()).unwrap()
    }
}

pub(crate) fn apply(platform: SocketAddr, limits: &str) -> Run {
    let (file, platform) = (catalogue(limits), platform.to_string());
    briarcove(&["apply", "--platform", &platform, file.to_str().unwrap()])
}

/// Writes a catalogue in which the entry `find-act` has these limits, and returns its path.
pub(crate) fn catalogue(limits: &str) -> PathBuf {
    let text = format!(
        r#"{{
  "services": {{ "diary": {{ "slots": 3, "connections": 230, "upstreams": {{
    "diary-1": {{ "address": "10.0.0.1:8080", "data_centre": "cardiff" }},
    "diary-2": {{ "address": "10.0.0.2:8080", "data_centre": "cardiff" }},
  }} }} }},
  "entries": {{
    // The limits differ between operators.
    "find-act": {{ "service": "diary", "owner": "bookings", "class": "latency", "limits": {{ {limits} }} }},
  }},
}}"#
    );
    file(&text)
}

/// Writes a new file and returns its path.
pub(crate) fn file(text: &str) -> PathBuf {
    let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    let name = format!("{}-{number}.jsonc", process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}
