//! Limits of client accounts over entries, retry budgets, and returns.

use std::time::Duration;

use cloverbend::configuration::AccountConfig;
use cloverbend::configuration::KeyHash;
use cloverbend::limits::AccountLimiter;
use cloverbend::limits::LimitRefusal;
use cloverbend::limits::RetryBudget;
use cloverbend::limits::retry_pause;
use cloverbend::limits::spread_retry_after;
use cloverbend::quantity::RequestRate;
use cloverbend::quantity::Timestamp;

const ENTRIES: usize = 9;

fn account(rate: f64, concurrency: u32) -> AccountConfig {
    AccountConfig {
        name: "depots".parse().unwrap(),
        key_hash: KeyHash::of_key("key"),
        policy: "main".parse().unwrap(),
        request_rate: RequestRate(rate),
        concurrency,
    }
}

#[test]
fn entries_together_grant_no_more_than_the_rate_and_one_burst() {
    let account = account(90.0, 1_000_000);
    let mut limiters = vec![AccountLimiter::new(); ENTRIES];
    let mut granted = 0;
    for millis in 0..10_000 {
        let now = Timestamp::from_millis(millis);
        for limiter in &mut limiters {
            if limiter.grant(now, &account, ENTRIES).is_ok() {
                granted += 1;
                limiter.release(&account.name);
            }
        }
    }
    // Ten seconds and a burst of one second, of 90 each.
    assert!((900..=990).contains(&granted), "{granted}");
}

#[test]
fn entries_together_run_no_more_than_the_concurrency() {
    let account = account(1e6, 27);
    let mut limiters = vec![AccountLimiter::new(); ENTRIES];
    let mut running = 0;
    for limiter in &mut limiters {
        while limiter.grant(Timestamp(0), &account, ENTRIES).is_ok() {
            running += 1;
        }
    }
    assert_eq!(running, 27);
    limiters[0].release(&account.name);
    assert!(limiters[0].grant(Timestamp(0), &account, ENTRIES).is_ok());
}

#[test]
fn a_refusal_tells_when_the_next_request_is_granted() {
    let account = account(9.0, 100);
    let mut limiter = AccountLimiter::new();
    assert!(limiter.grant(Timestamp(0), &account, ENTRIES).is_ok());
    let refused = limiter.grant(Timestamp(0), &account, ENTRIES);
    let Err(LimitRefusal::Rate { retry_after }) = refused else {
        panic!("{refused:?}");
    };
    let then = Timestamp(0).after(retry_after);
    assert!(limiter.grant(then, &account, ENTRIES).is_ok());
}

#[test]
fn one_account_does_not_use_up_what_another_has() {
    let large = account(9.0, 9);
    let mut small = account(9.0, 9);
    small.name = "clinic".parse().unwrap();
    let mut limiter = AccountLimiter::new();
    while limiter.grant(Timestamp(0), &large, 1).is_ok() {}
    assert!(limiter.grant(Timestamp(0), &small, 1).is_ok());
}

#[test]
fn retries_are_a_share_of_first_tries() {
    let service = "reports".parse().unwrap();
    let mut budget = RetryBudget::new();
    while budget.spend(&service) {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn(&service, 10);
        retries += u32::from(budget.spend(&service));
    }
    assert!((99..=100).contains(&retries), "{retries}");
}

#[test]
fn pauses_grow_and_returns_are_spread() {
    let pauses: Vec<Duration> = (1..9).map(|attempt| retry_pause(attempt, 1.0)).collect();
    assert!(pauses.windows(2).all(|pair| pair[0] <= pair[1]));
    assert!(pauses.iter().all(|pause| *pause <= Duration::from_secs(2)));
    let base = Duration::from_secs(2);
    assert_eq!(spread_retry_after(base, 0.0), base);
    assert_eq!(spread_retry_after(base, 1.0), base * 2);
}
