//! The operator takes every key away with a configuration whose list of tenants is empty.

use std::{sync::Arc, thread, time::Duration};

use stand::{HOST, Stage, Verdict, call, config, desk::Desk, has_trouble, order, run};

/// `revoke_ms` of the settings.
const REVOKE: Duration = Duration::from_millis(5_000);

fn main() {
    run(|stage| case(stage).unwrap_or_else(Verdict::NotRun))
}

fn case(stage: &Arc<Stage>) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let mut desks = Vec::new();
    for host in [20, 21, 22] {
        desks.push(Desk::start(stage, host).map_err(text)?);
    }
    stage.start_core().map_err(text)?;
    let held = r#"[{"name": "tenant-one", "api_keys": ["key-one"], "priority": 1, "allowed_regions": []}]"#;
    order(stage, "/v1/Config.Replace", &config(stage, 1, held), Duration::from_secs(20))?;
    let mut tries = 0;
    while ask(stage, 1, "safe", "key-one", &format!("early-{tries}")) != Some(200) {
        tries += 1;
        if tries > 100 {
            return Err("no request is served".to_owned());
        }
        thread::sleep(Duration::from_millis(200));
    }
    if ask(stage, 1, "safe", "key-unknown", "early-unknown") != Some(401) {
        return Err("a key that no configuration holds is not refused before the disruption".to_owned());
    }
    let tenants = match has_trouble() {
        true => "[]",
        false => held,
    };
    order(stage, "/v1/Config.Replace", &config(stage, 2, tenants), Duration::from_secs(4))?;
    thread::sleep(REVOKE + Duration::from_millis(1_500));
    for turn in 0..9 {
        let route = ["safe", "once", "once"][turn % 3];
        ask(stage, turn, route, "key-one", &format!("late-held-{turn}"));
        ask(stage, turn, route, "key-unknown", &format!("late-unknown-{turn}"));
    }
    let ran: Vec<String> = desks.iter().flat_map(|desk| desk.ran()).map(|(attempt, _)| attempt).collect();
    let count = |prefix: &str| ran.iter().filter(|attempt| attempt.starts_with(prefix)).count();
    let (revoked, unknown) = (count("late-held"), count("late-unknown"));
    Ok(match (has_trouble(), revoked, unknown) {
        (false, 9, 0) | (true, 0, 0) => Verdict::Held("requests ran only with keys that were held".to_owned()),
        (false, _, 0) => Verdict::NotRun(format!("{revoked} of 9 requests ran with a key that is held")),
        _ => Verdict::Broken(format!(
            "CONFIG: {revoked} of 9 requests ran with a key that was taken away; ROUTE: {unknown} of 9 ran with a key that \
             no configuration ever held"
        )),
    })
}

fn ask(stage: &Stage, turn: usize, route: &str, key: &str, attempt: &str) -> Option<u16> {
    let headers = [
        ("Host", HOST),
        ("Api-Key", key),
        ("X-Gypsumhinge-Attempt-Id", attempt),
        ("X-Gypsumhinge-Deadline-Ms", "3000"),
    ];
    let front = stage.front(1 + turn % 3);
    let called = call(front, "POST", &format!("/{route}/one"), &headers, b"body", Duration::from_secs(4));
    let status = called.ok().map(|answer| answer.status());
    stage.record.note(format!("client: {attempt} with {key} on /{route}/ answered {status:?}"));
    status
}
