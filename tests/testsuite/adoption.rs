//! Adoption of bundles: the version only increases, only signed and valid bundles are adopted, and a push reaches all
//! daemons.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync;

use peridotspread::coordination::adoption::{self, Action, Adoption, Event};
use peridotspread::coordination::member;
use peridotspread::protocol::peer;
use peridotspread::protocol::rollout;
use peridotspread::state::bundle::edits;
use peridotspread::state::clock;
use peridotspread::state::ids;
use proptest::prelude::*;

use crate::support::bundles;

/// The number of daemons: five times the fleet of 46.
const FLEET: usize = 230;

const NOW: clock::Millis = clock::Millis(1_000);

fn view(names: &[String]) -> sync::Arc<member::View> {
    let member = |n: usize| member::Member {
        peer: "127.0.0.1:1".parse().unwrap(),
        domain: format!("lahore-{}", n % 7),
        incarnation: ids::Incarnation(1),
        liveness: member::Liveness::Alive,
        version: 0,
    };
    let members = names.iter().enumerate();
    sync::Arc::new(member::View {
        members: members.map(|(n, name)| (name.clone(), member(n))).collect(),
    })
}

fn adoption(name: &str, domain: &str, signer: &bundles::Signer) -> Adoption {
    let options = adoption::Options {
        name: name.to_owned(),
        domain: domain.to_owned(),
        operators: signer.operators(),
    };
    Adoption::new(NOW, options)
}

/// A fleet of state machines whose messages are delivered in the order of sending. Messages to dead daemons are lost.
struct Fleet {
    daemons: BTreeMap<String, Adoption>,
    adopted: BTreeMap<String, Vec<u64>>,
    dead: Vec<String>,
    messages: VecDeque<(u32, String, Action)>,
    sent: BTreeMap<String, u32>,
    rounds: u32,
}

impl Fleet {
    fn new(size: usize, signer: &bundles::Signer) -> Fleet {
        let names: Vec<_> = (0..size).map(|n| format!("entry-{n}")).collect();
        let view = view(&names);
        let daemon = |(name, member): (&String, &member::Member)| {
            let mut daemon = adoption(name, &member.domain, signer);
            daemon.handle(NOW, Event::Members(sync::Arc::clone(&view)));
            (name.clone(), daemon)
        };
        Fleet {
            daemons: view.members.iter().map(daemon).collect(),
            adopted: BTreeMap::new(),
            dead: Vec::new(),
            messages: VecDeque::new(),
            sent: BTreeMap::new(),
            rounds: 0,
        }
    }

    fn carry_out(&mut self, round: u32, name: &str, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Adopt(bundle) => {
                    self.rounds = self.rounds.max(round);
                    let adopted = self.adopted.entry(name.to_owned()).or_default();
                    adopted.push(bundle.version);
                }
                Action::Reject { version, reason } => panic!("{version} rejected: {reason}"),
                action => self.messages.push_back((round, name.to_owned(), action)),
            }
        }
    }

    /// Sends `signed` to one daemon, and delivers messages until none is left.
    fn push(&mut self, to: &str, signed: &peer::SignedBundle) {
        let message = peer::ControlMessage::Bundle(Box::new(signed.clone()));
        let (_, actions) = self
            .daemons
            .get_mut(to)
            .unwrap()
            .handle_message("operator", message);
        self.carry_out(0, to, actions);
        self.deliver();
    }

    fn deliver(&mut self) {
        while let Some((round, from, action)) = self.messages.pop_front() {
            let Action::Send { to, message } = action else {
                continue;
            };
            *self.sent.entry(from.clone()).or_default() += 1;
            if self.dead.contains(&to) {
                continue;
            }
            let (reply, actions) = self
                .daemons
                .get_mut(&to)
                .unwrap()
                .handle_message(&from, message);
            self.carry_out(round + 1, &to, actions);
            let replied = Event::Replied {
                from: to,
                message: Some(reply),
            };
            let actions = self.daemons.get_mut(&from).unwrap().handle(NOW, replied);
            self.carry_out(round + 1, &from, actions);
        }
    }

    /// Removes the dead daemons from the membership views of all others.
    fn announce_deaths(&mut self) {
        let names: Vec<_> = self.daemons.keys().cloned().collect();
        let living: Vec<_> = names
            .into_iter()
            .filter(|n| !self.dead.contains(n))
            .collect();
        let view = view(&living);
        for name in living {
            let members = Event::Members(sync::Arc::clone(&view));
            let actions = self.daemons.get_mut(&name).unwrap().handle(NOW, members);
            self.carry_out(0, &name, actions);
        }
        self.deliver();
    }

    /// Returns the number of live daemons at `version`.
    fn count_at(&self, version: u64) -> usize {
        let live = self
            .daemons
            .iter()
            .filter(|(name, _)| !self.dead.contains(name));
        live.filter(|(_, d)| d.version() == version).count()
    }
}

