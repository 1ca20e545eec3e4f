//! Takes the lease of the duties when nobody may hold it, and keeps it.
//!
//! Apart from the duties themselves: calls to a slow cloud must not delay a
//! renewal.

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

/// The pause between looks at the lease.
const KEEP_PAUSE: Duration = Duration::from_millis(100);
/// The pause after a call to the store that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);
/// How long the store may not answer the holder, while it answers others, before
/// one of these takes its place.
const STORE_PATIENCE: Duration = Duration::from_millis(1_500);
/// How much later than this entry others must have heard from the store to show
/// that it answers them.
const OTHERS_LEAD: Duration = Duration::from_millis(800);
/// How long an entry that could not read the store lets others claim first.
const CLAIM_PAUSE: Duration = Duration::from_millis(1_500);
/// How long the holder may not be among the hubs before it gives the lease up:
/// entries tell their counts to hubs only.
const HUB_PATIENCE: Duration = Duration::from_millis(2_000);
/// A look that comes so late shows that the process stood still.
const FROZEN_AFTER: Duration = Duration::from_millis(1_000);

/// Why a right to act ended unrenewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LapseCause {
    /// Another entry claimed.
    Replaced,
    /// This process stood still.
    Frozen,
    /// The store did not take a renewal in time, and not all successors promised.
    StoreSilent,
    /// The store came back from an older copy.
    StoreReturned,
}

impl LapseCause {
    fn label(self) -> &'static str {
        match self {
            Self::Replaced => "replaced",
            Self::Frozen => "frozen",
            Self::StoreSilent => "store_silent",
            Self::StoreReturned => "store_returned",
        }
    }
}

/// What this entry did about the lease so far.
#[derive(Debug, Default)]
struct LeaseKeeper {
    /// Whether it had a right to act at the last look.
    had_right: bool,
    /// Since when this process has not stood still.
    awake_since: Timestamp,
    /// Whether it has just stood still.
    was_frozen: bool,
    /// Whether it heard other entries since it claimed.
    heard_others: bool,
    /// Since when it has heard none of them.
    alone_since: Option<Timestamp>,
    /// Since when it has not been among the hubs.
    no_hub_since: Option<Timestamp>,
}

