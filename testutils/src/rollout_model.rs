//! A model of a roll-out: requests at all entries, the news between them, and a version that
//! may be bad.

use std::collections::VecDeque;
use std::time::Duration;

use cloverbend::gateway::backend_record::BackendId;
use cloverbend::gateway::rollout_evidence::AnswerKind;
use cloverbend::gateway::rollout_evidence::EvidenceTable;
use cloverbend::gateway::rollout_evidence::PaceRange;
use cloverbend::gateway::rollout_evidence::RolloutEvidence;
use cloverbend::gateway::rollout_evidence::RouteClass;
use cloverbend::gateway::rollout_evidence::VersionSide;
use cloverbend::gateway::rollout_exposure::ExposureCredit;
use cloverbend::gateway::rollout_exposure::RolloutBounds;
use cloverbend::gateway::rollout_exposure::RolloutView;
use cloverbend::gateway::rollout_exposure::running_share;
use cloverbend::gateway::rollout_exposure::version_rule;
use cloverbend::gateway::rollout_judge::RolloutJudge;
use cloverbend::gateway::rollout_state::RolloutOrder;
use cloverbend::gateway::rollout_state::RolloutPhase;
use cloverbend::gateway::rollout_state::StepInputs;
use cloverbend::gateway::rollout_state::next_phase;
use cloverbend::id::Incarnation;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const TICK: Duration = Duration::from_millis(250);
/// How many ticks news of the holder's state takes to an entry that is in touch.
const NEWS_TICKS: usize = 2;
const ROUTES: [&str; 5] = ["audit", "release", "chat", "alarm", "door"];
const NEW_SERVERS: usize = 4;

/// Returns an order for a second version.
pub fn order() -> RolloutOrder {
    RolloutOrder {
        service: "pool".parse().unwrap(),
        target: "v2".parse().unwrap(),
        duration: Duration::from_secs(60),
    }
}

/// Returns the bounds of the exposure.
pub fn bounds() -> RolloutBounds {
    RolloutBounds {
        share: "0.1".parse().unwrap(),
        slack: 50,
        rollback: Duration::from_millis(5_000),
    }
}

/// What is wrong while the roll-out runs.
#[derive(Clone, Copy)]
pub struct Trouble {
    /// The share of failures of the new version.
    pub failing: f64,
    /// The factor by which its answers are slower.
    pub slower: f64,
    /// The time at which its faults begin.
    pub onset_s: u64,
    /// Whether only the first route is faulty.
    pub one_route: bool,
    /// The share of failures of one old and one new server each, in the middle third.
    pub grey: f64,
    /// The factor by which answers of all servers are slower in the middle third.
    pub burst: f64,
    /// How often the holder of the lease is replaced by one that begins anew, in ticks.
    pub holder_ticks: u64,
}

/// Nothing is wrong.
pub const NO_TROUBLE: Trouble = Trouble {
    failing: 0.0,
    slower: 1.0,
    onset_s: 0,
    one_route: false,
    grey: 0.0,
    burst: 1.0,
    holder_ticks: u64::MAX,
};

/// One entry.
struct EntryState {
    incarnation: u64,
    evidence: RolloutEvidence,
    credit: ExposureCredit,
    phase: RolloutPhase,
    news_age: Duration,
    cut_off: bool,
    /// Whether it counted something that it has not reported.
    has_more: bool,
}

impl EntryState {
    fn new(rng: &mut StdRng) -> Self {
        Self {
            incarnation: rng.random(),
            evidence: RolloutEvidence::default(),
            credit: ExposureCredit::new(rng.random()),
            phase: RolloutPhase::Running,
            news_age: Duration::from_secs(3_600),
            cut_off: false,
            has_more: false,
        }
    }
}

/// The result of one roll-out.
#[derive(Debug)]
pub struct Outcome {
    pub phase: RolloutPhase,
    pub ended: Duration,
    pub requests: u32,
    pub exposed: u32,
    /// The time from the 50th bad answer to the last request to the new version.
    pub last_after_bad: Duration,
}

