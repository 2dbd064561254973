//! What users do.

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
    pub answers: HashMap<u64, Answer>,
    next_request: u64,
    /// What users were last told of jobs that are over.
    pub(super) told: HashMap<String, String>,
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

    pub fn submit(&mut self, node: usize, body: &Value) -> u64 {
        let id = body["name_id"].as_str().unwrap_or("").to_string();
        self.users.jobs.entry(id).or_insert(body.clone());
        self.ask(node, HttpRequest::Submit(body.to_string().into_bytes()))
    }

    /// Submits until accepted.
    pub fn accept(&mut self, node: usize, body: &Value) {
        for _ in 0..60 {
            let r = self.submit(node, body);
            self.run(1000);
            if self.users.answers.get(&r).is_some_and(|a| a.status == 200 || a.status == 201) {
                return;
            }
        }
        panic!("not accepted: {body}");
    }

    pub fn status(&mut self, node: usize, id: &str) -> String {
        let r = self.ask(node, HttpRequest::Status(id.into()));
        self.run(300);
        self.users.answers.get(&r).map_or("none".into(), |a| {
            let v: Value = serde_json::from_str(&a.body).unwrap_or_default();
            v["status"].as_str().map_or(format!("{}", a.status), str::to_string)
        })
    }

    pub fn until_done(&mut self, id: &str, limit_ms: u64) -> bool {
        let end = self.now + limit_ms;
        while self.now < end {
            self.run(500);
            if self.store.keys.get(&format!("w/job/{id}")).is_some_and(|v| v.0["s"] == "d") {
                return true;
            }
        }
        false
    }

    pub fn cancel(&mut self, node: usize, id: &str) -> u16 {
        self.users.asked_to_cancel.insert(id.into());
        let r = self.ask(node, HttpRequest::Cancel(id.into()));
        self.run(500);
        let a = self.users.answers.get(&r).cloned();
        if let Some(a) = &a
            && a.body.contains("withdrawn")
        {
            self.users.cancelled.entry(id.into()).or_insert(self.now);
        }
        a.map_or(0, |a| a.status)
    }

    /// A heartbeat that was under way for a long time reaches a node after all.
    pub fn late_heartbeat(&mut self, node: usize, heartbeat: WorkerHeartbeat) {
        let request_id = self.users.number_request();
        let request = HttpRequest::WorkerHeartbeat(Box::new(heartbeat));
        self.step(node, Input::Http { request_id, request });
    }
}
