//! Tests of the settings file.

#![allow(clippy::unwrap_used)]

mod support;

use baobabfall_node::settings::parse_settings;
use baobabfall_router::RouterSettings;
use std::path::Path;

fn settings(from: &str, to: &str) -> Result<RouterSettings, String> {
    let folder = tempfile::TempDir::new().unwrap();
    let address = "127.0.0.1:7400".parse().unwrap();
    let text = support::settings_text(folder.path(), &[address], "attempts = 3");
    assert!(text.contains(from), "{from} is not in the settings");
    parse_settings(Path::new("router.toml"), &text.replace(from, to))
        .map_err(|error| error.to_string())
}

/// Guards against settings that pass although the router cannot work with
/// them, and against an error that does not name its key.
#[test]
fn check_faulty_settings_name_their_key() {
    assert!(settings("attempts = 3", "attempts = 3").is_ok());
    let cases = [
        ("zone = \"a\"\n", "", "zone"),
        ("name = \"router-1\"", "name = \"Router 1\"", "node.name"),
        (
            "[fleet]\nlisten = \"127.0.0.1:0\"",
            "[fleet]\nlisten = \"127.0.0.1:7400\"",
            "controllers.addresses",
        ),
        ("[\"127.0.0.1:7400\"]", "[]", "controllers.addresses"),
        (
            "[\"127.0.0.1:7400\"]",
            "[\"127.0.0.1:7400\", \"127.0.0.1:7400\"]",
            "controllers.addresses",
        ),
        ("attempts = 3", "attempts = 0", "limits.attempts"),
        ("attempts = 3", "connections = 0", "limits.connections"),
        ("attempts = 3", "request_size = \"2GiB\"", "limits.request_size"),
        ("attempts = 3", "queue_wait = \"0s\"", "limits.queue_wait"),
        ("attempts = 3", "deadline = \"2h\"", "limits.deadline"),
        ("attempts = 3", "claim_time = \"10s\"", "limits.claim_time"),
        ("attempts = 3", "stop_running = \"0s\"", "limits.stop_running"),
        ("attempts = 3", "caller_gap = \"1s\"", "limits.caller_gap"),
        ("attempts = 3", "patience = 3", "patience"),
        ("POST /decisions", "GET /decisions", "service.protected"),
        ("GET /status/*", "GET /st*tus", "service.idempotent"),
        ("GET /status/*", "POST /decisions", "service.protected"),
    ];
    for (from, to, key) in cases {
        let error = settings(from, to).unwrap_err();
        assert!(error.contains("router.toml:") && error.contains(key), "{key}: {error}");
    }
    let both = "listen = \"127.0.0.1:7500\"";
    let error = settings("listen = \"127.0.0.1:0\"", both).unwrap_err();
    assert!(error.contains("fleet.listen"), "{error}");
}

/// Guards against a pattern that protects or frees more than it says.
#[test]
fn service_patterns_match_method_and_path() {
    let settings = settings("attempts = 3", "attempts = 3").unwrap();
    let service = settings.service("cases").unwrap();
    assert!(service.is_idempotent("GET", "/status/7") && !service.is_idempotent("GET", "/status"));
    assert!(!service.is_idempotent("POST", "/status/7"));
    assert!(service.is_protected("POST", "/decisions"));
    assert!(!service.is_protected("POST", "/decisions/7"), "the pattern has no trailing *");
    assert!(settings.service("none").is_none());
}
