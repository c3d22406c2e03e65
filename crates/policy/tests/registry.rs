//! The registry of instances: which reports are accepted and which are ignored.

use domain::{
    instance::{Instance, Phase, Write},
    record::Delta,
};
use policy::registry::Registry;

fn report(id: &str, born_ms: u64, sequence: u64) -> Instance {
    Instance {
        id: id.into(),
        born_ms,
        service: "llm".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "a".into(),
        slots: 16,
        phase: Phase::Ready,
        cold_ms: 0,
        layers: Vec::new(),
        sequence,
    }
}

fn draining(instance: Instance) -> Instance {
    Instance {
        phase: Phase::Draining,
        ..instance
    }
}

fn leave(id: &str, born_ms: Option<u64>) -> Write {
    Write::Leave {
        id: id.into(),
        born_ms,
    }
}

/// Checks the known instances, as `id@born`, after each list of writes.
#[test]
fn known_instances_after_writes() {
    let report_of = |instance: Instance| Write::Report(Box::new(instance));
    let cases: Vec<(&str, Vec<Write>, Vec<&str>)> = vec![
        (
            "one report",
            vec![report_of(report("x", 1, 1))],
            vec!["x@1"],
        ),
        (
            "a restart under the same name",
            vec![report_of(report("x", 1, 9)), report_of(report("x", 2, 1))],
            vec!["x@2"],
        ),
        (
            "a late report of the previous incarnation",
            vec![report_of(report("x", 2, 1)), report_of(report("x", 1, 9))],
            vec!["x@2"],
        ),
        (
            "a newer instance at the address",
            vec![report_of(report("x", 1, 1)), report_of(report("y", 2, 1))],
            vec!["y@2"],
        ),
        (
            "a late report of the previous instance at the address",
            vec![report_of(report("y", 2, 1)), report_of(report("x", 1, 9))],
            vec!["y@2"],
        ),
        (
            "a report after the instance left",
            vec![
                report_of(report("x", 1, 1)),
                leave("x", Some(1)),
                report_of(report("x", 1, 2)),
            ],
            vec![],
        ),
        (
            "a late leave of the previous incarnation",
            vec![report_of(report("x", 2, 1)), leave("x", Some(1))],
            vec!["x@2"],
        ),
        (
            "a report after the instance expired",
            vec![
                report_of(report("x", 1, 1)),
                Write::Expire {
                    silent: vec![("x".into(), 1)],
                },
                report_of(report("x", 1, 2)),
            ],
            vec!["x@1"],
        ),
        (
            "an expiry of the previous incarnation",
            vec![
                report_of(report("x", 2, 1)),
                Write::Expire {
                    silent: vec![("x".into(), 1)],
                },
            ],
            vec!["x@2"],
        ),
    ];
    for (name, writes, expected) in cases {
        let mut registry = Registry::default();
        for write in writes {
            registry.apply(write);
        }
        let known: Vec<_> = registry
            .all()
            .map(|instance| format!("{}@{}", instance.id, instance.born_ms))
            .collect();
        assert_eq!(known, expected, "{name}");
    }
}

#[test]
fn only_current_changes_are_written() {
    let mut registry = Registry::default();
    assert!(registry.is_change(&report("x", 1, 1)));
    registry.apply(Write::Report(Box::new(report("x", 1, 1))));
    assert!(!registry.is_change(&report("x", 1, 2)), "nothing changed");
    assert!(
        registry.is_change(&draining(report("x", 1, 3))),
        "the phase changed"
    );
    let deltas = registry.apply(Write::Report(Box::new(draining(report("x", 1, 3)))));
    assert!(matches!(deltas.as_slice(), [Delta::Set(_)]));
    assert!(
        !registry.is_change(&report("x", 1, 2)),
        "the report is late"
    );
}
