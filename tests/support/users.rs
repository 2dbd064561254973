//! Simulated users: their submissions, status queries and cancellations, and the answers.

use super::{Answer, World};
use serde_json::Value;
use std::collections::{HashMap, HashSet};
use woadlever::core::{HttpRequest, Input};
use woadlever::wire::workers::WorkerHeartbeat;

/// The first request id; request ids are above all call numbers.
const FIRST_REQUEST_ID: u64 = 1 << 40;

/// Requests of users and the answers to them.
pub struct Users {
    /// Submitted jobs by id.
    pub jobs: HashMap<String, Value>,
    /// Answers to users, by request id.
    pub answers: HashMap<u64, Answer>,
    next_request_id: u64,
    /// Final status that was last reported to users, by job id.
    pub(super) reported_final_status: HashMap<String, String>,
    /// Jobs that a user asked to cancel.
    pub asked_to_cancel: HashSet<String>,
    /// Time at which the cancellation of a job was confirmed.
    pub cancelled: HashMap<String, u64>,
}

impl Default for Users {
    fn default() -> Users {
        Users {
            jobs: HashMap::new(),
            answers: HashMap::new(),
            next_request_id: FIRST_REQUEST_ID,
            reported_final_status: HashMap::new(),
            asked_to_cancel: HashSet::new(),
            cancelled: HashMap::new(),
        }
    }
}

impl Users {
    /// Returns a new request id.
    pub(super) fn next_request_id(&mut self) -> u64 {
        let id = self.next_request_id;
        self.next_request_id += 1;
        id
    }
}

impl World {
    /// Sends a user's request to one node and returns the request id, under which the answer
    /// appears in [`Users::answers`].
    pub fn ask(&mut self, node: usize, request: HttpRequest) -> u64 {
        let request_id = self.users.next_request_id();
        self.step(node, Input::Http { request_id, request });
        request_id
    }

    /// Submits a job to one node and returns the request id.
    pub fn submit(&mut self, node: usize, body: &Value) -> u64 {
        let id = body["name_id"].as_str().unwrap_or("").to_string();
        self.users.jobs.entry(id).or_insert(body.clone());
        self.ask(node, HttpRequest::Submit(body.to_string().into_bytes()))
    }

    /// Submits a job to one node until it is accepted; panics after a minute of simulated time.
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

    /// Returns the status of a job that a node reports, the HTTP status if the answer contains no
    /// job status, or "none" if there is no answer in time.
    pub fn status(&mut self, node: usize, id: &str) -> String {
        let request = self.ask(node, HttpRequest::Status(id.into()));
        self.run(300);
        self.status_answered(request)
    }

    /// Returns the same as [`World::status`] for a request that was sent before.
    pub fn status_answered(&self, request: u64) -> String {
        let Some(answer) = self.users.answers.get(&request) else { return "none".into() };
        let body: Value = serde_json::from_str(&answer.body).unwrap_or_default();
        body["status"].as_str().map_or(answer.status.to_string(), str::to_string)
    }

    /// Advances simulated time until a job is done. Returns whether it is done within the limit.
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

    /// Cancels a job at one node. Returns the HTTP status of the answer, or 0 without an answer.
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

    /// Delivers a delayed heartbeat to a node.
    pub fn late_heartbeat(&mut self, node: usize, heartbeat: WorkerHeartbeat) {
        let request_id = self.users.next_request_id();
        let request = HttpRequest::WorkerHeartbeat(Box::new(heartbeat));
        self.step(node, Input::Http { request_id, request });
    }
}
