//! Stored records of jobs and of their progress.

use serde_json::json;
use woadlever::core::progress::ProgressSegment;
use woadlever::wire::store::{JobRecord, JobState};
use woadlever::wire::users::parse_submission;
use woadlever_cells::origin::RecallReason;
use woadlever_cells::record::{CellLease, Forwarding, Origin};

/// Progress is recorded in whole segments or in parts of segments; keys of both layouts refer to bits
/// of the same set.
#[test]
fn progress_keys_are_parsed_in_both_layouts() {
    let read = |key: &str| {
        ProgressSegment::of_key(key)
            .map(|(id, segment)| (id.to_string(), segment.first_word(), segment.is_part()))
    };
    let id = "run-000001".to_string();
    assert_eq!(read("progress/run-000001/2"), Some((id.clone(), 512, false)));
    assert_eq!(read("progress/run-000001/2.3"), Some((id, 512 + 96, true)));
    for bad in ["progress/run-000001/2.8", "progress/run-000001/x", "progress/1", "progress/r/9999999"] {
        assert_eq!(read(bad), None, "{bad}");
    }
    let (id, segment) = ProgressSegment::of_key("progress/run-000001/2.3").unwrap();
    assert_eq!(segment.key(id), "progress/run-000001/2.3");
}

/// A controller without support for cells also reads the records of forwarded jobs and must find no
/// tasks to start in them; a controller with support for cells reads the same job again.
#[test]
fn the_record_of_a_forwarded_job_hides_its_description() {
    let body = json!({"name_id": "run-1", "jobclass": "c", "crew": "t", "shape": "batch",
        "urgency": "normal", "pieces": 2, "cores": 1.0, "cards": 0.0, "memory_gb": 1.0,
        "one_zone": false, "scatter": false, "standby": true, "bundle": "i", "pull_gb": 0.0,
        "guess_s": 1.0, "bookmark_s": 0.0, "stow_s": 0.0});
    let spec = parse_submission(body.to_string().as_bytes()).unwrap().spec;
    let awaits = vec!["run-7".to_string()];
    let forwarding = Forwarding::begin("b", 4, None);
    let text = |record: &JobRecord| serde_json::to_value(record).unwrap();
    let plain = text(&JobRecord::live(spec.clone(), &[]));
    assert!(plain.get("f").is_none() && plain.get("o").is_none() && plain.get("q").is_none());

    for phase in [forwarding.clone(), forwarding.recalled(RecallReason::Idle)] {
        let record = JobRecord::forwarded(spec.clone(), &awaits, phase);
        let value = text(&record);
        assert!(value.get("j").is_none() && value.get("p").is_none(), "{value}");

        let read: JobRecord = serde_json::from_value(value).unwrap();
        assert_eq!(read, record);
        assert_eq!(read.into_parts(), (Some(spec.clone()), awaits.clone()));
    }
    let back = JobRecord::forwarded(spec.clone(), &[], forwarding.returned());
    assert!(text(&back).get("j").is_some());

    let origin = Origin { cell: "a".into(), epoch: 4, done: String::new() };
    let hosted = JobRecord::hosted(spec, origin.clone());
    assert_eq!((hosted.state, hosted.origin.as_ref()), (JobState::Live, Some(&origin)));

    let tombstone = JobRecord::tombstone(2, origin.clone());
    assert_eq!((tombstone.state, tombstone.origin), (JobState::Cancelled, Some(origin)));

    let lease = serde_json::to_value(CellLease { until_ms: 5, revision: 6 }).unwrap();
    assert_eq!(lease, json!({"u": 5, "r": 6}));
}