/// What to do about the lease next.
enum LeaseStep {
    Renew,
    Reclaim,
    Release(&'static str),
    GiveUp(&'static str),
    Claim(usize),
    Read,
    Wait,
}

/// Takes and keeps the lease until the entry stops.
pub async fn maintain_lease(context: Arc<GatewayContext>) {
    let mut keeper = LeaseKeeper::default();
    loop {
        let rested_at = context.now();
        tokio::time::sleep(KEEP_PAUSE).await;
        keeper.note_rest(context.now().since(rested_at), context.now());
        keeper.note_lapse(&context);
        match keeper.next_step(&context) {
            LeaseStep::Renew => renew(&context).await,
            LeaseStep::Reclaim => {
                let may = || context.lease.lock().may_reclaim(context.now());
                claim(&context, may).await;
            }
            LeaseStep::Release(cause) => release(&context, cause).await,
            LeaseStep::GiveUp(cause) => give_up(&context, cause),
            LeaseStep::Claim(rank) => {
                let may = || context.lease.lock().may_claim(context.now(), rank);
                claim(&context, may).await;
            }
            LeaseStep::Read => read(&context).await,
            LeaseStep::Wait => {}
        }
    }
}

impl LeaseKeeper {
    /// Notes how long a pause took that should be short.
    fn note_rest(&mut self, length: Duration, now: Timestamp) {
        self.was_frozen = length > FROZEN_AFTER;
        if self.was_frozen {
            self.awake_since = now;
        }
    }

    /// Returns whether this entry, as the holder, has lost all others that it
    /// heard: they may go on without it, and only tell each other their counts.
    fn is_cut_off(&mut self, now: Timestamp, hears_others: bool) -> bool {
        self.heard_others |= hears_others;
        self.alone_since = match hears_others {
            true => None,
            false => self.alone_since.or(Some(now)),
        };
        let since = self.alone_since.filter(|_| self.heard_others);
        since.is_some_and(|since| now.since(since) >= HUB_PATIENCE)
    }

    /// Tells whether a right to act has ended unrenewed since the last look.
    fn note_lapse(&mut self, context: &GatewayContext) {
        let now = context.now();
        let mut duties = context.lease.lock();
        let ended = duties.take_ended();
        let has_right = duties.valid_lease(now).is_some();
        let has_to_reclaim = duties.must_reclaim();
        drop(duties);
        let lapsed = self.had_right && !has_right && ended != Some(TenureEnd::GivenUp);
        let cause = match ended {
            Some(TenureEnd::Replaced) => LapseCause::Replaced,
            _ if self.was_frozen => LapseCause::Frozen,
            _ if has_to_reclaim => LapseCause::StoreReturned,
            _ => LapseCause::StoreSilent,
        };
        if lapsed {
            counter!("cloverbend_lease_lapses_total", "cause" => cause.label()).increment(1);
            warn!(context.log, "lease lapsed"; "cause" => cause.label());
        }
        self.had_right = has_right;
    }

    fn next_step(&mut self, context: &GatewayContext) -> LeaseStep {
        let now = context.now();
        let view = PeerView::of(context, now);
        self.no_hub_since = if view.is_hub() {
            None
        } else {
            self.no_hub_since.or(Some(now))
        };
        if context.lease.lock().is_holder() {
            return self.holder_step(context, now, view);
        }
        self.heard_others = false;
        candidate_step(context, now, view)
    }

    fn holder_step(
        &mut self,
        context: &GatewayContext,
        now: Timestamp,
        view: PeerView,
    ) -> LeaseStep {
        let is_cut_off = self.is_cut_off(now, view.hears_others);
        if context.is_draining() {
            return LeaseStep::Release("leaving");
        }
        if self
            .no_hub_since
            .is_some_and(|since| now.since(since) >= HUB_PATIENCE)
        {
            return LeaseStep::Release("not_a_hub");
        }
        if is_cut_off {
            return LeaseStep::Release("cut_off");
        }
        let is_awake = now.since(self.awake_since) >= STORE_PATIENCE;
        if is_awake && is_store_lost(context) {
            return LeaseStep::GiveUp("store_silent");
        }
        let duties = context.lease.lock();
        let own = duties.valid_lease(now).map(|right| right.fencing_token);
        match own {
            Some(_) if view.highest_fence > own => LeaseStep::GiveUp("another_holder"),
            _ if duties.may_reclaim(now) => LeaseStep::Reclaim,
            Some(_) if duties.must_reclaim() => LeaseStep::Read,
            None if duties.must_reclaim() => LeaseStep::GiveUp("store_returned"),
            _ if duties.should_renew(now) => LeaseStep::Renew,
            _ => LeaseStep::Wait,
        }
    }
}

/// What an entry that does not hold the lease does about it.
fn candidate_step(context: &GatewayContext, now: Timestamp, view: PeerView) -> LeaseStep {
    if !view.is_hub() || !view.is_listed || context.is_draining() {
        return LeaseStep::Wait;
    }
    let duties = context.lease.lock();
    if duties.may_claim(now, view.rank) {
        LeaseStep::Claim(view.rank)
    } else if duties.should_read(now, view.rank) {
        LeaseStep::Read
    } else {
        LeaseStep::Wait
    }
}

/// What an entry knows of the others when it decides about the lease.
#[derive(Clone, Copy, Debug)]
struct PeerView {
    /// How many entries that may be hubs come before it.
    rank: usize,
    /// The highest fence that another entry tells.
    highest_fence: Option<FenceToken>,
    /// Whether it has read which other entries there are.
    is_listed: bool,
    /// Whether any other entry tells it news.
    hears_others: bool,
}

impl PeerView {
    fn of(context: &GatewayContext, now: Timestamp) -> Self {
        let peers = context.peers.lock();
        Self {
            rank: peers.hub_rank(now),
            highest_fence: peers.highest_fence(now),
            is_listed: peers.is_list_read(),
            hears_others: peers.direct_entry_counts(now).reachable > 1,
        }
    }

    fn is_hub(self) -> bool {
        self.rank < HUB_COUNT
    }
}

/// Returns whether the store answers other entries and not this one.
fn is_store_lost(context: &GatewayContext) -> bool {
    let silence = context.since_store_response();
    let confirmed_at = context.config.lock().confirmed_at();
    let age = confirmed_at.map(|at| context.now().since(at));
    silence >= STORE_PATIENCE && age.is_some_and(|age| age + OTHERS_LEAD < silence)
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
        tokio::time::sleep(FAILURE_PAUSE).await;
    }
}

async fn release(context: &Arc<GatewayContext>, cause: &'static str) {
    let successors = choose_successors(context);
    let mark = context.lease.lock().own_tenure(context.now(), successors);
    give_up(context, cause);
    let Some(tenure) = mark else {
        return;
    };
    // A call that is under way may still arrive, and so may one without an answer.
    // Others then wait as if nothing had been released.
    drop(context.cloud_call_lock.lock().await);
    if context.has_pending_call() {
        return;
    }
    let released = append_release(context, tenure).await;
    pause_after_failure(context, "release", released).await;
}

/// Gives the lease up.
pub fn give_up(context: &GatewayContext, cause: &str) {
    context.lease.lock().give_up(context.now());
    info!(context.log, "lease given up"; "cause" => cause);
}

async fn claim(context: &Arc<GatewayContext>, may_claim: impl Fn() -> bool) {
    let before = KnownHolder::of(context);
    match append_claim(context, may_claim).await {
        Ok(None) => {}
        Ok(Some(_)) => {
            let right = context.lease.lock().valid_lease(context.now());
            let fence = right.map(|right| right.fencing_token.0);
            counter!("cloverbend_lease_claims_total").increment(1);
            info!(context.log, "lease claimed"; "fence" => fence,
                "former_holder" => before.name, "former_sign_age_ms" => before.age_ms);
        }
        Err(PlatformError::Conflict(_)) => {
            info!(context.log, "lease not claimed"; "error" => "another entry appended first");
        }
        Err(error) => {
            warn!(context.log, "lease not claimed"; "error" => %error);
            // Another entry that reaches the store comes first next time.
            let now = context.now();
            context.lease.lock().stand_back(now, CLAIM_PAUSE);
        }
    }
}

/// Tells an operator whether a claim met a holder that may still act.
#[derive(Debug, Default)]
struct KnownHolder {
    name: Option<String>,
    age_ms: Option<u64>,
}

impl KnownHolder {
    fn of(context: &GatewayContext) -> Self {
        let now = context.now();
        let duties = context.lease.lock();
        let known = duties.known_holder();
        known.map_or_else(Self::default, |(mark, last_sign_at)| Self {
            name: Some(mark.entry.to_string()),
            age_ms: Some(now.since(last_sign_at).as_millis() as u64),
        })
    }
}
