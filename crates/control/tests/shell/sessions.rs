//! Sessions of VMs over the wire, and what of them subscribers hear.

use std::time::Duration;

use domain::{
    artifact,
    record::{Cursor, Delta, Record},
    vm::{Holding, Lifecycle, Status},
};
use peer::control::{Scope, Session};

use crate::node::{Node, announcement, poll, run, status};

/// What each scope hears since its cursor.
struct Ears {
    session: Session,
    entry: Cursor,
    agent: Cursor,
}

impl Ears {
    async fn new(node: &Node) -> Self {
        let mut ears = Self {
            session: node.session().await,
            entry: Cursor::default(),
            agent: Cursor::default(),
        };
        ears.hear().await;
        ears
    }

    /// How many deltas an entry and an agent get.
    async fn hear(&mut self) -> (usize, usize) {
        let entry = self.session.poll(poll(self.entry, Scope::Entry, 0));
        let entry = entry.await.unwrap();
        let agent = self.session.poll(poll(self.agent, Scope::Agent, 0));
        let agent = agent.await.unwrap();
        (self.entry, self.agent) = (entry.cursor, agent.cursor);
        (entry.deltas.len(), agent.deltas.len())
    }
}

fn holding(holding: Holding) -> Status {
    Status {
        holdings: [(artifact::Id::new("draft", "1"), holding)].into(),
        ..status(Lifecycle::Cold)
    }
}

fn limit(limit: u32) -> Status {
    Status {
        limit,
        ..status(Lifecycle::Warm)
    }
}

#[test]
fn subscribers_hear_only_what_they_act_on() {
    let steps = [
        ("a VM announces itself", status(Lifecycle::Cold), (1, 1)),
        (
            "it fetches",
            holding(Holding::Fetching { chunks: 1 }),
            (0, 0),
        ),
        (
            "it goes on",
            holding(Holding::Fetching { chunks: 2 }),
            (0, 0),
        ),
        ("it holds all", holding(Holding::Held), (0, 0)),
        ("it loads", holding(Holding::Loading), (0, 0)),
        ("it serves", holding(Holding::Serving), (1, 0)),
        ("nothing changes", holding(Holding::Serving), (0, 0)),
        ("it turns warm", status(Lifecycle::Warm), (1, 0)),
        ("it bears a little more", limit(5), (0, 0)),
        ("it bears twice as much", limit(8), (1, 0)),
        ("it drains", status(Lifecycle::Draining), (1, 1)),
        ("it is gone", status(Lifecycle::Gone), (1, 1)),
    ];
    run(async {
        let node = Node::start().await;
        let mut ears = Ears::new(&node).await;
        let agent = node.session().await;
        for (step, status, expected) in steps {
            agent.announce(&announcement(1, 1), &status).await.unwrap();
            assert_eq!(ears.hear().await, expected, "{step}");
        }
    });
}

#[test]
fn a_session_is_known_until_it_ends() {
    run(async {
        let node = Node::start().await;
        let agent = node.session().await;
        let who = announcement(1, 2);
        assert!(!agent.heartbeat(&who.vm, 2).await.unwrap());
        agent
            .announce(&who, &status(Lifecycle::Warm))
            .await
            .unwrap();
        assert!(agent.heartbeat(&who.vm, 2).await.unwrap());
        assert!(!agent.heartbeat(&who.vm, 1).await.unwrap());
        let old = (announcement(1, 1), status(Lifecycle::Warm));
        let refused = agent.announce(&old.0, &old.1).await.unwrap_err();
        assert!(refused.to_string().contains("older"), "{refused}");
        agent.leave(&who.vm, 2).await.unwrap();
        let question = poll(Cursor::default(), Scope::Entry, 0);
        let batch = agent.poll(question).await.unwrap();
        let is_vm = |delta: &Delta| matches!(delta, Delta::Set(Record::Vm(_)));
        assert!(!batch.deltas.iter().any(is_vm));
    });
}

#[test]
fn a_replica_that_is_cut_off_takes_no_sessions() {
    run(async {
        let node = Node::start().await;
        node.log.set_age(Some(Duration::from_secs(3)));
        let agent = node.session().await;
        let who = announcement(1, 1);
        assert!(
            agent
                .announce(&who, &status(Lifecycle::Warm))
                .await
                .is_err()
        );
        assert!(agent.heartbeat(&who.vm, 1).await.is_err());
    });
}
