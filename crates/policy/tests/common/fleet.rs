//! Engines of two zones, and an entry that chooses among them.

use std::{collections::HashMap, time::Duration};

use domain::{
    clock::Instant,
    instance::{Instance, Layers, Phase},
    record::{Record, Target},
    routing::{Engine, Service, Warmup},
};
use policy::{
    age::Bound,
    naming,
    placement::{Grace, Placer},
    view::View,
};
use rand::{SeedableRng, rngs::StdRng};

pub(crate) const GRACE: Grace = Grace {
    seen: Duration::from_millis(6_000),
    unseen: Duration::from_millis(1_000),
};
/// A time after the startup grace period, when an entry sees target versions change.
pub(crate) const LATER: Instant = Instant::from_millis(60_000);

/// An entry sees a state, and targets in it that were set just before.
pub(crate) fn observe(placer: &mut Placer, view: &View, now: Instant) {
    let mut targets = naming::Table::new();
    targets.observe(view, Bound::new(now, Duration::ZERO));
    placer.observe(view, &targets, now);
}

pub(crate) fn engine() -> Engine {
    Engine {
        models: vec!["m".into()],
        slots: 16,
        stride: 6,
        step_us: 6_730,
        sequence_ns: 21_900,
        context_ns: 6_800,
        read_per_s: 30_600,
        read_chunk: 2_048,
        memory_tokens: 1_640_000,
        usual_prompt: 964,
        usual_answer: 119,
        layers: 16,
        chunks: 48,
        chunk_bytes: 49_152,
        load_ms: 300,
    }
}

pub(crate) fn service(cold: Option<Warmup>) -> Service {
    Service {
        name: "llm".into(),
        max_connections: 300,
        cold,
        engine: Some(engine()),
        origin: None,
    }
}

pub(crate) fn instance(n: u16, zone: &str, version: u64) -> Instance {
    Instance {
        id: format!("i-{n}").as_str().into(),
        born_ms: 1,
        service: "llm".into(),
        address: ([10, 0, 0, n as u8], 80).into(),
        zone: zone.into(),
        slots: 16,
        phase: Phase::Ready,
        cold_ms: 0,
        layers: vec![Layers {
            model: "m".into(),
            version,
            begin: 0,
            end: Some(16),
        }],
        sequence: 1,
    }
}

pub(crate) fn fleet(instances: Vec<Instance>) -> Vec<Record> {
    let services = [Record::Service(Box::new(service(None)))];
    let instances = instances.into_iter().map(Box::new).map(Record::Instance);
    services.into_iter().chain(instances).collect()
}

pub(crate) fn target(version: u64) -> Record {
    Record::Target(Target {
        model: "m".into(),
        version,
    })
}

pub(crate) fn placer() -> Placer {
    let regions = ["a", "b"].map(|zone| (zone.into(), format!("r-{zone}").as_str().into()));
    Placer::new(
        "a".into(),
        HashMap::from(regions),
        GRACE,
        StdRng::seed_from_u64(7),
        Instant::ZERO,
    )
}
