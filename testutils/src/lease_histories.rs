//! Random histories of the lease, and what follows once their faults have ended.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use crate::lease_model::LeaseWorld;
use crate::lease_step::LeaseStep;
use crate::lease_step::LeaseViolation;
use crate::lease_step::MessageSpeed;
use crate::lease_step::SuccessorChoice;

/// How often things happen in one history.
struct HistoryMix {
    /// Time goes on rather than anything else happens.
    tick: f64,
    /// A fault that was drawn happens.
    fault: f64,
    /// A slow message that was drawn is sent.
    message: f64,
}

impl HistoryMix {
    fn draw(random: &mut StdRng) -> Self {
        Self {
            tick: random.random_range(0.05..0.4),
            fault: random.random_range(0.02..0.5),
            message: random.random_range(0.1..1.0),
        }
    }

    /// Returns how often a step that was drawn is taken.
    fn chance(&self, step: LeaseStep) -> f64 {
        match step {
            LeaseStep::Drift(_)
            | LeaseStep::GiveUp(_)
            | LeaseStep::Crash(_)
            | LeaseStep::Return(_)
            | LeaseStep::Forget => self.fault,
            LeaseStep::Tell(..) | LeaseStep::Echo(..) => self.message,
            _ => 1.0,
        }
    }
}

/// Takes up to `steps` random steps; returns where they led, or the rule that
/// was broken and the history to it.
///
/// # Errors
///
/// A rule was broken.
pub fn run_history(
    mut world: LeaseWorld,
    seed: u64,
    steps: usize,
) -> Result<LeaseWorld, (LeaseViolation, Vec<LeaseStep>)> {
    let mut random = StdRng::seed_from_u64(seed);
    let mix = HistoryMix::draw(&mut random);
    let mut history = Vec::new();
    while history.len() < steps {
        let enabled = world.enabled();
        let Some(step) = draw_step(&mut random, &mix, &enabled) else {
            break;
        };
        history.push(step);
        if let Some(violation) = world.apply(&step) {
            return Err((violation, history));
        }
    }
    Ok(world)
}

fn draw_step(random: &mut StdRng, mix: &HistoryMix, enabled: &[LeaseStep]) -> Option<LeaseStep> {
    if enabled.first() == Some(&LeaseStep::Tick) && random.random_bool(mix.tick) {
        return Some(LeaseStep::Tick);
    }
    loop {
        let step = *enabled.choose(random)?;
        if random.random_bool(mix.chance(step)) {
            return Some(step);
        }
    }
}

/// Returns after how many ticks without a fault an entry has a right to act;
/// none if none has after `limit`.
///
/// # Errors
///
/// A rule was broken.
pub fn ticks_to_holder(mut world: LeaseWorld, limit: u8) -> Result<Option<u8>, LeaseViolation> {
    world.end_faults(limit);
    for ticks in 0..limit {
        take_turns(&mut world)?;
        if !world.holders().is_empty() {
            return Ok(Some(ticks));
        }
        if let Some(violation) = world.apply(&LeaseStep::Tick) {
            return Err(violation);
        }
    }
    Ok(None)
}

/// Lets every entry do all that it can at this moment.
fn take_turns(world: &mut LeaseWorld) -> Result<(), LeaseViolation> {
    let mut taken = Vec::new();
    loop {
        let enabled = world.enabled();
        let fair = |step: &&LeaseStep| is_fair(**step) && !taken.contains(*step);
        let Some(step) = enabled.iter().find(fair).copied() else {
            return Ok(());
        };
        taken.push(step);
        if let Some(violation) = world.apply(&step) {
            return Err(violation);
        }
    }
}

/// Returns whether an entry takes the step as soon as it can.
fn is_fair(step: LeaseStep) -> bool {
    match step {
        LeaseStep::Claim(_, choice, speed)
        | LeaseStep::Reclaim(_, choice, speed)
        | LeaseStep::Renew(_, choice, speed) => {
            choice != SuccessorChoice::Nobody && speed == MessageSpeed::Prompt
        }
        LeaseStep::Release(_, speed) => speed == MessageSpeed::Prompt,
        LeaseStep::Start(_)
        | LeaseStep::Arrive(_)
        | LeaseStep::Answer(_)
        | LeaseStep::Read(_)
        | LeaseStep::GiveUp(_)
        | LeaseStep::Exchange(..) => true,
        _ => false,
    }
}
