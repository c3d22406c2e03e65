//! Single rules of the replicated log that random faults seldom exercise.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, convert::Infallible, net::SocketAddr, time::Duration};

use domain::{
    clock::Instant,
    replica::{Body, Entry, Identity, Members, Message, Payload, Position},
};
use policy::replica::{
    Admission, Endpoint, HardState, JoinRequest, LEARNER_SILENCE, MAX_MEMBERS, Refusal, Replica,
    Role, Saved, Timing,
    bootstrap::{self, Probe, Step},
};
use rand::{SeedableRng, rngs::StdRng};

const GROUP: u64 = 9;
const A: Identity = Identity(1);
const B: Identity = Identity(2);
const C: Identity = Identity(3);

fn address(identity: Identity) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, identity.0 as u8], 1))
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn timing() -> Timing {
    let millis = std::time::Duration::from_millis;
    Timing::new(millis(50), millis(300))
}

fn members() -> Members {
    Members {
        group: GROUP,
        voters: [A, B, C].map(|id| (id, address(id))).into(),
        ..Members::default()
    }
}

/// A replica of a group of three. Its log has the initial members at index 1 and then one entry
/// for each of `terms`.
fn replica(identity: Identity, term: u64, terms: &[u64]) -> Replica {
    let first = Entry {
        term: 1,
        index: 1,
        payload: Payload::Members(members()),
    };
    let later = terms.iter().zip(2..).map(|(term, index)| Entry {
        term: *term,
        index,
        payload: Payload::Noop,
    });
    let saved = Saved {
        hard: HardState {
            term,
            group: GROUP,
            ..HardState::default()
        },
        entries: [first].into_iter().chain(later).collect(),
        ..Saved::default()
    };
    let address = address(identity);
    let endpoint = Endpoint { identity, address };
    Replica::new(endpoint, timing(), saved, StdRng::seed_from_u64(7), at(0))
}

fn message(from: Identity, to: Identity, term: u64, body: Body) -> Message {
    Message {
        group: GROUP,
        from,
        address: address(from),
        to,
        term,
        body,
    }
}

/// Does all work of the replica, with a disk that never fails, and returns its messages.
fn pump(replica: &mut Replica, now: Instant) -> Vec<Message> {
    let mut messages = Vec::new();
    loop {
        let ready = replica.ready();
        if ready.is_empty() {
            return messages;
        }
        messages.extend(ready.messages);
        if let Some(write) = ready.write {
            let Ok(synced) = write.persist(|_| Ok::<(), Infallible>(()));
            replica.advance(now, synced);
        }
    }
}

fn step(replica: &mut Replica, now: Instant, message: Message) -> Vec<Message> {
    replica.step(now, message);
    pump(replica, now)
}

/// Makes replica A the leader by the vote of B, and returns the time of the election.
fn elect(replica: &mut Replica) -> Instant {
    let now = at(10_000);
    replica.tick(now);
    pump(replica, now);
    let term = replica.term() + 1;
    let granted = Body::PreVoteReply { is_granted: true };
    step(replica, now, message(B, A, term, granted));
    let granted = Body::VoteReply { is_granted: true };
    step(replica, now, message(B, A, term, granted));
    assert_eq!((replica.role(), replica.term()), (Role::Leader, term));
    now
}

#[test]
fn vote_granted_only_to_up_to_date_log() {
    let mark = |term, index| Position { index, term };
    let cases = [
        (mark(3, 3), true, "the same log"),
        (mark(3, 4), true, "a longer log"),
        (mark(4, 2), true, "a newer last term"),
        (mark(3, 2), false, "a shorter log"),
        (mark(2, 9), false, "an older last term"),
    ];
    for (last, is_granted, what) in cases {
        let mut voter = replica(A, 3, &[2, 3]);
        let messages = step(
            &mut voter,
            at(10_000),
            message(B, A, 5, Body::Vote { last }),
        );
        let bodies: Vec<_> = messages.into_iter().map(|message| message.body).collect();
        assert_eq!(bodies, [Body::VoteReply { is_granted }], "{what}");
        let mut voter = replica(A, 3, &[2, 3]);
        let messages = step(
            &mut voter,
            at(10_000),
            message(B, A, 5, Body::PreVote { last }),
        );
        let bodies: Vec<_> = messages.into_iter().map(|message| message.body).collect();
        assert_eq!(bodies, [Body::PreVoteReply { is_granted }], "{what}");
    }
}

