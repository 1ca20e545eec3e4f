//! What the holder of the lease writes of fatal requests.

use std::collections::BTreeSet;
use std::time::Duration;

use cloverbend::gateway::call_digest::CallDigest;
use cloverbend::gateway::fatal_sync::FatalStep;
use cloverbend::gateway::fatal_sync::FatalSync;
use cloverbend::quantity::Timestamp;

fn set(digests: &[u64]) -> BTreeSet<CallDigest> {
    digests.iter().map(|digest| CallDigest(*digest)).collect()
}

#[test]
fn a_new_holder_reads_first_and_writes_what_differs() {
    let mut desk = FatalSync::default();
    let now = Timestamp::from_millis(5_000);
    assert_eq!(desk.next_step(now, &set(&[1])), FatalStep::Read);
    assert_eq!(desk.note_read(now, set(&[2])), set(&[2]));
    let missing = desk.next_step(now, &set(&[1, 2]));
    assert_eq!(missing, FatalStep::Write(CallDigest(1)));
    let forgotten = desk.next_step(now, &set(&[]));
    assert_eq!(forgotten, FatalStep::Remove(CallDigest(2)));
    assert_eq!(desk.next_step(now, &set(&[2])), FatalStep::Wait);
    desk.reset();
    assert_eq!(desk.next_step(now, &set(&[2])), FatalStep::Read);
}

/// A former holder removes a request, and adds one, after the new holder has read.
#[test]
fn what_a_former_holder_wrote_late_is_made_good() {
    let mut desk = FatalSync::default();
    let now = Timestamp::from_millis(5_000);
    let known = set(&[1, 2]);
    desk.note_read(now, known.clone());
    let later = now.after(Duration::from_secs(60));
    assert_eq!(desk.next_step(later, &known), FatalStep::Read);
    let new = desk.note_read(later, set(&[2, 3]));
    assert_eq!(new, set(&[3]), "only these are new to the holder");
    let step = desk.next_step(later, &set(&[1, 2, 3]));
    assert_eq!(step, FatalStep::Write(CallDigest(1)));
}
