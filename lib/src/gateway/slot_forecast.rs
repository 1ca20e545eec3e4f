//! Forecasts how long a request waits for a slot at a backend server.
//!
//! Pure logic: no I/O and no clock. The load pattern is a full server that runs requests
//! of very different length side by side. The entry knows how far its own runs there are.
//! Of the runs of other entries it knows only the number, so these end evenly over the
//! mean time in a slot. Without own runs, slots free up evenly over that time.

use std::time::Duration;

use crate::gateway::time_estimate::TimeEstimate;
use crate::quantity::Timestamp;

/// The most own runs that are kept for one server. Further ones count as those of other
/// entries.
const MAX_RUNS: usize = 64;
/// The shares of runs between whose ends half of all ends lie.
const QUARTILES: [f64; 2] = [0.25, 0.75];
/// The shortest period over which the end of a run is spread, in seconds.
const MIN_WINDOW_SECONDS: f64 = 0.001;

/// Identifies an own run at one incarnation of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunId(u64);

/// What is expected of an own run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnRun {
    /// When the run gets a slot.
    pub slot_at: Timestamp,
    /// When the prompt is prefilled and the generation begins.
    pub begins_at: Timestamp,
    /// Whether the first event of the response will tell when the generation begins.
    pub awaits_event: bool,
    /// The time of the generation.
    pub generation: TimeEstimate,
}

impl OwnRun {
    /// Returns whether the run seems to have a slot. One whose first event is overdue
    /// probably still waits, since prefill takes a small part of the time in a slot.
    fn is_in_slot(&self, now: Timestamp) -> bool {
        self.slot_at <= now && (!self.awaits_event || now <= self.begins_at)
    }
}

/// The own runs at one incarnation of a backend server.
#[derive(Clone, Debug, Default)]
pub struct OwnRuns {
    runs: Vec<(RunId, OwnRun)>,
    added: u64,
}

impl OwnRuns {
    /// Adds a run. Returns `None` if [`MAX_RUNS`] are kept already.
    pub fn add(&mut self, run: OwnRun) -> Option<RunId> {
        if self.runs.len() >= MAX_RUNS {
            return None;
        }
        let id = RunId(self.added);
        self.added += 1;
        self.runs.push((id, run));
        Some(id)
    }

    /// Notes that the generation of a run has begun.
    pub fn note_began(&mut self, now: Timestamp, id: RunId) {
        if let Some((_, run)) = self.runs.iter_mut().find(|(known, _)| *known == id) {
            run.slot_at = run.slot_at.min(now);
            run.begins_at = now;
            run.awaits_event = false;
        }
    }

    /// Removes a run that has ended.
    pub fn remove(&mut self, id: RunId) {
        self.runs.retain(|(known, _)| *known != id);
    }

    /// Returns the number of runs.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether there are no runs.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }
}

/// What is known of a server besides the own runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotQuery {
    /// The requests that run there at once.
    pub slots: u32,
    /// The requests of all entries there, also those that wait.
    pub occupancy: u32,
    /// The mean time of a request in a slot.
    pub mean_time: Duration,
}

/// Returns the time after which as many runs are expected to have ended as must, so that
/// the next request gets a slot.
pub fn forecast_slot_wait(now: Timestamp, query: &SlotQuery, own_runs: &OwnRuns) -> Duration {
    let slots = query.slots.max(1);
    let needed_ends = query.occupancy.saturating_add(1).saturating_sub(slots);
    if needed_ends == 0 {
        return Duration::ZERO;
    }
    let windows: Vec<EndWindow> = runs_in_slots(now, query, own_runs)
        .map(|run| EndWindow::of(now, run))
        .collect();
    if windows.is_empty() {
        return query
            .mean_time
            .mul_f64(f64::from(needed_ends) / f64::from(slots));
    }
    let mean_seconds = query.mean_time.as_secs_f64().max(MIN_WINDOW_SECONDS);
    let other_runs = f64::from(slots) - windows.len() as f64;
    let steps = rate_steps(&windows, 1.0 / mean_seconds);
    let first_rate = other_runs.max(0.0) / mean_seconds;
    // An end that is known to be near a moment is expected in the middle of its window,
    // where half of it is counted; one that may come at any time, when all of it is.
    let known_share = windows.len() as f64 / f64::from(slots);
    let needed_ends = f64::from(needed_ends) - known_share.min(1.0) / 2.0;
    let wait = time_of_ends(needed_ends, first_rate, &steps);
    Duration::try_from_secs_f64(wait).unwrap_or(query.mean_time)
}

/// Returns the own runs that seem to have a slot at a full server. When the other entries
/// have too few requests there to fill the slots, the own runs that wait longest have the
/// others.
fn runs_in_slots<'a>(
    now: Timestamp,
    query: &SlotQuery,
    own_runs: &'a OwnRuns,
) -> impl Iterator<Item = &'a OwnRun> {
    let mut runs: Vec<&OwnRun> = own_runs.runs.iter().map(|(_, run)| run).collect();
    runs.sort_by_key(|run| (!run.is_in_slot(now), run.slot_at));
    let slots = query.slots.max(1) as usize;
    let others = (query.occupancy as usize).saturating_sub(runs.len());
    let in_slots = runs.iter().filter(|run| run.is_in_slot(now)).count();
    let count = in_slots.max(slots.saturating_sub(others)).min(slots);
    runs.into_iter().take(count)
}

/// The period over which the end of a run is spread evenly, in seconds from now.
struct EndWindow {
    from: f64,
    to: f64,
}

impl EndWindow {
    fn of(now: Timestamp, run: &OwnRun) -> Self {
        let until_begin = run.begins_at.since(run.slot_at.max(now));
        let elapsed = if run.awaits_event {
            Duration::ZERO
        } else {
            now.since(run.begins_at)
        };
        let [lower, upper] = QUARTILES
            .map(|share| until_begin + run.generation.time_left(elapsed, share))
            .map(|left| left.as_secs_f64());
        let margin = (upper - lower) / 2.0;
        let from = (lower - margin).max(0.0);
        Self {
            from,
            to: (upper + margin).max(from + MIN_WINDOW_SECONDS),
        }
    }
}

/// A moment, in seconds from now, at which the rate of ends changes by so many a second.
struct RateStep {
    at: f64,
    change: f64,
}

/// Returns in order how own runs change the rate of ends. A run that has ended is followed
/// by one of usual length.
fn rate_steps(windows: &[EndWindow], rate_after: f64) -> Vec<RateStep> {
    let mut steps = Vec::with_capacity(windows.len() * 3);
    for window in windows {
        let rate = 1.0 / (window.to - window.from);
        steps.push(RateStep {
            at: window.from,
            change: rate,
        });
        steps.push(RateStep {
            at: window.to,
            change: -rate,
        });
        steps.push(RateStep {
            at: (window.from + window.to) / 2.0,
            change: rate_after,
        });
    }
    steps.sort_by(|a, b| a.at.total_cmp(&b.at));
    steps
}

/// Returns when `needed_ends` runs have ended, in seconds from now.
fn time_of_ends(needed_ends: f64, first_rate: f64, steps: &[RateStep]) -> f64 {
    let mut rate = first_rate;
    let mut ends = 0.0;
    let mut reached_at = 0.0;
    for step in steps {
        let ends_at_step = ends + rate * (step.at - reached_at);
        if ends_at_step >= needed_ends {
            break;
        }
        ends = ends_at_step;
        reached_at = step.at;
        rate += step.change;
    }
    reached_at + (needed_ends - ends) / rate
}
