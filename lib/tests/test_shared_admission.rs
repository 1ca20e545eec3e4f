//! The load pattern of a service with less room than demand, replayed on the decisions of
//! many entries that know what the others did 250 ms ago. The servers share one queue:
//! which of them gets a request is not decided here.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use cloverbend::gateway::account_demand::CrowdedDemand;
use cloverbend::gateway::account_demand::DemandClass;
use cloverbend::gateway::account_demand::DemandItem;
use cloverbend::gateway::account_demand::ServiceDemands;
use cloverbend::gateway::account_demand::add_demands;
use cloverbend::gateway::account_demand::subtract_demands;
use cloverbend::gateway::account_demand::write_demands;
use cloverbend::gateway::account_share::bound_demands;
use cloverbend::gateway::account_share::fair_share;
use cloverbend::gateway::load_shedding::SheddingQuery;
use cloverbend::gateway::load_shedding::shed_request;
use cloverbend::gateway::service_room::ServiceRoom;
use cloverbend::gateway::shared_admission::AdmissionQuery;
use cloverbend::gateway::shared_admission::RefusalCause;
use cloverbend::gateway::shared_admission::SharedAdmission;
use cloverbend::id::AccountName;
use cloverbend::id::ServiceName;
use cloverbend::quantity::Timestamp;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const SERVERS: usize = 22;
const SLOTS: usize = 12;
const ACCOUNTS: usize = 16;
/// The target latencies by urgency, in milliseconds.
const TARGETS_MS: [u64; 3] = [600, 1_200, 800];
/// The shares of the kinds in the usual work, by urgency.
const USUAL_SHARES: [f64; 3] = [0.41, 0.18, 0.41];
const PREFILL_MS: u64 = 60;
const SLOT_TIME_MS: u64 = 900;
const GOSSIP_MS: u64 = 250;
const END_MS: u64 = 16_000;
/// When the load or the room changes.
const CHANGE_MS: u64 = 3_000;

/// What fails from the fifth second on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    Nothing,
    /// No news arrives for two seconds.
    HubsSilent,
    /// The first entry restarts and knows nothing.
    EntryRestarts,
    /// The first entry reports a billion units of one account, and a billion requests at
    /// one server.
    Nonsense,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    entries: usize,
    /// Servers that remain after the change.
    servers_left: usize,
    /// The load by urgency, relative to the capacity of all servers, before and after.
    loads: [[f64; 3]; 2],
    /// How much more the first account sends after the change.
    hot_factor: f64,
    failure: Failure,
    is_shared: bool,
}

impl Scenario {
    fn steady(entries: usize, load: f64) -> Self {
        let loads = USUAL_SHARES.map(|share| share * load);
        Self {
            entries,
            servers_left: SERVERS,
            loads: [loads; 2],
            hot_factor: 1.0,
            failure: Failure::Nothing,
            is_shared: true,
        }
    }

    /// Half of the room is lost while the least urgent kind comes at twice the capacity
    /// that is left.
    fn burst(entries: usize, failure: Failure) -> Self {
        let usual = Self::steady(entries, 0.4);
        let [first, second, _] = usual.loads[0];
        Self {
            servers_left: SERVERS / 2,
            loads: [usual.loads[0], [first, second, 1.0]],
            failure,
            ..usual
        }
    }

    fn hot_account(entries: usize, failure: Failure) -> Self {
        Self {
            hot_factor: 8.0,
            failure,
            ..Self::steady(entries, 0.85)
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    in_time: u32,
    late: u32,
    refused: u32,
}

impl Tally {
    fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from((self.in_time + self.late + self.refused).max(1))
    }
}

/// A burst with one seed has some six hundred urgent requests; these are too few to tell
/// 0.95 from 0.93.
const SEEDS: [u64; 4] = [1, 2, 3, 4];

#[derive(Default)]
struct Outcome {
    kinds: [Tally; 3],
    accounts: [Tally; ACCOUNTS],
    /// Requests served, in time or late.
    served: u32,
    peak_wait_ms: u64,
}

/// What an entry reported to the hubs in a round.
#[derive(Clone, Default)]
struct EntryNews {
    demands: Vec<CrowdedDemand>,
    in_flight: u32,
}

struct Entry {
    admission: SharedAdmission,
    in_flight: u32,
    peer_in_flight: u32,
    /// Requests that another entry claims to have at the first server.
    false_requests: u32,
}

impl Entry {
    fn new() -> Self {
        Self {
            admission: SharedAdmission::new(),
            in_flight: 0,
            peer_in_flight: 0,
            false_requests: 0,
        }
    }

