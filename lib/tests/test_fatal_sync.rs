//! Checks what the lease holder reads and writes of fatal requests.

use std::collections::BTreeSet;
use std::time::Duration;

use cloverbend::gateway::call_digest::CallDigest;
use cloverbend::gateway::call_feature::CallFeature;
use cloverbend::gateway::fatal_sync::FatalSync;
use cloverbend::gateway::fatal_sync::SyncStep;
use cloverbend::quantity::Timestamp;

fn request(digest: u64) -> CallFeature {
    CallFeature::Request(CallDigest(digest))
}

fn set(digests: &[u64]) -> BTreeSet<CallFeature> {
    digests.iter().map(|digest| request(*digest)).collect()
}

#[test]
fn a_new_holder_reads_first_and_writes_what_differs() {
    let mut sync = FatalSync::default();
    let now = Timestamp::from_millis(5_000);
    assert_eq!(sync.next_step(now, &set(&[1])), SyncStep::Read);
    assert_eq!(sync.note_read(now, set(&[2])), set(&[2]));
    let missing = sync.next_step(now, &set(&[1, 2]));
    assert_eq!(missing, SyncStep::Write(request(1)));
    let forgotten = sync.next_step(now, &set(&[]));
    assert_eq!(forgotten, SyncStep::Remove(request(2)));
    assert_eq!(sync.next_step(now, &set(&[2])), SyncStep::Wait);
    sync.reset();
    assert_eq!(sync.next_step(now, &set(&[2])), SyncStep::Read);
}

/// A former holder removes a request and adds another one after the new holder
/// has read.
#[test]
fn late_writes_of_a_former_holder_are_corrected() {
    let mut sync = FatalSync::default();
    let now = Timestamp::from_millis(5_000);
    let known = set(&[1, 2]);
    sync.note_read(now, known.clone());
    let later = now.after(Duration::from_secs(60));
    assert_eq!(sync.next_step(later, &known), SyncStep::Read);
    let new = sync.note_read(later, set(&[2, 3]));
    assert_eq!(new, set(&[3]), "only these are new to the holder");
    let step = sync.next_step(later, &set(&[1, 2, 3]));
    assert_eq!(step, SyncStep::Write(request(1)));
}
