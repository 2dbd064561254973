//! What users do.

use super::World;
use serde_json::Value;
use woadlever::core::{HttpRequest, Input};
use woadlever::wire::workers::WorkerHeartbeat;

impl World {
    /// A user's request to one node; the answer shows up in `answers`.
    pub fn ask(&mut self, node: usize, call: HttpRequest) -> u64 {
        let req = self.next_req;
        self.next_req += 1;
        self.reqs.insert(req, (self.now, node));
        self.step(node, Input::Http { request_id: req, request: call });
        req
    }

    pub fn submit(&mut self, node: usize, body: &Value) -> u64 {
        let id = body["name_id"].as_str().unwrap_or("").to_string();
        self.jobs.entry(id).or_insert(body.clone());
        self.ask(node, HttpRequest::Submit(body.to_string().into_bytes()))
    }

    /// Submits until accepted.
    pub fn accept(&mut self, node: usize, body: &Value) {
        for _ in 0..60 {
            let r = self.submit(node, body);
            self.run(1000);
            if self.answers.get(&r).is_some_and(|a| a.status == 200 || a.status == 201) {
                return;
            }
        }
        panic!("not accepted: {body}");
    }

    pub fn status(&mut self, node: usize, id: &str) -> String {
        let r = self.ask(node, HttpRequest::Status(id.into()));
        self.run(300);
        self.answers.get(&r).map_or("none".into(), |a| {
            let v: Value = serde_json::from_str(&a.body).unwrap_or_default();
            v["status"].as_str().map_or(format!("{}", a.status), str::to_string)
        })
    }

    pub fn until_done(&mut self, id: &str, limit_ms: u64) -> bool {
        let end = self.now + limit_ms;
        while self.now < end {
            self.run(500);
            if self.state.keys.get(&format!("w/job/{id}")).is_some_and(|v| v.0["s"] == "d") {
                return true;
            }
        }
        false
    }

    pub fn cancel(&mut self, node: usize, id: &str) -> u16 {
        self.asked_to_cancel.insert(id.into());
        let r = self.ask(node, HttpRequest::Cancel(id.into()));
        self.run(500);
        let a = self.answers.get(&r).cloned();
        if let Some(a) = &a
            && a.body.contains("withdrawn")
        {
            self.cancelled.entry(id.into()).or_insert(self.now);
        }
        a.map_or(0, |a| a.status)
    }

    /// A report that was under way for a long time reaches a node after all.
    pub fn late_report(&mut self, node: usize, heartbeat: WorkerHeartbeat) {
        let req = self.next_req;
        self.next_req += 1;
        self.step(
            node,
            Input::Http { request_id: req, request: HttpRequest::WorkerHeartbeat(Box::new(heartbeat)) },
        );
    }
}