    fn occupancy(&self) -> u32 {
        self.in_flight + self.peer_in_flight
    }

    fn update(&mut self, now: Timestamp, servers: usize) {
        let mut room = ServiceRoom::default();
        for server in 0..servers as u32 {
            let part = (self.occupancy() + server) / servers as u32;
            let false_requests = if server == 0 { self.false_requests } else { 0 };
            room.add_server(SLOTS as u32, part + false_requests);
        }
        let target = Duration::from_millis(TARGETS_MS[0]);
        let request_time = Duration::from_millis(SLOT_TIME_MS);
        self.admission
            .update(now, &service(), room, request_time, target);
    }
}

fn service() -> ServiceName {
    "chat".parse().unwrap()
}

fn account(number: usize) -> AccountName {
    format!("account-{number}").parse().unwrap()
}

/// What the hubs know after a round.
struct HubNews {
    entries: Vec<EntryNews>,
    demands: ServiceDemands,
    in_flight: u32,
    false_requests: u32,
}

fn gather_news(entries: &mut [Entry], now: Timestamp, is_nonsense: bool) -> HubNews {
    let report = |entry: &mut Entry| EntryNews {
        demands: write_demands(&entry.admission.crowded_demands(now)),
        in_flight: entry.in_flight,
    };
    let mut entries: Vec<EntryNews> = entries.iter_mut().map(report).collect();
    if is_nonsense {
        entries[0].demands = vec![nonsense_demand()];
    }
    let mut demands = ServiceDemands::new();
    for entry in &entries {
        add_demands(&mut demands, &entry.demands);
    }
    HubNews {
        in_flight: entries.iter().map(|entry| entry.in_flight).sum(),
        false_requests: if is_nonsense { 1_000_000_000 } else { 0 },
        entries,
        demands,
    }
}

fn nonsense_demand() -> CrowdedDemand {
    CrowdedDemand {
        service: "chat".to_owned(),
        items: vec![DemandItem {
            urgency: 2,
            account: "account-1".to_owned(),
            units_milli: 1_000_000_000_000,
        }],
    }
}

fn receive_news(entry: &mut Entry, number: usize, now: Timestamp, news: &HubNews) {
    let own = &news.entries[number];
    let mut demands = news.demands.clone();
    subtract_demands(&mut demands, &own.demands);
    entry.admission.note_news(now);
    entry.admission.replace_peer_demands(now, demands);
    entry.peer_in_flight = news.in_flight - own.in_flight;
    entry.false_requests = news.false_requests;
}

/// Replays a load with all seeds, and adds up the outcomes.
fn replay(scenario: &Scenario) -> Outcome {
    let mut sum = Outcome::default();
    for seed in SEEDS {
        let outcome = replay_seed(scenario, seed);
        let tallies = sum.kinds.iter_mut().chain(&mut sum.accounts);
        for (tally, added) in tallies.zip(outcome.kinds.iter().chain(&outcome.accounts)) {
            tally.in_time += added.in_time;
            tally.late += added.late;
            tally.refused += added.refused;
        }
        sum.served += outcome.served;
        sum.peak_wait_ms = sum.peak_wait_ms.max(outcome.peak_wait_ms);
    }
    sum
}

fn replay_seed(scenario: &Scenario, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut entries: Vec<Entry> = (0..scenario.entries).map(|_| Entry::new()).collect();
    let mut running: Vec<(usize, u64)> = Vec::new();
    let mut free_at = vec![0_u64; SERVERS * SLOTS];
    let mut rounds: VecDeque<HubNews> = VecDeque::new();
    let mut outcome = Outcome::default();
    let mut arrivals = 0.0;
    let hot_weight = |now| {
        if now >= CHANGE_MS {
            scenario.hot_factor
        } else {
            1.0
        }
    };
    for now_ms in 0..END_MS {
        let now = Timestamp::from_millis(now_ms + 10_000);
        let phase = usize::from(now_ms >= CHANGE_MS);
        let servers = [SERVERS, scenario.servers_left][phase];
        free_at.truncate(servers * SLOTS);
        if now_ms == 5_000 && scenario.failure == Failure::EntryRestarts {
            entries[0].admission = SharedAdmission::new();
            entries[0].peer_in_flight = 0;
        }
        running.retain(|(entry, ends_at)| {
            let is_running = *ends_at > now_ms;
            entries[*entry].in_flight -= u32::from(!is_running);
            is_running
        });
        let is_silent = scenario.failure == Failure::HubsSilent && (5_000..7_000).contains(&now_ms);
        if now_ms.is_multiple_of(GOSSIP_MS) {
            let is_nonsense = scenario.failure == Failure::Nonsense && now_ms >= 5_000;
            rounds.push_back(gather_news(&mut entries, now, is_nonsense));
            if rounds.len() > 2 {
                rounds.pop_front();
            }
        }
        for (number, entry) in entries.iter_mut().enumerate() {
            // The news is 125 to 375 ms old, and entries receive it at different times.
            let offset = 125 + number as u64 * GOSSIP_MS / scenario.entries as u64;
            if now_ms % GOSSIP_MS == offset % GOSSIP_MS && !is_silent {
                let is_previous = offset >= GOSSIP_MS && rounds.len() > 1;
                let news = &rounds[rounds.len() - 1 - usize::from(is_previous)];
                receive_news(entry, number, now, news);
                entry.update(now, servers);
            }
        }
        let hot = hot_weight(now_ms);
        let surplus = (hot + ACCOUNTS as f64 - 1.0) / ACCOUNTS as f64;
        let loads = scenario.loads[phase].map(|load| load * surplus);
        let capacity = (SERVERS * SLOTS) as f64 / SLOT_TIME_MS as f64;
        arrivals += loads.iter().sum::<f64>() * capacity;
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            let kind = pick(&mut rng, &loads);
            let mut weights = [1.0; ACCOUNTS];
            weights[0] = hot;
            let account = pick(&mut rng, &weights);
            let number = rng.random_range(0..entries.len());
            let entry = &mut entries[number];
            let is_admitted = decide(scenario, entry, now, servers, kind, account, &mut rng);
            let is_counted = now_ms >= CHANGE_MS;
            if !is_admitted {
                if is_counted {
                    outcome.kinds[kind].refused += 1;
                    outcome.accounts[account].refused += 1;
                }
                continue;
            }
            entry.in_flight += 1;
            let slot = free_at.iter_mut().min().unwrap();
            let started_at = (*slot).max(now_ms);
            let took = rng.random_range(SLOT_TIME_MS / 2..SLOT_TIME_MS * 3 / 2);
            *slot = started_at + took;
            running.push((number, *slot));
            if is_counted {
                let wait = started_at - now_ms;
                outcome.peak_wait_ms = outcome.peak_wait_ms.max(wait);
                let is_late = wait + PREFILL_MS > TARGETS_MS[kind];
                for tally in [&mut outcome.kinds[kind], &mut outcome.accounts[account]] {
                    tally.late += u32::from(is_late);
                    tally.in_time += u32::from(!is_late);
                }
                outcome.served += 1;
            }
        }
    }
    outcome
}

