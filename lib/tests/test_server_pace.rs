//! The load pattern of servers that are not equally fast. Hundreds of entries see a few
//! streams of each server and exchange what they see every 250 ms.

use std::collections::BTreeMap;
use std::time::Duration;

use cloverbend::gateway::backend_choice::ChoiceQuery;
use cloverbend::gateway::backend_choice::choose_backend;
use cloverbend::gateway::backend_record::BackendId;
use cloverbend::gateway::backend_record::BackendRecord;
use cloverbend::gateway::backend_set::BackendSet;
use cloverbend::gateway::call_head::PromptBlock;
use cloverbend::gateway::event_pauses::EventPauses;
use cloverbend::gateway::peer_gossip::BackendLoad;
use cloverbend::gateway::peer_table::reported_state::add_loads;
use cloverbend::gateway::prompt_pacing::ReadingQuery;
use cloverbend::gateway::prompt_pacing::StreamTargets;
use cloverbend::gateway::rollout_exposure::VersionRule;
use cloverbend::gateway::server_limits::ServerLimits;
use cloverbend::gateway::server_pace::PaceCounts;
use cloverbend::gateway::server_pace::PaceEvidence;
use cloverbend::gateway::server_pace::pace_factors;
use cloverbend::id::ServiceName;
use cloverbend::id::ZoneName;
use cloverbend::quantity::Timestamp;
use cloverbend::quantity::TokenCount;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use tokio::time::Instant;

/// The time of an event at servers of three speeds, in milliseconds, by the remainder of
/// the server's number.
const EVENT_MS: [u64; 3] = [16, 26, 43];

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn server_id(number: usize) -> BackendId {
    BackendId::without_start(format!("s{number}"))
}

fn record(number: usize) -> BackendRecord {
    BackendRecord {
        id: server_id(number),
        service: "pool".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "zone-a".parse().unwrap(),
        slots: 32,
        draining: false,
        reclaimable: false,
        version: None,
    }
}

/// Returns the samples of a server whose events take `event_ms` for most streams, and up
/// to three times as long for one in four.
fn sample(rng: &mut StdRng, event_ms: u64) -> Duration {
    let factor = match rng.random_bool(0.25) {
        true => rng.random_range(1.0..3.0),
        false => rng.random_range(0.9..1.2),
    };
    Duration::from_millis(event_ms).mul_f64(factor)
}

/// Returns the samples of each of `entries` entries after each server had `per_second`
/// samples for `millis`.
fn gather_by_entry(
    entries: usize,
    servers: usize,
    per_second: u64,
    millis: u64,
) -> Vec<Vec<PaceCounts>> {
    let mut rng = StdRng::seed_from_u64(7);
    let mut evidence = vec![vec![PaceEvidence::default(); servers]; entries];
    for now in (0..millis).step_by(1_000 / per_second as usize) {
        for server in 0..servers {
            let entry = rng.random_range(0..entries);
            let event_time = sample(&mut rng, EVENT_MS[server % EVENT_MS.len()]);
            evidence[entry][server].note(at(now), event_time);
        }
    }
    let counts = |own: &Vec<PaceEvidence>| own.iter().map(|one| one.counts(at(millis))).collect();
    evidence.iter().map(counts).collect()
}

/// Returns the samples of all entries together.
fn gather(entries: usize, servers: usize, per_second: u64, millis: u64) -> Vec<PaceCounts> {
    let by_entry = gather_by_entry(entries, servers, per_second, millis);
    let sum = |server: usize| {
        let counts = by_entry.iter().map(|own| own[server]);
        counts.fold(PaceCounts::default(), PaceCounts::plus)
    };
    (0..servers).map(sum).collect()
}

/// Callers need the slow servers to be known before a wave of prompts has filled them, so
/// the factors have to be within a third of the true ones two seconds after the start.
#[rstest]
#[case::few_entries(9, 9)]
#[case::many(62, 60)]
#[case::hundreds(302, 300)]
fn the_pace_of_all_servers_is_known_within_two_seconds(
    #[case] entries: usize,
    #[case] servers: usize,
) {
    let factors = pace_factors(&gather(entries, servers, 10, 2_000));
    let mean_log = EVENT_MS.iter().map(|ms| (*ms as f64).ln()).sum::<f64>() / 3.0;
    for (server, factor) in factors.iter().enumerate() {
        let truth = ((EVENT_MS[server % 3] as f64).ln() - mean_log).exp();
        let ratio = factor.0 / truth;
        assert!((0.67..1.5).contains(&ratio), "s{server}: {factor}, {truth}");
    }
}

