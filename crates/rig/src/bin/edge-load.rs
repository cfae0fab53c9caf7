//! Sends searches to one instance on the stand-in for the platform and prints the CPU time per
//! attempt.
//!
//! Arguments: path of the instance's program, number of shards, number of searches.

use std::{
    env, io,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use rig::edge::{Behaviour, Site, Upstream, route_gather};

/// Number of replicas of each shard.
const REPLICAS: usize = 2;

/// Service time of the fastest upstreams.
const SERVICE_TIME: Duration = Duration::from_millis(3);

/// Difference in service time between one upstream and the next.
const SERVICE_TIME_STEP: Duration = Duration::from_millis(2);

fn main() -> io::Result<()> {
    let args: Vec<String> = env::args().skip(1).collect();
    let [program, shards, searches] = args.as_slice() else {
        return Err(io::Error::other("usage: edge-load PROGRAM SHARDS SEARCHES"));
    };
    let number = |text: &str| text.parse::<usize>().map_err(io::Error::other);
    run(program.as_ref(), number(shards)?, number(searches)?)
}

fn run(program: &Path, shards: usize, searches: usize) -> io::Result<()> {
    let mut site = Site::new(&PathBuf::from("target/edge-load"))?;
    let names: Vec<String> = (0..shards).map(|index| format!("shard-{index}")).collect();
    let mut upstreams = Vec::new();
    for service in &names {
        for replica in 0..REPLICAS {
            // Different service times spread the replies, as with upstreams of different speeds.
            let service_time =
                SERVICE_TIME + SERVICE_TIME_STEP * u32::try_from(upstreams.len() % 16).unwrap_or(0);
            let name = format!("{service}-{replica}");
            let started = Upstream::start(&name, service, Behaviour::Replies(service_time));
            upstreams.push(started.map_err(io::Error::other)?);
        }
    }
    for upstream in &upstreams {
        site.register(upstream, "ready");
    }
    let services: Vec<&str> = names.iter().map(String::as_str).collect();
    site.configure(
        1,
        &[route_gather("/search/", &services, 0.8, 120)],
        &services,
    );
    site.start(program)?;
    let cpu_before = site.cpu_time()?;
    let start = Instant::now();
    let mut answered = 0;
    for index in 0..searches {
        let answer = site.ask("GET", "/search/2f", &format!("s{index}"), 1_200)?;
        answered += usize::from(answer.status() == 200);
    }
    let cpu_used = site.cpu_time()? - cpu_before;
    let attempts: usize = upstreams
        .iter()
        .map(|upstream| upstream.arrivals().len())
        .sum();
    println!(
        "{answered} of {searches} answered in {:.1?}; {attempts} attempts; {:.1?} of processor time an attempt",
        start.elapsed(),
        cpu_used / u32::try_from(attempts.max(1)).map_err(io::Error::other)?,
    );
    Ok(())
}
