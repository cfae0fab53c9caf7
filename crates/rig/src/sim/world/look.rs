//! What a test can see of the world.

use super::*;

impl World {
    /// Returns the present time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Returns a running instance's reducer.
    pub fn node(&self, instance: usize) -> Option<&Node> {
        self.instances[instance].node.as_ref()
    }

    /// Returns how many times an upstream broke.
    pub fn crash_count(&self, address: SocketAddr) -> u32 {
        self.upstreams[&address].broken
    }

    /// Returns the most requests that an upstream worked on at once.
    pub fn max_active(&self, address: SocketAddr) -> usize {
        self.upstreams[&address].max_active
    }

    /// Returns how many calls and writes the platform took.
    pub fn platform_load(&self) -> (u64, u64) {
        (self.platform.calls, self.platform.writes)
    }

    /// Returns the size of all objects that instances wrote to the platform.
    pub fn written_bytes(&self) -> u64 {
        self.platform.written_bytes
    }

    /// Returns what an instance has used in all its lives.
    pub fn cost(&self, instance: usize) -> Cost {
        self.instances[instance].cost
    }

    /// Returns the encoded size of all messages between instances.
    pub fn peer_bytes(&self) -> u64 {
        self.peer_bytes
    }

    /// Returns the peer address of an instance.
    pub fn peer_address(instance: usize) -> SocketAddr {
        let low = u8::try_from(instance + 1).unwrap_or(u8::MAX);
        SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, low), PEER_PORT))
    }
}
