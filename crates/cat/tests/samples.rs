//! The samples have no findings and the expected numbers of services and upstreams.

use cat::{Catalogue, Class, Settings};

const TELYN: [&str; 2] = [
    include_str!("../../../samples/telyn/catalogue.jsonc"),
    include_str!("../../../samples/telyn/settings.jsonc"),
];
const DAUGAVA: [&str; 2] = [
    include_str!("../../../samples/daugava/catalogue.jsonc"),
    include_str!("../../../samples/daugava/settings.jsonc"),
];

/// Reads the catalogue of a sample and asserts that it has no findings.
pub(crate) fn catalogue(text: &str) -> Catalogue {
    let (catalogue, warnings) = cat::catalogue::read("catalogue.jsonc", text).unwrap();
    assert!(warnings.is_empty(), "{warnings}");
    catalogue
}

/// Returns the catalogues of both samples.
pub(crate) fn catalogues() -> [Catalogue; 2] {
    [catalogue(TELYN[0]), catalogue(DAUGAVA[0])]
}

/// Returns the texts of the catalogue and the settings of both samples.
pub(crate) fn texts() -> [[&'static str; 2]; 2] {
    [TELYN, DAUGAVA]
}

fn upstreams(catalogue: &Catalogue, service: &str) -> usize {
    let service = catalogue.service(&service.parse().unwrap()).unwrap();
    service.upstreams.len()
}

fn classes(catalogue: &Catalogue) -> [bool; 3] {
    let has = |class| catalogue.entries.iter().any(|entry| entry.class == class);
    [Class::Latency, Class::Coverage, Class::Once].map(has)
}

#[test]
fn sample_catalogues_have_their_sizes() {
    let [telyn, daugava] = catalogues();
    assert_eq!((telyn.services.len(), daugava.services.len()), (52, 52));
    assert_eq!(upstreams(&telyn, "contract-store"), 13);
    assert_eq!(upstreams(&telyn, "diary"), 6);
    assert_eq!(upstreams(&daugava, "order-tracker"), 11);
    assert_eq!(upstreams(&daugava, "billing-ledger"), 5);
    assert_eq!(classes(&telyn), [true, true, true]);
    assert_eq!(classes(&daugava), [false, true, true]);
}

#[test]
fn sample_grace_covers_the_longest_deadline() {
    for [catalogue_text, settings_text] in texts() {
        let (settings, warnings): (Settings, _) =
            cat::settings::read("settings.jsonc", settings_text).unwrap();
        assert!(warnings.is_empty(), "{warnings}");
        let catalogue = catalogue(catalogue_text);
        let deadlines = catalogue.entries.iter().map(|entry| entry.limits.deadline);
        assert!(deadlines.max().unwrap() < settings.shutdown.grace);
        assert_eq!(settings.log.format, cat::settings::Format::Json);
    }
}
