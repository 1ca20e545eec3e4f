//! The budget of bytes that an entry holds.

use std::sync::Arc;

use cloverbend::gateway::byte_budget::ByteBudget;
use cloverbend::gateway::byte_budget::HeldBuffer;
use cloverbend::gateway::byte_budget::NoRoom;
use rstest::rstest;

#[test]
fn bytes_count_until_their_last_clone_is_dropped() {
    let budget = Arc::new(ByteBudget::new(10));
    let mut buffer = HeldBuffer::new(&budget);
    buffer.push(b"abcd").unwrap();
    buffer.push(b"ef").unwrap();
    let bytes = buffer.freeze();
    let clone = bytes.slice(2..3);
    drop(bytes);
    assert_eq!((budget.used(), clone.as_ref()), (6, b"c".as_ref()));
    drop(clone);
    assert_eq!(budget.used(), 0);
}

#[test]
fn what_does_not_fit_is_not_taken() {
    let budget = Arc::new(ByteBudget::new(10));
    let mut first = HeldBuffer::new(&budget);
    let mut second = HeldBuffer::new(&budget);
    first.push(&[1; 8]).unwrap();
    assert_eq!(second.push(&[2; 3]), Err(NoRoom));
    assert!(second.is_empty());
    second.push(&[2; 2]).unwrap();
    drop(first);
    second.push(&[2; 3]).unwrap();
    assert_eq!(second.freeze().as_ref(), [2; 5]);
    assert_eq!(budget.used(), 0);
}

#[rstest]
#[case::weakest_vm(160.0, 40_000_000)]
#[case::none(0.0, 0)]
#[case::negative(-1.0, 0)]
#[case::not_a_number(f64::NAN, 0)]
fn a_quarter_of_the_memory_is_for_bodies_and_answers(#[case] memory_mb: f64, #[case] limit: usize) {
    let budget = ByteBudget::of_memory(memory_mb);
    assert!(budget.has_room(limit));
    assert!(!budget.has_room(limit + 1));
}
