//! What a fleet consists of.

use std::collections::BTreeMap;

/// An availability zone and its region.
#[derive(Clone, Debug)]
pub struct Zone {
    /// The zone's name.
    pub name: String,
    /// Its region's name.
    pub region: String,
}

/// What a fleet consists of. VMs are spread over the zones in turn.
#[derive(Clone, Debug)]
pub struct Layout {
    /// The availability zones.
    pub zones: Vec<Zone>,
    /// How many control replicas run.
    pub control: usize,
    /// How many entries run.
    pub entries: usize,
    /// How many model engines run.
    pub engines: usize,
    /// How many instances of each plain service run.
    pub services: BTreeMap<String, usize>,
    /// Whether every second engine ignores fencing numbers.
    pub has_unfenced_engines: bool,
    /// Artifacts at the origin, as `name@version:BYTES`.
    pub artifacts: Vec<String>,
    /// The origin's rate, in bytes per second.
    pub origin_bytes_per_s: u64,
    /// Settings that differ from the defaults, by kind of daemon (`control`, `entry`, `agent`).
    pub overrides: BTreeMap<String, serde_json::Value>,
    /// Further arguments of every fake engine.
    pub engine_args: Vec<String>,
}

impl Layout {
    /// Vaalkop's zones with the given number of engines.
    pub fn new(engines: usize) -> Self {
        let zone = |name: &str, region: &str| Zone {
            name: name.into(),
            region: region.into(),
        };
        Self {
            zones: vec![
                zone("saldanha", "western-cape"),
                zone("durban", "kwazulu-natal"),
                zone("gqeberha", "eastern-cape"),
            ],
            control: 3,
            entries: 2,
            engines,
            services: BTreeMap::new(),
            has_unfenced_engines: true,
            artifacts: Vec::new(),
            origin_bytes_per_s: 50_000_000,
            overrides: BTreeMap::new(),
            engine_args: Vec::new(),
        }
    }

    /// Sets the number of control replicas.
    #[must_use]
    pub fn with_control(mut self, replicas: usize) -> Self {
        self.control = replicas;
        self
    }

    /// Sets the number of entries.
    #[must_use]
    pub fn with_entries(mut self, entries: usize) -> Self {
        self.entries = entries;
        self
    }

    /// Adds instances of a plain service.
    #[must_use]
    pub fn with_service(mut self, name: impl Into<String>, instances: usize) -> Self {
        self.services.insert(name.into(), instances);
        self
    }

    /// Adds an artifact of the given size to the origin.
    #[must_use]
    pub fn with_artifact(mut self, id: impl AsRef<str>, bytes: u64) -> Self {
        self.artifacts.push(format!("{}:{bytes}", id.as_ref()));
        self
    }

    /// Sets settings of one kind of daemon (`control`, `entry` or `agent`), as a JSON object.
    #[must_use]
    pub fn with_settings(mut self, kind: impl Into<String>, settings: serde_json::Value) -> Self {
        self.overrides.insert(kind.into(), settings);
        self
    }

    /// Adds arguments to every fake engine.
    #[must_use]
    pub fn with_engine_args(mut self, args: &[&str]) -> Self {
        self.engine_args
            .extend(args.iter().map(|arg| (*arg).to_owned()));
        self
    }
}
