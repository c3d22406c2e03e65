//! The daemon as a process, before a control that hands out one state and an agent of the test.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Output, Stdio},
    rc::Rc,
    sync::Arc,
    thread,
    time::Duration,
};

use common::{
    SECRET,
    agent::{Act, Agent},
    caller::{self, Got},
    control::Fake,
    until,
};
use domain::{
    ledger, name, quarantine,
    record::{Batch, Cursor, Delta, Record},
    vm,
};
use entry::control::Control as _;
use http::Method;
use peer::{
    control::{Answer, Poll, Service},
    server::Server,
};
use policy::view::View;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use tokio::{net::TcpListener, task::LocalSet};

/// Control that hands out what the test's feed holds.
struct Replica(Arc<Fake>);

impl Service for Replica {
    fn poll(&self, poll: Poll) -> Answer<Batch> {
        let feed = self.0.feed();
        let view = feed.view.clone();
        Box::pin(async move {
            let is_known = poll.cursor.epoch == 7 && poll.cursor.sequence == view.commit;
            if is_known {
                tokio::time::sleep(poll.wait.min(Duration::from_millis(50))).await;
            }
            Ok(Batch {
                is_snapshot: !is_known,
                deltas: if is_known { Vec::new() } else { deltas(&view) },
                revision: view.revision,
                commit: view.commit,
                cursor: Cursor {
                    epoch: 7,
                    sequence: view.commit,
                },
                age_ms: 0,
                held_ms: 0,
            })
        })
    }

    fn announce(&self, _: vm::Announcement, _: vm::Status) -> Answer<()> {
        Box::pin(async { Ok(()) })
    }

    fn heartbeat(&self, _: name::Vm, _: u64) -> Answer<bool> {
        Box::pin(async { Ok(true) })
    }

    fn leave(&self, _: name::Vm, _: u64) -> Answer<()> {
        Box::pin(async { Ok(()) })
    }

    fn ledger(&self, write: ledger::Write) -> Answer<ledger::Reply> {
        let reply = self.0.write(write);
        Box::pin(async move { Ok(reply) })
    }

    fn quarantine(&self, _: quarantine::Write) -> Answer<quarantine::Reply> {
        Box::pin(std::future::pending())
    }
}

fn deltas(view: &View) -> Vec<Delta> {
    let customers = view
        .customers
        .values()
        .map(|c| Record::Customer((**c).clone()));
    let plans = view
        .plans
        .values()
        .map(|plan| Record::Plan((**plan).clone()));
    let rollouts = view
        .rollouts
        .values()
        .map(|r| Record::Rollout((**r).clone()));
    let zones = view.zones_out.iter().cloned().map(Record::ZoneOut);
    let vms = view
        .vms
        .values()
        .map(|vm| Record::Vm(Box::new((**vm).clone())));
    let records = customers
        .chain(plans)
        .chain(rollouts)
        .chain(zones)
        .chain(vms);
    records.map(Delta::Set).collect()
}

/// Serves control on a thread of its own.
fn serve(control: Arc<Fake>) -> SocketAddr {
    let (tell, told) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        LocalSet::new().block_on(&runtime, async {
            let listener = TcpListener::bind("127.40.0.4:0").await.unwrap();
            tell.send(listener.local_addr().unwrap()).unwrap();
            let server = Server::new(SECRET.as_bytes()).with_control(Rc::new(Replica(control)));
            let _ = server.run(listener).await;
        });
    });
    told.recv().unwrap()
}

fn free_addr() -> SocketAddr {
    let socket = std::net::TcpListener::bind("127.40.0.5:0").unwrap();
    socket.local_addr().unwrap()
}

struct Daemon {
    child: Option<Child>,
    caller: SocketAddr,
    status: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Daemon {
    fn new(control: SocketAddr) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let (caller, status) = (free_addr(), free_addr());
        std::fs::write(folder.path().join("secret"), SECRET).unwrap();
        let settings = json!({
            "place": {"vm": "entry-1", "zone": "saldanha", "region": "western-cape"},
            "secret_file": folder.path().join("secret"),
            "control": [control],
            "caller_listen": caller,
            "status_listen": status,
            "shutdown_grace_ms": 500,
            "shutdown_limit_ms": 20_000,
        });
        let file = folder.path().join("entry.json");
        std::fs::write(&file, settings.to_string()).unwrap();
        let child = command(&file)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        Self {
            child: Some(child),
            caller,
            status,
            _folder: folder,
        }
    }

    async fn ready(&self) -> Option<Got> {
        tokio::net::TcpStream::connect(self.status).await.ok()?;
        Some(caller::send(self.status, caller::request(Method::GET, "/readyz", "")).await)
    }