#[test]
fn servers_that_are_all_slow_are_not_singled_out() {
    let mut evidence = PaceEvidence::default();
    for now in 0..20 {
        evidence.note(at(now * 100), Duration::from_millis(400));
    }
    let factors = pace_factors(&[evidence.counts(at(2_000)); 3]);
    assert!(factors.iter().all(|factor| (factor.0 - 1.0).abs() < 0.01));
}

#[test]
fn a_server_that_is_fast_again_is_used_again_within_seconds() {
    let fast = |millis| {
        let mut evidence = PaceEvidence::default();
        for now in (0..millis).step_by(200) {
            evidence.note(at(now), Duration::from_millis(20));
        }
        evidence.counts(at(millis))
    };
    let mut recovered = PaceEvidence::default();
    for now in (0..3_000).step_by(200) {
        recovered.note(at(now), Duration::from_millis(100));
    }
    let slow = pace_factors(&[recovered.counts(at(3_000)), fast(3_000), fast(3_000)])[0];
    for now in (3_000..10_000).step_by(1_000) {
        recovered.note(at(now), Duration::from_millis(20));
    }
    let later = pace_factors(&[recovered.counts(at(10_000)), fast(10_000), fast(10_000)])[0];
    insta::assert_snapshot!(format!("slow {slow}, later {later}"), @"slow 2.48, later 1.43");
}

/// A server that nobody has sent to for a while does not shift the average of the others,
/// however little remains of its samples.
#[test]
fn samples_that_have_nearly_decayed_keep_their_average() {
    let noted = |until: u64| {
        let mut evidence = PaceEvidence::default();
        for now in (0..until).step_by(200) {
            evidence.note(at(now), Duration::from_millis(20));
        }
        evidence
    };
    let idle = noted(2_000);
    for seconds in 2..80 {
        let now = seconds * 1_000;
        let busy = noted(now).counts(at(now));
        for factor in pace_factors(&[idle.counts(at(now)), busy, busy]) {
            assert!((0.97..1.03).contains(&factor.0), "{factor} at {seconds} s");
        }
    }
}

/// One more entry reports nonsense about one server. That server must still get at least
/// half and at most twice the work that it should, and the others about what they should.
#[rstest]
fn nonsense_of_one_entry_has_a_bounded_effect(
    #[values(9, 62, 302)] entries: usize,
    #[values((u32::MAX, i64::MAX), (u32::MAX, i64::MIN), (0, i64::MAX))] nonsense: (u32, i64),
) {
    let load = |counts: PaceCounts| {
        let mut load = BackendLoad {
            backend: "s0".to_owned(),
            ..BackendLoad::default()
        };
        load.set_pace(counts);
        load.limit_pace();
        load
    };
    let mut sums = BTreeMap::new();
    for own in gather_by_entry(entries, 3, 10, 5_000) {
        add_loads(&mut sums, [&load(own[0])]);
    }
    let (weight_milli, log_milli) = nonsense;
    let counts = PaceCounts {
        weight_milli,
        log_milli,
    };
    add_loads(&mut sums, [&load(counts)]);
    let honest = gather(entries, 3, 10, 5_000);
    let counts = sums[&server_id(0)].pace_counts().with_valid_average();
    let factors = pace_factors(&[counts, honest[1], honest[2]]);
    let truth = pace_factors(&honest);
    for (factor, truth) in factors.iter().zip(truth) {
        assert!(
            (0.5..2.0).contains(&(factor.0 / truth.0)),
            "{factor}, {truth}"
        );
    }
}

/// A set of servers of three speeds whose pace all entries know.
fn paced_set(servers: usize) -> BackendSet {
    let mut set = BackendSet::new();
    for number in 0..servers {
        set.put(record(number));
        set.note_reports_pace(&server_id(number));
    }
    let counts = gather(62, servers, 10, 5_000);
    let numbered = counts.into_iter().enumerate();
    set.update_paces(
        at(5_000),
        numbered.map(|(number, counts)| (server_id(number), counts)),
    );
    set
}

