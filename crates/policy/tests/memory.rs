//! The memory budget: who gets memory when it is short, and that all of it comes back.

#![allow(clippy::unwrap_used)]

use policy::memory::{Memory, SMALL_BODY_BYTES, Use, budget};

const MB: usize = 1_000_000;

/// Fails where new work may take what running work needs: answers of instances were cut while
/// uploads waited.
#[test]
fn each_use_is_refused_before_the_ones_after_it() {
    let memory = Memory::new(100 * MB);
    let mut grants = Vec::new();
    for (place, wanted) in Use::ALL.into_iter().enumerate() {
        while let Ok(grant) = memory.take(wanted, MB) {
            grants.push(grant);
        }
        for earlier in &Use::ALL[..=place] {
            let short = memory.take(*earlier, MB).unwrap_err();
            assert_eq!((short.wanted, short.held), (*earlier, memory.held()));
        }
        for later in &Use::ALL[place + 1..] {
            assert!(memory.take(*later, MB).is_ok(), "{later} after {wanted}");
        }
    }
    assert_eq!(memory.held(), 100 * MB, "answers may have all that is left");
    assert!(memory.refused(Use::LargeBody) >= 4);
    drop(grants);
    assert_eq!(memory.held(), 0);
}

#[test]
fn what_is_refused_changes_nothing() {
    let memory = Memory::new(10 * MB);
    let mut grant = memory.take(Use::Answer, 4 * MB).unwrap();
    grant.resize(11 * MB).unwrap_err();
    grant.resize(usize::MAX).unwrap_err();
    grant.resize_as(Use::LargeBody, 8 * MB).unwrap_err();
    assert_eq!((grant.bytes(), memory.held()), (4 * MB, 4 * MB));
    grant.resize(MB).unwrap();
    assert_eq!(memory.held_for(Use::Answer), MB);
    let bytes = grant.cover(vec![7; 10].into());
    let clone = bytes.clone();
    drop(bytes);
    assert_eq!((clone.len(), memory.held()), (10, MB), "a clone is left");
    drop(clone);
    assert_eq!(memory.held(), 0);
}

/// Fails where a body that tells no length counts as small for ever, or is counted short of the
/// memory that its buffer has.
#[test]
fn a_body_without_a_length_becomes_a_large_one_as_it_grows() {
    let memory = Memory::new(10 * MB);
    let mut buffer = memory.buffer(Use::Request, 0).unwrap();
    let part = [1; 1_000];
    while buffer.len() < SMALL_BODY_BYTES / 2 {
        buffer.extend(&part).unwrap();
    }
    assert!(memory.held_for(Use::Request) >= buffer.len());
    assert_eq!(memory.held_for(Use::LargeBody), 0);
    while buffer.len() < 3 * MB {
        buffer.extend(&part).unwrap();
        assert!(memory.held() >= buffer.len());
    }
    assert_eq!(memory.held_for(Use::Request), 0);
    assert!(memory.held() < buffer.len() + 300_000, "little is unused");
    let refused = loop {
        if let Err(short) = buffer.extend(&part) {
            break short;
        }
    };
    assert_eq!(refused.wanted, Use::LargeBody);
    assert!(buffer.len() <= 5 * MB);
    let length = buffer.len();
    let bytes = buffer.into_bytes();
    assert!(bytes.len() == length && bytes.iter().all(|byte| *byte == 1));
    drop(bytes);
    assert_eq!(memory.held(), 0);
}

#[test]
fn the_budget_leaves_room_for_the_program() {
    for (memory, given) in [
        (0, 0),
        (48 * MB, 0),
        (128 * MB, 60 * MB),
        (160 * MB, 84 * MB),
    ] {
        assert_eq!(budget(memory), given, "{memory}");
    }
}

/// Any order of taking, resizing and giving back keeps the sum within the budget and exact.
#[test]
fn any_order_keeps_the_sum_exact() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, u16)>>()
        .for_each(|steps| {
            let memory = Memory::new(100_000);
            let mut grants = Vec::new();
            for (action, wanted, bytes) in steps {
                let wanted = Use::ALL[usize::from(*wanted) % Use::ALL.len()];
                let at = usize::from(*action) / 4;
                match (action % 4, grants.len()) {
                    (0, _) | (_, 0) => grants.extend(memory.take(wanted, (*bytes).into()).ok()),
                    (1, count) => drop(grants.swap_remove(at % count)),
                    (2, count) => drop(grants[at % count].resize((*bytes).into())),
                    (_, count) => drop(grants[at % count].resize_as(wanted, (*bytes).into())),
                }
                let sum: usize = grants.iter().map(policy::memory::Grant::bytes).sum();
                assert_eq!(memory.held(), sum);
                assert!(sum <= 100_000);
            }
            drop(grants);
            assert_eq!(memory.held(), 0);
        });
}
