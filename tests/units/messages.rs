//! Messages between nodes, with workers, with the store and between cells.

use serde_json::json;
use woadlever::io::frames::Payload;
use woadlever::wire::encoded::Encoded;
use woadlever::wire::peer::{Frame, PeerHeartbeat, PeerMessage};
use woadlever::wire::store::{
    Compare, CompareAndSwap, CompareAndSwapCommitted, CompareAndSwapConflict, KeyValue, LeaseOpened,
    Mutation, Page, WatchResponse,
};
use woadlever::wire::workers::{TaskState, WorkerHeartbeat};
use woadlever_cells::message::{CellMessage, ForwardedState, HostedState};

#[test]
fn frames_round_trip_and_garbage_is_rejected() {
    let frame = Frame {
        from: "n1".into(),
        incarnation: 9,
        message: PeerMessage::Heartbeat(PeerHeartbeat::new(
            12,
            Vec::new(),
            &[],
            vec![("run-000001".into(), 1, 2)],
        )),
    };
    let bytes = bitcode::encode(&frame);
    assert_eq!(bitcode::decode::<Frame>(&bytes).unwrap(), frame);
    assert!(bitcode::decode::<Frame>(&bytes[..bytes.len() - 2]).is_err());
    assert!(bitcode::decode::<Frame>(&[0xff; 40]).is_err());
}

#[test]
fn heartbeats_may_omit_nullable_fields_and_carry_unknown_ones() {
    let heartbeat: WorkerHeartbeat = serde_json::from_str(
        r#"{"hull":"host-1","endpoint":"e","hulltype":"g","yard":"a","shift":1,"tally":2,"new":{},
            "pieces":[{"piece":"run-1/0","try":1,"status":"pondering"}]}"#,
    )
    .unwrap();
    assert_eq!(
        (heartbeat.fencing_token, heartbeat.preemption_notice_s, heartbeat.tasks[0].state),
        (0, None, TaskState::Other)
    );
    assert!(serde_json::from_str::<WorkerHeartbeat>(r#"{"hull":"host-1"}"#).is_err());
}

/// Checks the field names of the store's protocol. The scenario tests pass typed values to the core,
/// so no other test here would detect a wrong name.
#[test]
fn the_stores_messages_are_read_and_written_in_its_words() {
    let item: KeyValue =
        serde_json::from_str(r#"{"k":"a/b","data":{"x":1},"stamp":412,"permit":7}"#).unwrap();
    assert_eq!((item.key.as_str(), item.version), ("a/b", 412));
    assert_eq!(item.value.decode::<serde_json::Value>().unwrap(), json!({"x": 1}));

    let page = r#"{"pairs":[{"k":"c/8","data":2,"stamp":5}],"has_next":true,"ledger":431}"#;
    let page: Page = serde_json::from_str(page).unwrap();
    assert_eq!(
        (page.items.len(), page.items[0].version, page.has_more, page.revision),
        (1, 5, true, 431)
    );

    let watch =
        r#"{"ledger":433,"log":[{"write":"c/9","data":3,"stamp":433},{"drop":"c/d","stamp":432}]}"#;
    let watch: WatchResponse = serde_json::from_str(watch).unwrap();
    assert_eq!((watch.revision, watch.events[0].version, watch.events[1].version), (433, 433, 432));
    assert_eq!(watch.events[0].put.as_deref(), Some("c/9"));
    assert_eq!(watch.events[1].delete.as_deref(), Some("c/d"));

    let write = CompareAndSwap {
        compares: vec![Compare { key: "a/b".into(), version: 3 }],
        mutations: vec![
            Mutation::Put { key: "a/b".into(), value: Encoded::new(&json!({"x": 1})), lease: Some(7) },
            Mutation::Put { key: "a/c".into(), value: Encoded::new("text"), lease: None },
            Mutation::Delete { key: "c/d".into() },
        ],
    };
    let expected = json!({"if": [{"k": "a/b", "stamp": 3}],
        "apply": [{"write": "a/b", "data": {"x": 1}, "permit": 7}, {"write": "a/c", "data": "text"}, {"drop": "c/d"}]});
    assert_eq!(serde_json::to_value(&write).unwrap(), expected);

    let committed: CompareAndSwapCommitted = serde_json::from_str(r#"{"ledger":432}"#).unwrap();
    let conflict: CompareAndSwapConflict =
        serde_json::from_str(r#"{"failed":["a/b"],"ledger":431}"#).unwrap();
    let lease: LeaseOpened = serde_json::from_str(r#"{"permit":7}"#).unwrap();
    assert_eq!((committed.revision, conflict.failed, lease.lease), (432, vec!["a/b".to_string()], 7));
}

#[test]
fn a_message_between_cells_of_another_version_is_ignored() {
    let (forwarded, hosted) = (ForwardedState::default(), HostedState::default());
    let message = CellMessage { cell: "a".into(), term: 1, revision: 2, forwarded, hosted };
    let mut bytes = message.encode();
    assert_eq!(CellMessage::decode(&bytes).unwrap(), Some(message));
    bytes[1] += 1;
    assert_eq!(CellMessage::decode(&bytes).unwrap(), None);
    assert!(CellMessage::decode(&[0]).is_err());
    assert!(CellMessage::decode(&[0, 1, 255, 255, 255]).is_err());
}