/// Reports of other entries may be damaged in any field, and those of entries of the version
/// before have no samples. Choices are made as before, and paces stay within their bounds.
#[rstest]
#[case::no_samples(2, 300, 0, 0)]
#[case::no_weight(0, 0, 0, i64::MAX)]
#[case::tiny_weight(0, 0, 1, i64::MIN)]
#[case::largest(u32::MAX, u64::MAX, u32::MAX, i64::MAX)]
#[case::smallest(0, 0, u32::MAX, i64::MIN)]
fn choices_bear_any_report_of_other_entries(
    #[case] in_flight: u32,
    #[case] unread: u64,
    #[case] pace_weight: u32,
    #[case] pace_log: i64,
) {
    let load = BackendLoad {
        backend: "s0".to_owned(),
        in_flight,
        unread,
        pace_weight,
        pace_log,
        ..BackendLoad::default()
    };
    let mut sums = BTreeMap::new();
    add_loads(&mut sums, [&load, &load]);
    let mut set = paced_set(3);
    set.note_sent(at(5_000), &server_id(0), 5_000, &[1]);
    set.note_event_time(at(5_000), &server_id(0), Duration::from_millis(20));
    set.note_event_time(at(5_000), &server_id(1), Duration::from_millis(20));
    let paces = sums.iter().map(|(id, sum)| (id.clone(), sum.pace_counts()));
    set.update_paces(at(5_000), paces);
    let loads = sums.iter();
    set.replace_peer_loads(loads.map(|(id, sum)| (id.clone(), sum.in_flight, sum.unread)));
    for backend in set.iter() {
        assert!((0.25..=8.0).contains(&backend.pace().0), "{backend:?}");
    }
    let chooser = Chooser::new();
    let is_loaded = unread > 1_000_000;
    for call in 0..100 {
        let server = chooser.choose(&set, at(5_000), call, &prompt(call, call + 1_000, 10));
        assert!(!is_loaded || server != 0);
    }
}

struct Chooser {
    service: ServiceName,
    zone: ZoneName,
    limits: ServerLimits,
}

impl Chooser {
    fn new() -> Self {
        Self {
            service: "pool".parse().unwrap(),
            zone: "zone-a".parse().unwrap(),
            limits: ServerLimits::new("entry-1".parse().unwrap()),
        }
    }

    fn choose(&self, set: &BackendSet, now: Timestamp, call: u64, blocks: &[PromptBlock]) -> usize {
        let query = ChoiceQuery {
            service: &self.service,
            zone: &self.zone,
            request_hash: call,
            prompt_blocks: blocks,
            tried: &[],
            reachable: None,
            targets: Some(TARGETS),
            versions: &VersionRule::Any,
            limits: &self.limits,
        };
        let choice = choose_backend(set, now, &query).unwrap();
        choice.id.name.0[1..].parse().unwrap()
    }
}

const TARGETS: StreamTargets = StreamTargets {
    latency: Duration::from_millis(800),
    pause: Duration::from_millis(400),
};

fn prompt(shared: u64, own: u64, own_tokens: u64) -> [PromptBlock; 2] {
    let block = |id, tokens| PromptBlock {
        id,
        tokens: TokenCount(tokens),
    };
    [block(shared, 5_000), block(own, own_tokens)]
}

/// Each server is the home of prefixes in proportion to its pace: the percentages of the
/// fast, the usual and the slow servers.
#[test]
fn homes_are_shared_by_pace() {
    let set = paced_set(60);
    let chooser = Chooser::new();
    let mut homes = [0_usize; 3];
    for prefix in 0..4_000 {
        let server = chooser.choose(
            &set,
            at(5_000),
            prefix,
            &prompt(prefix, prefix + 10_000, 10),
        );
        homes[server % 3] += 1;
    }
    let percent = homes.map(|count| (count as f64 / 40.0).round());
    insta::assert_snapshot!(format!("{percent:?}"), @"[49.0, 32.0, 20.0]");
}

/// Long prompts come for four seconds at 0.55 of what the servers can read, and entries
/// know of the prompts of other entries 250 ms late. With the paces unknown, the slow
/// servers get as many as the fast ones. Streams pause for as long as their server reads
/// without a break, and callers need nine in ten prompts to keep these pauses short.
#[rstest]
#[case::seed_1(1)]
#[case::seed_2(2)]
#[case::seed_3(3)]
fn long_prompts_leave_time_to_the_streams_beside_them(#[case] seed: u64) {
    let [unpaced, paced] = [false, true].map(|is_paced| late_share(seed, is_paced));
    assert!(paced < 0.1, "paced {paced}, unpaced {unpaced}");
    assert!(paced < unpaced / 2.0, "paced {paced}, unpaced {unpaced}");
}