fn decide(
    scenario: &Scenario,
    entry: &mut Entry,
    now: Timestamp,
    servers: usize,
    kind: usize,
    account_number: usize,
    rng: &mut StdRng,
) -> bool {
    let slots = (servers * SLOTS) as u32;
    let waiting = (entry.occupancy() + 1).saturating_sub(slots);
    let wait_ms = SLOT_TIME_MS * u64::from(waiting) / u64::from(slots);
    let slot_wait = Duration::from_millis(wait_ms);
    let expected_latency = slot_wait + Duration::from_millis(PREFILL_MS);
    let target_latency = Duration::from_millis(TARGETS_MS[kind]);
    if !scenario.is_shared {
        let query = SheddingQuery {
            expected_latency,
            slot_wait,
            target_latency,
            shortest_target: Duration::from_millis(TARGETS_MS[0]),
            urgency: kind as u8,
            draw: rng.random(),
        };
        return shed_request(&query).is_none();
    }
    let name = account(account_number);
    let class = DemandClass {
        urgency: kind as u8,
        account: Some(name.clone()),
    };
    entry.admission.note_request(now, &service(), class, 1.0);
    if entry.admission.is_update_due(now, &service()) {
        entry.update(now, servers);
    }
    let query = AdmissionQuery {
        service: &service(),
        urgency: kind as u8,
        account: Some(&name),
        expected_latency,
        slot_wait,
        target_latency,
        is_promised: false,
        draw: rng.random(),
    };
    entry.admission.decide(&query).is_ok()
}

