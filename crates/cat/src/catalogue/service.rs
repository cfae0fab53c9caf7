//! Reader of the services of a catalogue and their upstreams.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    ops::RangeInclusive,
};

use base::ServiceName;

use crate::{
    model::{Service, Upstream},
    read::{Cursor, Fields, Member, Reader, quote},
};

/// Allowed number of requests that one upstream processes at once.
pub const SLOTS_RANGE: RangeInclusive<u32> = 1..=10_000;
/// Allowed number of connections to one upstream.
pub const CONNECTIONS_RANGE: RangeInclusive<u32> = 1..=65_535;

/// Names and addresses that the document has declared so far, across all services.
#[derive(Default)]
pub(super) struct Declared<'r> {
    /// Whether the document has an object of services, so that unknown services can be reported.
    pub(super) readable: bool,
    services: BTreeMap<&'r str, DeclaredService>,
    used: HashSet<&'r str>,
    /// Byte offset of the declaration of each upstream.
    upstreams: HashMap<&'r str, usize>,
    /// Byte offset of the declaration of each address.
    addresses: HashMap<SocketAddr, usize>,
}

/// A service that the document declares, valid or not.
struct DeclaredService {
    offset: usize,
    upstreams: Option<usize>,
}

impl<'r> Declared<'r> {
    /// Returns whether a service is declared.
    pub(super) fn has_service(&self, name: &str) -> bool {
        self.services.contains_key(name)
    }

    /// Returns the names of all services.
    pub(super) fn service_names(&self) -> impl Iterator<Item = &'r str> {
        self.services.keys().copied()
    }

    /// Returns the number of upstreams of a service, unless the service is unknown or invalid.
    pub(super) fn upstream_count(&self, service: &ServiceName) -> Option<usize> {
        self.services.get(service.as_str())?.upstreams
    }

    /// Records that an entry names the service or misspells its name.
    pub(super) fn mark_used(&mut self, service: &'r str) {
        self.used.insert(service);
    }

    /// Reports services that no entry names.
    pub(super) fn report_unused(&self, reader: &Reader<'_>) {
        for (name, service) in &self.services {
            if !self.used.contains(name) {
                let message = format!("no entry names the service {}", quote(name));
                reader.warning(service.offset, message, None);
            }
        }
    }
}

/// Reads one service.
pub(super) fn read<'r>(member: &Member<'r>, declared: &mut Declared<'r>) -> Option<Service> {
    let name = member.parse_name();
    let fields = member.value.fields(&["slots", "connections", "upstreams"]);
    let upstreams = fields.as_ref().and_then(|f| f.require("upstreams"));
    let members = upstreams.and_then(|value| value.members());
    let service = DeclaredService {
        offset: member.offset,
        upstreams: members.as_ref().map(Vec::len),
    };
    declared.services.insert(member.name, service);

    let fields = fields?;
    let (slots, connections) = read_capacity(&fields);
    let members = members?;
    if members.is_empty() {
        let message = format!("the service {} has no upstreams", quote(member.name));
        fields.at("upstreams").error(message);
    }
    let read: Vec<_> = members.iter().map(|m| read_upstream(m, declared)).collect();
    let mut upstreams = read.into_iter().collect::<Option<Vec<Upstream>>>()?;
    upstreams.sort_by(|a, b| a.name.cmp(&b.name));
    Some(Service {
        name: name?,
        slots: slots?,
        connections: connections?,
        upstreams,
    })
}

fn read_capacity(fields: &Fields<'_>) -> (Option<u32>, Option<u32>) {
    let slots = fields
        .require("slots")
        .and_then(|v| v.number_in(&SLOTS_RANGE));
    let connections = fields
        .require("connections")
        .and_then(|v| v.number_in(&CONNECTIONS_RANGE));
    if let (Some(slots), Some(connections)) = (slots, connections)
        && slots > connections
    {
        fields.at("slots").error_hint(
            format!(
                "{slots} slots need as many connections, but an upstream accepts {connections}"
            ),
            "raise connections or lower slots",
        );
    }
    (slots, connections)
}

fn read_upstream<'r>(member: &Member<'r>, declared: &mut Declared<'r>) -> Option<Upstream> {
    let name = member.parse_name();
    check_unique_name(member, declared);
    let fields = member.value.fields(&["address", "data_centre"])?;
    let address = fields
        .require("address")
        .and_then(|v| read_address(&v, declared));
    let data_centre = fields.require("data_centre").and_then(|v| v.scalar());
    Some(Upstream {
        name: name?,
        address: address?,
        data_centre: data_centre?,
    })
}

/// Reports a name that an upstream of another service has.
///
/// Duplicates within one service are reported by [`Cursor::members`].
fn check_unique_name<'r>(member: &Member<'r>, declared: &mut Declared<'r>) {
    let reader = member.value.reader();
    match declared.upstreams.get(member.name) {
        Some(&first) => {
            let message = format!("the upstream {} is declared twice", quote(member.name));
            reader.error(member.offset, message, reader.first_at(first));
        }
        None => {
            declared.upstreams.insert(member.name, member.offset);
        }
    }
}

fn read_address(value: &Cursor<'_>, declared: &mut Declared<'_>) -> Option<SocketAddr> {
    let address: SocketAddr = value.scalar()?;
    if address.port() == 0 || address.ip().is_unspecified() {
        value.error(format!("{address} can't be connected to"));
    }
    match declared.addresses.get(&address) {
        Some(&first) => {
            let reader = value.reader();
            let message = format!("the address {address} belongs to two upstreams");
            reader.error(value.offset(), message, reader.first_at(first));
        }
        None => {
            declared.addresses.insert(address, value.offset());
        }
    }
    Some(address)
}
