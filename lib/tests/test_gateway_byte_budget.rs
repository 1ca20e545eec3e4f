//! Tests of the budget for request and response bodies that an entry buffers.

use std::sync::Arc;

use cloverbend::gateway::byte_budget::BudgetExhausted;
use cloverbend::gateway::byte_budget::BudgetedBuffer;
use cloverbend::gateway::byte_budget::ByteBudget;
use rstest::rstest;

#[test]
fn bytes_stay_reserved_until_their_last_clone_is_dropped() {
    let budget = Arc::new(ByteBudget::new(10));
    let mut buffer = BudgetedBuffer::new(&budget);
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
fn bytes_beyond_the_budget_are_not_reserved() {
    let budget = Arc::new(ByteBudget::new(10));
    let mut first = BudgetedBuffer::new(&budget);
    let mut second = BudgetedBuffer::new(&budget);
    first.push(&[1; 8]).unwrap();
    assert_eq!(second.push(&[2; 3]), Err(BudgetExhausted));
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
fn a_quarter_of_the_memory_is_for_buffered_bodies(#[case] memory_mb: f64, #[case] limit: usize) {
    let budget = ByteBudget::from_memory_mb(memory_mb);
    assert!(budget.has_room(limit));
    assert!(!budget.has_room(limit + 1));
}
