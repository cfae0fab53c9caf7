//! Homes: the regions that may get a request.
//!
//! Load pattern: requests of some routes or organisations must stay within the regions that they
//! name, while their callers connect to instances in any region, and all instances know the
//! upstreams of all regions.

use base::{DataCentre, RegionName};

use crate::{
    call::Call,
    event::Protocol,
    handover::{Instance, ProtocolLevel},
    settings::Settings,
};

/// The regions that a route and an organisation allow; both bind.
#[derive(Clone, Copy, Debug)]
pub struct Homes<'a> {
    regions: &'a [(DataCentre, RegionName)],
    /// The lists that bind.
    allowed: [Option<&'a [RegionName]>; 2],
}

impl<'a> Homes<'a> {
    /// Creates the filter of a request from the region of each data centre and the regions that the
    /// route and the organisation name.
    pub fn new(
        regions: &'a [(DataCentre, RegionName)],
        route: Option<&'a [RegionName]>,
        organisation: Option<&'a [RegionName]>,
    ) -> Self {
        Self {
            regions,
            allowed: [route, organisation],
        }
    }

    /// Returns the filter of a call.
    pub(crate) fn of<C: Protocol>(settings: &'a Settings, call: &'a Call<C>) -> Self {
        let route = call.config.route(call.route).regions.as_deref();
        let organisations = &call.config.organisations;
        let name = call.organisation.as_ref();
        let organisation = name.and_then(|name| organisations.by_name(name));
        let homes = organisation.and_then(|it| it.homes.as_deref());
        Self::new(&settings.regions, route, homes)
    }

    /// Returns whether upstreams of a data centre may be used. One whose region is not known is
    /// outside all homes.
    pub fn allows(&self, data_centre: &DataCentre) -> bool {
        let mut lists = self.allowed.iter().flatten().peekable();
        if lists.peek().is_none() {
            return true;
        }
        let Some(region) = self.region(data_centre.as_str()) else {
            return false;
        };
        lists.all(|allowed| allowed.contains(region))
    }

    /// Returns whether the request may be handed to an instance: one in a home or in the region of
    /// the data centre `own`, whose build keeps to homes.
    pub fn allows_instance(&self, instance: &Instance, own: &str) -> bool {
        if self.allowed.iter().all(Option::is_none) {
            return true;
        }
        let data_centre = &instance.data_centre;
        let own_region = self.region(own);
        let is_near = data_centre.as_str() == own
            || own_region.is_some() && self.region(data_centre.as_str()) == own_region;
        instance.protocol >= ProtocolLevel::ORGANISATIONS && (is_near || self.allows(data_centre))
    }

    fn region(&self, data_centre: &str) -> Option<&'a RegionName> {
        let mut regions = self.regions.iter();
        let found = regions.find(|(known, _)| known.as_str() == data_centre);
        found.map(|(_, region)| region)
    }
}
