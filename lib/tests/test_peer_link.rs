//! Links between entries count what waits in them.

use std::net::SocketAddr;
use std::time::Duration;

use cloverbend::id::RevisionNumber;
use cloverbend::link_ledger::LinkLedger;
use cloverbend::logging::discard_logger;
use cloverbend::peer_link::PeerSender;
use cloverbend::peer_link::receive_frames;
use cloverbend::wire::ConfigTransfer;
use cloverbend::wire::PeerMessage;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// How long something may take to become true before a test fails.
const PATIENCE: Duration = Duration::from_secs(30);
/// Less than the longest frame; two are more than the sockets of a loopback
/// connection hold.
const LARGE_BYTES: usize = 7 * 1024 * 1024;
/// How many large messages are sent.
const MESSAGES: usize = 4;

fn large_message() -> PeerMessage {
    PeerMessage::ConfigPush(ConfigTransfer {
        number: RevisionNumber(1),
        publication: "publication".to_owned(),
        document: "x".repeat(LARGE_BYTES),
        serving: true,
    })
}

fn send_large(sender: &PeerSender, address: SocketAddr) {
    for _ in 0..MESSAGES {
        sender.send(address, large_message());
    }
}

async fn wait_until(holds: impl Fn() -> bool) {
    let wait = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let held = tokio::time::timeout(PATIENCE, wait).await;
    assert!(held.is_ok(), "the condition did not come to hold");
}

/// What a sender counts.
fn counts(ledger: &LinkLedger) -> (u64, usize) {
    (ledger.queued_bytes(), ledger.links())
}

fn new_sender() -> (PeerSender, CancellationToken) {
    let stop = CancellationToken::new();
    let sender = PeerSender::new(stop.clone(), discard_logger());
    (sender, stop)
}

#[tokio::test]
async fn frames_wait_until_their_peer_reads_them() {
    let (sender, stop) = new_sender();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let frame = large_message().encode().len() as u64;
    let whole = MESSAGES as u64 * frame;
    send_large(&sender, address);
    assert_eq!(counts(sender.ledger()), (whole, 1));

    // The peer reads nothing: what the sockets do not hold waits.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (queued, _) = counts(sender.ledger());
    assert!(queued >= whole - frame, "{queued} of {whole}");

    let (heard, mut hears) = mpsc::unbounded_channel();
    let receive = move |message| {
        let _ = heard.send(message);
    };
    let reading = receive_frames(listener, stop.clone(), discard_logger(), receive);
    tokio::spawn(reading);
    for _ in 0..MESSAGES {
        let message = tokio::time::timeout(PATIENCE, hears.recv()).await.unwrap();
        assert!(matches!(message, Some(PeerMessage::ConfigPush(_))));
    }
    wait_until(|| counts(sender.ledger()) == (0, 1)).await;
    stop.cancel();
    wait_until(|| counts(sender.ledger()) == (0, 0)).await;
}

#[tokio::test]
async fn frames_that_are_dropped_do_not_wait() {
    let (sender, _stop) = new_sender();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    send_large(&sender, address);
    wait_until(|| sender.ledger().queued_bytes() == 0).await;
}

#[tokio::test]
async fn a_link_that_was_given_up_counts_until_it_ends() {
    let (sender, stop) = new_sender();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    send_large(&sender, address);
    sender.forget(address);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (queued, links) = counts(sender.ledger());
    assert!(queued > 0, "the peer reads nothing");
    assert_eq!(links, 1);
    stop.cancel();
    wait_until(|| counts(sender.ledger()) == (0, 0)).await;
}
