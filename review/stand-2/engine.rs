//! A model runner with what is staged beside it.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    APP_PORT, Answer, CHUNKS, ENGINES, LAYERS, MODEL, Message, Runner, Stage, chunk, lock, plain, serve,
};

/// How long loading staged weights takes.
const LOAD: Duration = Duration::from_millis(300);
/// The time between two heartbeats.
const BEAT_PERIOD: Duration = Duration::from_millis(1_200);
/// A chunk that turned bad so shortly before it was loaded is nobody's fault.
const ROT_EXCUSE: Duration = Duration::from_secs(3);

struct Staged {
    bytes: Vec<u8>,
    spoilt_at: Option<Instant>,
}

#[derive(Default)]
struct State {
    staged: BTreeMap<usize, Staged>,
    serving: Option<u64>,
    /// Whether the layers in use were loaded from chunks that had been bad for too long.
    is_spoilt: bool,
    /// The version that is being loaded, when that is done, and what is wrong with it.
    loading: Option<(u64, Instant, Vec<String>)>,
    orders: u64,
    /// How many chunks of the newest sequential read were read back.
    read_back: usize,
    /// Tokens that were made on spoilt layers.
    broken: Vec<String>,
    /// Whether the machine stands still.
    is_frozen: bool,
    /// What has run: the attempt, its version and its moment.
    ran: Vec<(String, u64, Instant)>,
}

pub struct Engine {
    pub runner: Runner,
    stage: Arc<Stage>,
    state: Mutex<State>,
}

impl Engine {
    /// Starts an engine that serves version 1.
    pub fn start(stage: &Arc<Stage>, host: usize) -> io::Result<Arc<Self>> {
        let staged = (0..CHUNKS).map(|index| (index, Staged { bytes: chunk(1, index), spoilt_at: None }));
        let state = State { staged: staged.collect(), serving: Some(1), ..State::default() };
        let engine = Arc::new(Self {
            runner: Runner::new(&format!("i-engine-{host}"), ENGINES, host),
            stage: stage.clone(),
            state: Mutex::new(state),
        });
        let served = engine.clone();
        serve(stage.addr(host, APP_PORT), move |message| served.answer(&message))?;
        let beating = engine.clone();
        thread::spawn(move || {
            let mut turn = 0;
            while !beating.stage.is_over() {
                turn = turn % 3 + 1;
                beating.wait_for_thaw();
                let held = format!("\"stage\":\"unified\",{}", beating.held());
                let body = beating.runner.beat(&beating.stage, "ready", &held);
                let pause = match beating.runner.send(&beating.stage, turn, &body) {
                    true => BEAT_PERIOD,
                    false => Duration::from_millis(100),
                };
                thread::sleep(pause);
            }
        });
        Ok(engine)
    }

    fn held(&self) -> String {
        self.settle();
        let state = lock(&self.state);
        match state.serving {
            Some(version) => format!(
                r#""models":[{{"name":"{MODEL}","version":{version},"adapters":[]}}],"layers":{{"source":0,"to":{LAYERS},"version":{version}}},"#
            ),
            None => "\"models\":[],".to_owned(),
        }
    }

    /// Completes a load whose time is over.
    fn settle(&self) {
        let mut state = lock(&self.state);
        if let Some((version, done_at, wrong)) = state.loading.take() {
            if Instant::now() < done_at {
                state.loading = Some((version, done_at, wrong));
                return;
            }
            state.serving = Some(version);
            state.is_spoilt = !wrong.is_empty();
        }
    }

    pub fn serving(&self) -> Option<u64> {
        self.settle();
        lock(&self.state).serving
    }

    /// Whether every chunk of the version lies staged and was read back since, one after the other.
    pub fn is_read_back(&self, version: u64) -> bool {
        let state = lock(&self.state);
        let is_staged = |index| state.staged.get(&index).is_some_and(|held| held.bytes == chunk(version, index));
        state.read_back == CHUNKS && (0..CHUNKS).all(is_staged)
    }

    /// The machine stands still, or goes on.
    pub fn freeze(&self, is_frozen: bool) {
        lock(&self.state).is_frozen = is_frozen;
    }

