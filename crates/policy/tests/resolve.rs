//! Resolution of models, adapters and services by the plan of a customer.

#![allow(clippy::unwrap_used)]

use domain::{
    artifact,
    call::Target,
    digest::Digest,
    edit::Revision,
    lists::{Adapter, Customer, Grant, Plan},
    manifest::Pin,
    name,
    order::Fence,
    record::{Batch, Cursor, Delta, Record},
    rollout::{Rollout, Stage},
};
use policy::{resolve, view::View};

fn versions(list: &[&str]) -> Vec<name::Version> {
    list.iter()
        .map(|version| name::Version::new(*version))
        .collect()
}

fn plan(list: &[&str]) -> Plan {
    Plan {
        name: name::Plan::new("clerks"),
        share: 1,
        models: vec![Grant {
            model: name::Artifact::new("tide"),
            versions: versions(list),
            adapters: vec![Adapter {
                name: name::Artifact::new("notes"),
                versions: versions(&["2", "1"]),
            }],
        }],
        services: vec![name::Service::new("booking")],
    }
}

fn rollout(name: &str, version: &str, stage: Stage) -> Rollout {
    Rollout {
        artifact: artifact::Id::new(name, version),
        pin: Pin {
            digest: Digest::of(b""),
            total_bytes: 0,
            chunks: 0,
        },
        stage,
        fence: Fence::default(),
    }
}

fn view(plan: &Plan, ready: &[(&str, &str)]) -> View {
    let customer = Customer {
        name: name::Customer::new("vaalkop"),
        plan: plan.name.clone(),
        key_digests: vec![Digest::of(b"key")],
    };
    let mut records = vec![Record::from(customer), Record::from(plan.clone())];
    records.push(rollout("tide", "3", Stage::Wave { width: 900 }).into());
    records.extend(
        ready
            .iter()
            .map(|(n, v)| Record::from(rollout(n, v, Stage::Ready))),
    );
    let mut view = View::default();
    view.apply(Batch {
        is_snapshot: true,
        deltas: records.into_iter().map(Delta::Set).collect(),
        revision: Revision(1),
        commit: 1,
        cursor: Cursor::default(),
        age_ms: 0,
        held_ms: 0,
    })
    .unwrap();
    view
}

#[test]
fn first_permitted_ready_version_is_served() {
    let ready = [("tide", "1"), ("tide", "2"), ("notes", "1")];
    let cases = [
        (&["3", "2", "1"][..], "tide", None, Some(("2", None))),
        (&["1", "2"], "tide", None, Some(("1", None))),
        (&["3"], "tide", None, None),
        (&["2", "1"], "tide@1", None, Some(("1", None))),
        (&["2"], "tide@1", None, None),
        (&["3", "2"], "tide@3", None, None),
        (&["2"], "reef", None, None),
        (&["2"], "tide", Some("notes"), Some(("2", Some("1")))),
        (&["2"], "tide", Some("notes@2"), None),
        (&["2"], "tide", Some("other"), None),
    ];
    for (list, model, adapter, expected) in cases {
        let plan = plan(list);
        let found = resolve::target(&view(&plan, &ready), &plan, model, adapter);
        let expected = expected.map(|(model, adapter)| Target {
            model: artifact::Id::new("tide", model),
            adapter: adapter.map(|version| artifact::Id::new("notes", version)),
        });
        assert_eq!(found.ok(), expected, "{list:?} {model} {adapter:?}");
    }
}

#[test]
fn errors_distinguish_missing_permission_from_missing_version() {
    let plan = plan(&["3"]);
    let view = view(&plan, &[]);
    let found = resolve::target(&view, &plan, "tide", None);
    assert!(matches!(found, Err(resolve::Error::NotInService { .. })));
    let found = resolve::target(&view, &plan, "reef", None);
    assert!(matches!(found, Err(resolve::Error::NotPermitted { .. })));
    assert_eq!(
        resolve::customer(&view, "other"),
        Err(resolve::Error::UnknownKey)
    );
    assert_eq!(
        resolve::customer(&view, "key").unwrap().name.as_str(),
        "vaalkop"
    );
    assert!(resolve::service(&plan, &name::Service::new("extras")).is_err());
}

#[test]
fn permission_follows_newest_lists() {
    let customer = name::Customer::new("vaalkop");
    let target = Target {
        model: artifact::Id::new("tide", "1"),
        adapter: None,
    };
    let with_adapter = Target {
        adapter: Some(artifact::Id::new("notes", "3")),
        ..target.clone()
    };
    let (before, after) = (view(&plan(&["1"]), &[]), view(&plan(&["2"]), &[]));
    assert!(resolve::is_permitted(&before, &customer, &target));
    assert!(!resolve::is_permitted(&before, &customer, &with_adapter));
    assert!(!resolve::is_permitted(&after, &customer, &target));
    assert!(!resolve::is_permitted(
        &before,
        &name::Customer::new("other"),
        &target
    ));
    let booking = name::Service::new("booking");
    assert!(resolve::is_service_permitted(&after, &customer, &booking));
}
