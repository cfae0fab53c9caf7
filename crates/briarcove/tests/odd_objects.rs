//! Objects of all kinds but upstreams that no instance or operator has written.

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use bytes::Bytes;
use rig::edge::{Behaviour, Site, Upstream, route_one};
use serde_json::{Value, json};

use crate::{
    edge::start_site,
    odd_entries::{LEVELS, restart, served},
};

/// Returns values that no instance or operator writes.
fn odd_values() -> [Bytes; 5] {
    let nested = ["[".repeat(LEVELS), "]".repeat(LEVELS)].concat();
    [
        Bytes::from(nested),
        "1e999".into(),
        "\"\\ud800\"".into(),
        Bytes::from_static(b"\"\xff\""),
        "{}".into(),
    ]
}

/// Returns how many instances one counts, itself included.
fn instances(site: &Site) -> u64 {
    let address = site.operator_address();
    let mut stream = TcpStream::connect(address).unwrap();
    let request = "GET /v1/status HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).unwrap();
    let (_, body) = reply.split_once("\r\n\r\n").unwrap();
    let status: Value = serde_json::from_str(body).unwrap();
    status["instances"].as_u64().unwrap()
}

/// Objects of the other kinds that instances read.
#[test]
fn odd_objects_of_any_kind_keep_no_instance_from_serving() {
    let (mut site, upstreams) = start_site("odd_kinds");
    let fast = Behaviour::Replies(Duration::from_millis(2));
    let mut remote = Upstream::start("desk-3", "desk", fast).unwrap();
    remote.data_centre = "there";
    site.register(&remote, "ready");
    site.has_evacuations = true;
    for (at, value) in odd_values().into_iter().enumerate() {
        for kind in [
            "config",
            "evacuations",
            "briarcove-quarantine",
            "briarcove-instances",
        ] {
            for name in ["odd", "odd&+#% ", "+0f"] {
                site.store
                    .put_bytes(kind, &format!("{name}-{at}"), value.clone());
            }
        }
    }
    site.store.set_page_size(1);
    restart(&mut site).unwrap();
    assert_eq!(served(&site, "k1"), 12);
    // Changes among more odd objects.
    site.store.put_bytes("config", "odd-0", "1e998".into());
    let routes = [
        route_one("/status/", "desk", true),
        route_one("/new/", "desk", true),
    ];
    site.configure(2, &routes, &["desk"]);
    site.store.put_bytes("evacuations", "odd-0", "1e998".into());
    site.store.put("evacuations", "here", json!({}));
    thread::sleep(Duration::from_millis(2_500));
    assert_eq!(
        site.ask("GET", "/new/1", "k2", 1_500).unwrap().status(),
        200
    );
    let metrics = site.metrics().unwrap();
    let evacuated = format!("briarcove_evacuated_upstreams {}", upstreams.len());
    assert!(metrics.contains(&evacuated), "{metrics}");
    // An evacuation is in force whatever its content is.
    site.store.put_bytes("evacuations", "here", "1e999".into());
    restart(&mut site).unwrap();
    assert!(site.metrics().unwrap().contains(&evacuated));
}

/// The configuration in force stays when the next one cannot be read.
#[test]
fn a_configuration_that_cannot_be_read_changes_nothing() {
    let (site, _upstreams) = start_site("odd_config");
    for (at, value) in odd_values().into_iter().enumerate() {
        site.store.put_bytes("config", "main", value);
        thread::sleep(Duration::from_millis(1_200));
        assert_eq!(served(&site, &format!("c{at}")), 12);
    }
    site.configure(2, &[route_one("/new/", "desk", true)], &["desk"]);
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!(site.ask("GET", "/new/1", "c", 1_500).unwrap().status(), 200);
}

/// Shares of limits and budgets are computed from all records.
#[test]
fn an_odd_record_of_an_instance_counts_for_none() {
    let (mut site, _upstreams) = start_site("odd_records");
    let record = |port: usize, power: &str| {
        let address = format!("127.0.0.1:{}", 99 + port);
        let text = format!(r#"{{"dataCentre":"here","address":"{address}","power":{power}}}"#);
        Bytes::from(text)
    };
    let powers = ["-1", "-0.1", "1e300", "1e999", "\"1\"", "null", "[[1]]"];
    for (at, power) in powers.into_iter().enumerate() {
        let name = format!("odd-{at}");
        site.store
            .put_bytes("briarcove-instances", &name, record(at, power));
    }
    for (at, value) in odd_values().into_iter().enumerate() {
        site.store
            .put_bytes("briarcove-instances", &format!("value-{at}"), value);
    }
    // The instance has its own record by then.
    thread::sleep(Duration::from_millis(2_500));
    restart(&mut site).unwrap();
    thread::sleep(Duration::from_millis(500));
    assert_eq!(instances(&site), 1);
    assert_eq!(served(&site, "r"), 12);
}

/// One odd key of one organisation kept the callers of all from being served after a restart.
#[test]
fn an_odd_key_takes_nothing_from_other_organisations() {
    let (mut site, _upstreams) = start_site("odd_key");
    for odd in odd_values() {
        let services = json!([{"name": "desk", "healthPath": "/health", "maxConns": 50}]);
        let tenants = json!([{"name": "odd", "apiKeys": ["key-2", "<odd>"]},
            {"name": "acme", "apiKeys": ["key-1"]}]);
        let routes = [route_one("/status/", "desk", true)];
        let spec = json!({"version": 2, "routes": routes, "services": services, "limits": {},
            "tenants": tenants});
        let spec = spec.to_string();
        let (before, after) = spec.split_once("\"<odd>\"").unwrap();
        let spec = [before.as_bytes(), &odd, after.as_bytes()].concat();
        site.store.put_bytes("config", "main", spec.into());
        site.key = Some("key-1");
        restart(&mut site).unwrap();
        assert_eq!(served(&site, "acme"), 12);
        site.key = Some("key-2");
        assert_eq!(served(&site, "odd"), 12);
        site.key = Some("key-3");
        let refused = site.ask("GET", "/status/1", "none", 1_500).unwrap();
        // 503 while the instance may not have the newest configuration.
        assert!([401, 503].contains(&refused.status().as_u16()));
    }
}
