//! Properties of the membership under random faults, run times and messages.

use peridotspread::coordination::member;
use peridotspread::protocol::gossip;
use peridotspread::state::clock::Millis;
use peridotspread::state::ids;
use peridotspread_lab::members;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const DAEMONS: usize = 8;

/// A fault to inject into a fleet, or a time in milliseconds for which it runs.
#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    Leave(usize),
    Cut(usize, usize),
    Loss(f64),
    Run(u64),
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    let daemon = 0..DAEMONS;
    prop_oneof![
        daemon.clone().prop_map(Fault::Kill),
        daemon.clone().prop_map(Fault::Start),
        daemon.clone().prop_map(Fault::Pause),
        daemon.clone().prop_map(Fault::Resume),
        daemon.clone().prop_map(Fault::Leave),
        (daemon.clone(), daemon).prop_map(|(a, b)| Fault::Cut(a, b)),
        (0.0..0.6).prop_map(Fault::Loss),
        (50..8_000_u64).prop_map(Fault::Run),
        (50..8_000_u64).prop_map(Fault::Run),
        (50..8_000_u64).prop_map(Fault::Run),
    ]
}

fn name(n: usize) -> String {
    format!("d{n}")
}

fn apply_fault(fleet: &mut members::Members, fault: &Fault) {
    match *fault {
        Fault::Kill(n) => fleet.kill(&name(n)),
        Fault::Start(n) => {
            if !fleet.names().contains(&name(n)) {
                fleet.start(&name(n));
            }
        }
        Fault::Pause(n) => fleet.pause(&name(n)),
        Fault::Resume(n) => fleet.resume(&name(n)),
        Fault::Leave(n) => fleet.leave(&name(n)),
        Fault::Cut(a, b) => fleet.cut(&name(a), &name(b)),
        Fault::Loss(share) => fleet.set_loss(share),
        Fault::Run(span) => fleet.run(Millis(span)),
    }
}

fn member_info() -> impl Strategy<Value = gossip::MemberInfo> {
    let state = prop_oneof![
        Just(gossip::MemberState::Alive),
        Just(gossip::MemberState::Suspect),
        Just(gossip::MemberState::Leaving),
        Just(gossip::MemberState::Dead),
    ];
    (
        any::<[u8; 6]>(),
        "[a-z]{0,120}",
        any::<u64>(),
        any::<u32>(),
        state,
        any::<u64>(),
    )
        .prop_map(
            |(addr, domain, incarnation, round, state, version)| gossip::MemberInfo {
                peer: ([addr[0], addr[1], addr[2], addr[3]], u16::from(addr[4])).into(),
                domain,
                incarnation: ids::Incarnation(incarnation),
                round,
                state,
                version,
            },
        )
}

fn record() -> impl Strategy<Value = gossip::Record> {
    let reporter = proptest::option::of("d[0-9]");
    ("d[0-9]", member_info(), reporter).prop_map(|(name, about, reporter)| gossip::Record {
        name,
        about,
        reporter,
    })
}

fn message() -> impl Strategy<Value = gossip::Message> {
    let seq = any::<u32>;
    let peer = "127.0.0.1:9".parse().unwrap();
    let groups = proptest::collection::vec(any::<u32>(), 0..70);
    let body = prop_oneof![
        seq().prop_map(|seq| gossip::Body::Probe { seq }),
        seq().prop_map(|seq| gossip::Body::Ack { seq }),
        (seq(), "d[0-9]").prop_map(move |(seq, name)| gossip::Body::ProbeRequest {
            seq,
            name,
            peer
        }),
        (groups, any::<bool>()).prop_map(|(groups, reply)| gossip::Body::Digest { groups, reply }),
        Just(gossip::Body::Records),
    ];
    let records = proptest::collection::vec(record(), 0..6);
    (member_info(), body, records).prop_map(|(sender, body, records)| gossip::Message {
        sender,
        body,
        records,
    })
}

fn table() -> member::Table {
    member::Table::new(&member::Options {
        name: "d0".to_owned(),
        peer: "127.0.0.1:9".parse().unwrap(),
        domain: "lahore-1".to_owned(),
        incarnation: ids::Incarnation(1),
        seeds: Vec::new(),
        random_seed: 1,
    })
}

proptest! {
    #![proptest_config(config(64))]

    #[test]
    fn views_agree_once_faults_end(
        faults in proptest::collection::vec(fault(), 1..40),
        seed in any::<u64>(),
    ) {
        let mut fleet = members::Members::new(&["d0", "d1"], seed);
        for n in 0..DAEMONS {
            fleet.start(&name(n));
        }
        for fault in &faults {
            apply_fault(&mut fleet, fault);
        }
        // Both seeds run at the end: a fleet that loses both before the daemons know each other cannot be joined.
        apply_fault(&mut fleet, &Fault::Start(0));
        apply_fault(&mut fleet, &Fault::Start(1));
        fleet.heal_links();
        fleet.set_loss(0.0);
        fleet.resume_all();
        let agreed = fleet.run_until(Millis(60_000), &members::Members::views_agree);
        prop_assert!(agreed.is_some(), "no reachable daemon stays dead, and no dead one alive");
        fleet.run(Millis(10_000));
        prop_assert!(fleet.views_agree(), "agreement lasts");
        prop_assert!(fleet.take_sent().longest <= gossip::MAX_BYTES);
    }
}

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn any_message_leaves_the_daemon_in_its_own_view_and_messages_short(
        messages in proptest::collection::vec((0..3_000_u64, "d[0-9]", message()), 1..30),
    ) {
        let mut table = table();
        let mut now = Millis(1);
        for (span, from, message) in &messages {
            now += Millis(*span);
            let mut actions = table.handle(now, member::Event::Received { from, message });
            now += Millis(100);
            actions.extend(table.handle(now, member::Event::Tick));
            for action in actions {
                let member::Action::Send { message, .. } = action else {
                    continue;
                };
                let datagram = gossip::Datagram::new(Default::default(), message);
                prop_assert!(gossip::encode(&datagram).unwrap().len() <= gossip::MAX_BYTES);
            }
            let own = table.view().members["d0"].liveness;
            prop_assert_eq!(own, member::Liveness::Alive);
        }
    }

    #[test]
    fn decoding_random_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..1_200)) {
        let _ = gossip::decode(&bytes);
    }

    #[test]
    fn a_datagram_decodes_to_what_was_encoded(message in message()) {
        let datagram = gossip::Datagram::new(Default::default(), message);
        let bytes = gossip::encode(&datagram).unwrap();
        prop_assert_eq!(gossip::decode(&bytes).unwrap(), datagram);
    }
}
