//! Settings of the platform and of the operators: which are accepted, and how errors name the
//! rejected ones.

use woadlever::config::{Operator, Platform};

const PLATFORM: &str = r#"
host_name = "a"
domain = "z"
bind = "127.0.0.1:1"
internal_addr = "127.0.0.1:2"
novelty = 3
[endpoints]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[cluster]
zones = ["z"]
[cluster.workers]
report_s = 3.0
lease_s = 27.0
cancel_s = 52.0
[cluster.state]
rps = 150.0
write_rps = 20.0
value_kb = 8.0
txn_ops = 12
[cluster.cloud]
rps = 3.0
list_lag_s = 4.0
[cluster.limits]
max_connections = 800
"#;

#[test]
fn platform_settings_ignore_unknown_fields_and_name_invalid_ones() {
    assert!(Platform::parse("f", PLATFORM).is_ok());

    for (from, to, names) in [
        ("lease_s = 27.0", "lease_s = -1.0", "cluster.workers.lease_s"),
        ("lease_s = 27.0", "", "lease_s"),
        ("cancel_s = 52.0", "cancel_s = 20.0", "cluster.workers.cancel_s"),
        ("txn_ops = 12", "txn_ops = \"x\"", "txn_ops"),
        ("bind = \"127.0.0.1:1\"", "bind = \"nowhere\"", "bind"),
        ("rps = 150.0", "rps = nan", "cluster.state.rps"),
        ("max_connections = 800", "max_connections = 8", "cluster.limits.max_connections"),
        ("max_connections = 800", "max_connections = 800\nmem_mb = 4.0", "cluster.limits.mem_mb"),
        ("max_connections = 800", "max_connections = 800\nmem_mb = nan", "cluster.limits.mem_mb"),
        ("max_connections = 800", "max_connections = 800\ncpu = 0.0", "cluster.limits.cpu"),
    ] {
        let error = Platform::parse("f", &PLATFORM.replacen(from, to, 1)).unwrap_err().to_string();
        assert!(error.starts_with("f: ") && error.contains(names), "{error}");
        assert_eq!(error.lines().count(), 1, "{error}");
    }
}

#[test]
fn announced_limits_apply_from_the_start_and_invalid_ones_are_named() {
    let with = |next: &str| PLATFORM.replace("[cluster.cloud]", &format!("{next}\n[cluster.cloud]"));
    let limits = Platform::parse("f", PLATFORM).unwrap().cluster.state;
    assert_eq!(
        (limits.value_kb, limits.txn_ops, limits.write_rps, limits.current_value_kb),
        (8.0, 12, 20.0, 8.0)
    );

    let next = "[cluster.state.next]\nwrite_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 4";
    let limits = Platform::parse("f", &with(next)).unwrap().cluster.state;
    assert_eq!(
        (limits.value_kb, limits.txn_ops, limits.write_rps, limits.current_value_kb),
        (2.0, 4, 15.0, 8.0)
    );
    assert_eq!(limits.rps, 150.0, "a limit that is not announced has changed");

    // Raised limits come into force later, if at all; the current ones apply until then.
    let limits = Platform::parse("f", &with("[cluster.state.next]\nvalue_kb = 64.0")).unwrap();
    assert_eq!(limits.cluster.state.value_kb, 8.0);

    for (field, value) in [
        ("value_kb", "0.5"),
        ("value_kb", "nan"),
        ("txn_ops", "1"),
        ("write_rps", "0.0"),
        ("rps", "-1.0"),
    ] {
        let text = with(&format!("[cluster.state.next]\n{field} = {value}"));
        let error = Platform::parse("f", &text).unwrap_err().to_string();
        assert!(error.contains(&format!("cluster.state.next.{field}")), "{error}");
    }
}

