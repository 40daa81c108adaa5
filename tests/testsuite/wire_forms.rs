//! The encoded messages of version 1, the build of commit 2b71952, which daemons of this build must keep reading while
//! hosts are replaced one after the other.

use std::net;

use peridotspread::protocol::extension::Extension;
use peridotspread::protocol::refusal::{Cause, Refusal};
use peridotspread::protocol::version::Version;
use peridotspread::protocol::{gossip, peer};
use peridotspread::state::bundle;
use peridotspread::state::clock::Millis;
use peridotspread::state::{ids, timeline};

fn stamp() -> timeline::Stamp {
    timeline::Stamp {
        wall: Millis(1_000),
        count: 2,
    }
}

fn summary() -> peer::CellSummary {
    peer::CellSummary {
        cell: ids::CellId::new("fees", "d1"),
        slots: 12,
        busy: 3,
        queued: 1,
        wait: Millis(40),
        median: Millis(300),
        bad: 0.25,
        seen: 77,
        idle: 2,
        age: Millis(5),
    }
}

fn slot_request() -> peer::SlotRequest {
    peer::SlotRequest {
        request: ids::RequestId(0xabc),
        name: "r-1".to_owned(),
        stamp: stamp(),
        cell: ids::CellId::new("fees", "d1"),
        tier: 1,
        left: Millis(4_000),
        objective: Millis(1_000),
        tries: 2,
        used: 0,
        idempotent: false,
        replayable: true,
        fingerprint: ids::Fingerprint(7),
        origin: ids::DomainId::from_name("d2"),
        peers: vec![summary()],
        known: vec![peer::KnownTarget {
            target: "t1".to_owned(),
            limit: Some(peer::KnownLimit {
                rate: 2.5,
                age: Millis(10),
            }),
            leaving: false,
            pause: Millis(20),
        }],
        context: None,
    }
}

fn sender() -> gossip::MemberInfo {
    gossip::MemberInfo {
        peer: net::SocketAddr::from(([10, 0, 0, 1], 7101)),
        domain: "d1".to_owned(),
        incarnation: ids::Incarnation(9),
        round: 1,
        state: gossip::MemberState::Alive,
        version: 4,
    }
}

fn datagram() -> gossip::Datagram {
    let record = gossip::Record {
        name: "b".to_owned(),
        about: gossip::MemberInfo {
            state: gossip::MemberState::Suspect,
            ..sender()
        },
        reporter: Some("c".to_owned()),
    };
    let message = gossip::Message {
        records: vec![record],
        ..gossip::Message::new(sender(), gossip::Body::Probe { seq: 3 })
    };
    gossip::Datagram::new(stamp(), message)
}

const SLOT_REQUEST: &str = "00bc1503722d31e8070204666565730264310001a01fe8070200000107c0beddd2e58c92f88001010466656573026431000c030128ac020000803e4d0205010274310100000000000004400a0014";
const GRANTED: &str = "01027431010466656573026431000c030128ac020000803e4d0205";
const REFUSED: &str = "02000801ac0200";
const DONE: &str = "01030101000000000000f83f0107";
const GET_UPDATES: &str = "080506bc05";
const UPDATES: &str = "090103027b7d";
const DATAGRAM: &str =
    "e80702000a000001bd37026431090100040003010162000a000001bd3702643109010104010163";

fn bytes(text: &str) -> Vec<u8> {
    hex::decode(text).unwrap()
}

fn decode<M: serde::de::DeserializeOwned>(text: &str) -> (M, Extension) {
    Extension::decode_after(&bytes(text)).unwrap()
}

/// A field of a message that moved or changed its type would be misread while both builds run side by side.
#[test]
fn messages_of_version_1_are_read() {
    let (message, extension) = decode::<peer::ToHome>(SLOT_REQUEST);
    assert_eq!(message, peer::ToHome::SlotRequest(Box::new(slot_request())));
    assert_eq!(extension, Extension::default());
    let (granted, _) = decode::<peer::FromHome>(GRANTED);
    let target = "t1".to_owned();
    let summary = Some(summary());
    assert_eq!(granted, peer::FromHome::Granted { target, summary });
    let refusal = Refusal::not_run(Cause::QueueFull, Some(Millis(300)));
    let summary = None;
    let (refused, _) = decode::<peer::FromHome>(REFUSED);
    assert_eq!(refused, peer::FromHome::Refused { refusal, summary });
    let (done, _) = decode::<peer::ToHome>(DONE);
    let statement = peer::Statement {
        limit: peer::RateLimit::PerSecond(1.5),
        leaving: true,
        pause: Millis(7),
    };
    let done_then = peer::ToHome::Done {
        outcome: peer::Outcome::NotRun,
        statement: Some(statement),
    };
    assert_eq!(done, done_then);
    let (request, _) = decode::<peer::ControlMessage>(GET_UPDATES);
    let request_then = peer::ControlMessage::GetUpdates {
        rules: 5,
        targets: 6,
        wait: Millis(700),
        through_outage: false,
        held_rules: None,
    };
    assert_eq!(request, request_then);
    let (updates, _) = decode::<peer::ControlMessage>(UPDATES);
    let updates_then = peer::ControlMessage::Updates {
        age: Some(Millis(3)),
        changes: b"{}".to_vec(),
        held: None,
        compressed: false,
    };
    assert_eq!(updates, updates_then);
}

