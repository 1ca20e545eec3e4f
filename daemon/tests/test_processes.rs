//! Tests of entries, backend servers and platform services that run as separate
//! processes, through the interface for callers.

use std::time::Duration;

use cloverbend_testutils::demo::sample_call;
use cloverbend_testutils::demo::sample_chat;
use cloverbend_testutils::processes::ProcessCluster;
use cloverbend_testutils::sample::DEPOT_KEY;
use cloverbend_testutils::sample::DISPATCH_KEY;
use serde_json::json;

const NOTES: &str = "Reefer truck 7, probe readings since noon, all in range. ";

#[tokio::test]
async fn both_workloads_pass_through_three_entries() {
    let cluster = ProcessCluster::start(3, 2, 2).await.unwrap();
    let (body, expected) = sample_chat(&NOTES.repeat(40), 40);
    for entry in 0..3 {
        let mut caller = cluster.caller(entry, DEPOT_KEY);
        let outcome = caller.chat(body.clone(), None, |_| {}).await.unwrap();
        assert_eq!(outcome.text, expected);
        let mut caller = cluster.caller(entry, DISPATCH_KEY);
        let outcome = caller.call(&sample_call(entry as u32)).await.unwrap();
        assert_eq!(outcome.status, 200);
    }
    assert_eq!(cluster.most_runs().await.unwrap(), 1);
}

#[tokio::test]
async fn a_planned_stop_cuts_off_no_request() {
    let mut cluster = ProcessCluster::start(3, 2, 2).await.unwrap();
    let (body, expected) = sample_chat(&NOTES.repeat(40), 400);
    let mut caller = cluster.caller(0, DEPOT_KEY);
    let chat = tokio::spawn(async move { caller.chat(body, None, |_| {}).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.entries[0].signal("TERM").unwrap();
    let outcome = chat.await.unwrap().unwrap();
    assert_eq!((outcome.text, outcome.resumed), (expected, 0));
    let stop_task = tokio::task::spawn_blocking(move || {
        let stopped = cluster.entries[0].wait(Duration::from_secs(30));
        (cluster, stopped)
    });
    let (_cluster, stopped) = stop_task.await.unwrap();
    assert!(stopped.unwrap());
}

#[tokio::test]
async fn a_killed_entry_loses_no_stream() {
    let cluster = ProcessCluster::start(3, 2, 2).await.unwrap();
    let (body, expected) = sample_chat(&NOTES.repeat(40), 150);
    let mut caller = cluster.caller(0, DEPOT_KEY);
    let chat = tokio::spawn(async move { caller.chat(body, None, |_| {}).await });
    tokio::time::sleep(Duration::from_millis(700)).await;
    cluster.entries[0].signal("KILL").unwrap();
    let outcome = chat.await.unwrap().unwrap();
    assert_eq!(outcome.text, expected);
    assert!(outcome.resumed > 0);
}

#[tokio::test]
async fn reclaims_of_entry_and_engine_at_once_lose_no_stream() {
    let cluster = ProcessCluster::start(3, 3, 2).await.unwrap();
    let (body, expected) = sample_chat(&NOTES.repeat(40), 250);
    let mut caller = cluster.caller(0, DEPOT_KEY);
    let chat = tokio::spawn(async move { caller.chat(body, None, |_| {}).await });
    tokio::time::sleep(Duration::from_millis(500)).await;
    let notice = Duration::from_secs(3);
    cluster.give_notice("entry-1", notice).await.unwrap();
    cluster.give_notice("engine-1", notice).await.unwrap();
    tokio::time::sleep(notice).await;
    cluster.engines[0].process.signal("KILL").unwrap();
    let outcome = chat.await.unwrap().unwrap();
    assert_eq!(outcome.text, expected);
}

#[tokio::test]
async fn a_frozen_entry_that_wakes_runs_nothing_twice() {
    let cluster = ProcessCluster::start(3, 1, 2).await.unwrap();
    let mut calls = Vec::new();
    for truck in 0..40 {
        let mut caller = cluster.caller(0, DISPATCH_KEY);
        calls.push(tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(5 * u64::from(truck))).await;
            caller.call(&sample_call(truck)).await
        }));
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    cluster.entries[0].signal("STOP").unwrap();
    tokio::time::sleep(Duration::from_secs(4)).await;
    cluster.entries[0].signal("CONT").unwrap();
    for call in calls {
        // A call's outcome may stay unknown, but no call may run twice.
        let _ = call.await.unwrap();
    }
    assert_eq!(cluster.most_runs().await.unwrap(), 1);
}

