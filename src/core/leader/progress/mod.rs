//! Progress of jobs in the store: which tasks are done while a job runs, and its final state.
//!
//! Only a task whose success is on record is cleared from its machine. Until then the success
//! is safe there, so that records of progress may lag behind.

mod completion;
mod deletion;
mod job_progress;
mod recording;
mod rereads;
mod segment;

pub use completion::FinalStateWrite;
pub use deletion::DeletionQueue;
pub use job_progress::{JobProgress, LoadedSegment};
pub use recording::SegmentWrite;
pub use segment::ProgressSegment;
