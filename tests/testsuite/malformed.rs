//! Malformed and extreme messages between daemons: they are errors, or are handled as what they say, and end nothing.

use peridotspread::coordination::cell;
use peridotspread::coordination::cell::Event;
use peridotspread::coordination::cost;
use peridotspread::protocol::{frame, gossip, peer};
use peridotspread::state::clock::Millis;
use peridotspread::state::{bundle, ids, timeline};
use tokio::io::AsyncWriteExt;

use crate::cell::scene::Random;

/// The messages of one series.
const MESSAGES: usize = 2_000;

fn index(random: &mut Random, len: usize) -> usize {
    ((random.unit() * len as f64) as usize).min(len.saturating_sub(1))
}

/// Replaces, removes or repeats some bytes.
fn corrupt(random: &mut Random, bytes: &mut Vec<u8>) {
    for _ in 0..3 {
        let at = index(random, bytes.len());
        let byte = (random.unit() * 256.0) as u8;
        match index(random, 3) {
            0 if at < bytes.len() => bytes[at] = byte,
            1 => bytes.truncate(at),
            _ => bytes.insert(at, byte),
        }
    }
}

fn extreme(random: &mut Random) -> u64 {
    [0, 1, 1_000, u64::MAX / 2, u64::MAX][index(random, 5)]
}

fn extreme_rate(random: &mut Random) -> f64 {
    [0.0, -1.0, f64::NAN, f64::INFINITY, 1e-300, 1e300][index(random, 6)]
}

fn slot_request(random: &mut Random) -> peer::SlotRequest {
    let known = peer::KnownTarget {
        target: format!("t{}", index(random, 4)),
        limit: Some(peer::KnownLimit {
            rate: extreme_rate(random),
            age: Millis(extreme(random)),
        }),
        leaving: random.unit() < 0.1,
        pause: Millis(extreme(random)),
    };
    peer::SlotRequest {
        context: None,
        request: ids::RequestId(7),
        name: "9c41".to_owned(),
        stamp: timeline::Stamp::default(),
        cell: ids::CellId::new("s", ""),
        tier: 255,
        left: Millis(extreme(random)),
        objective: Millis(extreme(random)),
        tries: extreme(random) as u32,
        used: extreme(random) as u32,
        idempotent: random.unit() < 0.5,
        replayable: random.unit() < 0.5,
        fingerprint: ids::Fingerprint(1),
        origin: ids::DomainId::default(),
        peers: Vec::new(),
        known: vec![known],
    }
}

#[tokio::test]
async fn corrupted_messages_between_daemons_are_errors() {
    let mut random = Random(1);
    let mut errors = 0;
    for _ in 0..MESSAGES {
        let message = peer::ToHome::SlotRequest(Box::new(slot_request(&mut random)));
        let (mut sender, mut receiver) = tokio::io::duplex(64 * 1024);
        frame::send(&mut sender, &message).await.unwrap();
        drop(sender);
        let mut bytes = Vec::new();
        tokio::io::AsyncReadExt::read_to_end(&mut receiver, &mut bytes)
            .await
            .unwrap();
        corrupt(&mut random, &mut bytes);
        let (mut sender, mut receiver) = tokio::io::duplex(64 * 1024);
        sender.write_all(&bytes).await.unwrap();
        drop(sender);
        errors += usize::from(frame::receive::<peer::ToHome>(&mut receiver).await.is_err());
        // A datagram that is no message is dropped by its receiver.
        let _ = gossip::decode(&bytes);
    }
    assert!(errors > MESSAGES / 2, "{errors} of {MESSAGES} were errors");
}

#[test]
fn a_cell_goes_on_after_requests_with_extreme_figures() {
    let target = |i: usize| bundle::Target {
        name: format!("t{i}"),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "one".to_owned(),
        slots: 3,
        connections: 400,
        leaving: false,
    };
    let service = bundle::Service {
        soundness: true,
        breadth_pct: 100.0,
        queue: 50,
        cells: Some(1),
        targets: (0..4).map(target).collect(),
        ..bundle::Service::without_targets("s")
    };
    let mut cell = cell::Cell::new(&ids::CellId::new("s", ""));
    cell.handle(Millis(1), Event::Rules(&service));
    let mut random = Random(2);
    for i in 0..MESSAGES as u64 {
        let now = Millis(10 * i);
        let request = slot_request(&mut random);
        let arrival = cell::Arrival {
            ticket: ids::Ticket(i),
            tier: request.tier,
            deadline: now + request.left,
            objective: now + request.objective,
            max_tries: request.tries,
            prior_tries: request.used,
            idempotent: request.idempotent,
            replayable: request.replayable,
            fingerprint: request.fingerprint,
            organisation: 0,
            kind: cost::Kind::default(),
            origin: request.origin,
            body: request.context.map_or(0, |c| c.length.unwrap_or_default()),
        };
        let known = &request.known;
        let _ = cell.handle(now, Event::Arrive { arrival, known });
        let ticket = ids::Ticket(i);
        cell.handle(now, Event::Sent(ticket));
        let statement = peer::Statement {
            limit: peer::RateLimit::PerSecond(extreme_rate(&mut random)),
            leaving: false,
            pause: Millis(extreme(&mut random)),
        };
        cell.handle(now, Event::Stated { ticket, statement });
        let outcome = cell::Outcome::NotRun;
        cell.handle(now, Event::Done { ticket, outcome });
        cell.summary(now);
    }
    assert_eq!(cell.target_reports().len(), 4, "no target is lost");
}
