//! Entries within this process against the stand-ins, through their edges.

use std::time::Duration;

use cloverbend::caller_client::CallerError;
use cloverbend::configuration::ClassConfig;
use cloverbend::configuration::ConfigDocument;
use cloverbend::id::RevisionNumber;
use cloverbend::publisher::PublishOutcome;
use cloverbend::quantity::HourlyPrice;
use cloverbend_testutils::cluster::PlatformShape;
use cloverbend_testutils::cluster::ZONES;
use cloverbend_testutils::cluster::free_address;
use cloverbend_testutils::demo::LocalDeployment;
use cloverbend_testutils::demo::sample_call;
use cloverbend_testutils::demo::sample_chat;
use cloverbend_testutils::fault::Fault;
use cloverbend_testutils::fault::FaultOrder;
use cloverbend_testutils::sample::DEPOT_KEY;
use cloverbend_testutils::sample::DISPATCH_KEY;
use cloverbend_testutils::sample::cold_chain;
use cloverbend_testutils::standin_server::Standin;
use rstest::rstest;

const PATIENCE: Duration = Duration::from_secs(60);

async fn eventually(what: &str, met: impl Fn() -> bool) {
    let begun = tokio::time::Instant::now();
    while !met() {
        assert!(begun.elapsed() < PATIENCE, "{what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn start(entries: usize) -> LocalDeployment {
    let shape = PlatformShape {
        engines: 1,
        ..PlatformShape::default()
    };
    LocalDeployment::start(entries, shape, "").await.unwrap()
}

fn planned() -> ConfigDocument {
    let mut document = cold_chain();
    document.services[0].min_replicas = 4;
    document.classes.push(ClassConfig {
        class: "small".parse().unwrap(),
        on_demand: HourlyPrice(3.0),
        reclaimable: HourlyPrice(1.0),
    });
    document.zones = ZONES.iter().map(|zone| zone.parse().unwrap()).collect();
    document
}

#[rstest]
#[case(Fault::None)]
#[case(Fault::LoseAnswer)]
#[case(Fault::Refuse)]
#[tokio::test]
async fn two_planners_and_a_faulty_cloud_start_each_vm_once(#[case] fault: Fault) {
    let deployment = start(2).await;
    let cloud = &deployment.platform.cloud;
    for _ in 0..12 {
        cloud.add_spare(free_address().unwrap());
    }
    cloud.faults().set(FaultOrder {
        fault,
        requests: Some(3),
        posts_only: true,
    });
    deployment.platform.publish(planned()).await.unwrap();
    // One engine is there already; the least is four.
    eventually("the VMs were not started", || cloud.started() >= 3).await;
    // Lost answers take 2 s each; then the orders are sent again.
    tokio::time::sleep(Duration::from_secs(12)).await;
    assert_eq!(cloud.started(), 3);
}

#[tokio::test]
async fn a_revision_is_in_force_everywhere_and_the_loser_of_a_race_is_told() {
    let deployment = start(3).await;
    let (first, second) = tokio::join!(
        deployment.platform.publish(cold_chain()),
        deployment.platform.publish(cold_chain()),
    );
    let outcomes = [first.unwrap(), second.unwrap()];
    let accepted = |outcome: &&PublishOutcome| matches!(outcome, PublishOutcome::Accepted(_));
    let won = outcomes.iter().filter(accepted).count();
    let number = RevisionNumber(1 + won as u64);
    eventually("not in force everywhere", || {
        deployment.daemons.iter().all(|daemon| {
            let follower = daemon.context().tables.config.read();
            follower.number() == number
        })
    })
    .await;
    assert!(won >= 1);
}

#[tokio::test]
async fn a_revision_whose_answer_was_lost_is_applied_once() {
    let deployment = start(1).await;
    deployment.platform.log.faults().set(FaultOrder {
        fault: Fault::Delay { millis: 2_500 },
        requests: Some(4),
        posts_only: false,
    });
    let outcome = deployment.platform.publish(cold_chain()).await;
    deployment.platform.log.faults().set(FaultOrder {
        fault: Fault::None,
        requests: None,
        posts_only: false,
    });
    // Whether or not the publisher could tell, no number is taken twice.
    let context = deployment.daemons[0].context();
    if let Ok(PublishOutcome::Accepted(number)) = outcome {
        eventually("not in force", || {
            context.tables.config.read().number() >= number
        })
        .await;
    }
    assert!(context.tables.config.read().number() <= RevisionNumber(2));
}

#[tokio::test]
async fn bad_input_gets_a_typed_refusal_that_says_it_did_not_run() {
    let deployment = start(1).await;
    let address = deployment.addresses[0].http;
    let http = cloverbend::http_client::HttpClient::new();
    let mut lines = Vec::new();
    let cases = [
        ("/v1/chat/completions", DEPOT_KEY, "", "{"),
        (
            "/v1/chat/completions",
            DEPOT_KEY,
            "",
            r#"{"model":"excursion-reports","messages":[]}"#,
        ),
        (
            "/v1/chat/completions",
            DEPOT_KEY,
            "",
            r#"{"model":"nothing","messages":[{"role":"user","content":"x"}]}"#,
        ),
        ("/v1/chat/completions", "wrong", "", "{}"),
        ("/v1/services/alert-gateway/x", DEPOT_KEY, "", "{}"),
        ("/v1/services/alert-gateway/x", DISPATCH_KEY, "", "{}"),
        (
            "/v1/services/alert-gateway/x",
            DISPATCH_KEY,
            "my-own-key",
            "{}",
        ),
        ("/v1/services/nothing/x", DISPATCH_KEY, "", "{}"),
        ("/v1/services/a b/x", DISPATCH_KEY, "", "{}"),
        ("/nowhere", DEPOT_KEY, "", "{}"),
    ];
    for (path, key, ticket, body) in cases {
        let mut builder =
            http::Request::post(format!("http://{address}{}", path.replace(' ', "%20")))
                .header("authorization", format!("Bearer {key}"));
        if !ticket.is_empty() {
            builder = builder.header("idempotency-key", ticket);
        }
        let request = cloverbend::http_client::build_request(builder, body.into()).unwrap();
        let response = http.send(request).await.unwrap();
        let status = response.status().as_u16();
        let body = cloverbend::http_client::read_body(response.into_body())
            .await
            .unwrap();
        let refusal: cloverbend::refusal::RefusalBody = serde_json::from_slice(&body).unwrap();
        let refusal = refusal.error;
        lines.push(format!(
            "{status} {} ran={}: {}",
            refusal.code, refusal.ran, refusal.message
        ));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[rstest]
#[case(Fault::Refuse, true)]
#[case(Fault::LoseAnswer, false)]
#[case(Fault::Freeze, false)]
#[tokio::test]
async fn a_call_that_meets_a_faulty_backend_runs_at_most_once(
    #[case] fault: Fault,
    #[case] answered: bool,
) {
    let deployment = start(3).await;
    for plain in &deployment.platform.plains {
        plain.faults().set(FaultOrder {
            fault,
            requests: None,
            posts_only: false,
        });
    }
    let mut caller = deployment.caller(0, DISPATCH_KEY);
    let ticket = caller.entries(1).await.unwrap().tickets.remove(0);
    let mut call = sample_call(1);
    call.deadline = Some(Duration::from_millis(700));
    let mut outcomes = Vec::new();
    for first in 0..3 {
        let caller = deployment.caller(first, DISPATCH_KEY);
        outcomes.push(caller.call_once(&call, &ticket, 1).await);
    }
    for plain in &deployment.platform.plains {
        plain.faults().set(FaultOrder {
            fault: Fault::None,
            requests: None,
            posts_only: false,
        });
    }
    for outcome in outcomes {
        match outcome {
            Ok(outcome) => assert!(answered, "{outcome:?}"),
            Err(CallerError::Refused(refusal)) => {
                assert_eq!(refusal.ran, cloverbend::refusal::RanReport::Unknown);
            }
            Err(error) => panic!("{error}"),
        }
    }
    assert!(deployment.platform.runs(&ticket) <= 1);
}

#[tokio::test]
async fn a_leaving_engine_gets_no_new_work_however_late_the_list_is() {
    let shape = PlatformShape {
        engines: 2,
        ..PlatformShape::default()
    };
    let deployment = LocalDeployment::start(3, shape, "").await.unwrap();
    let platform = &deployment.platform;
    platform.cloud.hold_list();
    let leaving = &platform.engines[0];
    let known_everywhere = || {
        deployment.daemons.iter().all(|daemon| {
            let backends = daemon.context().tables.backends.lock();
            backends
                .vms()
                .any(|(record, left)| record.vm == leaving.vm && left)
        })
    };
    platform
        .cloud
        .give_notice(leaving.vm.clone(), Duration::from_secs(600));
    eventually("the notice did not arrive", known_everywhere).await;
    let before = leaving.engine.computed();
    for first in 0..6 {
        let (body, expected) = sample_chat(&format!("truck {first}"), 3);
        let mut caller = deployment.caller(first % 3, DEPOT_KEY);
        let outcome = caller.chat(body, None, |_| {}).await.unwrap();
        assert_eq!(outcome.text, expected);
    }
    assert_eq!(leaving.engine.computed(), before);
}

/// A chat under which each engine ends its stream was sent to one after the
/// other, as long as the retries of its service lasted, and took their slots.
#[tokio::test]
async fn a_chat_that_engines_end_under_is_given_up_after_three() {
    let deployment = start(2).await;
    let engines = &deployment.platform.engines;
    for engine in engines {
        engine.engine.set_fatal("fatal");
    }
    let (body, _) = sample_chat("a fatal truck", 3);
    let outcome = deployment
        .caller(0, DEPOT_KEY)
        .chat(body, None, |_| {})
        .await;
    assert!(outcome.is_err(), "{outcome:?}");
    let attempts: u64 = engines.iter().map(|e| e.engine.fatal_attempts()).sum();
    assert_eq!(attempts, 3);
    let (body, expected) = sample_chat("a sound truck", 3);
    let outcome = deployment
        .caller(0, DEPOT_KEY)
        .chat(body, None, |_| {})
        .await;
    assert_eq!(outcome.unwrap().text, expected);
}
