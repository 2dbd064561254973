//! The job table of one node and the job records that are applied to it.

use crate::clusters::id;
use crate::support::{job, platform};
use std::sync::Arc;
use woadlever::config::Operator;
use woadlever::core::common::job_table::{FINAL_JOBS_BATCH, KnownState, MAX_FINAL_JOBS};
use woadlever::core::common::{context::NodeContext, job_records::RecordSource};
use woadlever::wire::store::JobRecord;
use woadlever_cells::record::Origin;

fn context() -> NodeContext {
    NodeContext::new(Arc::new(platform(0, 3)), Operator::default(), 1, 1, 1_000)
}

/// Returns the record of an accepted job, with its specification.
fn live_record() -> JobRecord {
    let body = job(1, "t1", 2, 5.0).to_string();
    let submission = woadlever::wire::users::parse_submission(body.as_bytes()).expect("a submission");
    JobRecord::live(submission.spec, &[])
}

fn end_jobs(context: &mut NodeContext, first: u32, count: usize, version: u64) {
    for number in first..first + count as u32 {
        context.apply_job_record(&id(number), JobRecord::done(2, 1), version, RecordSource::Watch);
    }
    context.jobs.clear_changed();
    context.jobs.take_newly_cancelled();
}

#[test]
fn a_dropped_job_is_not_revived_by_an_older_record() {
    let mut context = context();
    context.jobs.set_watched_revision(Some(10));
    assert!(context.apply_job_record(&id(1), live_record(), 10, RecordSource::Watch));
    assert!(context.apply_job_record(&id(1), JobRecord::done(2, 1), 20, RecordSource::Watch));

    end_jobs(&mut context, 1_000, MAX_FINAL_JOBS + FINAL_JOBS_BATCH, 30);
    context.jobs.set_watched_revision(Some(100));
    context.drop_final_jobs(|_| {});
    assert_eq!(context.job_index(&id(1)), None, "the oldest job was not dropped");
    assert_eq!(context.jobs.len(), MAX_FINAL_JOBS);

    // A single read that was in flight for a long time, and a page of a full read.
    assert!(!context.apply_job_record(&id(1), live_record(), 10, RecordSource::Single));

    context.jobs.set_watched_revision(None);
    assert!(!context.apply_job_record(&id(1), live_record(), 10, RecordSource::Single));

    let page = RecordSource::Page { first_revision: 100 };
    assert!(context.apply_job_record(&id(1), JobRecord::done(2, 1), 20, page));
    assert_eq!(context.job_index(&id(1)), None);

    // A record that has just been written is newer than the latest revision that the watch has seen.
    context.jobs.set_watched_revision(Some(100));
    assert!(context.apply_job_record(&id(2), live_record(), 101, RecordSource::Single));
    assert!(context.job_index(&id(2)).is_some());
}

/// The watch has yet to report that the job was live: if the job were dropped before that, it would
/// be taken for a new one.
#[test]
fn a_final_job_newer_than_the_watch_is_kept() {
    let mut context = context();
    context.jobs.set_watched_revision(Some(100));
    assert!(context.apply_job_record(&id(1), JobRecord::done(2, 1), 150, RecordSource::Single));
    end_jobs(&mut context, 1_000, MAX_FINAL_JOBS + FINAL_JOBS_BATCH, 30);
    context.drop_final_jobs(|_| {});
    assert!(context.apply_job_record(&id(1), live_record(), 140, RecordSource::Watch));
    let index = context.job_index(&id(1)).expect("the final job was dropped");
    assert_eq!(context.job(index).state, KnownState::Done);
}

