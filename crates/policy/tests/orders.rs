//! The orders that the reconciler derives from the observed state.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use domain::{
    artifact::Id,
    clock::Instant,
    digest::Digest,
    edit::Revision,
    manifest::Pin,
    order::{Fence, Order},
    record::{Batch, Cursor, Delta, Record},
    rollout::{Rollout, Stage, rank},
    vm::Holding,
};
use policy::{
    orders::{Config, Engine, Fenced, Inputs, Reconciler, Spooled},
    view::View,
};

const NOW: Instant = Instant::from_millis(1_000);

type Row = (&'static str, Stage, Fence);

fn id(version: &str) -> Id {
    Id::new("sand", version)
}

fn digest(version: &str) -> Digest {
    Digest::of(version.as_bytes())
}

fn fence(term: u64, index: u64) -> Fence {
    Fence { term, index }
}

fn view(commit: u64, rollouts: &[Row]) -> View {
    let record = |(version, stage, fence): &Row| {
        Delta::Set(Record::Rollout(Rollout {
            artifact: id(version),
            pin: Pin {
                digest: digest(version),
                total_bytes: 3,
                chunks: 3,
            },
            stage: stage.clone(),
            fence: *fence,
        }))
    };
    let mut view = View::default();
    view.apply(Batch {
        is_snapshot: true,
        deltas: rollouts.iter().map(record).collect(),
        revision: Revision(commit),
        commit,
        cursor: Cursor::default(),
        age_ms: 0,
        held_ms: 0,
    })
    .unwrap();
    view
}

fn reconciler(slots: usize, known: Fence) -> Reconciler {
    let config = Config {
        vm: "upstream-1".into(),
        slots,
        artifacts: None,
    };
    Reconciler::new(config, known)
}

fn engine(serving: &[&str], fence: Fence) -> Engine {
    Engine {
        boot: 1,
        serving: serving.iter().map(|v| (id(v), digest(v))).collect(),
        fence,
    }
}

fn held(versions: &[&str]) -> BTreeMap<Id, Spooled> {
    versions.iter().map(|v| (id(v), Spooled::Held)).collect()
}

fn next(
    reconciler: &Reconciler,
    view: &View,
    spool: &BTreeMap<Id, Spooled>,
    engine: &Engine,
) -> Option<Fenced> {
    let inputs = Inputs {
        view: Some(view),
        spool,
        engine: Some(engine),
    };
    reconciler.next(NOW, inputs)
}

#[test]
fn orders_follow_from_desired_and_served_versions() {
    let load = |version| Some(Order::Load(id(version)));
    let unload = |version| Some(Order::Unload(id(version)));
    let ready = |version| (version, Stage::Ready, fence(1, 5));
    let own = rank(&"upstream-1".into(), &id("1"));
    let wave = |width| vec![("1", Stage::Wave { width }, fence(1, 5))];
    let prefetch = vec![("1", Stage::Prefetch, fence(1, 5))];
    let both = vec![ready("1"), ready("2")];
    // Name, rollouts, held versions, served versions, slots, expected order.
    let cases = [
        ("load", vec![ready("1")], vec!["1"], vec![], 8, load("1")),
        ("not held", vec![ready("1")], vec![], vec![], 8, None),
        ("done", vec![ready("1")], vec!["1"], vec!["1"], 8, None),
        ("prefetch", prefetch, vec!["1"], vec![], 8, None),
        (
            "in the wave",
            wave(own + 1),
            vec!["1"],
            vec![],
            8,
            load("1"),
        ),
        ("not in the wave", wave(own), vec!["1"], vec![], 8, None),
        (
            "unlisted",
            vec![ready("1")],
            vec!["1"],
            vec!["1", "2"],
            8,
            unload("2"),
        ),
        (
            "unload first",
            vec![ready("1")],
            vec!["1"],
            vec!["2"],
            8,
            unload("2"),
        ),
        ("none listed", vec![], vec![], vec!["2"], 8, unload("2")),
        (
            "two slots",
            both.clone(),
            vec!["1", "2"],
            vec!["1"],
            8,
            load("2"),
        ),
        ("one slot", both, vec!["1", "2"], vec!["1"], 1, None),
    ];
    for (name, rollouts, spool, serving, slots, expected) in cases {
        let view = view(9, &rollouts);
        let engine = engine(&serving, Fence::default());
        let reconciler = reconciler(slots, Fence::default());
        let order = next(&reconciler, &view, &held(&spool), &engine);
        assert_eq!(order.map(|order| order.order), expected, "{name}");
    }
}

#[test]
fn no_order_without_fresh_state_or_engine_state() {
    let view = view(9, &[("1", Stage::Ready, fence(1, 5))]);
    let engine = engine(&[], Fence::default());
    let spool = held(&["1"]);
    for (view, engine) in [(None, Some(&engine)), (Some(&view), None), (None, None)] {
        let inputs = Inputs {
            view,
            spool: &spool,
            engine,
        };
        assert_eq!(reconciler(8, Fence::default()).next(NOW, inputs), None);
    }
}

#[test]
fn outdated_state_yields_no_order() {
    // Fencing numbers: known to the agent, seen by the engine, expected in the order.
    let cases = [
        (fence(1, 4), fence(1, 4), Some(fence(1, 9))),
        (fence(1, 9), fence(0, 0), Some(fence(1, 9))),
        (fence(1, 10), fence(0, 0), None),
        (fence(0, 0), fence(1, 10), None),
        (fence(3, 8), fence(0, 0), Some(fence(3, 9))),
        (fence(0, 0), fence(2, 30), None),
    ];
    let view = view(9, &[("1", Stage::Ready, fence(1, 5))]);
    for (known, seen, expected) in cases {
        let order = next(
            &reconciler(8, known),
            &view,
            &held(&["1"]),
            &engine(&[], seen),
        );
        assert_eq!(order.map(|order| order.fence), expected, "{known} {seen}");
    }
}

#[test]
fn fencing_numbers_never_decrease() {
    let mut reconciler = reconciler(8, Fence::default());
    let mut last = Fence::default();
    for (commit, term) in [(3, 1), (5, 1), (4, 1), (9, 2), (6, 1), (12, 2)] {
        let view = view(commit, &[("1", Stage::Ready, fence(term, commit))]);
        // The engine ignores fencing numbers and reports none.
        let engine = engine(&[], Fence::default());
        if let Some(order) = next(&reconciler, &view, &held(&["1"]), &engine) {
            assert!(order.fence >= last, "{} after {last}", order.fence);
            last = order.fence;
            reconciler.record(&order);
        }
    }
    assert_eq!(last, fence(2, 12));
}

#[test]
fn version_with_another_manifest_is_unloaded_and_not_serving() {
    let view = view(9, &[("1", Stage::Ready, fence(1, 5))]);
    let engine = Engine {
        serving: [(id("1"), digest("other"))].into(),
        ..engine(&[], Fence::default())
    };
    let spool = held(&["1"]);
    let reconciler = reconciler(8, Fence::default());
    let expected = Fenced {
        fence: fence(1, 9),
        order: Order::Unload(id("1")),
    };
    assert_eq!(next(&reconciler, &view, &spool, &engine), Some(expected));
    let holdings = reconciler.holdings(&view, &spool, Some(&engine), None);
    assert_eq!(holdings[&id("1")], Holding::Held);
}

#[test]
fn failed_load_is_reported_and_retried() {
    let view = view(9, &[("1", Stage::Ready, fence(1, 5))]);
    let engine = engine(&[], Fence::default());
    let spool = held(&["1"]);
    let mut reconciler = reconciler(8, Fence::default());
    reconciler.fail(NOW, &id("1"), "no memory");
    assert_eq!(next(&reconciler, &view, &spool, &engine), None);
    let holdings = reconciler.holdings(&view, &spool, Some(&engine), None);
    let failed = Holding::Failed {
        reason: "no memory".into(),
    };
    assert_eq!(holdings[&id("1")], failed);
    let inputs = Inputs {
        view: Some(&view),
        spool: &spool,
        engine: Some(&engine),
    };
    let later = Instant::from_millis(1_300);
    assert!(reconciler.next(later, inputs).is_some());
    reconciler.succeed(&id("1"));
    assert!(next(&reconciler, &view, &spool, &engine).is_some());
}