#[test]
fn one_vote_per_term() {
    let last = Position { index: 9, term: 9 };
    let mut voter = replica(A, 3, &[]);
    for (from, is_granted) in [(B, true), (C, false), (B, true)] {
        let messages = step(
            &mut voter,
            at(10_000),
            message(from, A, 4, Body::Vote { last }),
        );
        assert_eq!(messages[0].body, Body::VoteReply { is_granted }, "{from}");
    }
}

#[test]
fn reply_waits_for_durable_write() {
    let last = Position { index: 9, term: 9 };
    let mut voter = replica(A, 3, &[]);
    voter.step(at(10_000), message(B, A, 4, Body::Vote { last }));
    let ready = voter.ready();
    assert!(ready.write.is_some());
    assert!(ready.messages.is_empty());
    assert!(voter.ready().is_empty(), "the write is not durable yet");
}

#[test]
fn older_term_entry_not_committed_alone() {
    let mut leader = replica(A, 3, &[2, 3]);
    let now = elect(&mut leader);
    let answer = |index| Body::AppendReply {
        is_match: true,
        index,
        round: 0,
    };
    let term = leader.term();
    step(&mut leader, now, message(B, A, term, answer(3)));
    assert_eq!(leader.commit(), 0, "B holds only entries of older terms");
    step(&mut leader, now, message(B, A, term, answer(4)));
    assert_eq!(leader.commit(), 4);
}

#[test]
fn message_of_other_group_ignored() {
    let last = Position { index: 9, term: 9 };
    let mut voter = replica(A, 3, &[]);
    let foreign = Message {
        group: GROUP + 1,
        ..message(B, A, 4, Body::Vote { last })
    };
    assert_eq!(step(&mut voter, at(10_000), foreign), []);
    assert_eq!(voter.term(), 3);
}

#[test]
fn empty_replica_joins_only_one_group() {
    let endpoint = Endpoint {
        identity: A,
        address: address(A),
    };
    let rng = StdRng::seed_from_u64(7);
    let mut empty = Replica::new(endpoint, timing(), Saved::default(), rng, at(0));
    let last = Position { index: 1, term: 1 };
    step(
        &mut empty,
        at(10_000),
        message(B, A, 2, Body::Vote { last }),
    );
    assert_eq!(empty.group(), GROUP);
    let foreign = Message {
        group: GROUP + 1,
        ..message(C, A, 9, Body::Vote { last })
    };
    assert_eq!(step(&mut empty, at(10_000), foreign), []);
    empty.bootstrap(members());
    assert_eq!(
        empty.members(),
        &Members::default(),
        "a replica with a group bootstrapped another one"
    );
}

#[test]
fn stale_append_reply_confirms_no_round() {
    let mut follower = replica(A, 5, &[]);
    let heartbeat = Body::Append {
        prev: Position { index: 1, term: 1 },
        entries: Vec::new(),
        commit: 1,
        round: 500,
    };
    let messages = step(&mut follower, at(10_000), message(B, A, 4, heartbeat));
    let Body::AppendReply {
        is_match, round, ..
    } = messages[0].body
    else {
        panic!("{messages:?}");
    };
    assert_eq!((is_match, round), (false, 0));
}

#[test]
fn learner_forgets_silent_leader() {
    let mut learner = replica(Identity(4), 2, &[]);
    let heartbeat = Body::Append {
        prev: Position { index: 1, term: 1 },
        entries: Vec::new(),
        commit: 1,
        round: 1,
    };
    step(&mut learner, at(100), message(A, Identity(4), 2, heartbeat));
    assert_eq!(learner.leader(), Some(A));
    learner.tick(at(10_000));
    assert_eq!((learner.leader(), learner.role()), (None, Role::Follower));
}

#[test]
fn bootstrap_requires_all_replicas_empty() {
    let addresses = [A, B, C].map(address);
    let empty = |identity| Some(Probe { identity, group: 0 });
    let member = |identity| {
        Some(Probe {
            identity,
            group: GROUP,
        })
    };
    let voters = |step: &Step| match step {
        Step::Bootstrap(members) => members.voters.len(),
        Step::Wait => 0,
        Step::Join => 100,
    };
    let cases = [
        (A, [empty(A), empty(B), empty(C)], 3, "all empty"),
        (
            B,
            [empty(A), empty(B), empty(C)],
            0,
            "only the smallest identity bootstraps",
        ),
        (A, [empty(A), empty(B), None], 0, "one does not answer"),
        (A, [empty(A), None, None], 0, "two don't answer"),
        (
            A,
            [empty(A), empty(B), member(C)],
            100,
            "two of three lost their disks",
        ),
        (
            A,
            [empty(A), None, member(C)],
            100,
            "one has a group, one does not answer",
        ),
    ];
    for (own, answers, expected, what) in cases {
        let answers: BTreeMap<_, _> = addresses
            .into_iter()
            .zip(answers)
            .filter_map(|(address, probe)| Some((address, probe?)))
            .collect();
        let step = bootstrap::decide(own, &addresses, &answers);
        assert_eq!(voters(&step), expected, "{what}");
    }
}