    fn wait_for_thaw(&self) {
        while lock(&self.state).is_frozen {
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Staged chunks turn bad.
    pub fn rot(&self, indices: &[usize]) {
        let mut state = lock(&self.state);
        for index in indices {
            if let Some(held) = state.staged.get_mut(index) {
                held.bytes[100] ^= 0x40;
                held.spoilt_at = Some(Instant::now());
            }
        }
        self.stage.record.note(format!("engine {}: staged chunks {indices:?} turn bad", self.runner.id));
    }

    /// Tokens that were made on spoilt layers.
    pub fn broken(&self) -> Vec<String> {
        lock(&self.state).broken.clone()
    }

    /// Whether a request has run on the version.
    pub fn has_run(&self, version: u64) -> bool {
        lock(&self.state).ran.iter().any(|(_, other, _)| *other == version)
    }

    /// What has run: the attempt, its version and its moment.
    pub fn ran(&self) -> Vec<(String, u64, Instant)> {
        lock(&self.state).ran.clone()
    }

    fn answer(&self, message: &Message) -> Answer {
        self.wait_for_thaw();
        let target = message.target().to_owned();
        let index = target.split_once("item_count=").and_then(|(_, text)| text.parse::<usize>().ok());
        match (message.method(), index) {
            ("GET", _) if target == "/healthz" => plain(200, ""),
            ("GET", _) if target == "/v1/report" => {
                let held = self.held();
                let state = lock(&self.state);
                plain(200, format!(
                    r#"{{"stage":"unified",{held}"busy":{},"sequence":{},"queued":0,"active":0,"kv_used":0,"kv_total":1640000,"kv_handles":0,"born":{}}}"#,
                    state.loading.is_some(), state.orders, self.runner.born
                ))
            }
            ("POST", _) if target == "/v1/order" => self.order(&message.text()),
            ("PUT", Some(index)) if target.starts_with("/v1/stage-put/") => {
                let mut state = lock(&self.state);
                state.read_back = 0;
                state.staged.insert(index, Staged { bytes: message.body.clone(), spoilt_at: None });
                plain(200, "")
            }
            ("GET", Some(index)) if target.starts_with("/v1/stage-get/") => {
                let mut state = lock(&self.state);
                state.read_back = match index {
                    0 => 1,
                    index if index == state.read_back => index + 1,
                    _ => 0,
                };
                match state.staged.get(&index) {
                    Some(held) => plain(200, held.bytes.clone()),
                    None => plain(404, ""),
                }
            }
            ("GET", None) if target.starts_with("/v1/stage-get/") => {
                let state = lock(&self.state);
                let held: Vec<String> = state.staged.keys().map(ToString::to_string).collect();
                plain(200, format!("{{\"held\":[{}]}}", held.join(",")))
            }
            _ => self.work(message),
        }
    }

    fn order(&self, text: &str) -> Answer {
        self.settle();
        let Some(version) = crate::number(text, "version").filter(|_| text.contains("\"start\"")) else {
            return plain(400, "no such order");
        };
        let mut state = lock(&self.state);
        if state.loading.is_some() {
            return plain(409, "busy");
        }
        if state.serving == Some(version) {
            return plain(200, "");
        }
        let mut wrong = Vec::new();
        for index in 0..CHUNKS {
            match state.staged.get(&index) {
                None => wrong.push(format!("chunk {index} was missing")),
                Some(held) if held.bytes != chunk(version, index) => match held.spoilt_at.map(|at| at.elapsed()) {
                    Some(age) if age <= ROT_EXCUSE => {}
                    Some(age) => wrong.push(format!("chunk {index} had been bad for {:.2} s", age.as_secs_f64())),
                    None => wrong.push(format!("chunk {index} was of another version")),
                },
                Some(_) => {}
            }
        }
        let line = format!("engine {}: accepts the order to load version {version}; wrong: {wrong:?}", self.runner.id);
        self.stage.record.note(line);
        state.orders += 1;
        state.loading = Some((version, Instant::now() + LOAD, wrong));
        plain(202, "")
    }

    fn work(&self, message: &Message) -> Answer {
        if let Some(rejection) = self.runner.rejection(message) {
            return rejection;
        }
        self.settle();
        let attempt = message.header("x-gypsumhinge-attempt-id").unwrap_or_default().to_owned();
        let mut state = lock(&self.state);
        let wanted = message.header("x-gypsumhinge-expected-version").and_then(|text| text.parse().ok());
        let status = match state.serving {
            None => Some(503),
            _ if state.loading.is_some() => Some(503),
            serving if wanted.is_some() && wanted != serving => Some(421),
            _ => None,
        };
        if let Some(status) = status {
            let headers = vec![
                ("X-Gypsumhinge-Not-Executed".to_owned(), "1".to_owned()),
                ("X-Gypsumhinge-Attempt-Id".to_owned(), attempt),
            ];
            return Answer::Whole { status, headers, body: Vec::new() };
        }
        let version = state.serving.unwrap_or_default();
        state.ran.push((attempt.clone(), version, Instant::now()));
        let line = format!("engine {}: runs {attempt} on version {version}", self.runner.id);
        if state.is_spoilt {
            state.broken.push(format!("{line}, on a spoilt layer"));
        }
        self.stage.record.note(match state.is_spoilt {
            true => format!("{line}, ON A SPOILT LAYER"),
            false => line,
        });
        let mut headers = self.runner.signed(&attempt);
        headers.push(("X-Gypsumhinge-Weight-Versions".to_owned(), version.to_string()));
        let events = (1..=3).map(|number| format!("id: {number}\ndata: {attempt}/{number}\n\n"));
        Answer::Stream { headers, pause: Duration::from_millis(20), events: events.collect() }
    }
}
