//! Accessors for tests.

use super::*;

impl World {
    /// Returns the current simulated time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Returns the reducer of an instance, if it is running.
    pub fn node(&self, instance: usize) -> Option<&Node> {
        self.instances[instance].node.as_ref()
    }

    /// Returns how often an upstream crashed because of a request's body.
    pub fn crash_count(&self, address: SocketAddr) -> u32 {
        self.upstreams[&address].crashes
    }

    /// Returns the maximum number of requests that an upstream processed concurrently.
    pub fn max_active(&self, address: SocketAddr) -> usize {
        self.upstreams[&address].max_active
    }

    /// Returns the number of calls to the platform, and how many of them were writes.
    pub fn platform_load(&self) -> (u64, u64) {
        (self.platform.calls, self.platform.writes)
    }

    /// Returns the total size of all writes by instances to the platform, in bytes.
    pub fn written_bytes(&self) -> u64 {
        self.platform.written_bytes
    }

    /// Returns the resources that an instance has used in all its incarnations.
    pub fn cost(&self, instance: usize) -> Cost {
        self.instances[instance].cost
    }

    /// Returns the total encoded size of all messages between instances, in bytes.
    pub fn peer_bytes(&self) -> u64 {
        self.peer_bytes
    }

    /// Returns the peer address of an instance.
    pub fn peer_address(instance: usize) -> SocketAddr {
        let low = u8::try_from(instance + 1).unwrap_or(u8::MAX);
        SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, low), PEER_PORT))
    }
}