fn pick(rng: &mut StdRng, weights: &[f64]) -> usize {
    let mut drawn = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        drawn -= weight;
        if drawn < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}

/// Checks the order of urgency, and that the most urgent kind is served.
fn check_kinds(outcome: &Outcome, least_first: f64) {
    let [first, second, last] = outcome.kinds.map(|tally| tally.share());
    let shown = format!(
        "{first:.3} {second:.3} {last:.3}, wait {} ms",
        outcome.peak_wait_ms
    );
    println!("{shown}");
    assert!(first >= second && second >= last, "{shown}");
    assert!(first >= least_first, "{shown}");
}

fn check_others(outcome: &Outcome) {
    check_accounts(outcome, 1);
}

/// Checks the accounts from the number `first` on.
fn check_accounts(outcome: &Outcome, first: usize) {
    let others: Vec<f64> = outcome.accounts[first..].iter().map(Tally::share).collect();
    let mean = others.iter().sum::<f64>() / others.len() as f64;
    let worst = others.iter().copied().fold(1.0, f64::min);
    let hot = outcome.accounts[0].share();
    println!("hot {hot:.3}, others {mean:.3}, worst {worst:.3}");
    assert!(worst >= mean - 0.10, "mean {mean:.3}, worst {worst:.3}");
    assert!(worst >= 0.9, "mean {mean:.3}, worst {worst:.3}");
}

#[rstest]
fn a_burst_of_the_least_urgent_kind_pays_itself(#[values(9, 62, 302)] entries: usize) {
    let outcome = replay(&Scenario::burst(entries, Failure::Nothing));
    check_kinds(&outcome, 0.95);
}

#[rstest]
fn an_account_at_eight_times_its_usual_pays_itself(#[values(9, 62, 302)] entries: usize) {
    check_others(&replay(&Scenario::hot_account(entries, Failure::Nothing)));
}

#[rstest]
fn nobody_is_refused_while_there_is_room(#[values(9, 62, 302)] entries: usize) {
    let outcome = replay(&Scenario::steady(entries, 0.6));
    for kind in outcome.kinds {
        assert_eq!(kind.refused, 0);
    }
}

#[rstest]
fn a_full_service_does_as_much_work_as_without_shares(#[values(9, 62, 302)] entries: usize) {
    let shared = Scenario::steady(entries, 1.0);
    let by_wait = Scenario {
        is_shared: false,
        ..shared
    };
    let (shared, by_wait) = (replay(&shared).served, replay(&by_wait).served);
    println!("{shared} {by_wait}");
    assert!(f64::from(shared) >= 0.9 * f64::from(by_wait));
}

#[rstest]
fn failures_have_a_bounded_effect(
    #[values(9, 62, 302)] entries: usize,
    #[values(Failure::HubsSilent, Failure::EntryRestarts, Failure::Nonsense)] failure: Failure,
) {
    check_kinds(&replay(&Scenario::burst(entries, failure)), 0.90);
    let outcome = replay(&Scenario::hot_account(entries, failure));
    // An account of which an entry tells nonsense pays for it, no other does.
    check_accounts(&outcome, if failure == Failure::Nonsense { 2 } else { 1 });
    assert!(outcome.accounts[1].share() >= 0.5);
}

fn query<'a>(service: &'a ServiceName, slot_wait_ms: u64) -> AdmissionQuery<'a> {
    AdmissionQuery {
        service,
        urgency: 2,
        account: None,
        expected_latency: Duration::from_millis(slot_wait_ms + 60),
        slot_wait: Duration::from_millis(slot_wait_ms),
        target_latency: Duration::from_millis(800),
        is_promised: false,
        draw: 0.999,
    }
}

