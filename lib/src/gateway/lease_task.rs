//! Claims the lease when no other entry can hold it, and renews it.
//!
//! The duties of the holder run in a task of their own, so that calls to a slow cloud
//! do not delay a renewal.

use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use slog::info;
use slog::warn;

use crate::gateway::duty_log::append_claim;
use crate::gateway::duty_log::append_duty;
use crate::gateway::duty_log::append_release;
use crate::gateway::duty_log::choose_successors;
use crate::gateway::duty_log::read_duties;
use crate::gateway::duty_record::DutyRecord;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::lease_state::TenureEnd;
use crate::gateway::peer_table::HUB_COUNT;
use crate::gateway::platform_interface::PlatformError;
use crate::id::FenceToken;
use crate::quantity::Timestamp;

/// How often an entry checks what to do about the lease.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// The holder gives the lease up when the store has not responded to it for this long
/// but responds to others.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The store counts as responding to others if the last response to them is newer than
/// the last one to this entry by more than this.
const MIN_PEER_LEAD: Duration = Duration::from_millis(800);
/// How long an entry whose claim failed lets others claim first.
const CLAIM_BACK_OFF: Duration = Duration::from_millis(1_500);
/// The holder gives the lease up when it has not been a hub, or has received no gossip
/// from any other entry, for this long. Entries send their request counts to hubs only.
const HUB_TIMEOUT: Duration = Duration::from_millis(2_000);
/// A sleep of [`CHECK_INTERVAL`] that takes longer than this shows that the process was
/// frozen.
const FREEZE_THRESHOLD: Duration = Duration::from_millis(1_000);

/// Why the lease ended without this entry giving it up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LapseCause {
    /// Another entry claimed it.
    Replaced,
    /// This process was frozen.
    Frozen,
    /// The store accepted no renewal in time, and not all successors promised not to
    /// claim.
    StoreUnreachable,
    /// The store was restored from an older copy.
    StoreRestored,
}

impl LapseCause {
    fn label(self) -> &'static str {
        match self {
            Self::Replaced => "replaced",
            Self::Frozen => "frozen",
            Self::StoreUnreachable => "store_silent",
            Self::StoreRestored => "store_returned",
        }
    }
}

/// Decides what this entry does about the lease.
#[derive(Debug, Default)]
struct LeaseController {
    /// Whether its lease was valid at the last check.
    was_valid: bool,
    /// Since when the process has run without a freeze.
    running_since: Timestamp,
    /// Whether the process was frozen just before this check.
    was_frozen: bool,
    /// Whether it received gossip from other entries since it claimed.
    had_peers: bool,
    /// Since when it has received none.
    isolated_since: Option<Timestamp>,
    /// Since when it has not been a hub.
    not_hub_since: Option<Timestamp>,
}

