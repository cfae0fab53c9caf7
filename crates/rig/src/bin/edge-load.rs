//! Sends searches to one instance on the stand-in of the platform and prints what they cost.
//!
//! Arguments: the program of the instance, shards, searches.

use std::{
    env, io,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use rig::edge::{Behaviour, Site, Upstream, route_gather};

/// Replicas of a shard.
const REPLICAS: usize = 2;

/// Time in which the quickest upstream replies.
const SERVICE_TIME: Duration = Duration::from_millis(3);

/// Time by which the next upstream is slower.
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
            // Replies come apart, as they do from upstreams of different speed.
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
