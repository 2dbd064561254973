//! Small parts on their own: settings, formats, forecast and projection.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

use serde_json::json;
use std::collections::BTreeMap;
use woadlever::config::{Operator, Platform};
use woadlever::core::common::projection::{Booking, project, remaining_s};
use woadlever::core::forecast::History;
use woadlever::io::frames::Payload;
use woadlever::model::{Resources, TaskSet, shard_of, shards_of, split_task};
use woadlever::wire::encoded::Encoded;
use woadlever::wire::peer::{Frame, PeerHeartbeat, PeerMessage};
use woadlever::wire::store::{
    Compare, CompareAndSwap, CompareAndSwapCommitted, CompareAndSwapConflict, JobRecord, JobState,
    KeyValue, LeaseOpened, Mutation, Page, WatchAnswer,
};
use woadlever::wire::users::parse_job;
use woadlever::wire::workers::{TaskState, WorkerHeartbeat};
use woadlever_cells::message::{CellMessage, ForwardedState, HostedState};
use woadlever_cells::origin::RecallReason;
use woadlever_cells::record::{CellLease, Forwarding, Origin};

const PLATFORM: &str = r#"
host_name = "a"
domain = "z"
bind = "127.0.0.1:1"
internal_addr = "127.0.0.1:2"
novelty = 3
[endpoints]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[cluster]
zones = ["z"]
[cluster.workers]
report_s = 3.0
lease_s = 27.0
cancel_s = 52.0
[cluster.state]
rps = 150.0
write_rps = 20.0
value_kb = 8.0
txn_ops = 12
[cluster.cloud]
rps = 3.0
list_lag_s = 4.0
[cluster.limits]
max_connections = 800
"#;

#[test]
fn platform_settings_ignore_what_is_new_and_name_what_is_wrong() {
    assert!(Platform::parse("f", PLATFORM).is_ok());
    for (from, to, names) in [
        ("lease_s = 27.0", "lease_s = -1.0", "cluster.workers.lease_s"),
        ("lease_s = 27.0", "", "lease_s"),
        ("cancel_s = 52.0", "cancel_s = 20.0", "cluster.workers.cancel_s"),
        ("txn_ops = 12", "txn_ops = \"x\"", "txn_ops"),
        ("bind = \"127.0.0.1:1\"", "bind = \"nowhere\"", "bind"),
        ("rps = 150.0", "rps = nan", "cluster.state.rps"),
        ("max_connections = 800", "max_connections = 8", "cluster.limits.max_connections"),
        ("max_connections = 800", "max_connections = 800\nmem_mb = 4.0", "cluster.limits.mem_mb"),
        ("max_connections = 800", "max_connections = 800\nmem_mb = nan", "cluster.limits.mem_mb"),
        ("max_connections = 800", "max_connections = 800\ncpu = 0.0", "cluster.limits.cpu"),
    ] {
        let e = Platform::parse("f", &PLATFORM.replacen(from, to, 1)).unwrap_err().to_string();
        assert!(e.starts_with("f: ") && e.contains(names), "{e}");
        assert_eq!(e.lines().count(), 1, "{e}");
    }
}

#[test]
fn announced_limits_count_from_the_start_and_useless_ones_are_named() {
    let with = |next: &str| PLATFORM.replace("[cluster.cloud]", &format!("{next}\n[cluster.cloud]"));
    let p = Platform::parse("f", PLATFORM).unwrap().cluster.state;
    assert_eq!((p.value_kb, p.txn_ops, p.write_rps, p.today_kb), (8.0, 12, 20.0, 8.0));
    let next = "[cluster.state.next]\nwrite_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 4";
    let p = Platform::parse("f", &with(next)).unwrap().cluster.state;
    assert_eq!((p.value_kb, p.txn_ops, p.write_rps, p.today_kb), (2.0, 4, 15.0, 8.0));
    assert_eq!(p.rps, 150.0, "what is left out stays");
    // Larger ones come later, if at all: until then today's hold.
    let p = Platform::parse("f", &with("[cluster.state.next]\nvalue_kb = 64.0")).unwrap();
    assert_eq!(p.cluster.state.value_kb, 8.0);
    for (field, value) in [
        ("value_kb", "0.5"),
        ("value_kb", "nan"),
        ("txn_ops", "1"),
        ("write_rps", "0.0"),
        ("rps", "-1.0"),
    ] {
        let text = with(&format!("[cluster.state.next]\n{field} = {value}"));
        let e = Platform::parse("f", &text).unwrap_err().to_string();
        assert!(e.contains(&format!("cluster.state.next.{field}")), "{e}");
    }
}