/// What to do about the lease next.
enum LeaseStep {
    Renew,
    /// Claim the own lease again, in a new generation of the store.
    Reclaim,
    /// Give the lease up for a cause, and append a record so that a successor can
    /// claim it at once.
    Release(&'static str),
    /// Give the lease up for a cause, without a record.
    GiveUp(&'static str),
    /// Claim the lease as the hub of this rank.
    Claim(usize),
    Read,
    Wait,
}

/// Claims, renews and gives up the lease until the entry stops.
pub async fn maintain_lease(context: Arc<GatewayContext>) {
    let mut controller = LeaseController::default();
    loop {
        let slept_at = context.now();
        tokio::time::sleep(CHECK_INTERVAL).await;
        controller.note_sleep(context.now().since(slept_at), context.now());
        controller.report_lapse(&context);
        match controller.next_step(&context) {
            LeaseStep::Renew => renew(&context).await,
            LeaseStep::Reclaim => {
                let may_claim = || context.lease.lock().may_reclaim(context.now());
                claim(&context, may_claim).await;
            }
            LeaseStep::Release(cause) => release(&context, cause).await,
            LeaseStep::GiveUp(cause) => give_up(&context, cause),
            LeaseStep::Claim(rank) => {
                let may_claim = || context.lease.lock().may_claim(context.now(), rank);
                claim(&context, may_claim).await;
            }
            LeaseStep::Read => read(&context).await,
            LeaseStep::Wait => {}
        }
    }
}

impl LeaseController {
    /// Detects a freeze of the process by how long a short sleep took.
    fn note_sleep(&mut self, slept: Duration, now: Timestamp) {
        self.was_frozen = slept > FREEZE_THRESHOLD;
        if self.was_frozen {
            self.running_since = now;
        }
    }

    /// Returns whether this entry, as the holder, no longer receives gossip from any
    /// other entry. The others may still send each other the request counts that the
    /// holder needs.
    fn check_isolation(&mut self, now: Timestamp, has_peers: bool) -> bool {
        self.had_peers |= has_peers;
        self.isolated_since = match has_peers {
            true => None,
            false => self.isolated_since.or(Some(now)),
        };
        let since = self.isolated_since.filter(|_| self.had_peers);
        since.is_some_and(|since| now.since(since) >= HUB_TIMEOUT)
    }

    /// Logs and counts a lapse of the lease since the last check.
    fn report_lapse(&mut self, context: &GatewayContext) {
        let now = context.now();
        let mut lease = context.lease.lock();
        let tenure_end = lease.take_tenure_end();
        let is_valid = lease.valid_lease(now).is_some();
        let must_reclaim = lease.must_reclaim();
        drop(lease);
        let lapsed = self.was_valid && !is_valid && tenure_end != Some(TenureEnd::GivenUp);
        let cause = match tenure_end {
            Some(TenureEnd::Replaced) => LapseCause::Replaced,
            _ if self.was_frozen => LapseCause::Frozen,
            _ if must_reclaim => LapseCause::StoreRestored,
            _ => LapseCause::StoreUnreachable,
        };
        if lapsed {
            counter!("cloverbend_lease_lapses_total", "cause" => cause.label()).increment(1);
            warn!(context.log, "lease lapsed"; "cause" => cause.label());
        }
        self.was_valid = is_valid;
    }

    fn next_step(&mut self, context: &GatewayContext) -> LeaseStep {
        let now = context.now();
        let view = PeerView::of(context, now);
        self.not_hub_since = if view.is_hub() {
            None
        } else {
            self.not_hub_since.or(Some(now))
        };
        if context.lease.lock().is_holder() {
            return self.holder_step(context, now, view);
        }
        self.had_peers = false;
        candidate_step(context, now, view)
    }

    fn holder_step(
        &mut self,
        context: &GatewayContext,
        now: Timestamp,
        view: PeerView,
    ) -> LeaseStep {
        let is_isolated = self.check_isolation(now, view.has_peers);
        if context.is_draining() {
            return LeaseStep::Release("leaving");
        }
        if self
            .not_hub_since
            .is_some_and(|since| now.since(since) >= HUB_TIMEOUT)
        {
            return LeaseStep::Release("not_a_hub");
        }
        if is_isolated {
            return LeaseStep::Release("cut_off");
        }
        let ran_long_enough = now.since(self.running_since) >= STORE_TIMEOUT;
        if ran_long_enough && is_store_unreachable(context) {
            return LeaseStep::GiveUp("store_silent");
        }
        let lease = context.lease.lock();
        let own_token = lease.valid_lease(now).map(|lease| lease.fencing_token);
        match own_token {
            Some(_) if view.highest_fence > own_token => LeaseStep::GiveUp("another_holder"),
            _ if lease.may_reclaim(now) => LeaseStep::Reclaim,
            Some(_) if lease.must_reclaim() => LeaseStep::Read,
            None if lease.must_reclaim() => LeaseStep::GiveUp("store_returned"),
            _ if lease.should_renew(now) => LeaseStep::Renew,
            _ => LeaseStep::Wait,
        }
    }
}

/// Returns what an entry that does not hold the lease does next.
fn candidate_step(context: &GatewayContext, now: Timestamp, view: PeerView) -> LeaseStep {
    if !view.is_hub() || !view.has_entry_list || context.is_draining() {
        return LeaseStep::Wait;
    }
    let lease = context.lease.lock();
    if lease.may_claim(now, view.rank) {
        LeaseStep::Claim(view.rank)
    } else if lease.should_read(now, view.rank) {
        LeaseStep::Read
    } else {
        LeaseStep::Wait
    }
}

/// What an entry knows of the others when it decides about the lease.
#[derive(Clone, Copy, Debug)]
struct PeerView {
    /// Its rank as a hub: 0 for the first hub.
    rank: usize,
    /// The highest fencing token that another entry advertises.
    highest_fence: Option<FenceToken>,
    /// Whether it has read the list of entries.
    has_entry_list: bool,
    /// Whether it receives gossip from any other entry.
    has_peers: bool,
}

impl PeerView {
    fn of(context: &GatewayContext, now: Timestamp) -> Self {
        let peers = context.peers.lock();
        Self {
            rank: peers.hub_rank(now),
            highest_fence: peers.highest_fence(now),
            has_entry_list: peers.is_list_read(),
            has_peers: peers.direct_entry_counts(now).reachable > 1,
        }
    }

    fn is_hub(self) -> bool {
        self.rank < HUB_COUNT
    }
}

/// Returns whether the store responds to other entries and not to this one.
fn is_store_unreachable(context: &GatewayContext) -> bool {
    let since_response = context.since_store_response();
    let confirmed_at = context.config.lock().confirmed_at();
    let age = confirmed_at.map(|at| context.now().since(at));
    since_response >= STORE_TIMEOUT && age.is_some_and(|age| age + MIN_PEER_LEAD < since_response)
}

async fn renew(context: &Arc<GatewayContext>) {
    let renewed = append_duty(context, |tenure| DutyRecord::Renewal { tenure }).await;
    pause_after_failure(context, "renew", renewed).await;
}

async fn read(context: &Arc<GatewayContext>) {
    let read = read_duties(context).await;
    pause_after_failure(context, "read", read).await;
}

async fn pause_after_failure(
    context: &GatewayContext,
    call: &'static str,
    result: Result<(), PlatformError>,
) {
    if let Err(error) = result {
        info!(context.log, "lease call failed"; "call" => call, "error" => %error);
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn release(context: &Arc<GatewayContext>, cause: &'static str) {
    let successors = choose_successors(context);
    let tenure = context.lease.lock().own_tenure(context.now(), successors);
    give_up(context, cause);
    let Some(tenure) = tenure else {
        return;
    };
    // A call to the cloud that is under way has to end first. If a call got no response,
    // it may still take effect. Then the lease is not released, and others wait for its
    // full term.
    drop(context.cloud_call_lock.lock().await);
    if context.has_pending_call() {
        return;
    }
    let released = append_release(context, tenure).await;
    pause_after_failure(context, "release", released).await;
}

/// Gives the lease up and logs the cause.
pub fn give_up(context: &GatewayContext, cause: &str) {
    context.lease.lock().give_up(context.now());
    info!(context.log, "lease given up"; "cause" => cause);
}

async fn claim(context: &Arc<GatewayContext>, may_claim: impl Fn() -> bool) {
    let former = FormerHolder::of(context);
    match append_claim(context, may_claim).await {
        Ok(None) => {}
        Ok(Some(_)) => {
            let lease = context.lease.lock().valid_lease(context.now());
            let fence = lease.map(|lease| lease.fencing_token.0);
            counter!("cloverbend_lease_claims_total").increment(1);
            info!(context.log, "lease claimed"; "fence" => fence,
                "former_holder" => former.name, "former_sign_age_ms" => former.age_ms);
        }
        Err(PlatformError::Conflict(_)) => {
            info!(context.log, "lease not claimed"; "error" => "another entry appended first");
        }
        Err(error) => {
            warn!(context.log, "lease not claimed"; "error" => %error);
            // Lets an entry that can reach the store claim first.
            let now = context.now();
            context.lease.lock().defer_claim(now, CLAIM_BACK_OFF);
        }
    }
}

/// The holder before a claim, and how long ago there was a sign of it. They are logged
/// to show whether a claim was made while the former lease could still be valid.
#[derive(Debug, Default)]
struct FormerHolder {
    name: Option<String>,
    age_ms: Option<u64>,
}

impl FormerHolder {
    fn of(context: &GatewayContext) -> Self {
        let now = context.now();
        let lease = context.lease.lock();
        let known = lease.known_holder();
        known.map_or_else(Self::default, |(tenure, seen_at)| Self {
            name: Some(tenure.entry.to_string()),
            age_ms: Some(now.since(seen_at).as_millis() as u64),
        })
    }
}
