//! Edits over the operators' interface: manifests, objections, resends, access.

use std::net::SocketAddr;

use domain::{
    artifact,
    edit::{Change, Edit, Outcome, Revision},
    lists::{Customer, Grant, Lists, Plan},
    rollout::Stage,
    vm::Lifecycle,
};
use fakes::origin::{Config, Origin, Spec};

use crate::node::{Node, OPERATOR_KEY, accepted, announcement, edit, run, status, zone};

fn lists() -> Lists {
    Lists {
        customers: vec![Customer {
            name: "skipper".into(),
            plan: "gold".into(),
            key_digests: Vec::new(),
        }],
        plans: vec![Plan {
            name: "gold".into(),
            share: 1,
            models: vec![Grant {
                model: "draft".into(),
                versions: vec!["1".into()],
                adapters: Vec::new(),
            }],
            services: vec!["berths".into()],
        }],
    }
}

fn apply(id: &str, base: u64) -> Edit {
    Edit {
        base: Some(Revision(base)),
        ..edit(id, Change::Lists(lists()))
    }
}

fn paths(answer: &Outcome) -> Vec<&str> {
    match answer {
        Outcome::Refused { violations } => violations.iter().map(|v| v.path.as_str()).collect(),
        _ => Vec::new(),
    }
}

async fn origin() -> Origin {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Origin::start(any, Config::default()).await.unwrap()
}

#[test]
fn the_manifest_is_pinned_when_the_edit_is_accepted() {
    run(async {
        let origin = origin().await;
        let id = artifact::Id::new("draft", "1");
        let pin = origin.add(&Spec::new(id.clone(), 100_000));
        let node = Node::start_with_origin(origin.addr()).await;
        let operator = node.operator();
        assert_eq!(operator.check(&lists()).await.unwrap(), []);
        let answer = operator.edit(&apply("a", 0)).await.unwrap();
        assert_eq!(answer, accepted(1));
        let rollout = operator.rollout(&id).await.unwrap();
        assert_eq!((rollout.pin, rollout.stage), (pin, Stage::Prefetch));
        let shown = operator.lists().await.unwrap();
        assert_eq!((shown.revision, shown.lists), (Revision(1), lists()));
        let history = operator.history().await.unwrap();
        assert_eq!(history[0].author.as_deref(), Some("test"));
    });
}

#[test]
fn an_unreadable_manifest_refuses_the_edit_and_each_resend() {
    run(async {
        let origin = origin().await;
        let node = Node::start_with_origin(origin.addr()).await;
        let operator = node.operator();
        let refused = operator.edit(&apply("a", 0)).await.unwrap();
        assert_eq!(paths(&refused), ["$.plans[0].models[0].versions[0]"]);
        origin.add(&Spec::new(artifact::Id::new("draft", "1"), 10));
        assert_eq!(operator.edit(&apply("a", 0)).await.unwrap(), refused);
        let fresh = operator.edit(&apply("b", 0)).await.unwrap();
        assert_eq!(fresh, accepted(1));
    });
}

#[test]
fn a_zone_or_drain_that_leaves_nothing_needs_the_operators_word() {
    run(async {
        let origin = origin().await;
        origin.add(&Spec::new(artifact::Id::new("draft", "1"), 10));
        let node = Node::start_with_origin(origin.addr()).await;
        let operator = node.operator();
        operator.edit(&apply("lists", 0)).await.unwrap();
        let agent = node.session().await;
        for n in [1, 2] {
            let who = announcement(n, 1);
            agent
                .announce(&who, &status(Lifecycle::Warm))
                .await
                .unwrap();
        }
        let durban = edit("d", zone("durban", false));
        assert_eq!(operator.edit(&durban).await.unwrap(), accepted(2));
        let saldanha = edit("s", zone("saldanha", false));
        let refused = operator.edit(&saldanha).await.unwrap();
        assert_eq!(paths(&refused), ["$.change.zone.zone"]);
        let drain = Change::Drain {
            vm: announcement(1, 1).vm,
            is_draining: true,
        };
        let refused = operator.edit(&edit("v", drain)).await.unwrap();
        assert_eq!(paths(&refused), ["$.change.drain.vm"]);
        let insisted = Edit {
            allow_outage: true,
            ..edit("t", zone("saldanha", false))
        };
        assert_eq!(operator.edit(&insisted).await.unwrap(), accepted(3));
        let zones = operator.zones().await.unwrap();
        assert!(zones.iter().all(|zone| !zone.in_service && zone.vms == 1));
    });
}

#[test]
fn only_operators_are_let_in_and_bodies_are_bounded() {
    run(async {
        let node = Node::start().await;
        for key in ["", "wrong", &OPERATOR_KEY[1..]] {
            let stranger = operator::Client::new(vec![node.operator_addr], key);
            let refused = stranger.lists().await.unwrap_err();
            assert!(
                matches!(refused, operator::Error::Access { .. }),
                "{refused}"
            );
        }
        let long = "x".repeat(operator::router::MAX_BODY_BYTES);
        let refused = node.operator().edit(&edit(&long, zone("a", true))).await;
        let refused = refused.unwrap_err();
        assert!(
            matches!(refused, operator::Error::Refused { .. }),
            "{refused}"
        );
        assert_eq!(node.core.state().revision(), Revision(0));
    });
}