/// Plays one roll-out. A thousandth of the entries restarts each tick, one in twenty is
/// cut off for a while, and three in ten messages are lost.
pub fn play(entries: usize, per_s: u32, trouble: Trouble, seed: u64) -> Outcome {
    let order = order();
    let share = running_share(&bounds(), &order);
    let mut rng = StdRng::seed_from_u64(seed);
    let ids: Vec<BackendId> = (0..60)
        .map(|server| BackendId::without_start(format!("i-{server}")))
        .collect();
    let mut states: Vec<EntryState> = (0..entries).map(|_| EntryState::new(&mut rng)).collect();
    let mut table = EvidenceTable::default();
    let mut total = RolloutEvidence::default();
    let mut judge = RolloutJudge::new();
    let mut phase = RolloutPhase::Running;
    let mut phase_began = Duration::ZERO;
    let mut news = VecDeque::from([RolloutPhase::Running; NEWS_TICKS]);
    let mut outcome = Outcome {
        phase,
        ended: order.duration,
        requests: 0,
        exposed: 0,
        last_after_bad: Duration::ZERO,
    };
    let (mut bad_answers, mut bad_at) = (0, None);
    let ticks = (order.duration.as_millis() / TICK.as_millis()) as u64;
    for tick in 0..ticks {
        let age = TICK * tick as u32;
        news.push_back(phase);
        let reported = news.pop_front().unwrap();
        let reported_answers = total.answers(VersionSide::New);
        for state in &mut states {
            if rng.random_bool(0.001) {
                *state = EntryState::new(&mut rng);
            }
            if rng.random_bool(0.02) {
                state.cut_off = rng.random_bool(0.05);
            }
            state.news_age += TICK;
            if !state.cut_off && rng.random_bool(0.7) {
                state.phase = reported;
                state.news_age = TICK * NEWS_TICKS as u32;
                if std::mem::take(&mut state.has_more) {
                    table.note(Incarnation(state.incarnation), &state.evidence);
                }
            }
        }
        let in_middle = (ticks / 3..2 * ticks / 3).contains(&tick);
        for _ in 0..per_s * TICK.as_millis() as u32 / 1_000 {
            let state = &mut states[rng.random_range(0..entries)];
            let route = rng.random_range(0..ROUTES.len());
            outcome.requests += 1;
            state.credit.note_arrival(share);
            let view = RolloutView {
                order: &order,
                phase: state.phase,
                news_age: state.news_age,
                age,
                new_answers: reported_answers,
            };
            let may_repeat = route != 3;
            let rule = version_rule(&view, state.credit, may_repeat);
            let is_new = rule.admits(Some(&order.target));
            let server = rng.random_range(0..if is_new { NEW_SERVERS } else { 60 });
            let mut failing = 0.005;
            let mut ratio = rng.random_range(0.6_f64..1.6);
            if in_middle {
                ratio *= trouble.burst;
                if server == 0 {
                    failing += trouble.grey;
                }
            }
            let is_faulty = is_new
                && age >= Duration::from_secs(trouble.onset_s)
                && (!trouble.one_route || route == 0);
            if is_faulty {
                failing += trouble.failing;
                ratio *= trouble.slower;
            }
            let class = RouteClass::of(ROUTES[route]);
            let kind = if rng.random_bool(failing) {
                AnswerKind::Failed
            } else {
                AnswerKind::Served(PaceRange::of(ratio).unwrap())
            };
            let side = if is_new {
                VersionSide::New
            } else {
                VersionSide::Old
            };
            state.evidence.note(side, class, &ids[server], kind);
            state.has_more = true;
            if is_new {
                state.credit.note_sent();
                outcome.exposed += 1;
                if let Some(at) = bad_at {
                    outcome.last_after_bad = age.saturating_sub(at);
                }
                let is_bad = is_faulty && (kind == AnswerKind::Failed || trouble.slower > 2.0);
                bad_answers += u32::from(is_bad);
                if bad_answers == 50 {
                    bad_at.get_or_insert(age);
                }
            }
        }
        if phase.is_final() {
            continue;
        }
        total = table.total();
        if tick % trouble.holder_ticks == trouble.holder_ticks - 1 {
            // The next holder knows the stored status and hears the entries again.
            judge = RolloutJudge::new();
            if phase == RolloutPhase::Moving {
                phase = RolloutPhase::Running;
            }
            continue;
        }
        let inputs = StepInputs {
            age,
            phase_age: age.saturating_sub(phase_began),
            verdict: judge.judge(&total),
            has_capacity: true,
            old_in_flight: 1,
        };
        if let Some(next) = next_phase(phase, &order, &inputs) {
            assert!(phase.may_become(next));
            phase = next;
            phase_began = age;
            if phase.is_final() {
                outcome.ended = age;
            }
        }
    }
    outcome.phase = phase;
    outcome
}

/// Returns whether the exposure stayed in its bounds.
pub fn is_bounded(outcome: &Outcome) -> bool {
    let bounds = bounds();
    let most = f64::from(outcome.requests) * bounds.share.as_f64() + f64::from(bounds.slack);
    f64::from(outcome.exposed) <= most && outcome.last_after_bad <= bounds.rollback
}

/// Plays seeds and returns how many ended in a state. Bad versions stay in their bounds
/// in every seed.
pub fn count_ends(
    entries: usize,
    per_s: u32,
    trouble: Trouble,
    expected: RolloutPhase,
    seeds: u64,
) -> u64 {
    let ends = (0..seeds).filter(|seed| {
        let outcome = play(entries, per_s, trouble, *seed);
        if expected == RolloutPhase::RolledBack {
            assert!(is_bounded(&outcome), "seed {seed}: {outcome:?}");
        }
        outcome.phase == expected && outcome.ended < order().duration
    });
    ends.count() as u64
}
