//! The membership over real QUIC endpoints, with cuts, pauses and restarts.

use std::time;

use peridotspread::coordination::member::Liveness;
use peridotspread::protocol::peer;
use peridotspread::state::timeline;
use peridotspread_lab::peers;

/// The longest time that a test waits for a condition.
const TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Starts the daemons `names`, and waits until they have discovered each other.
async fn fleet(test: &str, names: &[&str]) -> peers::Fleet {
    let mut fleet = peers::Fleet::create(test).unwrap();
    for name in names {
        fleet.start(name).await.unwrap();
    }
    wait_until("the daemons discover each other", || views_agree(&fleet)).await;
    fleet
}

/// Waits until the condition holds; `what` describes it in the message of a timeout.
async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = time::Instant::now() + TIMEOUT;
    while !condition() {
        assert!(
            time::Instant::now() < end,
            "timed out while waiting until {what}"
        );
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

/// Waits until the daemon `from` cannot open a stream to the daemon `to`.
async fn wait_until_unreachable(fleet: &peers::Fleet, from: &str, to: &str) {
    let end = time::Instant::now() + TIMEOUT;
    let dial = || {
        fleet
            .node(from)
            .peers
            .open(to, fleet.front(to), peer::Purpose::Control)
    };
    while dial().await.is_ok() {
        assert!(time::Instant::now() < end, "{from} still reaches {to}");
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

/// Returns whether the view of each daemon holds exactly the running daemons, all of them alive.
fn views_agree(fleet: &peers::Fleet) -> bool {
    let names = fleet.names();
    names.iter().all(|observer| {
        let view = fleet.view(observer);
        let alive = view.members.values().all(|m| m.liveness == Liveness::Alive);
        alive && view.members.keys().eq(names.iter())
    })
}

/// Returns whether all other daemons see `name` as `liveness`; `None` stands for dead.
fn all_see(fleet: &peers::Fleet, name: &str, liveness: Option<Liveness>) -> bool {
    let mut others = fleet.names();
    others.retain(|o| o != name);
    let seen = |observer: &String| fleet.view(observer).members.get(name).map(|m| m.liveness);
    others.iter().all(|observer| seen(observer) == liveness)
}

/// Returns whether the daemon `observer` has recorded an event of the kind `kind` whose detail contains `detail`.
fn recorded(fleet: &peers::Fleet, observer: &str, kind: timeline::Kind, detail: &str) -> bool {
    let events = fleet.node(observer).recorder.events();
    events
        .iter()
        .any(|e| e.kind == kind && e.detail.contains(detail))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_in_one_direction_keeps_both_in_the_fleet() {
    let mut fleet = fleet("one-way", &["a", "b", "c", "d", "e"]).await;
    fleet.relay().cut("a", "b");
    wait_until_unreachable(&fleet, "a", "b").await;
    wait_until_unreachable(&fleet, "b", "a").await;
    // Another daemon is killed, so that a suspicion runs from its beginning to its end while the cut lasts.
    fleet.kill("e");
    wait_until("the killed daemon is dead", || all_see(&fleet, "e", None)).await;
    for observer in fleet.names() {
        for cut in ["a", "b"] {
            let dead = format!("{cut}: dead");
            let dead = recorded(&fleet, &observer, timeline::Kind::Member, &dead);
            assert!(!dead, "{observer} declared {cut} dead");
            assert!(fleet.view(&observer).members.contains_key(cut));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_daemon_is_suspected_then_dead_and_rejoins() {
    let fleet = fleet("cut-off", &["a", "b", "c", "d"]).await;
    for other in ["b", "c", "d"] {
        fleet.relay().cut("a", other);
        fleet.relay().cut(other, "a");
    }
    wait_until("it is suspected", || {
        all_see(&fleet, "a", Some(Liveness::Suspect))
    })
    .await;
    wait_until("it is dead", || all_see(&fleet, "a", None)).await;
    fleet.relay().heal_links();
    wait_until("it rejoins", || views_agree(&fleet)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_daemon_resumes_and_suspects_nobody() {
    let fleet = fleet("pause", &["a", "b", "c", "d"]).await;
    let guard = fleet.pause("a");
    wait_until("it is dead", || all_see(&fleet, "a", None)).await;
    drop(guard);
    wait_until("it rejoins", || views_agree(&fleet)).await;
    assert!(recorded(&fleet, "a", timeline::Kind::Woke, "did not run"));
    assert!(!recorded(
        &fleet,
        "a",
        timeline::Kind::Member,
        "suspect, by a"
    ));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restart_is_a_new_incarnation() {
    let mut fleet = fleet("restart", &["a", "b", "c", "d"]).await;
    let first = fleet.view("a").members["b"].incarnation;
    fleet.kill("b");
    fleet.start("b").await.unwrap();
    wait_until("all daemons see the new incarnation", || {
        let newer = |o: &String| {
            fleet
                .view(o)
                .members
                .get("b")
                .is_some_and(|m| m.incarnation > first)
        };
        fleet.names().iter().all(newer) && views_agree(&fleet)
    })
    .await;
    assert!(recorded(
        &fleet,
        "a",
        timeline::Kind::Member,
        "b: restarted"
    ));
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_is_announced_to_all() {
    let fleet = fleet("leave", &["a", "b", "c", "d"]).await;
    fleet.node("a").member.leave().await;
    wait_until("all daemons see it leave", || {
        all_see(&fleet, "a", Some(Liveness::Leaving))
    })
    .await;
    assert!(!recorded(&fleet, "b", timeline::Kind::Member, "a: suspect"));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_version_in_force_reaches_all() {
    let fleet = fleet("version", &["a", "b", "c"]).await;
    fleet.node("a").member.set_version(7);
    wait_until("all daemons see the version", || {
        fleet
            .names()
            .iter()
            .all(|o| fleet.view(o).members["a"].version == 7)
    })
    .await;
}
