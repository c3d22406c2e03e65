//! The way of a call when nothing is wrong.

#![allow(clippy::unwrap_used)]

mod common;

use common::{Agent, Call, Version, engine_settings, service_settings};
use domain::{call::Outcome, header};
use fakes::{
    engine::{self, Engine, text},
    service::{self, Service},
};
use http::StatusCode;

async fn engine() -> Engine {
    let config = engine::Config::default();
    Engine::start("127.51.1.1:0".parse().unwrap(), config)
        .await
        .unwrap()
}

async fn service() -> Service {
    let config = service::Config::default();
    Service::start("127.51.1.2:0".parse().unwrap(), config)
        .await
        .unwrap()
}

#[tokio::test]
async fn a_model_answers_in_one_piece_and_as_a_stream() {
    let engine = engine().await;
    let agent = Agent::start(engine_settings(engine.addr())).await;
    let version = Version::new("sand", "3");
    agent.serve(&version).await;
    let client = agent.client().await;
    let expected = text::answer("sand@3", None, "tides?", 5);

    let whole = client.send(Call::model(7, &version.id, "tides?", 5)).await;
    assert_eq!(whole.status, StatusCode::OK);
    assert_eq!(whole.json()["choices"][0]["message"]["content"], expected);
    assert_eq!(whole.json()["model"], "sand@3");
    assert_eq!(whole.headers[header::ATTEMPT], format!("{:032x}", 7));
    assert_eq!(whole.headers["cache-control"], "no-store");

    let stream = client.send(Call::stream(8, &version.id, "tides?", 5)).await;
    assert!(stream.text().ends_with("data: [DONE]\n\n"));
    assert_eq!(stream.text().matches("\"position\"").count(), 5);

    let resumed = Call::stream(9, &version.id, "tides?", 5).with_header(header::RESUME_FROM, "3");
    let resumed = client.send(resumed).await;
    assert_eq!(resumed.text().matches("\"position\"").count(), 2);
    assert_eq!(engine.stats().completed, 3);
}

#[tokio::test]
async fn a_service_answers_look_ups_and_calls_that_may_not_be_repeated() {
    let service = service().await;
    let agent = Agent::start(service_settings(service.addr())).await;
    agent.wait_alive().await;
    let client = agent.client().await;

    let found = client.send(Call::look_up(1)).await;
    assert_eq!(found.json()["path"], "/holds/7");
    assert_eq!(found.json()["query"], "full=yes");

    let held = client.send(Call::hold(2, "key-1")).await;
    assert_eq!(held.json()["runs"], 1);
    let again = client.send(Call::hold(3, "key-1")).await;
    assert_eq!(again.headers[header::REPLAY], "true");
    assert_eq!(again.json(), held.json());
    assert_eq!(service.runs()["key-1"], 1);

    let other = Call::hold(4, "key-1").with_body("berth 8");
    let other = client.send(other).await;
    assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(other.problem().outcome, Outcome::NotRun);
    assert_eq!(service.runs()["key-1"], 1);
}

#[tokio::test]
async fn a_wrong_secret_is_refused() {
    let service = service().await;
    let agent = Agent::start(service_settings(service.addr())).await;
    let client = agent.client().await;
    for secret in ["", "Bearer ", "Bearer open-sesamE", "open-sesame"] {
        let call = Call::look_up(1).with_header("authorization", secret);
        assert_eq!(client.send(call).await.status, StatusCode::UNAUTHORIZED);
    }
    assert!(service.attempts().is_empty());
}
