//! Stand-in upstreams that search generated text, with realistic limits and injectable faults.

mod corpus;
mod log;
mod params;
mod serve;
mod slots;
mod state;

use std::{
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
};

use base::UpstreamName;
use compio::net::TcpListener;
use snafu::{ResultExt, Snafu};

pub use log::{Counters, Execution, Report, Served};
pub use params::{Group, Member, Params, ServiceSpec};

use crate::server::{self, Server};
use corpus::Corpus;
use state::Upstream;

/// Why a group of upstreams did not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The parameters of an upstream are invalid.
    #[snafu(display("parameters of upstream {name}: {source}"))]
    Params {
        /// The upstream.
        name: UpstreamName,
        /// The invalid field.
        source: serde_json::Error,
    },
    /// The server did not start.
    #[snafu(transparent)]
    Server {
        /// Cause.
        source: server::Error,
    },
}

/// Running upstreams; dropping the handle stops them.
pub struct Upstreams {
    names: Vec<UpstreamName>,
    server: Server,
}

impl Upstreams {
    /// Starts the upstreams of `group` on one thread.
    ///
    /// # Errors
    ///
    /// Fails when parameters are invalid or a port cannot be bound.
    pub fn spawn(group: Group) -> Result<Self, Error> {
        let mut names = Vec::new();
        for member in group.services.iter().flat_map(|s| &s.upstreams) {
            names.push(member.name.clone());
        }
        let members = params_of(&group)?;
        let server = Server::spawn(move || start(group, members))?;
        Ok(Self { names, server })
    }

    /// Returns each upstream's name and address, in the order of the group.
    pub fn addresses(&self) -> impl Iterator<Item = (&UpstreamName, SocketAddr)> {
        let addresses = self.server.addresses().iter().copied();
        self.names.iter().zip(addresses)
    }
}

/// Merges the parameters of each upstream with those of its service; one list per service.
fn params_of(group: &Group) -> Result<Vec<Vec<Params>>, Error> {
    let merge = |service: &ServiceSpec, member: &Member| {
        let merged = service.params.with(member.params.clone());
        merged.context(ParamsSnafu {
            name: member.name.clone(),
        })
    };
    let services = group.services.iter().map(|service| {
        let members = service.upstreams.iter();
        members.map(|member| merge(service, member)).collect()
    });
    services.collect()
}

async fn start(group: Group, params: Vec<Vec<Params>>) -> std::io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    for (service, params) in group.services.into_iter().zip(params) {
        let corpus = Corpus::new(&service.index, service.documents, service.seed);
        for (member, params) in service.upstreams.iter().zip(params) {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, member.port));
            let listener = TcpListener::bind(address).await?;
            addresses.push(listener.local_addr()?);
            let upstream = Upstream::new(&member.name, params, &service.index, &corpus);
            compio::runtime::spawn(server::serve(listener, Rc::new(upstream))).detach();
        }
    }
    Ok(addresses)
}