/// Bits that were recorded in whole chunks and in parts are one set.
#[test]
fn keys_of_progress_are_read_in_both_layouts() {
    use woadlever::core::progress::ProgressSegment;
    let read = |key: &str| {
        ProgressSegment::of_key(key).map(|(id, c)| (id.to_string(), c.first_word(), c.is_part()))
    };
    let id = "run-000001".to_string();
    assert_eq!(read("progress/run-000001/2"), Some((id.clone(), 512, false)));
    assert_eq!(read("progress/run-000001/2.3"), Some((id, 512 + 96, true)));
    for bad in ["progress/run-000001/2.8", "progress/run-000001/x", "progress/1", "progress/r/9999999"] {
        assert_eq!(read(bad), None, "{bad}");
    }
    let (id, c) = ProgressSegment::of_key("progress/run-000001/2.3").unwrap();
    assert_eq!(c.key(id), "progress/run-000001/2.3");
}

#[test]
fn the_control_lease_ends_early_enough_for_every_lease_to_end_within_a_cancellation() {
    let p = Platform::parse("f", PLATFORM).unwrap();
    let d = p.control_lease_ms(&Operator::default()) as f64 / 1000.0;
    assert!(d > 5.0 && d + 27.0 * 1.001 + 1.0 < 52.0, "{d}");
    // Any settings: in time with both clocks off by 0.05%, or refused by name.
    for (lease, cancel) in
        [(27.0, 52.0), (45.0, 65.0), (27.0, 28.2), (27.0, 29.5), (600.0, 602.0), (3600.0, 3700.0)]
    {
        let text = PLATFORM
            .replace("lease_s = 27.0", &format!("lease_s = {lease:?}"))
            .replace("cancel_s = 52.0", &format!("cancel_s = {cancel:?}"));
        match Platform::parse("f", &text) {
            Ok(p) => {
                let d = p.control_lease_ms(&Operator::default()) as f64 / 1000.0;
                let gone = (d + lease) * 1.0005;
                assert!(d >= 1.0 && gone + 0.4 < cancel, "{lease}, {cancel}: {d}");
            }
            Err(e) => {
                assert!(cancel - lease < 3.0, "{lease}, {cancel}: {e}");
                assert!(e.to_string().contains("cluster.workers.cancel_s"), "{e}");
            }
        }
    }
}

#[test]
fn operator_settings_take_known_keys_only() {
    let op = Operator::parse("o", "[forecast]\nwindow_s = 45\n").unwrap();
    assert_eq!(op.window_s, 45.0);
    for text in ["[forecast]\nwindow = 45\n", "[forecast]\nwindow_s = soon\n", "[other]\nx = 1\n"] {
        let e = Operator::parse("o", text).unwrap_err().to_string();
        assert!(e.starts_with("o: ["), "{e}");
    }
}

#[test]
fn overload_settings_that_cannot_be_used_are_named() {
    let good = "[overload]\nenabled = true\nlag_target_ms = 50\nlag_interval_ms = 200\n";
    let overload = Operator::parse("o", good).unwrap().overload;
    assert!(overload.enabled && overload.lag_target_ms == 50 && overload.lag_interval_ms == 200);
    assert!(!Operator::default().overload.enabled, "off unless switched on");
    let file = include_str!("../deploy/woadlever.ini");
    assert!(Operator::parse("deploy/woadlever.ini", file).unwrap().overload.enabled);
    for (text, named) in [
        ("[overload]\nenabled = yes\n", "[overload] enabled"),
        ("[overload]\nqueue = 0\n", "[overload] queue"),
        ("[overload]\nleast_share = 2\n", "[overload] least_share"),
        ("[overload]\nlag_target_ms = 900\n", "[overload] lag_interval_ms"),
        ("[overload]\nrejections_per_core = 100\n", "[overload] rejections_per_core"),
        ("[overload]\nconnections = 1\n", "[overload] connections: unknown setting"),
    ] {
        let error = Operator::parse("o", text).unwrap_err().to_string();
        assert!(error.contains(named), "{text}: {error}");
    }
}

