//! A clock that goes on while the VM is suspended.
//!
//! The steady clock, by which timers run, stands still meanwhile. Knowledge that
//! was fresh before would seem fresh afterwards: a revoked key would work on, and
//! a holder of a lease would act as if nobody had taken its place.

use std::fmt;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Poll;
use std::time::Duration;

use futures_util::poll;
use nix::time::ClockId;
use nix::time::clock_gettime;
use tokio::sync::watch;

use crate::quantity::Timestamp;

/// How much longer than the steady clock the VM's own time may seem to have run
/// without a suspension: the clocks are read one after the other, and a process
/// that waits for its turn between them sees a difference.
const READING_DIFFERENCE: Duration = Duration::from_millis(50);

/// Where the time comes from.
pub trait ClockSource: Send + Sync + 'static {
    /// Returns the time since the VM was started, suspensions included.
    fn since_boot(&self) -> Duration;

    /// Returns the time on the steady clock, which stands still while the VM is
    /// suspended.
    fn steady(&self) -> Duration;
}

/// The clocks of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl ClockSource for SystemClock {
    fn since_boot(&self) -> Duration {
        read_clock(ClockId::CLOCK_BOOTTIME)
    }

    fn steady(&self) -> Duration {
        read_clock(ClockId::CLOCK_MONOTONIC)
    }
}

/// Reads one clock. All supported systems have those that are read here.
fn read_clock(clock: ClockId) -> Duration {
    clock_gettime(clock).map_or(Duration::ZERO, Duration::from)
}

/// The moment that was waited for came first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeOver;

/// The time since the clock was made, suspensions included.
pub struct BootClock {
    source: Arc<dyn ClockSource>,
    /// The time since the VM's start when the clock was made.
    started: Duration,
    /// How much less the steady clock showed then.
    lag: Duration,
    /// The microseconds of all suspensions that were noticed.
    suspended_us: AtomicU64,
    /// Wakes those who wait for a moment, since their timers stood still.
    woken: watch::Sender<()>,
}

impl fmt::Debug for BootClock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BootClock")
            .field("suspended", &self.suspended())
            .finish_non_exhaustive()
    }
}

impl BootClock {
    /// Returns a clock that starts now.
    pub fn new(source: Arc<dyn ClockSource>) -> Self {
        let started = source.since_boot();
        Self {
            started,
            lag: started.saturating_sub(source.steady()),
            source,
            suspended_us: AtomicU64::new(0),
            woken: watch::Sender::new(()),
        }
    }

    /// Returns the time since the clock was made.
    pub fn now(&self) -> Timestamp {
        let passed = self.source.since_boot().saturating_sub(self.started);
        Timestamp(0).after(passed)
    }

    /// Looks whether the VM was suspended, and wakes those who wait if it was.
    /// Some task has to do so several times a second.
    pub fn check_suspended(&self) {
        let lag = self
            .source
            .since_boot()
            .saturating_sub(self.source.steady());
        let in_all = lag.saturating_sub(self.lag);
        let known = self.suspended();
        if in_all.saturating_sub(known) < READING_DIFFERENCE {
            return;
        }
        self.suspended_us
            .fetch_max(in_all.as_micros() as u64, Ordering::Relaxed);
        self.woken.send_replace(());
    }

    /// Returns how long the VM was suspended since the clock was made, as far as
    /// it was noticed.
    pub fn suspended(&self) -> Duration {
        Duration::from_micros(self.suspended_us.load(Ordering::Relaxed))
    }

    /// Returns the time until a moment; zero if it is over.
    pub fn left(&self, until: Timestamp) -> Duration {
        until.since(self.now())
    }

    /// Waits for a future until a moment. After a suspension the time that is
    /// left is reckoned anew.
    ///
    /// # Errors
    ///
    /// The moment came first.
    pub async fn timeout_at<F: Future>(
        &self,
        until: Timestamp,
        future: F,
    ) -> Result<F::Output, TimeOver> {
        let mut future = pin!(future);
        // Most events of a stream are there already: no timer is set for them.
        if let Poll::Ready(output) = poll!(&mut future) {
            return Ok(output);
        }
        let mut woken = self.woken.subscribe();
        loop {
            tokio::select! {
                biased;
                output = &mut future => return Ok(output),
                () = tokio::time::sleep(self.left(until)) => {}
                // The sender exists as long as the clock.
                _ = woken.changed() => {}
            }
            if self.left(until).is_zero() {
                return Err(TimeOver);
            }
        }
    }
}
