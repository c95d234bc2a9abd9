//! Tests of the settings file.

#![allow(clippy::unwrap_used)]

mod support;

use baobabfall_node::settings::parse_settings;
use baobabfall_router::RouterSettings;
use std::path::Path;

/// Parses valid settings in which `from` is replaced by `to`.
fn parse_changed(from: &str, to: &str) -> Result<RouterSettings, String> {
    let folder = tempfile::TempDir::new().unwrap();
    let address = "127.0.0.1:7400".parse().unwrap();
    let text = support::settings_text(folder.path(), &[address], "attempts = 3");
    assert!(text.contains(from), "the settings do not contain {from}");
    parse_settings(Path::new("router.toml"), &text.replace(from, to))
        .map_err(|error| error.to_string())
}

/// Guards against invalid settings that are accepted, and against an error message that does not
/// name the file and the key at fault.
#[test]
fn check_invalid_settings_name_their_key() {
    assert!(parse_changed("attempts = 3", "attempts = 3").is_ok());
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
        let error = parse_changed(from, to).unwrap_err();
        assert!(error.contains("router.toml:") && error.contains(key), "{key}: {error}");
    }
    let same_address = "listen = \"127.0.0.1:7500\"";
    let error = parse_changed("listen = \"127.0.0.1:0\"", same_address).unwrap_err();
    assert!(error.contains("fleet.listen"), "{error}");
}

/// Guards against a pattern that marks other methods or paths as protected or idempotent than
/// those it names.
#[test]
fn service_patterns_match_method_and_path() {
    let settings = parse_changed("attempts = 3", "attempts = 3").unwrap();
    let service = settings.service("cases").unwrap();
    assert!(service.is_idempotent("GET", "/status/7") && !service.is_idempotent("GET", "/status"));
    assert!(!service.is_idempotent("POST", "/status/7"));
    assert!(service.is_protected("POST", "/decisions"));
    assert!(
        !service.is_protected("POST", "/decisions/7"),
        "without a trailing * only the exact path matches"
    );
    assert!(settings.service("none").is_none());
}