/// Returns the state of an entry that has seen a full service for some seconds.
fn crowded_admission() -> SharedAdmission {
    let mut admission = SharedAdmission::new();
    for step in 0..100 {
        let now = Timestamp::from_millis(step * 100);
        let class = DemandClass {
            urgency: 2,
            account: None,
        };
        admission.note_request(now, &service(), class, 1.0);
        let mut room = ServiceRoom::default();
        room.add_server(10, 20);
        let (time, target) = (Duration::from_secs(1), Duration::from_millis(600));
        admission.update(now, &service(), room, time, target);
    }
    admission
}

#[test]
fn a_slot_is_free_unless_old_news_say_so_in_a_crowded_service() {
    let service = service();
    assert_eq!(SharedAdmission::new().decide(&query(&service, 0)), Ok(()));
    let mut admission = crowded_admission();
    assert!(admission.decide(&query(&service, 0)).is_err());
    let mut room = ServiceRoom::default();
    room.add_server(10, 4);
    for step in 0..3 {
        let now = Timestamp::from_millis(10_000 + step * 100);
        let (time, target) = (Duration::from_secs(1), Duration::from_millis(600));
        admission.update(now, &service, room, time, target);
    }
    assert_eq!(admission.decide(&query(&service, 0)), Ok(()));
}

#[test]
fn a_crowded_service_refuses_by_level_but_not_what_was_promised() {
    let admission = crowded_admission();
    let service = service();
    let refused = admission.decide(&query(&service, 300)).unwrap_err();
    assert_eq!(refused.cause, RefusalCause::Level);
    let promised = AdmissionQuery {
        is_promised: true,
        ..query(&service, 300)
    };
    assert_eq!(admission.decide(&promised), Ok(()));
    let late = AdmissionQuery {
        expected_latency: Duration::from_millis(790),
        ..promised
    };
    let refused = admission.decide(&late).unwrap_err();
    assert_eq!(refused.cause, RefusalCause::Late);
}

#[test]
fn shares_are_max_min_and_a_false_demand_is_bounded() {
    assert_eq!(fair_share(&[1.0, 2.0, 9.0], 12.0), None);
    assert_eq!(fair_share(&[1.0, 2.0, 9.0], 9.0), Some(6.0));
    assert_eq!(fair_share(&[1.0, 2.0, 9.0], 3.0), Some(1.0));
    assert_eq!(fair_share(&[], 3.0), None);
    let mut demands = [1.0, 2.0, 1e9];
    bound_demands(&mut demands);
    assert_eq!(demands, [1.0, 2.0, 3.0]);
    let mut single = [7.0];
    bound_demands(&mut single);
    assert_eq!(single, [7.0]);
}

#[test]
fn a_message_of_demands_is_bounded_and_keeps_the_sum() {
    let mut demands = BTreeMap::new();
    for number in 0..1_000 {
        let class = DemandClass {
            urgency: (number % 10) as u8,
            account: Some(account(number)),
        };
        demands.insert(class, 1.0 + number as f64);
    }
    let sum: f64 = demands.values().sum();
    let message = CrowdedDemand::new(&service(), &demands);
    assert!(message.items.len() <= 64);
    let mut sums = ServiceDemands::new();
    assert_eq!(add_demands(&mut sums, &[message]), 0);
    let received: f64 = sums[&service()].values().sum();
    assert!((received - sum).abs() < 1.0, "{received} {sum}");
}

#[test]
fn malformed_demands_are_ignored_and_counted() {
    let item = |urgency, account: &str, units_milli| DemandItem {
        urgency,
        account: account.to_owned(),
        units_milli,
    };
    let message = CrowdedDemand {
        service: "chat".to_owned(),
        items: vec![
            item(10, "account-1", 5),
            item(u32::MAX, "", 5),
            item(1, "no such name \u{0}", 5),
            item(1, "account-1", u64::MAX),
        ],
    };
    let nameless = CrowdedDemand {
        service: String::new(),
        items: Vec::new(),
    };
    let mut sums = ServiceDemands::new();
    assert_eq!(add_demands(&mut sums, &[message, nameless]), 4);
    assert_eq!(sums[&service()].len(), 1);
    assert!(sums[&service()].values().all(|demand| demand.is_finite()));
}
