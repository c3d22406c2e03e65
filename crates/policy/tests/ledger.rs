//! The ledger: whichever of Start and Abandon commits first wins, and no call is granted twice.
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
            name: "a resent start of the same holder is granted again, another's is not",
            steps: vec![
                (start(1, 1), Granted),
                (start(1, 1), Granted),
                (start(1, 2), started(1)),
                (start(2, 1), started(1)),
            ],
        },
        Case {
            name: "abandoned first: it never starts, and another attempt may",
            steps: vec![
                (abandon(1), Recorded),
                (abandon(1), Recorded),
                (start(1, 1), Abandoned),
                (start(2, 2), Granted),
            ],
        },
        Case {
            name: "started first: it can't be abandoned",
            steps: vec![
                (start(1, 1), Granted),
                (abandon(1), started(1)),
                (abandon(2), started(1)),
            ],
        },
        Case {
            name: "an attempt given up while another holds the grant stays closed after its release",
            steps: vec![
                (start(1, 1), Granted),
                (abandon(2), started(1)),
                (release(1, 1), Recorded),
                (start(2, 2), Abandoned),
                (start(3, 2), Granted),
            ],
        },
        Case {
            name: "only the holder gives a grant back, once",
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
            name: "a start that comes after its release is not granted",
            steps: vec![(release(1, 1), Recorded), (start(1, 1), Abandoned)],
        },
        Case {
            name: "a finished call is answered and never started again",
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
            name: "nothing finishes that was not granted",
            steps: vec![
                (finish(1, 1), NotHolder),
                (abandon(1), Recorded),
                (finish(1, 1), NotHolder),
            ],
        },
        Case {
            name: "a key with another body is refused",
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
fn writes_get_the_reply_that_their_order_asks_for() {
    for case in cases() {
        let mut ledger = Ledger::default();
        for (i, (write, expected)) in case.steps.into_iter().enumerate() {
            let reply = ledger.apply(write, MAX_ENTRIES, 0);
            assert_eq!(reply, expected, "{}, step {i}", case.name);
        }
    }
}

#[test]
fn a_full_ledger_refuses_new_calls_and_still_serves_known_ones() {
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
fn a_started_call_is_never_forgotten() {
    let mut ledger = Ledger::default();
    ledger.apply(start(1, 1), MAX_ENTRIES, 0);
    ledger.expire(u64::MAX);
    assert_eq!(ledger.apply(start(2, 2), MAX_ENTRIES, 0), started(1));
}

#[test]
fn a_large_answer_is_not_kept() {
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

/// What must hold of the replies for one key, whatever the order of writes.
#[derive(Default)]
struct Promises {
    grant: Option<(Attempt, Holder)>,
    ran: BTreeSet<Attempt>,
    never: BTreeSet<Attempt>,
}

impl Promises {
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
fn no_order_of_writes_grants_a_call_twice_or_makes_not_run_untrue() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, u8)>>()
        .for_each(|steps| {
            let mut ledger = Ledger::default();
            let mut promises: BTreeMap<Key, Promises> = BTreeMap::new();
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
                promises.entry(key).or_default().check(&write, &reply);
            }
        });
}
