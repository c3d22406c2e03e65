//! The ledger: the first of Start and Abandon to commit wins, and no call is granted twice.
#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};

use domain::{
    call::Attempt,
    digest::Digest,
    ledger::{Answer, Holder, Key, MAX_ANSWER_BYTES, Reply, Write},
};
use policy::ledger::Ledger;

const MAX_ENTRIES: u64 = 8;

fn key(n: u8) -> Key {
    Key {
        customer: "vaalkop".into(),
        idempotency_key: format!("key-{n}").into(),
        route: "POST /holds".into(),
    }
}

fn holder(n: u8) -> Holder {
    Holder {
        vm: "booking-1".into(),
        incarnation: n.into(),
    }
}

fn attempt(n: u8) -> Attempt {
    Attempt::from(u128::from(n))
}

fn body(n: u8) -> Digest {
    Digest::of(&[n])
}

fn answer(bytes: usize) -> Answer {
    Answer {
        status: 201,
        content_type: None,
        body: Some(vec![7; bytes]),
    }
}

fn start(a: u8, h: u8) -> Write {
    Write::Start {
        key: key(0),
        attempt: attempt(a),
        body: body(0),
        holder: holder(h),
    }
}

fn abandon(a: u8) -> Write {
    Write::Abandon {
        key: key(0),
        attempt: attempt(a),
        body: body(0),
    }
}

fn release(a: u8, h: u8) -> Write {
    Write::Release {
        key: key(0),
        attempt: attempt(a),
        holder: holder(h),
    }
}

fn finish(a: u8, h: u8) -> Write {
    Write::Finish {
        key: key(0),
        attempt: attempt(a),
        holder: holder(h),
        answer: answer(3),
    }
}

fn started(a: u8) -> Reply {
    Reply::Started {
        attempt: attempt(a),
    }
}

fn finished(a: u8) -> Reply {
    Reply::Finished {
        attempt: attempt(a),
        answer: answer(3),
    }
}

struct Case {
    name: &'static str,
    steps: Vec<(Write, Reply)>,
}

fn cases() -> Vec<Case> {
    use Reply::{Abandoned, Granted, NotHolder, Recorded};
    vec![
        Case {
            name: "a resent start is granted again only to the same holder",
            steps: vec![
                (start(1, 1), Granted),
                (start(1, 1), Granted),
                (start(1, 2), started(1)),
                (start(2, 1), started(1)),
            ],
        },
        Case {
            name: "an abandoned attempt never starts, but another one may",
            steps: vec![
                (abandon(1), Recorded),
                (abandon(1), Recorded),
                (start(1, 1), Abandoned),
                (start(2, 2), Granted),
            ],
        },
        Case {
            name: "a started attempt can't be abandoned",
            steps: vec![
                (start(1, 1), Granted),
                (abandon(1), started(1)),
                (abandon(2), started(1)),
            ],
        },
        Case {
            name: "an attempt abandoned during another's grant stays closed after the release",
            steps: vec![
                (start(1, 1), Granted),
                (abandon(2), started(1)),
                (release(1, 1), Recorded),
                (start(2, 2), Abandoned),
                (start(3, 2), Granted),
            ],
        },
        Case {
            name: "only the holder can release a grant, and only once",
            steps: vec![
                (start(1, 1), Granted),
                (release(1, 2), NotHolder),
                (release(2, 1), NotHolder),
                (release(1, 1), Recorded),
                (release(1, 1), Recorded),
                (start(1, 1), Abandoned),
                (start(2, 2), Granted),
                (release(1, 1), Recorded),
                (start(3, 3), started(2)),
            ],
        },
        Case {
            name: "a start that arrives after its release is not granted",
            steps: vec![(release(1, 1), Recorded), (start(1, 1), Abandoned)],
        },
        Case {
            name: "a finished call returns its answer and never starts again",
            steps: vec![
                (start(1, 1), Granted),
                (finish(1, 2), NotHolder),
                (finish(2, 1), NotHolder),
                (finish(1, 1), Recorded),
                (finish(1, 1), Recorded),
                (start(1, 1), finished(1)),
                (start(2, 2), finished(1)),
                (abandon(3), finished(1)),
                (release(1, 1), NotHolder),
            ],
        },
        Case {
            name: "an attempt without a grant can't finish",
            steps: vec![
                (finish(1, 1), NotHolder),
                (abandon(1), Recorded),
                (finish(1, 1), NotHolder),
            ],
        },
        Case {
            name: "a key with a different body is refused",
            steps: vec![
                (start(1, 1), Granted),
                (
                    Write::Start {
                        key: key(0),
                        attempt: attempt(2),
                        body: body(1),
                        holder: holder(1),
                    },
                    Reply::Mismatch,
                ),
                (
                    Write::Abandon {
                        key: key(0),
                        attempt: attempt(1),
                        body: body(1),
                    },
                    Reply::Mismatch,
                ),
            ],
        },
    ]
}

