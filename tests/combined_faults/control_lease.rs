//! Cancellations that another node confirms while a node still holds its control lease.

use crate::fixtures::{busy_world, id, run_without_cloud, state_of, tasks_on_machines};
use crate::support::{CANCEL_MS, World, job};
use woadlever::core::HttpRequest;

/// The store refuses the leader alone, and another node confirms cancellations. A second or two
/// later the store is down for all nodes, for longer than a cancellation may take. The same happens
/// again after a short recovery. Clocks drift, a machine hangs and resumes, and answers are lost. The
/// peer heartbeats of the confirming node don't arrive, so that only the end of the control lease
/// stops the tasks.
fn cancel_behind_a_cut_off_leader(seed: u64, refused_ms: u64, drift: f64, hang_ms: u64) {
    let mut world = busy_world(seed, 8);
    for (controller, drift) in world.controllers.iter_mut().zip([drift, -drift, drift]) {
        controller.drift = drift;
    }
    for round in 0..2 {
        let old = world.leader().unwrap();
        let other = (old + 1) % 3;
        world.network.one_way_losses.extend([(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)]);

        // A busy machine hangs as well.
        if let Some(machine) =
            (0..world.workers.len()).find(|machine| !world.workers[*machine].tasks.is_empty())
        {
            world.workers[machine].hung_until = world.now + 1_500 + hang_ms;
            world.network.lost_replies.insert((machine + 1) % world.workers.len());
        }
        world.store.refused_nodes.insert(old);
        world.run(400);
        for number in [1, 2, 3] {
            if state_of(&world, number) != "l" {
                continue;
            }
            assert_eq!(world.cancel(other, &id(number)), 200);
        }
        world.run(refused_ms);
        world.store.is_down = true;
        run_without_cloud(&mut world, CANCEL_MS + 12_000);
        world.network.lost_replies.clear();
        world.store.refused_nodes.clear();
        world.store.is_down = false;
        world.network.one_way_losses.clear();
        world.run(12_000);
        if round == 0 {
            let request = world.submit(other, &job(3, "t1", 6, 600.0));
            world.run(12_000);
            assert!(matches!(world.status_answered(request).as_str(), "queued" | "running"));
        }
    }
    assert_eq!(world.users.cancelled.len(), 3);

    world.run(60_000);
    world.assert_rules_kept();
    assert_eq!(
        tasks_on_machines(&world, 1) + tasks_on_machines(&world, 2) + tasks_on_machines(&world, 3),
        0
    );
}

#[test]
fn jobs_cancelled_before_an_outage_end_in_time_on_the_old_leaders_machines() {
    cancel_behind_a_cut_off_leader(501, 300, 0.0005, 3_000);
}

#[test]
fn the_control_lease_ends_in_time_with_slow_clocks_and_a_longer_refusal() {
    cancel_behind_a_cut_off_leader(502, 1_500, -0.0005, 12_000);
}

#[test]
fn the_control_lease_ends_in_time_with_an_outage_in_the_same_second() {
    cancel_behind_a_cut_off_leader(503, 50, -0.0005, 18_000);
}

/// The answer to a watch renews the control lease only as of the time at which the watch was sent,
/// also if the watch stays open through a refusal or an outage of the store. A renewed lease of the
/// store, a refused write or a peer's heartbeat doesn't renew it at all.
#[test]
fn nothing_but_an_answered_read_renews_the_control_lease() {
    let mut world = busy_world(504, 4);
    let node = world.leader().unwrap();
    let renewed_at = |world: &World| world.core(node).unwrap().context.control_lease.renewed_at();
    world.run(1_000);
    world.store.refused_nodes.insert(node);
    world.run(100);
    let before = renewed_at(&world);

    // The watch in flight ends without an answer, and all other calls are refused. The peers report
    // that the store serves them.
    world.run(9_000);
    assert_eq!(renewed_at(&world), before, "renewed although every call was refused");

    world.store.refused_nodes.clear();
    world.run(3_000);
    assert!(renewed_at(&world) > before);

    // Writes whose answer is lost, and compares that fail, don't renew the lease.
    world.store_faults.slow_watch.insert(node, 20_000);
    world.run(2_500);
    let before = renewed_at(&world);
    world.accept(node, &job(9, "t0", 1, 5.0));
    world.run(6_000);
    assert_eq!(renewed_at(&world), before, "renewed by answers of other kinds");

    // The late answer to the watch renews the lease as of the time at which the watch was sent.
    while renewed_at(&world) == before {
        world.run(25);
    }
    let age = world.core(node).unwrap().context.clock.now() - renewed_at(&world).unwrap();
    assert!(age >= 20_000, "{age}");

    world.store_faults.slow_watch.clear();
    world.run(25_000);
    world.assert_rules_kept();
}

/// A leader is cut off from the store and from the other controllers while workers and users still
/// reach it, and jobs are cancelled through the new leader.
#[test]
fn an_old_leader_alone_with_its_workers_and_users() {
    let mut world = busy_world(602, 8);
    let old = world.leader().unwrap();
    for node in (0..3).filter(|node| *node != old) {
        world.network.unreachable_pairs.insert((old, node));
    }
    world.store.refused_nodes.insert(old);
    world.run(8_000);
    let new = world.leader().unwrap();
    assert_ne!(new, old);

    for number in [1, 2] {
        assert_eq!(world.cancel(new, &id(number)), 200);

        // The old leader must not give an outdated or wrong answer.
        let request = world.ask(old, HttpRequest::Status(id(number)));
        world.run(50);
        assert_eq!(world.users.answers[&request].status, 503);
    }
    run_without_cloud(&mut world, CANCEL_MS + 2_000);
    world.assert_rules_kept();
    world.network.unreachable_pairs.clear();
    world.store.refused_nodes.clear();
    world.run(20_000);
    for number in [1, 2] {
        assert_eq!(world.status(old, &id(number)), "withdrawn");
    }
    world.assert_rules_kept();
}
