//! An entry stands still while a version is named, and counts the time of the old version from when
//! it learns of the new one.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use stand::{APP_PORT, ENGINES, HOST, MODEL, Stage, Verdict, call, config, engine::Engine, has_trouble, order, run, serve_origin};

const SIDES: [usize; 3] = [10, 11, 12];
/// A machine of the edge that is not of the core: it has no disk.
const ENTRY: usize = 4;
/// How long the entry stands still.
const FREEZE: Duration = Duration::from_millis(3_500);
/// How long the origin of weights is down.
const OUTAGE: Duration = Duration::from_secs(6);
/// `version_ms` and `contact_ms` of the settings.
const VERSION: Duration = Duration::from_secs(8);
const CONTACT: Duration = Duration::from_secs(3);

fn main() {
    run(|stage| case(stage).unwrap_or_else(Verdict::NotRun))
}

fn case(stage: &Arc<Stage>) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let is_down = Arc::new(AtomicBool::new(false));
    serve_origin(stage, &is_down).map_err(text)?;
    let mut engines = Vec::new();
    for host in SIDES {
        engines.push(Engine::start(stage, host).map_err(text)?);
    }
    stage.start_core().map_err(text)?;
    stage.start("control", ENTRY, "").map_err(text)?;
    stage.start("entry", ENTRY, "").map_err(text)?;
    for host in SIDES {
        let extra = format!("\"app\": \"{}\", \"service\": \"{ENGINES}\",", stage.addr(host, APP_PORT));
        stage.start("agent", host, &extra).map_err(text)?;
    }
    let tenants = r#"[{"name": "tenant-one", "api_keys": ["key-one"], "priority": 1, "allowed_regions": []}]"#;
    order(stage, "/v1/Config.Replace", &config(stage, 1, tenants), Duration::from_secs(20))?;
    let begun = Instant::now();
    while ask(stage, ENTRY, &format!("early-{}", begun.elapsed().as_millis())) != Some(200) {
        if begun.elapsed() > Duration::from_secs(20) {
            return Err("no request is served".to_owned());
        }
        thread::sleep(Duration::from_millis(200));
    }
    thread::sleep(Duration::from_secs(4));

    let name = format!("entry-{ENTRY}");
    if has_trouble() {
        stage.signal(&name, "STOP");
        is_down.store(true, Ordering::Relaxed);
        stage.record.note("origin: answers nothing");
    }
    let frozen_at = Instant::now();
    thread::sleep(Duration::from_millis(200));
    let named = format!("{{\"model\": \"{MODEL}\", \"version\": 2}}");
    let named_at = order(stage, "/v1/version-put", &named, Duration::from_secs(4))?;
    thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
    if has_trouble() {
        stage.signal(&name, "CONT");
    }
    let thawed_at = Instant::now();
    let mut number = 0;
    while named_at.elapsed() < VERSION + Duration::from_secs(4) {
        if named_at.elapsed() > OUTAGE && is_down.swap(false, Ordering::Relaxed) {
            stage.record.note("origin: answers again");
        }
        number += 1;
        for entry in [ENTRY, 1] {
            ask(stage, entry, &format!("request-{number}-at-{entry}"));
        }
        thread::sleep(Duration::from_millis(30));
    }
    let late: Vec<String> = engines
        .iter()
        .flat_map(|engine| engine.ran())
        .filter(|(_, version, at)| *version == 1 && *at > named_at + VERSION && *at > thawed_at + CONTACT)
        .map(|(attempt, _, at)| format!("{attempt} began {} ms after", at.duration_since(named_at).as_millis()))
        .collect();
    Ok(match late.as_slice() {
        [] => Verdict::Held("no request began on the old version after its time".to_owned()),
        [first, ..] => Verdict::Broken(format!(
            "VERSION: {} requests began on version 1 over 8,000 ms after version 2 was acknowledged; {first}",
            late.len()
        )),
    })
}

fn ask(stage: &Stage, entry: usize, attempt: &str) -> Option<u16> {
    let headers = [
        ("Host", HOST),
        ("Api-Key", "key-one"),
        ("X-Gypsumhinge-Attempt-Id", attempt),
        ("X-Gypsumhinge-Deadline-Ms", "3000"),
        ("X-Gypsumhinge-Model", MODEL),
        ("X-Gypsumhinge-Token-Count", "100,18"),
        ("X-Gypsumhinge-Prefix-Hash", "5c1e07a2:40,91bd3f06:60"),
    ];
    let called = call(stage.front(entry), "POST", "/stream/one", &headers, b"prompt", Duration::from_secs(4));
    let status = called.ok().map(|answer| answer.status());
    stage.record.note(format!("client: {attempt} answered {status:?}"));
    status
}