#[test]
fn a_datagram_of_version_1_is_read_and_its_sender_is_known_to_be_older() {
    let read = gossip::decode(&bytes(DATAGRAM)).unwrap();
    let version = Version::FIRST;
    assert_eq!(
        read,
        gossip::Datagram {
            version,
            ..datagram()
        }
    );
}

/// The older build decodes the head of a message by position and passes over what follows. It would misread a message
/// whose first bytes differ.
#[test]
fn the_older_build_reads_the_messages_of_this_one() {
    let context = peer::RequestContext {
        organisation: "o-1".to_owned(),
        route: 77,
        length: Some(60_000),
        counted: true,
    };
    let request = peer::SlotRequest {
        context: Some(context.clone()),
        ..slot_request()
    };
    let message = peer::ToHome::SlotRequest(Box::new(request));
    let sent = message.extension().unwrap().encode_after(&message).unwrap();
    assert!(sent.starts_with(&bytes(SLOT_REQUEST)));
    let (mut read, extension): (peer::ToHome, _) = Extension::decode_after(&sent).unwrap();
    read.extend(&extension).unwrap();
    assert_eq!(read, message);

    let sent = gossip::encode(&datagram()).unwrap();
    assert!(sent.starts_with(&bytes(DATAGRAM)));
    assert_eq!(gossip::decode(&sent).unwrap(), datagram());
}

/// Guards against builds side by side that misread each other's polls for updates.
#[test]
fn polls_for_updates_are_read_by_the_older_build_and_keep_their_new_fields() {
    let request = peer::ControlMessage::GetUpdates {
        rules: 5,
        targets: 6,
        wait: Millis(700),
        through_outage: true,
        held_rules: Some(5),
    };
    let updates = peer::ControlMessage::Updates {
        age: Some(Millis(3)),
        changes: b"{}".to_vec(),
        held: Some(Millis(40)),
        compressed: true,
    };
    for (message, older) in [(request, GET_UPDATES), (updates, UPDATES)] {
        let sent = message.extension().unwrap().encode_after(&message).unwrap();
        assert!(sent.starts_with(&bytes(older)));
        let (mut read, extension): (peer::ControlMessage, _) =
            Extension::decode_after(&sent).unwrap();
        read.extend(&extension).unwrap();
        assert_eq!(read, message);
    }
}

/// A later build may add fields that this one does not know.
#[test]
fn unknown_fields_of_an_extension_are_passed_over() {
    let mut sent = bytes(SLOT_REQUEST);
    let unknown: (u32, &[u8]) = (900, b"later");
    sent.extend(postcard::to_stdvec(&unknown).unwrap());
    let (mut read, extension): (peer::ToHome, _) = Extension::decode_after(&sent).unwrap();
    read.extend(&extension).unwrap();
    assert_eq!(read, peer::ToHome::SlotRequest(Box::new(slot_request())));
}

/// Taking a truncated extension for an absent one would count a request against no quota.
#[test]
fn a_truncated_extension_is_an_error() {
    let mut sent = bytes(SLOT_REQUEST);
    let field: (u32, &[u8]) = (1, b"context");
    let field = postcard::to_stdvec(&field).unwrap();
    sent.extend(&field[..field.len() - 2]);
    assert!(Extension::decode_after::<peer::ToHome>(&sent).is_err());
}

/// An older build refuses a bundle with fields that it does not know, and would keep its former rules for good.
#[test]
fn rules_for_version_1_hold_no_new_fields() {
    let mut rules = bundle::Bundle {
        precedence: bundle::Precedence::Organisation,
        ..bundle::Bundle::default()
    };
    rules.organisations.push(bundle::Organisation {
        name: "o-1".to_owned(),
        tier: "t".to_owned(),
        credentials: vec!["digest".to_owned()],
        rate: Some(5.0),
        burst: 5.0,
    });
    rules.services.push(bundle::Service {
        order: bundle::Order::Value,
        ..bundle::Service::without_targets("s")
    });
    rules.routes.push(bundle::Route {
        open: true,
        ..bundle::Route::default()
    });
    let text = serde_json::to_string(&rules.for_version_1()).unwrap();
    for field in ["precedence", "rate", "burst\":5", "order", "open"] {
        assert!(!text.contains(&format!("\"{field}")), "{field} in {text}");
    }
}