#[test]
fn a_push_reaches_all_daemons_at_a_constant_cost() {
    let signer = bundles::signer("operator-1");
    let mut fleet = Fleet::new(FLEET, &signer);
    fleet.push("entry-0", &signer.sign(&bundles::fees(3)));
    assert_eq!(fleet.count_at(1), FLEET);
    fleet.sent.clear();
    fleet.rounds = 0;
    fleet.push("entry-9", &signer.sign(&bundles::fees(4).version(2)));
    assert_eq!(fleet.count_at(2), FLEET);
    let most = fleet.sent.values().max().unwrap();
    assert!(*most <= 6, "a daemon sent {most} messages");
    assert!(fleet.rounds <= 16, "{} rounds", fleet.rounds);
}

#[test]
fn a_push_reaches_all_the_living_once_a_tenth_of_the_fleet_is_known_to_be_dead() {
    let signer = bundles::signer("operator-1");
    let mut fleet = Fleet::new(2 * FLEET, &signer);
    fleet.dead = (0..46).map(|n| format!("entry-{}", n * 10 + 1)).collect();
    fleet.push("entry-0", &signer.sign(&bundles::fees(3)));
    assert!(fleet.count_at(1) > 400, "{}", fleet.count_at(1));
    fleet.announce_deaths();
    assert_eq!(fleet.count_at(1), 414);
}

#[test]
fn a_daemon_that_starts_during_an_outage_adopts_the_highest_version_of_its_peers() {
    let signer = bundles::signer("operator-1");
    let mut fleet = Fleet::new(12, &signer);
    fleet.dead = vec!["entry-5".to_owned()];
    for version in 1..=3 {
        fleet.push("entry-0", &signer.sign(&bundles::fees(3).version(version)));
    }
    fleet.dead.clear();
    let starting = fleet.daemons.get_mut("entry-5").unwrap();
    assert_eq!(starting.version(), 0);
    let actions = starting.handle(NOW, Event::Tick);
    fleet.carry_out(0, "entry-5", actions);
    fleet.push("entry-0", &signer.sign(&bundles::fees(3).version(2)));
    assert_eq!(fleet.count_at(3), 12);
}

#[test]
fn three_daemons_of_each_failure_domain_poll_the_row() {
    let signer = bundles::signer("operator-1");
    let fleet = Fleet::new(140, &signer);
    let pollers = fleet.daemons.values().filter(|d| d.is_poller()).count();
    assert_eq!(pollers, 7 * 3);
    assert!(fleet.daemons.values().all(|d| d.fanout_peers().len() == 5));
}

/// Returns the row of a rollout to version 2 whose change from version 1 is the object `change`.
fn change_record(signed: &peer::SignedBundle) -> rollout::Record {
    rollout::Record {
        version: 2,
        digest: signed.digest.clone(),
        signer: signed.signer.clone(),
        signature: signed.signature.clone(),
        token: "t".to_owned(),
        time: NOW,
        change: Some(rollout::ChangeRef {
            from: 1,
            digest: "change".to_owned(),
        }),
    }
}

#[test]
fn a_daemon_fetches_the_change_and_falls_back_to_the_full_text() {
    let signer = bundles::signer("operator-1");
    let mut daemon = adoption("entry-1", "lahore-1", &signer);
    let first = signer.sign(&bundles::fees(3));
    daemon.handle_message("entry-2", peer::ControlMessage::Bundle(Box::new(first)));
    let second = signer.sign(&bundles::fees(4).version(2));
    let record = change_record(&second);
    let actions = daemon.handle(NOW, Event::Row(Some(record)));
    assert!(matches!(&actions[..], [Action::Fetch(d)] if d == "change"));
    let corrupted = Event::Object {
        digest: "change".to_owned(),
        content: Some(vec![9, 9]),
    };
    let actions = daemon.handle(NOW, corrupted);
    assert!(matches!(&actions[..], [Action::Fetch(d)] if *d == second.digest));
    let full_text = Event::Object {
        digest: second.digest.clone(),
        content: Some(second.text.into_bytes()),
    };
    let actions = daemon.handle(NOW, full_text);
    assert!(matches!(&actions[0], Action::Adopt(b) if b.version == 2));
}

