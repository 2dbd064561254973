//! Checks that every attempt is first recorded under the leader that admitted it.
//!
//! A leader counts the attempts that it admits and those recorded when its term begins. An
//! attempt of an earlier leader that is recorded only later would not be counted. So an attempt
//! may be recorded for the first time only during the term of the leader that admitted it.

use serde_json::Value;
use std::collections::HashSet;
use woadlever::wire::store::{CompareAndSwap, Mutation};

/// Number of low bits of an attempt number; the bits above them hold the leader's term.
const ATTEMPT_BITS_PER_TERM: u32 = 20;
/// Numbers per attempt in a machine's row: the index of the job in the record, the number of the
/// task, and the attempt's offset from the smallest attempt of the record.
const NUMBERS_PER_ATTEMPT: usize = 3;

/// All attempts that have ever been listed in a placement record.
#[derive(Default)]
pub struct RecordedAttempts {
    known: HashSet<u64>,
    unadmitted: Vec<String>,
}

impl RecordedAttempts {
    /// Adds the attempts of a record that exists before the test starts.
    pub(super) fn add_existing(&mut self, record: &Value) {
        self.known.extend(attempts_of(record).into_iter().map(|(_, attempt)| attempt));
    }

    /// Adds the attempts of a write that is being committed, and checks the new ones.
    pub(super) fn add_write(&mut self, write: &CompareAndSwap) {
        let leader = write.compares.iter().find(|compare| compare.key == "w/leader");
        for mutation in &write.mutations {
            let Mutation::Put { key, value, .. } = mutation else { continue };
            if !key.starts_with("place/") {
                continue;
            }
            let record: Value = value.decode().expect("a placement record");
            for (_, attempt) in attempts_of(&record) {
                let is_new = self.known.insert(attempt);
                let term = attempt >> ATTEMPT_BITS_PER_TERM;
                if is_new && let Some(leader) = leader.filter(|leader| leader.version != term) {
                    let found = format!("attempt of term {term} recorded under term {}", leader.version);
                    self.unadmitted.push(found);
                }
            }
        }
    }

    /// Takes the violations found since the last call: attempts that were first recorded under a
    /// leader that had not admitted them.
    pub(super) fn take_unadmitted(&mut self) -> Vec<String> {
        std::mem::take(&mut self.unadmitted)
    }
}

/// Returns the machines and attempts that a placement record lists.
pub(super) fn attempts_of(record: &Value) -> Vec<(String, u64)> {
    let mut listed = Vec::new();
    let base = record["b"].as_u64().expect("the smallest attempt");
    for row in record["m"].as_array().expect("rows of machines") {
        let machine = row[0].as_str().expect("a machine");
        let attempts = row[3].as_array().expect("attempts").chunks(NUMBERS_PER_ATTEMPT);
        let numbers = attempts.map(|attempt| base + attempt[2].as_u64().expect("an attempt"));
        listed.extend(numbers.map(|number| (machine.to_string(), number)));
    }
    listed
}
