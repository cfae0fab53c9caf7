//! Settings of an instance, with one module per section.

mod callers;
mod log;
mod peers;
mod platform;
mod shutdown;

use std::net::SocketAddr;

use base::{DataCentre, InstanceName};

pub use callers::{CONNECTIONS_RANGE, Callers, MAX_BODY_RANGE};
pub use log::{Format, Level, Log};
pub use peers::{BUDGET_RANGE, HEARTBEAT_RANGE, Peers, REMOVE_AFTER_RANGE, SUSPECT_AFTER_RANGE};
pub use platform::{Platform, TIMEOUT_RANGE, WATCH_WAIT_RANGE, WATCHERS_RANGE};
pub use shutdown::{GRACE_RANGE, Shutdown};

use crate::{
    findings::Findings,
    read::{Cursor, Fields, Reader},
};

/// Settings of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the instance, unique among its peers.
    pub instance: InstanceName,
    /// Data centre that the instance is in.
    pub data_centre: DataCentre,
    /// Connections of callers and operators.
    pub callers: Callers,
    /// Communication between the instances of the data centre.
    pub peers: Peers,
    /// Access to the platform.
    pub platform: Platform,
    /// Graceful shutdown.
    pub shutdown: Shutdown,
    /// Log output.
    pub log: Log,
}

impl Settings {
    /// Creates the settings of an instance with default values in every section.
    pub fn new(instance: InstanceName, data_centre: DataCentre) -> Self {
        Self {
            instance,
            data_centre,
            callers: Callers::default(),
            peers: Peers::default(),
            platform: Platform::default(),
            shutdown: Shutdown::default(),
            log: Log::default(),
        }
    }
}

/// Reads settings from JSON with comments; `file` names the document in findings.
///
/// The findings of valid settings are warnings.
///
/// # Errors
///
/// Returns all findings, warnings included, if at least one of them is an error.
pub fn read(file: &str, text: &str) -> Result<(Settings, Findings), Findings> {
    let reader = Reader::new(file, text);
    let value = reader.parse();
    let root = value.as_ref().map(|value| Cursor::root(&reader, value));
    let settings = root.and_then(read_settings);
    drop(value);
    reader.finish(settings)
}

fn read_settings(root: Cursor<'_>) -> Option<Settings> {
    let fields = root.fields(&[
        "instance",
        "data_centre",
        "callers",
        "peers",
        "platform",
        "shutdown",
        "log",
    ])?;
    let instance = fields.require("instance").and_then(|v| v.scalar());
    let data_centre = fields.require("data_centre").and_then(|v| v.scalar());
    let callers = fields.require("callers").and_then(callers::read);
    let peers = fields.require("peers").and_then(peers::read);
    let platform = fields.require("platform").and_then(platform::read);
    let shutdown = fields.read_or("shutdown", Shutdown::default(), shutdown::read);
    let log = fields.read_or("log", Log::default(), log::read);
    check_listeners(&fields);
    Some(Settings {
        instance: instance?,
        data_centre: data_centre?,
        callers: callers?,
        peers: peers?,
        platform: platform?,
        shutdown: shutdown?,
        log: log?,
    })
}

/// Reports two listeners that use the same port.
fn check_listeners(fields: &Fields<'_>) {
    let listen_of = |section| {
        let listen = fields.get(section)?.get("listen")?;
        Some((listen, listen.as_text()?.parse::<SocketAddr>().ok()?))
    };
    let (Some((_, a)), Some((at, b))) = (listen_of("callers"), listen_of("peers")) else {
        return;
    };
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    if same_ip && a.port() == b.port() && a.port() != 0 {
        at.error_hint(
            format!("callers and peers both listen on port {}", a.port()),
            "give peers a port of their own",
        );
    }
}

/// Reads an address to listen on.
fn read_listen(value: Cursor<'_>) -> Option<SocketAddr> {
    let address: SocketAddr = value.scalar()?;
    if address.port() == 0 {
        value.warning_hint(
            "port 0 takes any free port, another one at each start",
            "name a port",
        );
    }
    Some(address)
}

/// Reads an address to connect to.
fn read_remote(value: Cursor<'_>) -> Option<SocketAddr> {
    let address: SocketAddr = value.scalar()?;
    if address.port() == 0 || address.ip().is_unspecified() {
        value.error(format!("{address} can't be connected to"));
        return None;
    }
    Some(address)
}
