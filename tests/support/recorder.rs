//! Records digests of the controllers' outputs, to compare the behaviour of two versions
//! (`scripts/compare-behaviour`).
//!
//! If the environment variable `OUTPUT_DIGESTS=FILE` is set, each `World` appends one line to
//! the file when it is dropped: a 64-bit digest of all outputs of its controllers and the name
//! of its test. Outputs are digested in their wire encoding, so that renaming types, fields or
//! functions can't change a digest. The ids of calls and requests are left out, and the outputs
//! of one step are sorted, because their order within a step has no meaning.

use std::fs::OpenOptions;
use std::hash::{DefaultHasher, Hasher};
use std::io::Write;
use std::path::PathBuf;
use woadlever::core::{CloudRequest, Output, StoreRequest};

const DIGEST_FILE_VARIABLE: &str = "OUTPUT_DIGESTS";

/// The digest of the outputs of one `World`.
pub struct Recorder {
    file: PathBuf,
    test: String,
    /// SipHash with fixed keys, which gives the same digest for the same bytes in every process.
    digest: DefaultHasher,
}

impl Recorder {
    /// Returns a recorder for the running test if the environment variable is set.
    pub fn from_env() -> Option<Recorder> {
        let file = PathBuf::from(std::env::var_os(DIGEST_FILE_VARIABLE)?);
        let thread = std::thread::current();
        let test = format!("{}::{}", env!("CARGO_CRATE_NAME"), thread.name().unwrap_or("unnamed"));
        Some(Recorder { file, test, digest: DefaultHasher::new() })
    }

    /// Adds the outputs of one step of one node.
    pub fn record(&mut self, now_ms: u64, node: usize, outputs: &[Output]) {
        let mut encoded: Vec<Vec<u8>> = outputs.iter().map(encode).collect();
        encoded.sort_unstable();
        for bytes in encoded {
            self.digest.write_u64(now_ms);
            self.digest.write_u64(node as u64);
            self.digest.write_u64(bytes.len() as u64);
            self.digest.write(&bytes);
        }
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        let line = format!("{:016x} {}\n", self.digest.finish(), self.test);
        let file = OpenOptions::new().create(true).append(true).open(&self.file);
        if let Err(error) = file.and_then(|mut file| file.write_all(line.as_bytes())) {
            eprintln!("{}: {error}", self.file.display());
        }
    }
}

/// Encodes an output as on the wire, prefixed with its kind.
fn encode(output: &Output) -> Vec<u8> {
    let (kind, bytes) = match output {
        Output::Answer { answer, .. } => {
            ("answer", json(&(answer.status, &answer.body, answer.retry_after_s)))
        }
        Output::Store { request, .. } => encode_store_request(request),
        Output::Cloud { request, .. } => encode_cloud_request(request),
        Output::SendFrame { to, frame } => ("frame", with_prefix(to, bitcode::encode(frame))),
        Output::DirectCommands { addr, commands } => ("direct", with_prefix(addr, json(commands))),
        Output::SendCellMessage { cell, message } => {
            ("cell", with_prefix(cell, bitcode::encode(message.as_ref())))
        }
        Output::Reconnect { to } => ("reconnect", to.clone().into_bytes()),
    };
    with_prefix(kind, bytes)
}

fn encode_store_request(request: &StoreRequest) -> (&'static str, Vec<u8>) {
    match request {
        StoreRequest::Get(key) => ("get", key.clone().into_bytes()),
        StoreRequest::List { prefix, after, limit } => ("list", json(&(prefix, after, limit))),
        StoreRequest::CompareAndSwap(transaction) => ("txn", json(transaction)),
        StoreRequest::OpenLease { ttl_ms } => ("lease-open", json(ttl_ms)),
        StoreRequest::RenewLease(lease) => ("lease-renew", json(lease)),
        StoreRequest::EndLease(lease) => ("lease-end", json(lease)),
        StoreRequest::Watch { prefix, since, block_ms } => ("watch", json(&(prefix, since, block_ms))),
    }
}

fn encode_cloud_request(request: &CloudRequest) -> (&'static str, Vec<u8>) {
    match request {
        CloudRequest::Catalog => ("cloud-catalog", Vec::new()),
        CloudRequest::List { after } => ("cloud-list", json(after)),
        CloudRequest::CreateInstances(instances) => ("cloud-rent", json(instances)),
        CloudRequest::TerminateInstances(machines) => ("cloud-return", json(machines)),
    }
}

fn json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("outputs can be encoded")
}

fn with_prefix(prefix: &str, bytes: Vec<u8>) -> Vec<u8> {
    [prefix.as_bytes(), b"\n", &bytes].concat()
}
