//! Progress of jobs in the store: which tasks of a running job are done, and its final state.
//!
//! A successful task is cleared from its machine only once its success is recorded in the store.
//! Until then the machine retains the success, so progress records may lag behind.

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
