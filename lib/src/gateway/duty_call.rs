//! Calls to the cloud, each made with a valid lease.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use futures_util::future::BoxFuture;

use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::platform_interface::CallCredentials;
use crate::gateway::platform_interface::PlatformError;

/// How long before the lease expires a call has to end, because a request may still be
/// on its way.
const EXPIRY_MARGIN: Duration = Duration::from_millis(100);
/// The least time for a call. With less, the caller waits for a renewal of the lease.
const MIN_CALL_TIME: Duration = Duration::from_millis(150);
/// How many times a call is attempted if it cannot connect.
const MAX_ATTEMPTS: usize = 2;

/// An attempt to call the cloud, and when the lease for it expires.
#[derive(Clone, Debug)]
pub struct DutyCall {
    /// The credentials of the call.
    pub credentials: CallCredentials,
    /// When the call began, in milliseconds since 1970.
    pub began_ms: u64,
    /// When the lease expires unless it is renewed, in milliseconds since 1970.
    pub lease_expires_ms: u64,
}

impl DutyCall {
    /// Returns a call that begins now, or none if the lease is not valid for long
    /// enough.
    fn begin(context: &GatewayContext) -> Option<Self> {
        let now = context.now();
        let lease = context.lease.lock().valid_lease(now)?;
        let lease_left = lease.expires_at.since(now);
        if lease_left < EXPIRY_MARGIN + MIN_CALL_TIME {
            return None;
        }
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        // If the clock shows a time before 1970, the logged times count from the start
        // of the call.
        let began = since.unwrap_or_default();
        Some(Self {
            credentials: CallCredentials {
                holder: context.settings.name.clone(),
                fencing_token: lease.fencing_token,
                deadline: now.after(lease_left - EXPIRY_MARGIN),
                clock: Arc::clone(&context.clock),
            },
            began_ms: began.as_millis() as u64,
            lease_expires_ms: (began + lease_left).as_millis() as u64,
        })
    }
}

/// The outcome of a call.
#[derive(Clone, Debug)]
pub struct CallOutcome {
    /// The last attempt.
    pub call: DutyCall,
    /// Its result.
    pub result: Result<(), PlatformError>,
}

/// Makes a call, if this entry holds a valid lease. Retries a call that could not
/// connect, with the lease as it is by then.
pub async fn call_cloud<'a>(
    context: &'a GatewayContext,
    send: impl Fn(&CallCredentials) -> BoxFuture<'a, Result<(), PlatformError>>,
) -> Option<CallOutcome> {
    let _guard = context.cloud_call_lock.lock().await;
    let mut outcome = None;
    for _ in 0..MAX_ATTEMPTS {
        let Some(call) = DutyCall::begin(context) else {
            break;
        };
        let result = send(&call.credentials).await;
        let is_sent = !matches!(result, Err(PlatformError::NotSent(_)));
        if let Err(PlatformError::OutcomeUnknown(_)) = result {
            context.note_unanswered_call(call.credentials.deadline.after(EXPIRY_MARGIN));
        }
        outcome = Some(CallOutcome { call, result });
        if is_sent {
            break;
        }
    }
    outcome
}