#[tokio::test]
async fn an_entry_starts_while_the_log_is_down() {
    let mut cluster = ProcessCluster::start(3, 1, 1).await.unwrap();
    cluster.fault_log(&json!({"kind": "refuse"})).await.unwrap();
    cluster.entries[2].signal("KILL").unwrap();
    cluster.entries[2] = cluster.start_entry(2).unwrap();
    cluster
        .await_status(2, "it did not serve", |status| {
            status.entry.state == "serving" && status.entry.revision.0 == 1
        })
        .await
        .unwrap();
    let mut caller = cluster.caller(2, DISPATCH_KEY);
    assert_eq!(caller.call(&sample_call(1)).await.unwrap().status, 200);
}

#[tokio::test]
async fn a_zone_lost_without_notice_loses_no_stream() {
    let cluster = ProcessCluster::start(4, 4, 2).await.unwrap();
    let (body, expected) = sample_chat(&NOTES.repeat(40), 200);
    let mut chats = Vec::new();
    for entry in [0, 0, 1, 2] {
        let mut caller = cluster.caller(entry, DEPOT_KEY);
        let body = body.clone();
        chats.push(tokio::spawn(async move {
            caller.chat(body, None, |_| {}).await
        }));
    }
    tokio::time::sleep(Duration::from_millis(600)).await;
    // The entry and the engine with the same index run in the same zone.
    cluster.entries[0].signal("KILL").unwrap();
    cluster.engines[0].process.signal("KILL").unwrap();
    for chat in chats {
        assert_eq!(chat.await.unwrap().unwrap().text, expected);
    }
}

#[tokio::test]
async fn an_entry_that_dies_while_handing_over_loses_no_stream() {
    let cluster = ProcessCluster::start(3, 2, 2).await.unwrap();
    let (body, expected) = sample_chat(&NOTES.repeat(40), 300);
    let mut caller = cluster.caller(0, DEPOT_KEY);
    let chat = tokio::spawn(async move { caller.chat(body, None, |_| {}).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let notice = Duration::from_secs(3);
    cluster.give_notice("entry-1", notice).await.unwrap();
    // The entry hands over in the last 1.5 s of the notice, here its second half;
    // kill it during that.
    tokio::time::sleep(notice / 2 + Duration::from_millis(50)).await;
    cluster.entries[0].signal("KILL").unwrap();
    assert_eq!(chat.await.unwrap().unwrap().text, expected);
}

#[tokio::test]
async fn two_reclaims_in_a_row_while_the_log_is_down_lose_nothing() {
    let cluster = ProcessCluster::start(3, 2, 2).await.unwrap();
    cluster.fault_log(&json!({"kind": "freeze"})).await.unwrap();
    let (body, expected) = sample_chat(&NOTES.repeat(40), 450);
    let mut caller = cluster.caller(0, DEPOT_KEY);
    let chat = tokio::spawn(async move { caller.chat(body, None, |_| {}).await });
    let mut calls = Vec::new();
    for truck in 0..30 {
        let mut caller = cluster.caller(truck as usize % 3, DISPATCH_KEY);
        calls.push(tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(100 * u64::from(truck))).await;
            caller.call(&sample_call(truck)).await
        }));
    }
    let notice = Duration::from_secs(2);
    cluster.give_notice("entry-1", notice).await.unwrap();
    tokio::time::sleep(Duration::from_millis(800)).await;
    cluster.give_notice("entry-2", notice).await.unwrap();
    assert_eq!(chat.await.unwrap().unwrap().text, expected);
    for call in calls {
        assert_eq!(call.await.unwrap().unwrap().status, 200);
    }
    assert_eq!(cluster.most_runs().await.unwrap(), 1);
}

#[tokio::test]
async fn a_mirror_that_dies_mid_stream_is_replaced() {
    let cluster = ProcessCluster::start(3, 2, 2).await.unwrap();
    let mirror = cluster.status(0).await.unwrap().entry.mirror.unwrap();
    let mut mirror_index = 0;
    for other in 1..3 {
        let status = cluster.status(other).await.unwrap();
        if status.entry.incarnation == mirror {
            mirror_index = other;
        }
    }
    let (body, expected) = sample_chat(&NOTES.repeat(40), 200);
    let mut caller = cluster.caller(0, DEPOT_KEY);
    let deadline = Some(Duration::from_secs(20));
    let chat = tokio::spawn(async move { caller.chat(body, deadline, |_| {}).await });
    tokio::time::sleep(Duration::from_millis(600)).await;
    cluster.entries[mirror_index].signal("KILL").unwrap();
    assert_eq!(chat.await.unwrap().unwrap().text, expected);
}
