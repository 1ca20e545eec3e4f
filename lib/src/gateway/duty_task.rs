//! Carries out the duties of the lease: reports of usage, and orders of replicas.
//!
//! Each call is made under a right to act that was looked up just before it, and
//! ends before that right does.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use slog::warn;

use crate::gateway::duty_call::CallOutcome;
use crate::gateway::duty_call::call_cloud;
use crate::gateway::duty_log::append_duty;
use crate::gateway::duty_record::DutyRecord;
use crate::gateway::fatal_sync::FatalSync;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::lease_state::ValidLease;
use crate::gateway::lease_task::give_up;
use crate::gateway::peer_table::HUB_COUNT;
use crate::gateway::platform_interface::PlatformError;
use crate::gateway::replica_scaler::ReplicaScaler;
use crate::gateway::usage_table::IncarnationCounts;
use crate::gateway::usage_table::WindowCounts;
use crate::gateway::usage_table::WindowNumber;
use crate::id::FenceToken;
use crate::quantity::Timestamp;

/// The pause between looks at what is to do.
const DUTY_PAUSE: Duration = Duration::from_millis(250);
/// How long after its end a window is decided: every entry has told its
/// counts by then, several times over.
const DECIDE_AFTER: Duration = Duration::from_millis(1_500);
/// How many windows back are still reported. Later reports count for nothing.
const REPORTED_WINDOWS: u64 = 2;
/// The pause after counts of open windows could not be written.
const INTERIM_PAUSE: Duration = Duration::from_secs(1);

/// Works while this entry holds the lease.
pub async fn run_duties(context: Arc<GatewayContext>) {
    let mut desk = DutyDesk::new();
    loop {
        tokio::time::sleep(DUTY_PAUSE).await;
        let right = context.lease.lock().valid_lease(context.now());
        match right {
            Some(right) => desk.work(&context, right).await,
            None => desk.stand_by(&context),
        }
    }
}

/// What the holder has done so far.
struct DutyDesk {
    /// The fence under which the holder works.
    fence: Option<FenceToken>,
    reported: BTreeSet<WindowNumber>,
    /// What was last written of windows that are not decided.
    interim: IncarnationCounts,
    /// When that is written again at the earliest.
    interim_due: Timestamp,
    replicas: ReplicaScaler,
    fatal: FatalSync,
}

impl DutyDesk {
    fn new() -> Self {
        Self {
            fence: None,
            reported: BTreeSet::new(),
            interim: IncarnationCounts::new(),
            interim_due: Timestamp(0),
            replicas: ReplicaScaler::new(),
            fatal: FatalSync::default(),
        }
    }

    /// Begins as a new holder, with the plans made while it stood by.
    fn begin(&mut self, fence: FenceToken) {
        self.fence = Some(fence);
        self.reported.clear();
        self.interim.clear();
        self.fatal.reset();
        self.replicas.forget_orders();
    }

    /// Plans along, if this entry is among those that claim the lease.
    fn stand_by(&mut self, context: &GatewayContext) {
        let rank = context.peers.lock().hub_rank(context.now());
        if rank < HUB_COUNT {
            self.replicas.plan_as_standby(context);
        }
    }

    async fn work(&mut self, context: &Arc<GatewayContext>, right: ValidLease) {
        if self.fence != Some(right.fencing_token) {
            self.begin(right.fencing_token);
        }
        let reported = self.report(context).await;
        // Orders do not need the store, and go on when it takes no decision.
        let ordered = self.replicas.order(context).await;
        if let (Err(PlatformError::Fenced), _) | (_, Err(PlatformError::Fenced)) =
            (reported, ordered)
        {
            give_up(context, "fenced");
            return;
        }
        self.keep_interim(context).await;
        if context.lease.lock().valid_lease(context.now()).is_some() {
            self.fatal.sync(context).await;
        }
    }

    async fn report(&mut self, context: &Arc<GatewayContext>) -> Result<(), PlatformError> {
        let current = context.usage_window();
        let oldest = current.saturating_sub(REPORTED_WINDOWS);
        self.reported.retain(|window| *window >= oldest);
        for window in oldest..current {
            if self.reported.contains(&window) || !is_decidable(context, window) {
                continue;
            }
            if let Err(error) = report_window(context, window).await {
                warn!(context.log, "duty failed"; "error" => %error);
                return Err(error);
            }
            self.reported.insert(window);
        }
        Ok(())
    }

    /// Writes what is known of windows that are not decided, if it has changed.
    /// Whoever holds the lease after all entries were lost at once begins with it.
    async fn keep_interim(&mut self, context: &Arc<GatewayContext>) {
        let oldest = context.usage_window().saturating_sub(1);
        let mut windows = context.usage.lock().since(oldest);
        windows.retain(|window, _| !self.reported.contains(window));
        if context.now() < self.interim_due || windows == self.interim {
            return;
        }
        let written = windows.clone();
        let appended = append_duty(context, |tenure| DutyRecord::Interim {
            windows,
            tenure: Some(tenure),
        });
        match appended.await {
            Ok(()) => self.interim = written,
            // Reports and orders must not wait for a store that is away.
            Err(_) => self.interim_due = context.now().after(INTERIM_PAUSE),
        }
    }
}

fn is_decidable(context: &GatewayContext, window: WindowNumber) -> bool {
    let length = context.settings.bounds.usage_window_s;
    let end = Duration::from_secs((window + 1) * length) + DECIDE_AFTER;
    let now = std::time::SystemTime::now().duration_since(std::time::SystemTime::UNIX_EPOCH);
    now.is_ok_and(|now| now >= end)
}

async fn report_window(
    context: &Arc<GatewayContext>,
    window: WindowNumber,
) -> Result<(), PlatformError> {
    let counts = decide_window(context, window).await?;
    let cloud = &context.platform.cloud;
    let made = call_cloud(context, |terms| cloud.report_usage(terms, window, &counts)).await;
    let Some(CallOutcome { call, result }) = made else {
        return Err(PlatformError::NotApplied("no right to act".to_owned()));
    };
    info!(context.log, "usage reported"; "window" => window, "fence" => call.credentials.fencing_token.0,
        "began_ms" => call.began_ms, "right_until_ms" => call.lease_expires_ms,
        "requests" => counts.values().sum::<u64>(),
        "error" => result.as_ref().err().map(ToString::to_string));
    result
}

/// Returns the counts that are reported for a window. They are in the log before
/// anybody reports them, so that each holder reports the same.
async fn decide_window(
    context: &Arc<GatewayContext>,
    window: WindowNumber,
) -> Result<WindowCounts, PlatformError> {
    let decided = || context.lease.lock().decisions().counts(window).cloned();
    let known = decided();
    let is_stored = context.lease.lock().decisions().is_stored(window);
    if let Some(counts) = known.clone().filter(|_| is_stored) {
        return Ok(counts);
    }
    let counts = known.unwrap_or_else(|| context.usage.lock().total(window));
    let appended = append_duty(context, |tenure| DutyRecord::Usage {
        window,
        counts,
        tenure: Some(tenure),
    });
    // What was read after a conflict may have the decision.
    let result = appended.await;
    decided().ok_or_else(|| {
        let undecided = PlatformError::NotApplied("the window is undecided".to_owned());
        result.err().unwrap_or(undecided)
    })
}
