//! Default values of the settings.

use std::time::Duration;

use cat::{
    Settings,
    settings::{Peers, Platform},
};

const MINIMAL: &str = include_str!("fixtures/settings/valid/minimal.jsonc");

#[test]
fn absent_keys_have_the_defaults_of_their_section() {
    let (read, _) = cat::settings::read("minimal.jsonc", MINIMAL).unwrap();
    let default = Settings::new("entry-1".parse().unwrap(), "cardiff".parse().unwrap());
    let expected = Settings {
        callers: cat::settings::Callers {
            listen: "10.0.0.1:8080".parse().unwrap(),
            ..default.callers
        },
        peers: Peers {
            listen: "10.0.0.1:7400".parse().unwrap(),
            ..default.peers
        },
        platform: Platform {
            address: "10.0.0.9:7500".parse().unwrap(),
            ..default.platform
        },
        ..default
    };
    assert_eq!(read, expected);
    assert_eq!(read.peers.heartbeat, Duration::from_millis(200));
    assert_eq!(read.platform.watchers, 3);
    assert_eq!(read.shutdown.grace, Duration::from_secs(10));
}