#[test]
fn bootstrap_limits_voters_to_five() {
    let identities: Vec<_> = (1..=16).map(Identity).collect();
    let addresses: Vec<_> = identities.iter().copied().map(address).collect();
    let answers = identities
        .iter()
        .map(|id| {
            (
                address(*id),
                Probe {
                    identity: *id,
                    group: 0,
                },
            )
        })
        .collect();
    let Step::Bootstrap(members) = bootstrap::decide(A, &addresses, &answers) else {
        panic!("no bootstrap");
    };
    assert_eq!((members.voters.len(), members.learners.len()), (5, 11));
}

#[test]
fn vote_in_current_term_is_persisted() {
    let mut voter = replica(A, 4, &[]);
    let last = Position { index: 9, term: 9 };
    voter.step(at(10_000), message(B, A, 4, Body::Vote { last }));
    let mut vote = None;
    let write = voter.ready().write.unwrap();
    let _ = write.persist(|batch| {
        vote = batch.hard.vote;
        Ok::<(), Infallible>(())
    });
    assert_eq!(vote, Some(B));
}

#[test]
fn replacement_entry_applied_only_once_durable() {
    let mut follower = replica(A, 3, &[2, 2]);
    let entry = Entry {
        term: 3,
        index: 2,
        payload: Payload::Noop,
    };
    let append = Body::Append {
        prev: Position { index: 1, term: 1 },
        entries: vec![entry.clone()],
        commit: 2,
        round: 1,
    };
    follower.step(at(100), message(B, A, 3, append));
    let ready = follower.ready();
    assert!(ready.committed.iter().all(|committed| committed.index < 2));
    let Ok(synced) = ready.write.unwrap().persist(|_| Ok::<(), Infallible>(()));
    follower.advance(at(100), synced);
    assert_eq!(follower.ready().committed, [entry]);
}

/// If the reply waited for the write, a leader would consider a follower with a slow disk failed.
#[test]
fn heartbeat_reply_not_delayed_by_write() {
    let mut follower = replica(B, 3, &[2, 3]);
    let prev = Position { term: 3, index: 3 };
    let entries = vec![Entry {
        term: 3,
        index: 4,
        payload: Payload::Noop,
    }];
    let append = |prev, entries, round| Body::Append {
        prev,
        entries,
        commit: 1,
        round,
    };
    follower.step(at(10), message(A, B, 3, append(prev, entries, 1)));
    let write = follower.ready().write.unwrap();
    let prev = Position { term: 3, index: 4 };
    follower.step(at(20), message(A, B, 3, append(prev, Vec::new(), 2)));
    let ready = follower.ready();
    assert!(ready.write.is_none(), "two writes at once");
    let bodies: Vec<_> = ready.messages.into_iter().map(|sent| sent.body).collect();
    let reply = |index, round| Body::AppendReply {
        is_match: true,
        index,
        round,
    };
    // Only durable entries count as matched.
    assert_eq!(bodies, [reply(3, 2)]);
    let Ok(synced) = write.persist(|_| Ok::<(), Infallible>(()));
    follower.advance(at(30), synced);
    let messages = pump(&mut follower, at(30));
    let bodies: Vec<_> = messages.into_iter().map(|sent| sent.body).collect();
    assert_eq!(bodies, [reply(4, 1), reply(4, 2)]);
}

/// Fails where a leader whose disk is full goes on leading: it could neither apply nor acknowledge
/// what the others commit.
#[test]
fn a_replica_whose_disk_is_full_neither_leads_nor_votes_until_it_has_room() {
    let mut leader = replica(A, 1, &[]);
    let elected_at = elect(&mut leader);
    leader.propose(elected_at, vec![1]).unwrap();
    let write = leader.ready().write.expect("the entry is written");
    leader.stall(elected_at);
    assert_eq!(leader.role(), Role::Follower);
    // It does not campaign, however long it hears of nobody.
    for millis in (0..20_000).step_by(100) {
        let now = elected_at + std::time::Duration::from_millis(millis);
        leader.tick(now);
        let ready = leader.ready();
        assert!(
            ready.messages.is_empty() && ready.write.is_none(),
            "{millis} ms"
        );
    }
    // A vote that it can't write is not given.
    let now = elected_at + std::time::Duration::from_secs(20);
    let last = Position { index: 9, term: 9 };
    leader.step(now, message(B, A, 9, Body::Vote { last }));
    assert!(leader.ready().messages.is_empty());
    // There is room again.
    let Ok(synced) = write.persist(|_| Ok::<(), Infallible>(()));
    leader.advance(now, synced);
    let bodies: Vec<_> = pump(&mut leader, now)
        .into_iter()
        .map(|message| message.body)
        .collect();
    assert_eq!(bodies, [Body::VoteReply { is_granted: true }]);
    let later = now + std::time::Duration::from_secs(20);
    leader.tick(later);
    assert!(!pump(&mut leader, later).is_empty(), "it campaigns again");
}

