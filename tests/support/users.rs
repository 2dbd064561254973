//! What users do: submissions, questions, cancellations, and the answers to them.

use super::{Answer, World};
use serde_json::Value;
use std::collections::{HashMap, HashSet};
use woadlever::core::{HttpRequest, Input};
use woadlever::wire::workers::WorkerHeartbeat;

/// Numbers of requests begin here, above all numbers of calls.
const FIRST_REQUEST: u64 = 1 << 40;

/// What users have asked for and were told.
pub struct Users {
    /// Jobs as submitted.
    pub jobs: HashMap<String, Value>,
    /// Answers to users, by number of the request.
    pub answers: HashMap<u64, Answer>,
    next_request: u64,
    /// What users were last told of jobs that are over.
    pub(super) told: HashMap<String, String>,
    /// Jobs that some user asked to cancel.
    pub asked_to_cancel: HashSet<String>,
    /// When the cancellation of a job was confirmed.
    pub cancelled: HashMap<String, u64>,
}

impl Default for Users {
    fn default() -> Users {
        Users {
            jobs: HashMap::new(),
            answers: HashMap::new(),
            next_request: FIRST_REQUEST,
            told: HashMap::new(),
            asked_to_cancel: HashSet::new(),
            cancelled: HashMap::new(),
        }
    }
}

impl Users {
    /// The number of the next request.
    pub(super) fn number_request(&mut self) -> u64 {
        let number = self.next_request;
        self.next_request += 1;
        number
    }
}

impl World {
    /// A user's request to one node; the answer shows up in `answers`.
    pub fn ask(&mut self, node: usize, request: HttpRequest) -> u64 {
        let request_id = self.users.number_request();
        self.step(node, Input::Http { request_id, request });
        request_id
    }

    /// Submits a job to one node; the number of the request.
    pub fn submit(&mut self, node: usize, body: &Value) -> u64 {
        let id = body["name_id"].as_str().unwrap_or("").to_string();
        self.users.jobs.entry(id).or_insert(body.clone());
        self.ask(node, HttpRequest::Submit(body.to_string().into_bytes()))
    }

    /// Submits a job to one node until it is accepted; ends the test after a minute.
    pub fn accept(&mut self, node: usize, body: &Value) {
        for _ in 0..60 {
            let request = self.submit(node, body);
            self.run(1000);
            let answer = self.users.answers.get(&request);
            if answer.is_some_and(|answer| answer.status == 200 || answer.status == 201) {
                return;
            }
        }
        panic!("not accepted: {body}");
    }

    /// What a node says of a job's state: its status, the HTTP status of an answer without
    /// one, or "none" if there is no answer in time.
    pub fn status(&mut self, node: usize, id: &str) -> String {
        let request = self.ask(node, HttpRequest::Status(id.into()));
        self.run(300);
        self.status_answered(request)
    }

    /// The same of a request that was made before.
    pub fn status_answered(&self, request: u64) -> String {
        let Some(answer) = self.users.answers.get(&request) else { return "none".into() };
        let body: Value = serde_json::from_str(&answer.body).unwrap_or_default();
        body["status"].as_str().map_or(answer.status.to_string(), str::to_string)
    }

    /// Lets the time pass until a job is done; false if it isn't within the limit.
    pub fn until_done(&mut self, id: &str, limit_ms: u64) -> bool {
        let end = self.now + limit_ms;
        while self.now < end {
            self.run(500);
            if self.store.job(id).is_some_and(|record| record["s"] == "d") {
                return true;
            }
        }
        false
    }

    /// A user cancels a job at one node; the HTTP status of the answer, 0 without one.
    pub fn cancel(&mut self, node: usize, id: &str) -> u16 {
        self.users.asked_to_cancel.insert(id.into());
        let request = self.ask(node, HttpRequest::Cancel(id.into()));
        self.run(500);
        let Some(answer) = self.users.answers.get(&request) else { return 0 };
        if answer.body.contains("withdrawn") {
            self.users.cancelled.entry(id.into()).or_insert(self.now);
        }
        answer.status
    }

    /// A heartbeat that was under way for a long time reaches a node after all.
    pub fn late_heartbeat(&mut self, node: usize, heartbeat: WorkerHeartbeat) {
        let request_id = self.users.number_request();
        let request = HttpRequest::WorkerHeartbeat(Box::new(heartbeat));
        self.step(node, Input::Http { request_id, request });
    }
}