#[test]
fn a_task_set_survives_being_written_in_chunks() {
    let mut s = TaskSet::with_capacity(100_000);
    for t in [0, 1, 63, 64, 16_383, 16_384, 70_000, 99_999] {
        assert!(s.insert(t) && !s.insert(t));
    }
    let mut back = TaskSet::with_capacity(100_000);
    for segment in 0..7 {
        let text = s.to_hex(segment * 256, segment * 256 + 256);
        assert!(text.len() <= 4096);
        back.add_hex(segment * 256, &text);
    }
    assert_eq!(s, back);
    assert!(!back.insert(200_000), "beyond the job's tasks");
    back.add_hex(0, "zz not hex");
}

#[test]
fn every_zone_has_a_shard_and_every_machine_falls_into_one() {
    let zones: Vec<String> = ["a", "b", "c"].map(String::from).to_vec();
    let nodes: Vec<(String, String)> =
        [("n0", "a"), ("n1", "a"), ("n2", "b")].map(|(n, z)| (n.into(), z.into())).to_vec();
    let shards = shards_of(&zones, &nodes);
    assert_eq!(shards.len(), 4);
    let in_a: Vec<_> =
        (0..4).map(|i| shard_of(&shards, "a", &format!("host-{i:06}")).unwrap()).collect();
    assert!(in_a[0] != in_a[1] && in_a[0] == in_a[2]);
    assert!(shard_of(&shards, "c", "host-000001").is_some());
    assert!(shard_of(&shards, "elsewhere", "host-000001").is_none());
    assert_eq!(split_task("run-000412/3"), Some(("run-000412", 3)));
    assert_eq!(split_task("run-000412"), None);
}

#[test]
fn frames_come_back_as_sent_and_garbage_does_not() {
    let f = Frame {
        from: "n1".into(),
        incarnation: 9,
        message: PeerMessage::Heartbeat(PeerHeartbeat::new(
            12,
            Vec::new(),
            &[],
            vec![("run-000001".into(), 1, 2)],
        )),
    };
    let bytes = bitcode::encode(&f);
    assert_eq!(bitcode::decode::<Frame>(&bytes).unwrap(), f);
    assert!(bitcode::decode::<Frame>(&bytes[..bytes.len() - 2]).is_err());
    assert!(bitcode::decode::<Frame>(&[0xff; 40]).is_err());
}

