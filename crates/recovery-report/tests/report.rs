//! Tests with logs in the formats of the service, and with malformed logs.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

use std::path::PathBuf;
use std::process::{Command, Output};
use woadlever_cells::event::MoveEvent;
use woadlever_recovery::shard::ReconciliationCounts;
use woadlever_recovery_report::history::{History, HistoryError, Log};
use woadlever_recovery_report::log_line::LineError;
use woadlever_recovery_report::moves::Outcome;
use woadlever_recovery_report::page;

const LOG: &str = "\
2026-12-02T10:00:00.000000Z  INFO woadlever::io::driver: started node=\"n0\" zone=\"east\"
2026-12-02T10:00:01.500000Z  INFO woadlever::recovery: recovery format=1 block=\"east.0\" grant=70 phase=\"squaring\" age_ms=500 revision=71 recorded=9 confirmed=0 absent=0 lease_ended=0 unrecorded=0
2026-12-02T10:00:02.000000Z  INFO woadlever::overload: shed format=1 lag_ms=400 rate=60 admitted=12 expired=3 probes=0 reports=40 cancellations=0 submissions=2 questions=7
2026-12-02T10:00:04.000000Z  INFO woadlever::recovery: recovery format=1 block=\"east.0\" grant=70 phase=\"squared\" age_ms=3000 revision=71 recorded=9 confirmed=7 absent=1 lease_ended=1 unrecorded=2
";

fn log(name: &str, text: &str) -> Log {
    Log { name: name.into(), text: text.into() }
}

fn logs(text: &str) -> Vec<Log> {
    vec![log("n0.log", text)]
}

#[test]
fn a_recovery_is_tracked_from_assignment_to_reconciled() {
    let history = History::read(&logs(LOG)).unwrap();
    let [recovery] = history.recoveries.as_slice() else { panic!("one recovery") };
    assert_eq!(
        (recovery.assigned_ms, recovery.read_ms, recovery.reconciled_ms),
        (0, Some(500), Some(3_000))
    );
    let counts = ReconciliationCounts { confirmed: 7, absent: 1, lease_ended: 1, unrecorded: 2 };
    assert_eq!((recovery.counts, history.totals()), (counts, counts));
    assert_eq!(history.load_shedding[0].load_shedding.rejected, [0, 40, 0, 2, 7]);
    let page = page::render(&history).unwrap();
    assert!(page.contains("<svg") && page.contains("east.0") && page.contains("3.0 s"));
    assert!(!page.contains("http://www.example") && !page.contains("<script"), "self-contained");
}

#[test]
fn formats_1_and_2_give_the_same_history() {
    let renamed = LOG.replace("format=1 block=", "format=2 shard=").replace("grant=", "fencing_token=");
    let renamed = renamed.replace("squaring", "reconciling").replace("squared", "reconciled");
    let format_2 = renamed.replace("shed format=1", "shed format=2").replace("reports=", "heartbeats=");
    let (old, new) = (History::read(&logs(LOG)).unwrap(), History::read(&logs(&format_2)).unwrap());
    assert_eq!(old.recoveries, new.recoveries);
    assert_eq!(old.load_shedding, new.load_shedding);
}

#[test]
fn a_shard_that_was_never_reconciled_is_reported() {
    let truncated = LOG.lines().take(3).collect::<Vec<_>>().join("\n");
    let page = page::render(&History::read(&logs(&truncated)).unwrap()).unwrap();
    assert!(page.contains("1 never reconciled"));
}

#[test]
fn malformed_lines_are_reported_with_their_number() {
    let cases = [
        (
            LOG.replace("grant=70 phase=\"squared\"", "grant=seventy phase=\"squared\""),
            4,
            LineError::BadField("grant"),
        ),
        (LOG[..LOG.len() - 20].to_string(), 4, LineError::BadField("lease_ended")),
        (LOG.replacen("format=1", "format=3", 1), 2, LineError::UnsupportedFormat(3)),
        (LOG.replacen("format=1", "format=0", 1), 2, LineError::UnsupportedFormat(0)),
        (LOG.replacen("format=1", "format=2", 1), 2, LineError::BadField("shard")),
        (LOG.replace("phase=\"squared\"", "phase=\"lost\""), 4, LineError::BadField("phase")),
        (LOG.replace("2026-12-02T10:00:02.000000Z", "soon"), 3, LineError::MissingTimestamp),
    ];
    for (text, number, expected) in cases {
        let Err(HistoryError::Line { line, error, .. }) = History::read(&logs(&text)) else {
            panic!("accepted, expected error: {expected:?}")
        };
        assert_eq!((line, error), (number, expected));
    }
    let no_events = History::read(&logs("2026-12-02T10:00:00Z INFO woadlever::io::driver: started\n"));
    assert_eq!(no_events, Err(HistoryError::NothingFound("n0.log".into())));
}

