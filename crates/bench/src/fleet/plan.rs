//! Addresses, settings files and command lines of a fleet's processes.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use domain::digest::Digest;
use serde_json::{Value, json};

use crate::{
    error::Error,
    fleet::{
        address::Network,
        layout::{Layout, Zone},
        process::Process,
    },
};

/// The operators' key in every fleet.
pub const OPERATOR_KEY: &str = "bench-operator-key";
/// The secret that the fleet's processes share.
const SECRET: &str = "bench-secret";

const CONTROL_HOST: usize = 0;
const ENTRY_HOST: usize = 16;
const ORIGIN_HOST: usize = 32;
const AGENT_HOST: usize = 40;
const CALLER_PORT: u16 = 7000;
const CONTROL_PORT: u16 = 7100;
const OPERATOR_PORT: u16 = 7101;
const STATUS_PORT: u16 = 7102;
const CALL_PORT: u16 = 7200;
const CHUNK_PORT: u16 = 7201;
const UPSTREAM_PORT: u16 = 7300;
const ORIGIN_PORT: u16 = 7400;

/// One process of the fleet.
#[derive(Clone, Debug)]
pub struct Member {
    /// The name of its VM.
    pub vm: String,
    /// Its availability zone.
    pub zone: String,
    /// Its main address: callers, peers, calls, or the upstream's own.
    pub addr: SocketAddr,
    program: &'static str,
    args: Vec<String>,
    settings: Option<Value>,
    folder: PathBuf,
}

impl Member {
    /// Starts the process.
    ///
    /// # Errors
    ///
    /// If the program could not be started.
    pub fn spawn(&self) -> Result<Process, Error> {
        let name = format!("{}/{}", self.vm, self.program);
        let log = self
            .folder
            .join(format!("{}-{}.log", self.vm, self.program));
        Process::spawn(name, self.program, self.args.clone(), &log)
    }

    /// The folder of the replica's durable state.
    pub fn data(&self) -> PathBuf {
        self.folder.join(&self.vm).join("data")
    }

    /// Whether this is a plain service.
    pub fn is_service(&self) -> bool {
        self.program == "fake-service"
    }

    /// The address of the status page.
    pub fn status_addr(&self) -> SocketAddr {
        SocketAddr::new(self.addr.ip(), STATUS_PORT)
    }

    fn settings_file(&self) -> PathBuf {
        self.folder.join(format!("{}.json", self.vm))
    }
}

/// All processes of a fleet.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Replicas of control.
    pub control: Vec<Member>,
    /// Entries.
    pub entries: Vec<Member>,
    /// Agents: engines first, then services.
    pub agents: Vec<Member>,
    /// Engines and services, in the order of their agents.
    pub upstreams: Vec<Member>,
    /// The origin of weights.
    pub origin: Member,
    folder: PathBuf,
}

impl Plan {
    /// Works out a fleet of the given layout below a folder.
    pub fn new(layout: &Layout, network: Network, folder: &Path) -> Self {
        let builder = Builder {
            layout,
            network,
            folder,
        };
        Self {
            control: (0..layout.control).map(|i| builder.control(i)).collect(),
            entries: (0..layout.entries).map(|i| builder.entry(i)).collect(),
            agents: builder
                .upstream_names()
                .enumerate()
                .map(|(i, n)| builder.agent(i, n))
                .collect(),
            upstreams: builder
                .upstream_names()
                .enumerate()
                .map(|(i, n)| builder.upstream(i, n))
                .collect(),
            origin: builder.origin(),
            folder: folder.to_owned(),
        }
    }

    /// Writes secrets and settings files.
    ///
    /// # Errors
    ///
    /// If a file could not be written.
    pub fn write(&self) -> Result<(), Error> {
        let write = |path: PathBuf, text: String| {
            fs::write(&path, text).map_err(Error::step(format!("write {}", path.display())))
        };
        write(self.folder.join("secret"), SECRET.to_owned())?;
        write(self.operator_key_file(), OPERATOR_KEY.to_owned())?;
        let members = self.control.iter().chain(&self.entries).chain(&self.agents);
        for member in members {
            let folder = member.folder.join(&member.vm);
            fs::create_dir_all(&folder).map_err(Error::step("make a data folder"))?;
            if let Some(settings) = &member.settings {
                write(member.settings_file(), format!("{settings:#}"))?;
            }
        }
        Ok(())
    }

    /// Where operators connect.
    pub fn operator_addrs(&self) -> Vec<SocketAddr> {
        let port = |member: &Member| SocketAddr::new(member.addr.ip(), OPERATOR_PORT);
        self.control.iter().map(port).collect()
    }

    /// Where callers connect.
    pub fn caller_addrs(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|member| member.addr).collect()
    }

    /// The file with the operators' key.
    pub fn operator_key_file(&self) -> PathBuf {
        self.folder.join("operator-key")
    }
}

/// The kind and name of an upstream.
#[derive(Clone, Debug)]
enum Kind {
    Engine,
    Service(String),
}

struct Builder<'a> {
    layout: &'a Layout,
    network: Network,
    folder: &'a Path,
}