#[test]
fn the_control_lease_leaves_time_for_every_lease_to_end_within_the_cancellation_limit() {
    let platform = Platform::parse("f", PLATFORM).unwrap();
    let control_lease_s = platform.control_lease_ms(&Operator::default()) as f64 / 1000.0;
    assert!(control_lease_s > 5.0 && control_lease_s + 27.0 * 1.001 + 1.0 < 52.0, "{control_lease_s}");

    // Any other settings either leave enough time with both clocks off by 0.05%, or are rejected with
    // the name of the field.
    for (lease, cancel) in
        [(27.0, 52.0), (45.0, 65.0), (27.0, 28.2), (27.0, 29.5), (600.0, 602.0), (3600.0, 3700.0)]
    {
        let text = PLATFORM
            .replace("lease_s = 27.0", &format!("lease_s = {lease:?}"))
            .replace("cancel_s = 52.0", &format!("cancel_s = {cancel:?}"));
        match Platform::parse("f", &text) {
            Ok(platform) => {
                let control_lease_s = platform.control_lease_ms(&Operator::default()) as f64 / 1000.0;
                let all_leases_end_s = (control_lease_s + lease) * 1.0005;
                assert!(
                    control_lease_s >= 1.0 && all_leases_end_s + 0.4 < cancel,
                    "{lease}, {cancel}: {control_lease_s}"
                );
            }
            Err(error) => {
                assert!(cancel - lease < 3.0, "{lease}, {cancel}: {error}");
                assert!(error.to_string().contains("cluster.workers.cancel_s"), "{error}");
            }
        }
    }
}

#[test]
fn operator_settings_accept_known_keys_only() {
    let operator = Operator::parse("o", "[forecast]\nwindow_s = 45\n").unwrap();
    assert_eq!(operator.window_s, 45.0);
    for text in ["[forecast]\nwindow = 45\n", "[forecast]\nwindow_s = soon\n", "[other]\nx = 1\n"] {
        let error = Operator::parse("o", text).unwrap_err().to_string();
        assert!(error.starts_with("o: ["), "{error}");
    }
}

#[test]
fn invalid_overload_settings_are_named() {
    let good = "[overload]\nenabled = true\nlag_target_ms = 50\nlag_interval_ms = 200\n";
    let overload = Operator::parse("o", good).unwrap().overload;
    assert!(overload.enabled && overload.lag_target_ms == 50 && overload.lag_interval_ms == 200);
    assert!(!Operator::default().overload.enabled, "enabled by default");

    let file = include_str!("../../deploy/woadlever.ini");
    assert!(Operator::parse("deploy/woadlever.ini", file).unwrap().overload.enabled);

    for (text, named) in [
        ("[overload]\nenabled = yes\n", "[overload] enabled"),
        ("[overload]\nqueue = 0\n", "[overload] queue"),
        ("[overload]\nleast_share = 2\n", "[overload] least_share"),
        ("[overload]\nlag_target_ms = 900\n", "[overload] lag_interval_ms"),
        ("[overload]\nrejections_per_core = 100\n", "[overload] rejections_per_core"),
        ("[overload]\nconnections = 1\n", "[overload] connections: unknown setting"),
    ] {
        let error = Operator::parse("o", text).unwrap_err().to_string();
        assert!(error.contains(named), "{text}: {error}");
    }
}

#[test]
fn invalid_cell_settings_are_named() {
    let cells = Operator::parse("o", include_str!("../../deploy/cells.ini")).unwrap().cells;
    assert!(cells.enabled && cells.accept && cells.name == "split" && cells.listen_port == 8082);

    let names: Vec<&str> = cells.neighbors.iter().map(|cell| cell.name.as_str()).collect();
    assert_eq!(names, ["zagreb", "rijeka"]);
    assert_eq!(cells.neighbors[0].controllers.len(), 3);
    assert!(!Operator::default().cells.enabled, "enabled by default");

    let good = "[cells]\nenabled=true\nname=a\nlisten_port=1\n";
    assert!(Operator::parse("o", good).is_ok());

    for (more, names) in [
        ("enabled=yes\n", "[cells] enabled"),
        ("name=a b\n", "[cells] name"),
        ("listen_port=0\n", "[cells] listen_port"),
        ("silence_s=1\n", "[cells] silence_s"),
        ("max_forwarded=100000\n", "[cells] max_forwarded"),
        ("novelty=1\n", "[cells] novelty"),
        ("[cell a]\ncontrollers=127.0.0.1:1\n", "[cell a]"),
        ("[cell b]\ncontrollers=127.0.0.1\n", "[cell b] controllers"),
        ("[cell b]\naddress=127.0.0.1:1\n", "[cell b] address"),
        ("[cell b/c]\ncontrollers=127.0.0.1:1\n", "[cell b/c]"),
    ] {
        let text = format!("{good}{more}");
        let error = Operator::parse("o", &text).unwrap_err().to_string();
        assert!(error.contains(names), "{error}");
    }
    let error = Operator::parse("o", "[cells]\nenabled=true\nname=a\n").unwrap_err().to_string();
    assert!(error.contains("[cells] listen_port"), "{error}");
}