const CELL_LOG: &str = "\
2026-12-02T10:00:00.000000Z  INFO woadlever::cells: move format=1 job=\"run-000001\" cell=\"b\" epoch=9 event=\"forwarded\"
2026-12-02T10:00:00.000000Z  INFO woadlever::cells: move format=1 job=\"run-000002\" cell=\"b\" epoch=10 event=\"forwarded\"
2026-12-02T10:00:09.000000Z  INFO woadlever::cells: move format=1 job=\"run-000001\" cell=\"b\" epoch=9 event=\"done\"
2026-12-02T10:00:12.000000Z  INFO woadlever::cells: move format=1 job=\"run-000002\" cell=\"b\" epoch=10 event=\"recalled_silent\"
2026-12-02T10:00:52.000000Z  INFO woadlever::cells: move format=1 job=\"run-000002\" cell=\"b\" epoch=10 event=\"reclaimed\"
";

#[test]
fn the_logs_of_both_cells_are_merged_into_one_move() {
    let host = CELL_LOG
        .lines()
        .next()
        .unwrap()
        .replace("10:00:00", "10:00:01")
        .replace("cell=\"b\"", "cell=\"a\"")
        .replace("forwarded", "accepted");
    let logs = [log("b.log", &host), log("a.log", CELL_LOG)];
    let history = History::read(&logs).unwrap();
    let [done, reclaimed] = history.moves.as_slice() else { panic!("two moves") };
    assert_eq!((done.cell.as_str(), done.outcome()), ("b", Outcome::Done));
    assert_eq!(done.ended_ms(), Some(9_000));
    assert_eq!(done.steps[&MoveEvent::Accepted], 1_000);
    assert_eq!((reclaimed.outcome(), reclaimed.ended_ms()), (Outcome::Reclaimed, Some(52_000)));
    assert_eq!(reclaimed.recall_reason(), Some(MoveEvent::RecalledSilent));
    let page = page::render(&history).unwrap();
    assert!(
        page.contains(
            "1 completed at the host, 0 returned, 1 reclaimed from a silent cell, 0 unfinished"
        )
    );
    let malformed =
        History::read(&self::logs(&CELL_LOG.replace("epoch=9 event=\"done\"", "epoch=9 event=\"x\"")));
    assert!(matches!(malformed, Err(HistoryError::Line { line: 3, .. })));
}

fn run(dir: &PathBuf, text: &str) -> Output {
    std::fs::create_dir_all(dir).unwrap();
    std::fs::write(dir.join("n0.log"), text).unwrap();
    Command::new(env!("CARGO_BIN_EXE_woadlever-recovery-report"))
        .arg("--output")
        .arg(dir.join("page.html"))
        .arg(dir.join("n0.log"))
        .output()
        .unwrap()
}

#[test]
fn the_program_writes_a_complete_page_or_none() {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("recovery-report");
    let _ = std::fs::remove_dir_all(&dir);
    let failed = run(&dir, &LOG.replace("format=1", "format=9"));
    assert_eq!(failed.status.code(), Some(2));
    let message = String::from_utf8_lossy(&failed.stderr).to_string();
    assert!(message.contains("n0.log:2: fields of format 9"), "{message}");
    assert!(!dir.join("page.html").exists());
    assert!(run(&dir, LOG).status.success());
    assert!(std::fs::read_to_string(dir.join("page.html")).unwrap().ends_with("</html>"));
    assert_eq!(std::fs::read_dir(&dir).unwrap().count(), 2, "no temporary file is left");
}