    async fn wait_until_ready(&self) {
        for _ in 0..1_000 {
            let got = self.ready().await;
            if got.is_some_and(|got| got.status.is_success()) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the daemon never became ready");
    }

    fn terminate(&self) {
        let id = i32::try_from(self.child.as_ref().unwrap().id()).unwrap();
        kill_process(Pid::from_raw(id).unwrap(), Signal::TERM).unwrap();
    }

    async fn end(mut self) -> Output {
        let child = self.child.take().unwrap();
        tokio::task::spawn_blocking(move || child.wait_with_output().unwrap())
            .await
            .unwrap()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn command(settings: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gypsum-entry"));
    command.arg("--settings").arg(settings);
    command
}

async fn stage() -> (Arc<Fake>, Agent, Daemon) {
    let control = Fake::new();
    let engine = Agent::new("engine-1").await;
    control.add_engine("engine-1", "saldanha", engine.addr);
    let daemon = Daemon::new(serve(control.clone()));
    daemon.wait_until_ready().await;
    (control, engine, daemon)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_shutdown_warns_the_balancer_then_ends_every_call() {
    let (_control, engine, daemon) = stage().await;
    engine.always(Act::Slow(Duration::from_millis(1_500)));
    let (addr, status) = (daemon.caller, daemon.status);
    let early = tokio::spawn(caller::chat(addr, true));
    until("it runs", || engine.runs().len() == 1).await;
    daemon.terminate();
    let mut late = None;
    for _ in 0..500 {
        if daemon
            .ready()
            .await
            .is_some_and(|got| !got.status.is_success())
        {
            // The balancer has not noticed yet: a call in the time of grace is served.
            late = Some(tokio::spawn(caller::chat(addr, false)));
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let late = late.expect("readiness never failed").await.unwrap();
    let early = early.await.unwrap();
    for got in [&early, &late] {
        assert!(got.status.is_success() && got.is_whole, "{got:?}");
    }
    let output = daemon.end().await;
    assert!(output.status.success(), "{output:?}");
    assert!(tokio::net::TcpStream::connect(status).await.is_err());
    let log = String::from_utf8(output.stdout).unwrap();
    assert!(
        log.contains("shutdown: done") && !log.contains("cut"),
        "{log}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_second_signal_cuts_and_says_what() {
    let (_control, engine, daemon) = stage().await;
    engine.always(Act::SilentAfter(2));
    let call = tokio::spawn(caller::chat(daemon.caller, true));
    until("it runs", || engine.runs().len() == 1).await;
    daemon.terminate();
    tokio::time::sleep(Duration::from_millis(800)).await;
    daemon.terminate();
    let got = call.await.unwrap();
    assert!(!got.is_whole, "{got:?}");
    let output = daemon.end().await;
    let log = String::from_utf8(output.stdout).unwrap();
    assert!(
        log.contains("shutdown: cut a running call") && log.contains("vaalkop"),
        "{log}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_edit_reaches_the_running_daemon() {
    let (control, _engine, daemon) = stage().await;
    let first = caller::chat(daemon.caller, false).await;
    assert!(first.body.contains("tide@2"), "{first:?}");
    control.set_versions(&["1"]);
    for _ in 0..400 {
        let got = caller::chat(daemon.caller, false).await;
        if got.body.contains("tide@1") {
            control.set_age(None);
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the edit never came into force");
}

#[test]
fn the_command_line_checks_and_explains_itself() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("entry.json");
    std::fs::write(&file, r#"{"colour":"red"}"#).unwrap();
    let binary = env!("CARGO_BIN_EXE_gypsum-entry");
    let wrong = Command::new(binary)
        .arg("--check-settings")
        .arg(&file)
        .output()
        .unwrap();
    let told = String::from_utf8(wrong.stderr).unwrap();
    assert!(!wrong.status.success());
    for wrong in ["place", "control", "caller_listen", "colour"] {
        assert!(told.contains(wrong), "{wrong} is not told: {told}");
    }
    assert_eq!(told.matches("gypsum-entry:").count(), 1, "{told}");
    let schema = Command::new(binary).arg("--print-schema").output().unwrap();
    let schema: serde_json::Value = serde_json::from_slice(&schema.stdout).unwrap();
    assert!(schema["properties"]["caller_listen"].is_object());
    let version = Command::new(binary).arg("--version").output().unwrap();
    assert!(
        String::from_utf8(version.stdout)
            .unwrap()
            .starts_with("gypsum-entry ")
    );
}