/// Lets the leader run for `span`, with the given followers answering and all others silent.
fn run(leader: &mut Replica, from: Instant, span: Duration, answering: &[Identity]) -> Instant {
    let end = from + span;
    let mut now = from;
    while now < end {
        now = now + Duration::from_millis(50);
        leader.tick(now);
        let mut messages = pump(leader, now);
        while let Some(Message { to, term, body, .. }) = messages.pop() {
            let Body::Append {
                prev,
                entries,
                round,
                ..
            } = body
            else {
                continue;
            };
            let reply = Body::AppendReply {
                is_match: true,
                index: prev.index + entries.len() as u64,
                round,
            };
            if answering.contains(&to) {
                messages.extend(step(leader, now, message(to, A, term, reply)));
            }
        }
    }
    now
}

fn admit(leader: &mut Replica, now: Instant, identity: Identity) -> Result<Admission, Refusal> {
    let request = JoinRequest {
        identity,
        address: address(identity),
        replaces: None,
    };
    leader.admit(now, request)
}

/// Guards against machines that are gone for good filling up the group, after which it admits no
/// successors.
#[test]
fn replaced_learners_make_room_for_their_successors() {
    let cases = [
        (2 * LEARNER_SILENCE, "one after another"),
        (
            Duration::from_secs(1),
            "faster than the silent ones are removed",
        ),
    ];
    for (pause, what) in cases {
        let mut leader = replica(A, 3, &[]);
        let mut now = elect(&mut leader);
        now = run(&mut leader, now, Duration::from_secs(1), &[B, C]);
        for number in 10..60 {
            let admission = admit(&mut leader, now, Identity(number));
            assert_eq!(admission, Ok(Admission::Learner), "{number}, {what}");
            now = run(&mut leader, now, pause, &[B, C, Identity(number)]);
            let members = leader.members();
            assert!(members.addresses().len() <= MAX_MEMBERS, "{what}");
            assert!(members.learners.contains_key(&Identity(number)), "{what}");
        }
        run(&mut leader, now, 2 * LEARNER_SILENCE, &[B, C]);
        assert_eq!(leader.members().learners, BTreeMap::new(), "{what}");
    }
}

#[test]
fn learners_that_answer_keep_their_places_in_a_full_group() {
    let mut leader = replica(A, 3, &[]);
    let mut now = elect(&mut leader);
    let mut answering = vec![B, C];
    now = run(&mut leader, now, Duration::from_secs(1), &answering);
    for number in 4..=MAX_MEMBERS as u64 {
        admit(&mut leader, now, Identity(number)).unwrap();
        answering.push(Identity(number));
        now = run(&mut leader, now, Duration::from_secs(1), &answering);
    }
    now = run(&mut leader, now, 2 * LEARNER_SILENCE, &answering);
    let refused = admit(&mut leader, now, Identity(60));
    assert_eq!(refused, Err(Refusal::Full));
    assert_eq!(leader.members().addresses().len(), MAX_MEMBERS);
}

/// Guards against a leader that was paused taking all its learners for lost ones.
#[test]
fn a_leader_out_of_contact_removes_no_learner() {
    let mut leader = replica(A, 3, &[]);
    let mut now = elect(&mut leader);
    now = run(&mut leader, now, Duration::from_secs(1), &[B, C]);
    admit(&mut leader, now, Identity(10)).unwrap();
    now = run(
        &mut leader,
        now,
        Duration::from_secs(1),
        &[B, C, Identity(10)],
    );
    let woken = now + 2 * LEARNER_SILENCE;
    let (index, term) = (leader.commit(), leader.term());
    let reply = Body::AppendReply {
        is_match: true,
        index,
        round: 1,
    };
    leader.propose(woken, vec![1]).unwrap();
    step(&mut leader, woken, message(B, A, term, reply));
    let learners = &leader.members().learners;
    assert!(learners.contains_key(&Identity(10)), "{learners:?}");
}
