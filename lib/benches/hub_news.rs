//! The time that a hub spends on account limits in one gossip round: every other
//! entry reports the units that it admitted and gets the totals of the others.

use std::time::Duration;

use cloverbend::gateway::account_limits::AccountLimits;
use cloverbend::gateway::account_limits::LimitSlack;
use cloverbend::id::AccountName;
use cloverbend::id::Incarnation;
use cloverbend::quantity::Timestamp;
use criterion::BatchSize;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;

const ACCOUNTS: usize = 40;
const HUB: Incarnation = Incarnation(0);
const LIMIT_SLACK: LimitSlack = LimitSlack {
    window: Duration::from_secs(8),
    overage: 0.1,
    units: 140_000.0,
};

fn accounts() -> Vec<AccountName> {
    let name = |number| format!("account-{number}").parse();
    (0..ACCOUNTS)
        .filter_map(|number| name(number).ok())
        .collect()
}

fn run_round(limits: &mut AccountLimits, accounts: &[AccountName], entries: u64, round: u64) {
    let now = Timestamp::from_millis(round * 250);
    for entry in 1..=entries {
        for account in accounts {
            limits.note_peer_total(Incarnation(entry), account, round * 100, true);
        }
        limits.merge_peer_totals(now, HUB, accounts);
    }
    for entry in 1..=entries {
        std::hint::black_box(limits.totals_without(Some(Incarnation(entry))));
    }
}

fn bench_rounds(criterion: &mut Criterion) {
    let accounts = accounts();
    let mut group = criterion.benchmark_group("round_of_limits");
    group.sample_size(10);
    for entries in [9, 80, 320] {
        let mut limits = AccountLimits::new(HUB, false, LIMIT_SLACK);
        run_round(&mut limits, &accounts, entries, 1);
        group.bench_function(BenchmarkId::from_parameter(entries), |bencher| {
            let setup = || limits.clone();
            let round = |mut limits| run_round(&mut limits, &accounts, entries, 2);
            bencher.iter_batched(setup, round, BatchSize::LargeInput);
        });
    }
    group.finish();
}

criterion_group!(benches, bench_rounds);
criterion_main!(benches);
