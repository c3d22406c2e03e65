//! A plain service: it registers itself and answers what it is sent.

use std::{
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{APP_PORT, Answer, DESK, Message, Runner, Stage, lock, plain, serve};

/// How long a request takes.
const WORK: Duration = Duration::from_millis(15);
/// The time between two heartbeats.
const BEAT_PERIOD: Duration = Duration::from_millis(1_200);

pub struct Desk {
    pub runner: Runner,
    stage: Arc<Stage>,
    /// The attempts that ran, with their moments.
    ran: Mutex<Vec<(String, Instant)>>,
    /// Whether it reports itself.
    is_reporting: AtomicBool,
}

impl Desk {
    pub fn start(stage: &Arc<Stage>, host: usize) -> io::Result<Arc<Self>> {
        let desk = Arc::new(Self {
            runner: Runner::new(&format!("i-desk-{host}"), DESK, host),
            stage: stage.clone(),
            ran: Mutex::default(),
            is_reporting: AtomicBool::new(true),
        });
        let served = desk.clone();
        serve(stage.addr(host, APP_PORT), move |message| served.answer(&message))?;
        let beating = desk.clone();
        thread::spawn(move || {
            let mut turn = 0;
            while !beating.stage.is_over() {
                turn = turn % 3 + 1;
                let is_reporting = beating.is_reporting.load(Ordering::Relaxed);
                let body = beating.runner.beat(&beating.stage, "ready", "");
                let is_taken = is_reporting && beating.runner.send(&beating.stage, turn, &body);
                let pause = match is_taken {
                    true => BEAT_PERIOD,
                    false => Duration::from_millis(100),
                };
                thread::sleep(pause);
            }
        });
        Ok(desk)
    }

    /// From now on it sends no heartbeats, or some again.
    pub fn report(&self, is_reporting: bool) {
        self.is_reporting.store(is_reporting, Ordering::Relaxed);
    }

    /// The attempts that ran, with their moments.
    pub fn ran(&self) -> Vec<(String, Instant)> {
        lock(&self.ran).clone()
    }

    fn answer(&self, message: &Message) -> Answer {
        if message.method() == "GET" && message.target() == "/healthz" {
            return plain(200, "");
        }
        if let Some(rejection) = self.runner.rejection(message) {
            return rejection;
        }
        let attempt = message.header("x-gypsumhinge-attempt-id").unwrap_or_default().to_owned();
        let tenant = message.header("x-gypsumhinge-tenant").unwrap_or("none");
        self.stage.record.note(format!("desk {}: runs {attempt}, tenant {tenant}", self.runner.id));
        lock(&self.ran).push((attempt.clone(), Instant::now()));
        thread::sleep(WORK);
        let headers = self.runner.signed(&attempt);
        Answer::Whole { status: 200, headers, body: format!("done {attempt}").into_bytes() }
    }
}
