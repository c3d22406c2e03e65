//! A machine stands still after its agent has read back what is staged and before the agent orders
//! the engine to load it.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use stand::{HOST, MODEL, Stage, Verdict, call, config, engine::Engine, has_trouble, order, run, serve_origin};

const SIDES: [usize; 3] = [10, 11, 12];
/// How long the machine stands still; the site's days hold freezes of machines beside runners of 4 s.
const FREEZE: Duration = Duration::from_millis(4_000);
/// When chunks turn bad after the freeze began.
const ROT_AFTER: Duration = Duration::from_millis(300);
/// 3 of 48 chunks: the site's days spoil 0.06 of them.
const SPOILT: [usize; 3] = [3, 17, 40];

fn main() {
    run(|stage| case(stage).unwrap_or_else(Verdict::NotRun))
}

fn case(stage: &Arc<Stage>) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    serve_origin(stage, &Arc::default()).map_err(text)?;
    let mut engines = Vec::new();
    for host in SIDES {
        engines.push(Engine::start(stage, host).map_err(text)?);
    }
    stage.start_core().map_err(text)?;
    for host in SIDES {
        let extra = format!("\"app\": \"{}\", \"service\": \"{}\",", stage.addr(host, stand::APP_PORT), stand::ENGINES);
        stage.start("agent", host, &extra).map_err(text)?;
    }
    let tenants = r#"[{"name": "tenant-one", "api_keys": ["key-one"], "priority": 1, "allowed_regions": []}]"#;
    order(stage, "/v1/Config.Replace", &config(stage, 1, tenants), Duration::from_secs(20))?;
    wait(20, "no request is served", || ask(stage, 0, "before").is_some())?;
    thread::sleep(Duration::from_secs(5));

    let named = format!("{{\"model\": \"{MODEL}\", \"version\": 2}}");
    order(stage, "/v1/version-put", &named, Duration::from_secs(4))?;
    let (victim, host) = (&engines[0], SIDES[0]);
    wait(15, "the chunks were not read back", || victim.is_read_back(2))?;
    stage.record.note(format!("engine {}: version 2 is staged, and was read back", victim.runner.id));
    if has_trouble() {
        let agent = format!("agent-{host}");
        stage.signal(&agent, "STOP");
        victim.freeze(true);
        thread::sleep(ROT_AFTER);
        victim.rot(&SPOILT);
        thread::sleep(FREEZE - ROT_AFTER);
        victim.freeze(false);
        stage.signal(&agent, "CONT");
    }
    let is_moved = || engines.iter().all(|engine| engine.serving() == Some(2));
    wait(20, "not every engine serves version 2", is_moved)?;
    let has_run = |engine: &Arc<Engine>| engine.has_run(2);
    for number in 0..90 {
        ask(stage, number, &format!("after-{number}"));
        if number > 30 && engines.iter().all(has_run) {
            break;
        }
    }
    if !has_run(victim) {
        return Err("no request reached the engine".to_owned());
    }
    let broken: Vec<String> = engines.iter().flat_map(|engine| engine.broken()).collect();
    Ok(match broken.first() {
        Some(first) => Verdict::Broken(format!("WHOLE: {} requests, the first: {first}", broken.len())),
        None => Verdict::Held("every token was made on whole layers".to_owned()),
    })
}

/// Sends one request, and says what came back.
fn ask(stage: &Stage, turn: usize, id: &str) -> Option<u16> {
    let attempt = format!("attempt-{id}");
    let headers = [
        ("Host", HOST),
        ("Api-Key", "key-one"),
        ("X-Gypsumhinge-Attempt-Id", attempt.as_str()),
        ("X-Gypsumhinge-Deadline-Ms", "3000"),
        ("X-Gypsumhinge-Model", MODEL),
        ("X-Gypsumhinge-Token-Count", "100,18"),
        ("X-Gypsumhinge-Prefix-Hash", "5c1e07a2:40,91bd3f06:60"),
    ];
    let front = stage.front(1 + turn % 3);
    let called = call(front, "POST", "/stream/one", &headers, b"prompt", Duration::from_secs(4));
    let status = called.ok().map(|answer| answer.status());
    stage.record.note(format!("client: {attempt} answered {status:?}"));
    if status != Some(200) {
        thread::sleep(Duration::from_millis(200));
    }
    status.filter(|status| *status == 200)
}

fn wait(seconds: u64, what: &str, is_so: impl Fn() -> bool) -> Result<(), String> {
    let begun = Instant::now();
    while !is_so() {
        if begun.elapsed() > Duration::from_secs(seconds) {
            return Err(what.to_owned());
        }
        thread::sleep(Duration::from_millis(2));
    }
    Ok(())
}