/// Returns the share of prompts after which a server has read for longer than the target
/// pause without a break.
fn late_share(seed: u64, is_paced: bool) -> f64 {
    const SERVERS: usize = 60;
    const READ_MS_PER_TOKEN: f64 = 0.014;
    const GOSSIP_DELAY_MS: u64 = 250;
    let mut set = match is_paced {
        true => paced_set(SERVERS),
        false => (0..SERVERS).fold(BackendSet::new(), |mut set, number| {
            set.put(record(number));
            set
        }),
    };
    let chooser = Chooser::new();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut busy_until = [0.0_f64; SERVERS];
    let mut sent: Vec<(u64, usize, u64)> = Vec::new();
    let mut late = 0;
    let mut prompts = 0;
    for now in (5_000..9_000).step_by(4) {
        // Pending prompts are known if they were sent some time ago and are not read yet.
        let mut pending = [0_u64; SERVERS];
        for (sent_at, server, tokens) in &sent {
            let is_known = now - sent_at >= GOSSIP_DELAY_MS;
            let is_read = busy_until[*server] <= now as f64;
            if is_known && !is_read {
                pending[*server] += tokens;
            }
        }
        for (server, tokens) in pending.iter().enumerate() {
            set.note_peer_load(&server_id(server), 16, *tokens);
        }
        let call = rng.random();
        let own_tokens = rng.random_range(2_000..12_000);
        let blocks = prompt(rng.random_range(0..900), call, own_tokens);
        let server = chooser.choose(&set, at(now), call, &blocks);
        let pace = EVENT_MS[server % 3] as f64 / EVENT_MS[1] as f64;
        let read_ms = own_tokens as f64 * READ_MS_PER_TOKEN * pace;
        let start = busy_until[server].max(now as f64);
        busy_until[server] = start + read_ms;
        sent.push((now, server, own_tokens));
        sent.retain(|(sent_at, ..)| now - sent_at < 2_000);
        prompts += 1;
        late += u32::from(busy_until[server] - now as f64 > TARGETS.pause.as_millis() as f64);
    }
    f64::from(late) / f64::from(prompts)
}

/// The costs of a prompt at a server, in milliseconds, rounded.
#[test]
fn a_prompt_costs_what_it_makes_late() {
    let idle = ReadingQuery {
        event_time: Duration::from_millis(30),
        queued_ms: 0.0,
        own_ms: 80.0,
        repeated_ms: 0.0,
        utilization: 0.0,
        targets: TARGETS,
    };
    let cases = [
        ("idle", idle),
        (
            "half full",
            ReadingQuery {
                utilization: 0.5,
                ..idle
            },
        ),
        (
            "other prompts are read",
            ReadingQuery {
                queued_ms: 200.0,
                utilization: 0.5,
                ..idle
            },
        ),
        (
            "slow",
            ReadingQuery {
                event_time: Duration::from_millis(90),
                own_ms: 240.0,
                utilization: 0.5,
                ..idle
            },
        ),
        (
            "too slow to start in time",
            ReadingQuery {
                own_ms: 900.0,
                ..idle
            },
        ),
        (
            "cached elsewhere",
            ReadingQuery {
                repeated_ms: 70.0,
                ..idle
            },
        ),
    ];
    let costs: Vec<String> = cases
        .iter()
        .map(|(name, query)| format!("{name}: {:.0}", query.cost_ms()))
        .collect();
    insta::assert_snapshot!(costs.join("\n"), @r"
    idle: 80
    half full: 360
    other prompts are read: 890
    slow: 1470
    too slow to start in time: 2900
    cached elsewhere: 640
    ");
}

#[test]
fn a_sample_is_a_short_pause_and_the_longest_is_kept() {
    let start = Instant::now();
    let mut pauses = EventPauses::new();
    let mut samples = Vec::new();
    for after_ms in [0, 20, 21, 45, 70, 500, 525, 550, 575, 600, 625, 650, 675] {
        let event_at = start + Duration::from_millis(after_ms);
        samples.extend(pauses.note_event(event_at));
    }
    pauses.note_resumed();
    for after_ms in [1_675, 1_700, 1_725, 1_750, 1_775, 1_800] {
        let event_at = start + Duration::from_millis(after_ms);
        samples.extend(pauses.note_event(event_at));
    }
    let text = format!("{samples:?}, longest {:?}", pauses.longest());
    insta::assert_snapshot!(text, @"[20ms, 25ms], longest 1s");
}
