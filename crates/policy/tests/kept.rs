//! Unfinished answers and their limits.

#![allow(clippy::unwrap_used)]

use policy::kept::{Exceeded, Kept};

#[test]
fn one_answer_and_all_together_have_limits() {
    let kept = Kept::new(10, 15);
    let (mut first, mut second) = (kept.share(), kept.share());
    assert_eq!(first.extend(&[0; 10]), Ok(()));
    assert_eq!(first.extend(&[0; 1]), Err(Exceeded::One(10)));
    drop(first);
    let mut third = kept.share();
    assert_eq!(third.extend(&[0; 10]), Ok(()), "the share was given back");
    assert_eq!(second.extend(&[0; 5]), Ok(()));
    assert_eq!(second.extend(&[0; 1]), Err(Exceeded::All(15)));
}

#[test]
fn parts_of_any_length_make_the_same_answer() {
    let answer: Vec<u8> = (0..100_000_u32).map(|number| number as u8).collect();
    for length in [1, 7, 16 * 1024, 16 * 1024 + 1, 50_000, 100_000] {
        let mut share = Kept::new(answer.len(), answer.len()).share();
        for part in answer.chunks(length) {
            share.extend(part).unwrap();
        }
        assert_eq!(share.into_bytes(), answer, "parts of {length} bytes");
    }
    assert!(Kept::new(1, 1).share().into_bytes().is_empty());
}