#[test]
fn heartbeats_may_leave_out_what_may_be_null_and_carry_what_is_new() {
    let r: WorkerHeartbeat = serde_json::from_str(
        r#"{"hull":"host-1","endpoint":"e","hulltype":"g","yard":"a","shift":1,"tally":2,"new":{},
            "pieces":[{"piece":"run-1/0","try":1,"status":"pondering"}]}"#,
    )
    .unwrap();
    assert_eq!((r.fencing_token, r.preemption_notice_s, r.tasks[0].state), (0, None, TaskState::Other));
    assert!(serde_json::from_str::<WorkerHeartbeat>(r#"{"hull":"host-1"}"#).is_err());
}

fn booking(ran: u64, expected: u64) -> Booking {
    Booking { demand: Resources { cpus: 4.0, gpus: 0.0, mem: 1.0 }, ran_ms: ran, expected_ms: expected }
}

#[test]
fn projection_extends_overrunning_tasks_and_counts_overloaded_steps() {
    let op = Operator::default();
    assert_eq!(remaining_s(&op, &booking(4_000, 10_000)), 6.0);
    // Past its estimate: extended by a fifth of it, again and again.
    assert!((remaining_s(&op, &booking(10_500, 10_000)) - 1.5).abs() < 1e-9);
    assert!((remaining_s(&op, &booking(12_500, 10_000)) - 1.5).abs() < 1e-9);
    let capacity = Resources { cpus: 8.0, gpus: 0.0, mem: 64.0 };
    let none = Resources::default();
    let full = [booking(0, 9_000), booking(0, 9_000)];
    let p = project(&op, &capacity, &full, &none);
    assert_eq!((p.peak, p.overloaded), (1.0, false), "9 of 100 steps are no overload");
    let longer = [booking(0, 11_000), booking(0, 11_000)];
    assert!(project(&op, &capacity, &longer, &none).overloaded);
    let waiting = Resources { cpus: 4.0, gpus: 0.0, mem: 1.0 };
    assert!(project(&op, &capacity, &[booking(0, 50_000)], &waiting).overloaded);
    assert!(!project(&op, &capacity, &[], &waiting).overloaded);
}

/// A rise at the start of a day is no season: it must not come back as a
/// forecast when demand is over.
#[test]
fn a_season_counts_once_it_was_seen_twice() {
    let mut h = History::default();
    let put = |h: &mut History, v: f64| h.record(&BTreeMap::from([("k".to_string(), v)]), 10);
    assert_eq!(h.expect("k", 10, 0.4), None);
    for _ in 0..9 {
        put(&mut h, 8.0);
    }
    assert!((h.expect("k", 10, 0.4).unwrap() - 8.0).abs() < 0.1);
    for _ in 0..10 {
        put(&mut h, 0.0);
    }
    assert!(h.expect("k", 10, 0.4).unwrap() < 0.2);
    put(&mut h, 0.0);
    assert!(h.expect("k", 10, 0.4).unwrap() > 1.0, "the next window was busy two seasons ago");
    for _ in 0..500 {
        put(&mut h, 1.0);
    }
    assert!(serde_json::to_string(&h).unwrap().len() < 2000);
    assert_eq!(h.expect("other", 10, 0.4), None);
}

/// A fixed number of final jobs is kept on each node, so the size of one is part of
/// what a small machine needs (docs/operations.md).
#[test]
fn a_job_that_is_over_takes_about_a_hundred_bytes_beside_its_name() {
    let bytes = std::mem::size_of::<woadlever::core::common::job_table::Job>();
    assert!(bytes <= 112, "{bytes}");
}

/// The words of the store's protocol. The scenario tests hand typed values to
/// the core, so that nothing else here would notice a wrong one.
#[test]
fn the_stores_messages_are_read_and_written_in_its_words() {
    let item: KeyValue =
        serde_json::from_str(r#"{"k":"a/b","data":{"x":1},"stamp":412,"permit":7}"#).unwrap();
    assert_eq!((item.key.as_str(), item.version), ("a/b", 412));
    assert_eq!(item.value.decode::<serde_json::Value>().unwrap(), json!({"x": 1}));
    let page = r#"{"pairs":[{"k":"c/8","data":2,"stamp":5}],"has_next":true,"ledger":431}"#;
    let page: Page = serde_json::from_str(page).unwrap();
    assert_eq!((page.items.len(), page.items[0].version, page.more, page.revision), (1, 5, true, 431));
    let watch =
        r#"{"ledger":433,"log":[{"write":"c/9","data":3,"stamp":433},{"drop":"c/d","stamp":432}]}"#;
    let watch: WatchAnswer = serde_json::from_str(watch).unwrap();
    assert_eq!((watch.revision, watch.events[0].version, watch.events[1].version), (433, 433, 432));
    assert_eq!(watch.events[0].put.as_deref(), Some("c/9"));
    assert_eq!(watch.events[1].delete.as_deref(), Some("c/d"));
    let txn = CompareAndSwap {
        compares: vec![Compare { key: "a/b".into(), version: 3 }],
        mutations: vec![
            Mutation::Put { key: "a/b".into(), value: Encoded::new(&json!({"x": 1})), lease: Some(7) },
            Mutation::Put { key: "a/c".into(), value: Encoded::new("text"), lease: None },
            Mutation::Delete { key: "c/d".into() },
        ],
    };
    let expected = json!({"if": [{"k": "a/b", "stamp": 3}],
        "apply": [{"write": "a/b", "data": {"x": 1}, "permit": 7}, {"write": "a/c", "data": "text"}, {"drop": "c/d"}]});
    assert_eq!(serde_json::to_value(&txn).unwrap(), expected);
    let done: CompareAndSwapCommitted = serde_json::from_str(r#"{"ledger":432}"#).unwrap();
    let failed: CompareAndSwapConflict =
        serde_json::from_str(r#"{"failed":["a/b"],"ledger":431}"#).unwrap();
    let lease: LeaseOpened = serde_json::from_str(r#"{"permit":7}"#).unwrap();
    assert_eq!((done.revision, failed.failed, lease.lease), (432, vec!["a/b".to_string()], 7));
}

#[test]
fn cell_settings_that_cannot_be_used_are_named() {
    let cells = Operator::parse("o", include_str!("../deploy/cells.ini")).unwrap().cells;
    assert!(cells.enabled && cells.accept && cells.name == "split" && cells.listen_port == 8082);
    let names: Vec<&str> = cells.neighbors.iter().map(|cell| cell.name.as_str()).collect();
    assert_eq!(names, ["zagreb", "rijeka"]);
    assert_eq!(cells.neighbors[0].controllers.len(), 3);
    assert!(!Operator::default().cells.enabled, "off unless switched on");
    let good = "[cells]\nenabled=true\nname=a\nlisten_port=1\n";
    assert!(Operator::parse("o", good).is_ok());
    for (more, names) in [
        ("enabled=yes\n", "[cells] enabled"),
        ("name=a b\n", "[cells] name"),
        ("listen_port=0\n", "[cells] listen_port"),
        ("silence_s=1\n", "[cells] silence_s"),
        ("max_forwarded=100000\n", "[cells] max_forwarded"),
        ("novelty=1\n", "[cells] novelty"),
        ("[cell a]\ncontrollers=127.0.0.1:1\n", "[cell a]"),
        ("[cell b]\ncontrollers=127.0.0.1\n", "[cell b] controllers"),
        ("[cell b]\naddress=127.0.0.1:1\n", "[cell b] address"),
        ("[cell b/c]\ncontrollers=127.0.0.1:1\n", "[cell b/c]"),
    ] {
        let text = format!("{good}{more}");
        let error = Operator::parse("o", &text).unwrap_err().to_string();
        assert!(error.contains(names), "{error}");
    }
    let error = Operator::parse("o", "[cells]\nenabled=true\nname=a\n").unwrap_err().to_string();
    assert!(error.contains("[cells] listen_port"), "{error}");
}

/// A controller that knows nothing of cells reads these records too, and must find nothing
/// to start; one that does finds the same job again.
#[test]
fn the_record_of_a_job_that_is_away_hides_its_description() {
    let body = json!({"name_id": "run-1", "jobclass": "c", "crew": "t", "shape": "batch",
        "urgency": "normal", "pieces": 2, "cores": 1.0, "cards": 0.0, "memory_gb": 1.0,
        "one_zone": false, "scatter": false, "standby": true, "bundle": "i", "pull_gb": 0.0,
        "guess_s": 1.0, "bookmark_s": 0.0, "stow_s": 0.0});
    let spec = parse_job(body.to_string().as_bytes()).unwrap().spec;
    let awaits = vec!["run-7".to_string()];
    let away = Forwarding::begin("b", 4, None);
    let text = |record: &JobRecord| serde_json::to_value(record).unwrap();
    let plain = text(&JobRecord::live(spec.clone(), &[]));
    assert!(plain.get("f").is_none() && plain.get("o").is_none() && plain.get("q").is_none());
    for phase in [away.clone(), away.recalled(RecallReason::Idle)] {
        let record = JobRecord::forwarded(spec.clone(), &awaits, phase);
        let value = text(&record);
        assert!(value.get("j").is_none() && value.get("p").is_none(), "{value}");
        let read: JobRecord = serde_json::from_value(value).unwrap();
        assert_eq!(read, record);
        assert_eq!(read.into_parts(), (Some(spec.clone()), awaits.clone()));
    }
    let back = JobRecord::forwarded(spec.clone(), &[], away.returned());
    assert!(text(&back).get("j").is_some());
    let origin = Origin { cell: "a".into(), epoch: 4, done: String::new() };
    let hosted = JobRecord::hosted(spec, origin.clone());
    assert_eq!((hosted.state, hosted.origin.as_ref()), (JobState::Live, Some(&origin)));
    let tombstone = JobRecord::tombstone(2, origin.clone());
    assert_eq!((tombstone.state, tombstone.origin), (JobState::Cancelled, Some(origin)));
    let lease = serde_json::to_value(CellLease { until_ms: 5, revision: 6 }).unwrap();
    assert_eq!(lease, json!({"u": 5, "r": 6}));
}

#[test]
fn a_message_between_cells_of_another_version_is_passed_over() {
    let (forwarded, hosted) = (ForwardedState::default(), HostedState::default());
    let message = CellMessage { cell: "a".into(), term: 1, revision: 2, forwarded, hosted };
    let mut bytes = message.encode();
    assert_eq!(CellMessage::decode(&bytes).unwrap(), Some(message));
    bytes[1] += 1;
    assert_eq!(CellMessage::decode(&bytes).unwrap(), None);
    assert!(CellMessage::decode(&[0]).is_err());
    assert!(CellMessage::decode(&[0, 1, 255, 255, 255]).is_err());
}