#[test]
fn a_job_whose_record_is_not_read_yet_is_neither_live_nor_final() {
    let mut context = context();
    context.jobs.set_watched_revision(Some(100));
    let (live, done) =
        (context.jobs.index_or_lookup(&id(1), 0), context.jobs.index_or_lookup(&id(2), 0));
    for index in [live, done] {
        assert_eq!(context.job(index).state, KnownState::Unread);
        assert!(!context.job(index).state.is_final() && !context.must_stop(index));
    }
    assert!(context.apply_job_record(&id(1), live_record(), 150, RecordSource::Single));
    assert!(context.apply_job_record(&id(2), JobRecord::done(2, 1), 20, RecordSource::Single));
    assert_eq!(context.job(live).state, KnownState::Live);
    assert_eq!(context.job(done).state, KnownState::Done);

    end_jobs(&mut context, 1_000, MAX_FINAL_JOBS + FINAL_JOBS_BATCH, 30);
    context.drop_final_jobs(|_| {});
    assert_eq!(context.job(done).state, KnownState::Dropped);
}

#[test]
fn jobs_in_use_are_kept_and_an_index_is_never_reused() {
    let mut context = context();
    context.jobs.set_watched_revision(Some(100));
    end_jobs(&mut context, 1, 2, 20);
    let (in_use, other) = (context.job_index(&id(1)).unwrap(), context.job_index(&id(2)).unwrap());
    end_jobs(&mut context, 1_000, MAX_FINAL_JOBS + FINAL_JOBS_BATCH, 30);
    context.drop_final_jobs(|indices| {
        indices.insert(in_use);
    });
    assert_eq!(context.job_index(&id(1)), Some(in_use));
    assert_eq!(context.job_index(&id(2)), None);
    assert!(context.must_stop(other), "a holder of the old index may start tasks");
    assert!(context.apply_job_record(&id(2), JobRecord::done(2, 1), 20, RecordSource::Single));
    assert_ne!(context.job_index(&id(2)), Some(other));
}

/// The tombstone of another cell's job is the only final state that can be followed by another
/// state, and only if the origin cell makes a new offer.
#[test]
fn a_job_that_another_cell_offers_again_is_live_and_stays_in_memory() {
    let mut context = context();
    context.jobs.set_watched_revision(Some(100));
    let origin = |epoch| Origin { cell: "a".into(), epoch, done: String::new() };
    let (spec, _) = live_record().into_parts();
    let hosted = |epoch| JobRecord::hosted(spec.clone().unwrap(), origin(epoch));
    assert!(context.apply_job_record(
        &id(1),
        JobRecord::tombstone(0, origin(5)),
        20,
        RecordSource::Single
    ));

    let index = context.job_index(&id(1)).unwrap();
    assert!(context.apply_job_record(&id(1), hosted(5), 30, RecordSource::Watch));
    assert_eq!(
        context.job(index).state,
        KnownState::Cancelled,
        "a late copy of the same offer revived the job"
    );
    assert!(context.apply_job_record(&id(1), hosted(7), 40, RecordSource::Watch));

    let job = context.job(index);
    assert_eq!((job.state, job.tasks, job.origin()), (KnownState::Live, 2, Some(&origin(7))));

    end_jobs(&mut context, 1_000, MAX_FINAL_JOBS + FINAL_JOBS_BATCH, 50);
    context.drop_final_jobs(|_| {});
    context.clock.advance(context.clock.now() + 1_000_000, 0);
    context.drop_final_job_data();
    assert_eq!(context.job_index(&id(1)), Some(index));
    assert!(context.job(index).spec.is_some());

    let done = JobRecord::done(2, 1).with_origin(Some(origin(5)));
    assert!(context.apply_job_record(&id(3), done, 60, RecordSource::Single));
    assert!(context.apply_job_record(&id(3), hosted(7), 70, RecordSource::Watch));

    let ended = context.job_index(&id(3)).unwrap();
    assert_eq!(context.job(ended).state, KnownState::Done, "a new offer revived a done job");
    assert!(context.apply_job_record(&id(2), JobRecord::cancelled(2), 60, RecordSource::Single));
    assert!(context.apply_job_record(&id(2), live_record(), 70, RecordSource::Watch));

    let own = context.job_index(&id(2)).unwrap();
    assert_eq!(
        context.job(own).state,
        KnownState::Cancelled,
        "a live record revived a cancelled job of this cell"
    );
}
