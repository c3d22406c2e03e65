//! Calls of each kind reach an upstream and come back whole.

#![allow(clippy::unwrap_used)]

mod common;

use common::{agent::Agent, caller, control::Fake, entry};
use domain::call::Outcome;
use http::{Method, StatusCode};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_kind_of_call_comes_back_whole() {
    let control = Fake::new();
    let engine = Agent::new("engine-1").await;
    let service = Agent::new("service-1").await.with_ledger(&control);
    control.add_engine("engine-1", "saldanha", engine.addr);
    control.add_service("service-1", "saldanha", service.addr);
    let entry = entry(&control).await;

    let whole = caller::chat(entry.addr, false).await;
    assert_eq!(whole.status, StatusCode::OK, "{whole:?}");
    assert!(whole.body.contains("tide@2"), "{whole:?}");
    let stream = caller::chat(entry.addr, true).await;
    assert_eq!(
        stream.tokens(),
        (vec![1, 2, 3, 4, 5, 6], true),
        "{stream:?}"
    );
    let lookup = caller::lookup(entry.addr).await;
    assert_eq!(lookup.status, StatusCode::CREATED);
    let booked = caller::book(entry.addr, "hold-1", "{}").await;
    assert_eq!(booked.status, StatusCode::CREATED);
    let again = caller::book(entry.addr, "hold-1", "{}").await;
    assert_eq!(again.body, booked.body);
    assert_eq!(again.headers["x-gypsum-replay"], "true");
    for got in [&whole, &stream, &lookup, &booked, &again] {
        assert_eq!(got.headers["cache-control"], "no-store");
        assert!(got.headers.contains_key("x-request-id"));
        assert!(!got.headers.contains_key("x-gypsum-attempt"));
    }
    assert_eq!(service.runs().len(), 2);
    let listed = caller::request(Method::GET, "/v1/models", "");
    let listed = caller::send(entry.addr, listed).await;
    assert_eq!(listed.body, r#"{"data":[{"id":"tide","version":"2"}]}"#);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_the_plan_lacks_is_refused_and_not_run() {
    let control = Fake::new();
    let engine = Agent::new("engine-1").await;
    control.add_engine("engine-1", "saldanha", engine.addr);
    let entry = entry(&control).await;
    let post = |path: &str, body: &str| caller::request(Method::POST, path, body.to_owned());
    let body = |model: &str| format!(r#"{{"model":"{model}","messages":[]}}"#);
    let chat = "/v1/chat/completions";
    let mut stranger = post(chat, &body("tide"));
    stranger
        .headers_mut()
        .insert("authorization", "Bearer other".parse().unwrap());
    let mut nobody = post(chat, &body("tide"));
    nobody.headers_mut().remove("authorization");
    let cases = [
        ("another model", post(chat, &body("reef")), 403),
        ("another version", post(chat, &body("tide@7")), 403),
        (
            "another adapter",
            post(chat, r#"{"model":"tide","adapter":"x","messages":[]}"#),
            403,
        ),
        ("another service", post("/v1/services/extras/x", ""), 403),
        ("no such key", stranger, 401),
        ("no key", nobody, 401),
        ("no JSON", post(chat, "{"), 400),
        ("a large body", post(chat, &" ".repeat(65 * 1024)), 413),
        ("another path", post("/v1/other", ""), 404),
        (
            "another method",
            caller::request(Method::GET, chat, ""),
            405,
        ),
        (
            "a service that nobody serves",
            post("/v1/services/booking/holds", ""),
            503,
        ),
    ];
    for (name, request, status) in cases {
        let got = caller::send(entry.addr, request).await;
        assert_eq!(got.status.as_u16(), status, "{name}: {got:?}");
        assert_eq!(got.outcome(), Outcome::NotRun, "{name}");
        assert_eq!(
            got.headers["content-type"], "application/problem+json",
            "{name}"
        );
        assert_eq!(got.headers["cache-control"], "no-store", "{name}");
        assert_eq!(
            got.headers.contains_key("retry-after"),
            status == 503,
            "{name}"
        );
    }
    assert_eq!(engine.calls(), 0);
}