#[test]
fn replies_depend_on_the_order_of_writes() {
    for case in cases() {
        let mut ledger = Ledger::default();
        for (i, (write, expected)) in case.steps.into_iter().enumerate() {
            let reply = ledger.apply(write, MAX_ENTRIES, 0);
            assert_eq!(reply, expected, "{}, step {i}", case.name);
        }
    }
}

#[test]
fn full_ledger_refuses_only_new_calls() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.apply(start(1, 1), 1, 0), Reply::Granted);
    let other = Write::Abandon {
        key: key(1),
        attempt: attempt(1),
        body: body(0),
    };
    assert_eq!(ledger.apply(other.clone(), 1, 0), Reply::Full);
    assert_eq!(ledger.apply(finish(1, 1), 1, 10), Reply::Recorded);
    ledger.expire(11);
    assert!(ledger.is_empty());
    assert_eq!(ledger.apply(other, 1, 0), Reply::Recorded);
}

#[test]
fn started_call_does_not_expire() {
    let mut ledger = Ledger::default();
    ledger.apply(start(1, 1), MAX_ENTRIES, 0);
    ledger.expire(u64::MAX);
    assert_eq!(ledger.apply(start(2, 2), MAX_ENTRIES, 0), started(1));
}

#[test]
fn large_answer_body_is_not_stored() {
    let mut ledger = Ledger::default();
    ledger.apply(start(1, 1), MAX_ENTRIES, 0);
    let write = Write::Finish {
        key: key(0),
        attempt: attempt(1),
        holder: holder(1),
        answer: answer(MAX_ANSWER_BYTES + 1),
    };
    ledger.apply(write, MAX_ENTRIES, 0);
    match ledger.apply(start(2, 1), MAX_ENTRIES, 0) {
        Reply::Finished { answer, .. } => assert_eq!((answer.status, answer.body), (201, None)),
        reply => panic!("{reply:?}"),
    }
}

/// The invariants of the replies for one key, which hold for any order of writes.
#[derive(Default)]
struct Invariants {
    grant: Option<(Attempt, Holder)>,
    ran: BTreeSet<Attempt>,
    never: BTreeSet<Attempt>,
}

impl Invariants {
    fn check(&mut self, write: &Write, reply: &Reply) {
        match (write, reply) {
            (
                Write::Start {
                    attempt, holder, ..
                },
                Reply::Granted,
            ) => {
                let grant = (*attempt, holder.clone());
                assert!(self.ran.is_empty(), "granted after it ran");
                assert!(!self.never.contains(attempt), "granted after `not-run`");
                assert!(
                    self.grant.as_ref().is_none_or(|other| *other == grant),
                    "two grants"
                );
                self.grant = Some(grant);
            }
            (Write::Start { attempt, .. }, Reply::Abandoned)
            | (Write::Abandon { attempt, .. }, Reply::Recorded) => {
                self.never.insert(*attempt);
            }
            (Write::Release { attempt, .. }, Reply::Recorded) => {
                self.never.insert(*attempt);
                if self.grant.as_ref().is_some_and(|(a, _)| a == attempt) {
                    self.grant = None;
                }
            }
            (
                Write::Finish {
                    attempt, holder, ..
                },
                Reply::Recorded,
            ) => {
                assert_eq!(self.grant, Some((*attempt, holder.clone())));
                self.ran.insert(*attempt);
                assert_eq!(self.ran.len(), 1, "ran twice");
            }
            (_, Reply::Finished { attempt, .. }) => assert!(self.ran.contains(attempt)),
            (_, Reply::Started { attempt }) => {
                assert_eq!(self.grant.as_ref().map(|(a, _)| *a), Some(*attempt));
            }
            _ => {}
        }
    }
}

#[test]
fn random_writes_keep_the_invariants() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, u8)>>()
        .for_each(|steps| {
            let mut ledger = Ledger::default();
            let mut invariants: BTreeMap<Key, Invariants> = BTreeMap::new();
            for (kind, a, h) in steps {
                let key = key(kind / 128);
                let (attempt, holder) = (attempt(a % 4), holder(h % 3));
                let body = body(u8::from(*h > 250));
                let write = match kind % 4 {
                    0 => Write::Start {
                        key: key.clone(),
                        attempt,
                        body,
                        holder,
                    },
                    1 => Write::Abandon {
                        key: key.clone(),
                        attempt,
                        body,
                    },
                    2 => Write::Release {
                        key: key.clone(),
                        attempt,
                        holder,
                    },
                    _ => Write::Finish {
                        key: key.clone(),
                        attempt,
                        holder,
                        answer: answer(1),
                    },
                };
                let reply = ledger.apply(write.clone(), MAX_ENTRIES, 0);
                invariants.entry(key).or_default().check(&write, &reply);
            }
        });
}
