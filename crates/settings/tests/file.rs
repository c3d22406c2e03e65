//! Settings files: every complaint at once, each with its path.

use serde_json::json;
use settings::{agent::Agent, control::Control, entry::Entry, file};

fn entry() -> serde_json::Value {
    json!({
        "place": {"vm": "entry-1", "zone": "saldanha", "region": "western-cape"},
        "secret_file": "secret",
        "control": ["127.0.0.1:7100"],
        "caller_listen": "127.0.0.1:7000",
        "status_listen": "127.0.0.1:7001",
    })
}

fn paths<T: file::Document>(value: serde_json::Value) -> Vec<String> {
    let violations = file::check::<T>(value).err().unwrap_or_default();
    let mut paths: Vec<_> = violations
        .into_iter()
        .map(|violation| violation.path)
        .collect();
    paths.sort();
    paths.dedup();
    paths
}

#[test]
fn a_good_file_is_read() {
    assert_eq!(paths::<Entry>(entry()), Vec::<String>::new());
}

#[test]
fn every_broken_rule_is_named_at_once() {
    let mut value = entry();
    value["place"]["vm"] = json!(7);
    value["colour"] = json!("red");
    value["max_feed_age_ms"] = json!(1);
    value["control"] = json!(["127.0.0.1", "nowhere"]);
    let found = paths::<Entry>(value);
    for path in [
        "$",
        "$.place.vm",
        "$.max_feed_age_ms",
        "$.control[0]",
        "$.control[1]",
    ] {
        assert!(
            found.iter().any(|p| p == path),
            "{path} is not among {found:?}"
        );
    }
}

#[test]
fn an_empty_file_names_each_missing_setting() {
    let entry = file::check::<Entry>(json!({})).unwrap_err();
    let agent = file::check::<Agent>(json!({})).unwrap_err();
    let control = file::check::<Control>(json!({})).unwrap_err();
    assert_eq!((entry.len(), agent.len(), control.len()), (5, 8, 9));
}

#[test]
fn the_example_files_are_valid() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/examples");
    for deployment in ["vaalkop", "petra"] {
        let path = |name: &str| folder.join(deployment).join(name);
        file::load::<Control>(&path("control.json")).unwrap();
        file::load::<Entry>(&path("entry.json")).unwrap();
        file::load::<Agent>(&path("agent-engine.json")).unwrap();
        file::load::<Agent>(&path("agent-service.json")).unwrap();
    }
}
