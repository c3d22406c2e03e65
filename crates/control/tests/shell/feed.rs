//! The feed: its age, its refusals, and that no subscriber ever falls back.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use domain::{edit::Revision, record::Cursor};
use peer::{
    control::Scope,
    seeds::Seeds,
    uplink::{Client, Config},
};
use tokio::time;

use crate::node::{Node, dialer, edit, poll, run, zone};

#[test]
fn a_replica_fed_late_tells_a_larger_age() {
    run(async {
        let node = Node::start().await;
        let session = node.session().await;
        let age = async || {
            let batch = session.poll(poll(Cursor::default(), Scope::Entry, 0)).await;
            batch.unwrap().age_ms
        };
        node.log.set_age(Some(Duration::from_millis(20)));
        assert_eq!(age().await, 20);
        node.log.set_age(Some(Duration::from_micros(700_001)));
        assert_eq!(age().await, 701, "an age is rounded up");
    });
}

#[test]
fn a_replica_without_a_confirmed_state_sends_its_subscribers_away() {
    run(async {
        let node = Node::start().await;
        let session = node.session().await;
        for age in [None, Some(Duration::from_millis(2_001))] {
            node.log.set_age(age);
            let refused = session.poll(poll(Cursor::default(), Scope::Entry, 0)).await;
            let reason = refused.unwrap_err().to_string();
            assert!(reason.contains("no quorum has confirmed"), "{reason}");
        }
        node.log.set_age(Some(Duration::ZERO));
        let question = poll(Cursor::default(), Scope::Entry, 0);
        let cursor = session.poll(question).await.unwrap().cursor;
        let waiting = session.poll(poll(cursor, Scope::Entry, 300));
        let cut = async {
            time::sleep(Duration::from_millis(50)).await;
            node.log.set_age(None);
        };
        let (answer, ()) = tokio::join!(waiting, cut);
        assert!(answer.is_err(), "the state grew old during the wait");
    });
}

/// Where every replica starts anew, subscribers would else come back a pause too late.
#[test]
fn a_replica_that_has_just_started_holds_its_subscribers_until_a_quorum_confirms() {
    run(async {
        let node = Node::start().await;
        let session = node.session().await;
        node.log.set_age(None);
        let held = session.poll(poll(Cursor::default(), Scope::Entry, 10_000));
        let confirm = async {
            time::sleep(Duration::from_millis(50)).await;
            node.log.set_age(Some(Duration::ZERO));
        };
        let (answer, ()) = tokio::join!(held, confirm);
        answer.unwrap();
    });
}

#[test]
fn an_edit_reaches_a_waiting_subscriber_as_one_delta() {
    run(async {
        let node = Node::start().await;
        let session = node.session().await;
        let first = poll(Cursor::default(), Scope::Entry, 0);
        let snapshot = session.poll(first).await.unwrap();
        assert!(snapshot.is_snapshot);
        let waiting = session.poll(poll(snapshot.cursor, Scope::Entry, 5_000));
        let operator = node.operator();
        let out = edit("out", zone("durban", false));
        let (batch, answer) = tokio::join!(waiting, operator.edit(&out));
        answer.unwrap();
        let batch = batch.unwrap();
        assert_eq!((batch.is_snapshot, batch.deltas.len()), (false, 1));
        assert_eq!(batch.revision, Revision(1));
    });
}

#[test]
fn a_subscriber_never_falls_to_an_older_state() {
    run(async {
        let (ahead, behind) = (Node::start().await, Node::start().await);
        // The order in which replicas are tried depends on their ports.
        behind.log.set_age(None);
        for (id, in_service) in [("a", false), ("b", true), ("c", false)] {
            let change = edit(id, zone("durban", in_service));
            ahead.operator().edit(&change).await.unwrap();
        }
        let config = |control: Vec<SocketAddr>| Config {
            vm: "entry-1".into(),
            zone: "durban".into(),
            control: Seeds::new(control),
            dialer: dialer(),
            scope: Scope::Entry,
            logger: telemetry::log::discard(),
        };
        let clock = Arc::new(host::clock::Boot);
        let both = vec![ahead.peer_addr, behind.peer_addr];
        let link = Client::new(config(both), clock, None).unwrap();
        let revision = || link.feed().view.revision;
        ahead.wait_until(|_| revision() >= Revision(3)).await;
        ahead.log.set_age(None);
        behind.log.set_age(Some(Duration::ZERO));
        for _ in 0..100 {
            time::sleep(Duration::from_millis(10)).await;
            assert_eq!(revision(), Revision(3));
        }
        for (id, in_service) in [("a", false), ("b", true), ("c", false), ("d", true)] {
            let change = edit(id, zone("durban", in_service));
            behind.operator().edit(&change).await.unwrap();
        }
        behind.wait_until(|_| revision() >= Revision(4)).await;
        assert!(link.feed().view.zones_out.is_empty());
    });
}