/// Guards against a fetch of the full text when a peer pushes a bundle while its change is being fetched.
#[test]
fn a_change_whose_bundle_was_pushed_meanwhile_causes_no_fetch_of_the_full_text() {
    let signer = bundles::signer("operator-1");
    let mut daemon = adoption("entry-1", "lahore-1", &signer);
    let first = signer.sign(&bundles::fees(3));
    let second = signer.sign(&bundles::fees(4).version(2));
    let change = edits::between(&first.text, &second.text);
    let change = rollout::encode(&change).unwrap();
    daemon.handle_message("entry-2", peer::ControlMessage::Bundle(Box::new(first)));
    let record = change_record(&second);
    let actions = daemon.handle(NOW, Event::Row(Some(record)));
    assert!(matches!(&actions[..], [Action::Fetch(d)] if d == "change"));
    daemon.handle_message("entry-2", peer::ControlMessage::Bundle(Box::new(second)));
    assert_eq!(daemon.version(), 2);
    let object = Event::Object {
        digest: "change".to_owned(),
        content: Some(change),
    };
    let actions = daemon.handle(NOW, object);
    assert!(actions.is_empty(), "{actions:?}");
}

/// A step of the property test.
#[derive(Clone, Debug)]
enum Step {
    Bundle { version: u64, fault: u8 },
    Change { from: u64, version: u64, fault: u8 },
    Row { version: u64 },
    Object { version: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let version = 1..6_u64;
    prop_oneof![
        (version.clone(), 0..4_u8).prop_map(|(version, fault)| Step::Bundle { version, fault }),
        (0..6_u64, version.clone(), 0..4_u8).prop_map(|(from, version, fault)| Step::Change {
            from,
            version,
            fault
        }),
        version.clone().prop_map(|version| Step::Row { version }),
        version.prop_map(|version| Step::Object { version }),
    ]
}

/// Corrupts a signed bundle: fault 1 its signature, 2 its text, 3 its version; 0 leaves it valid.
fn corrupt(mut signed: peer::SignedBundle, fault: u8) -> peer::SignedBundle {
    match fault {
        1 => signed.signature.replace_range(0..2, "zz"),
        2 => signed.text.push_str("# more\n"),
        3 => signed.version += 100,
        _ => {}
    }
    signed
}

proptest! {
    #![proptest_config(bundles::proptest_config(300))]

    #[test]
    fn versions_only_rise_and_nothing_unsigned_is_adopted(steps in prop::collection::vec(step(), 1..40)) {
        let signer = bundles::signer("operator-1");
        let text = |version| signer.sign(&bundles::fees(3).version(version));
        let mut daemon = adoption("entry-1", "lahore-1", &signer);
        let mut last = 0;
        for step in steps {
            let corrupted = matches!(step, Step::Bundle { fault, .. } | Step::Change { fault, .. } if fault > 0);
            let actions = match step {
                Step::Bundle { version, fault } => {
                    let message = peer::ControlMessage::Bundle(Box::new(corrupt(text(version), fault)));
                    daemon.handle_message("entry-2", message).1
                }
                Step::Change { from, version, fault } => {
                    let old = if from == 0 { peer::SignedBundle::default() } else { text(from) };
                    let new = corrupt(text(version), fault);
                    let change = peer::BundleChange {
                        from,
                        version: new.version,
                        digest: new.digest,
                        signer: new.signer,
                        signature: new.signature,
                        edits: peridotspread::state::bundle::edits::between(&old.text, &new.text),
                    };
                    daemon.handle_message("entry-2", peer::ControlMessage::BundleChange(Box::new(change))).1
                }
                Step::Row { version } => {
                    let signed = text(version);
                    let record = rollout::Record {
                        version,
                        digest: signed.digest,
                        signer: signed.signer,
                        signature: signed.signature,
                        token: String::new(),
                        time: NOW,
                        change: None,
                    };
                    daemon.handle(NOW, Event::Row(Some(record)))
                }
                Step::Object { version } => {
                    let signed = text(version);
                    let content = Some(signed.text.into_bytes());
                    daemon.handle(NOW, Event::Object { digest: signed.digest, content })
                }
            };
            for action in actions {
                if let Action::Adopt(bundle) = action {
                    prop_assert!(!corrupted);
                    prop_assert!(bundle.version > last);
                    last = bundle.version;
                }
            }
            prop_assert_eq!(daemon.version(), last);
        }
    }
}
