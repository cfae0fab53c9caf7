//! Demonstration: a fleet on loopback and a search while one shard is unavailable.

use std::time::Duration;

use serde_json::Value;

use crate::fleet::{Error, Fleet, FleetPlan, ServicePlan, call, control};

/// Body of the search.
const QUERY: &str = r#"{"query":"harpist cardiff wedding"}"#;

/// Time after which the crashed upstream restarts, in milliseconds.
const RESTART_MS: u64 = 60_000;

/// Pause after the crash, in which instances detect that the upstream is unreachable.
const DETECTION_DELAY: Duration = Duration::from_millis(200);

/// Starts a platform, upstreams and instances in two data centres as processes, searches with all
/// shards and with one shard unavailable, and prints both answers.
///
/// # Errors
///
/// Fails when a process does not start or a request fails.
pub async fn run() -> Result<(), Error> {
    let service = ServicePlan {
        replicas: 1,
        upstreams: 6,
        shards: 6,
        documents: 600,
        ..Default::default()
    };
    let plan = FleetPlan {
        data_centres: vec![("cardiff".into(), 2), ("swansea".into(), 2)],
        services: vec![service],
        ..FleetPlan::default()
    };
    println!("starting a platform, 6 upstreams and 4 instances in 2 data centres ...");
    let fleet = Fleet::start(plan).await?;
    for instance in &fleet.instances {
        println!(
            "  instance {} serves callers on {}",
            instance.name, instance.caller_address
        );
    }
    println!("\nsearch {QUERY} at instance {}:", fleet.instances[0].name);
    print_answer(&search(&fleet).await?);
    println!("\nlosing the only replica of shard-003, then the same search:");
    if let Some(upstream) = fleet.upstream("contracts-003") {
        let change = serde_json::json!({ "restart_ms": RESTART_MS, "crash": true });
        control(upstream, &change).await?;
    }
    compio::time::sleep(DETECTION_DELAY).await;
    print_answer(&search(&fleet).await?);
    Ok(())
}

async fn search(fleet: &Fleet) -> Result<Value, Error> {
    let path = "/v1/entries/contracts-coverage/search";
    let response = call(fleet.instances[0].caller_address, "POST", path, &[], QUERY).await?;
    Ok(response.json())
}

fn print_answer(answer: &Value) {
    let coverage = &answer["coverage"];
    println!(
        "  snapshot {}, {} of {} shards answered, missing {}",
        answer["snapshot"], coverage["answered"], coverage["asked"], coverage["missing"]
    );
    for hit in answer["hits"].as_array().into_iter().flatten().take(5) {
        println!(
            "  {:>5}  {}",
            hit["score"],
            hit["text"].as_str().unwrap_or_default()
        );
    }
}