impl Builder<'_> {
    fn upstream_names(&self) -> impl Iterator<Item = Kind> {
        let engines = (0..self.layout.engines).map(|_| Kind::Engine);
        let services = self
            .layout
            .services
            .iter()
            .flat_map(|(name, instances)| (0..*instances).map(|_| Kind::Service(name.clone())));
        engines.chain(services)
    }

    fn zone(&self, nth: usize) -> &Zone {
        &self.layout.zones[nth % self.layout.zones.len()]
    }

    fn place(&self, vm: &str, nth: usize) -> Value {
        let zone = self.zone(nth);
        json!({ "vm": vm, "zone": zone.name, "region": zone.region })
    }

    fn control_addrs(&self) -> Vec<SocketAddr> {
        (0..self.layout.control)
            .map(|i| self.network.addr(CONTROL_HOST + i, CONTROL_PORT))
            .collect()
    }

    fn member(&self, vm: String, nth: usize, addr: SocketAddr, program: &'static str) -> Member {
        Member {
            vm,
            zone: self.zone(nth).name.clone(),
            addr,
            program,
            args: Vec::new(),
            settings: None,
            folder: self.folder.to_owned(),
        }
    }

    fn daemon(&self, mut member: Member, kind: &str, mut settings: Value) -> Member {
        settings["secret_file"] = json!(self.folder.join("secret"));
        settings["status_listen"] = json!(member.status_addr());
        if let Some(overrides) = self.layout.overrides.get(kind) {
            merge(&mut settings, overrides);
        }
        let file = member.settings_file();
        member.settings = Some(settings);
        member.args = vec!["--settings".to_owned(), file.display().to_string()];
        member
    }

    fn control(&self, i: usize) -> Member {
        let addr = self.network.addr(CONTROL_HOST + i, CONTROL_PORT);
        let vm = format!("control-{}", i + 1);
        let settings = json!({
            "place": self.place(&vm, i),
            "data": self.folder.join(&vm).join("data"),
            "peer_listen": addr,
            "operator_listen": SocketAddr::new(addr.ip(), OPERATOR_PORT),
            "replicas": self.control_addrs(),
            "operators": [{ "name": "bench", "key_digest": Digest::of(OPERATOR_KEY.as_bytes()) }],
            "origin": self.network.addr(ORIGIN_HOST, ORIGIN_PORT),
        });
        self.daemon(
            self.member(vm, i, addr, "gypsum-control"),
            "control",
            settings,
        )
    }

    fn entry(&self, i: usize) -> Member {
        let addr = self.network.addr(ENTRY_HOST + i, CALLER_PORT);
        let vm = format!("entry-{}", i + 1);
        let settings = json!({
            "place": self.place(&vm, i),
            "control": self.control_addrs(),
            "caller_listen": addr,
        });
        self.daemon(self.member(vm, i, addr, "gypsum-entry"), "entry", settings)
    }

    fn agent(&self, i: usize, kind: Kind) -> Member {
        let addr = self.network.addr(AGENT_HOST + i, CALL_PORT);
        let vm = format!("upstream-{}", i + 1);
        let mut settings = json!({
            "place": self.place(&vm, i),
            "control": self.control_addrs(),
            "call_listen": addr,
            "chunk_listen": SocketAddr::new(addr.ip(), CHUNK_PORT),
            "upstream_addr": SocketAddr::new(addr.ip(), UPSTREAM_PORT),
        });
        match kind {
            Kind::Engine => {
                settings["upstream"] = json!({ "engine": { "checks_fencing": self.is_fenced(i) } });
                settings["weights"] = json!({
                    "spool": self.folder.join(&vm).join("spool"),
                    "origin": self.network.addr(ORIGIN_HOST, ORIGIN_PORT),
                });
            }
            Kind::Service(name) => settings["upstream"] = json!({ "service": { "name": name } }),
        }
        self.daemon(self.member(vm, i, addr, "gypsum-agent"), "agent", settings)
    }

    fn upstream(&self, i: usize, kind: Kind) -> Member {
        let addr = self.network.addr(AGENT_HOST + i, UPSTREAM_PORT);
        let vm = format!("upstream-{}", i + 1);
        let mut args = vec!["--listen".to_owned(), addr.to_string()];
        let program = match kind {
            Kind::Engine => {
                args.extend(self.layout.engine_args.iter().cloned());
                if self.is_fenced(i) {
                    args.push("--checks-fencing".to_owned());
                }
                "fake-engine"
            }
            Kind::Service(name) => {
                args.extend(["--name".to_owned(), name]);
                "fake-service"
            }
        };
        Member {
            args,
            ..self.member(vm, i, addr, program)
        }
    }

    fn origin(&self) -> Member {
        let addr = self.network.addr(ORIGIN_HOST, ORIGIN_PORT);
        let rate = self.layout.origin_bytes_per_s.to_string();
        let mut args = vec![
            "--listen".to_owned(),
            addr.to_string(),
            "--bytes-per-s".to_owned(),
            rate,
        ];
        for artifact in &self.layout.artifacts {
            args.extend(["--artifact".to_owned(), artifact.clone()]);
        }
        Member {
            args,
            ..self.member("origin-1".to_owned(), 0, addr, "fake-origin")
        }
    }

    fn is_fenced(&self, i: usize) -> bool {
        !self.layout.has_unfenced_engines || i.is_multiple_of(2)
    }
}

fn merge(into: &mut Value, from: &Value) {
    match (into, from) {
        (Value::Object(into), Value::Object(from)) => {
            for (key, value) in from {
                merge(into.entry(key).or_insert(Value::Null), value);
            }
        }
        (into, from) => *into = from.clone(),
    }
}
