//! Bench `catalogue`: parses the catalogue and compiles it for the request path.

use cat::Catalogue;
use node::directory::Directory;

use super::{
    meter::{cpu_timed, micros},
    scale::Scale,
    sweep::Sweep,
};

/// Sweeps the entries of one service and the upstreams of several services.
pub(super) fn run() {
    let columns = ["KB", "ms to read", "ms to compile", "is accepted"];
    let mut entries = Sweep::new("catalogue, entries", "entries", &columns);
    for count in [10, 100, 1_000, 2_000, 4_000, 10_000] {
        let scale = Scale {
            entries: count,
            upstreams: 10,
            shards: 10,
            ..Scale::default()
        };
        entries.add(count, &measure(scale));
    }
    entries.finish();
    let mut upstreams = Sweep::new("catalogue, upstreams", "upstreams", &columns);
    for services in [1, 2, 6, 12, 16, 54, 162] {
        let scale = Scale {
            services,
            ..Scale::default()
        };
        upstreams.add(services * scale.upstreams, &measure(scale));
    }
    upstreams.finish();
}

fn measure(scale: Scale) -> [f64; 4] {
    let document = scale.catalogue().to_json();
    let (read, reading) = cpu_timed(|| Catalogue::from_json(&document));
    // A document above the size limit is rejected, so it is compiled without being parsed.
    let is_read = read.is_ok();
    let catalogue = read.unwrap_or_else(|_| scale.catalogue());
    let indexes: Vec<_> = (0..scale.services).map(|s| scale.index(s)).collect();
    let find = |name: &base::ServiceName| indexes.iter().find(|i| i.service == *name);
    let mut directory = Directory::default();
    let (_, compiling) = cpu_timed(|| directory.rebuild(&catalogue, find));
    [
        document.len() as f64 / 1e3,
        micros(reading) / 1e3,
        micros(compiling) / 1e3,
        f64::from(u8::from(is_read)),
    ]
}
