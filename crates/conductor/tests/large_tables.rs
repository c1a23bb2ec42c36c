//! Tables longer than what may wait unread, at a whole conductor.

mod site;

use serde_json::json;
use site::{Conductor, Table, discovery, target};

const NODES: usize = 5_000;

/// Guards against a table over a megabyte that no proxy ever gets, however fast it reads.
#[test]
fn a_table_over_a_megabyte_is_sent_to_all_that_join() {
    let (address, _answers, _asked) = discovery();
    let name = |k: usize| format!("s-{k:0254}");
    let targets: Vec<_> = (0..NODES).map(|k| target(&name(k), "active")).collect();
    let mut config = site::config(address);
    site::widen(&mut config, 1024, 20);
    config["known"] = json!({"rev": 5, "all": true, "targets": targets});
    // One table for all.
    config["settings"]["specifics"]["min_conn_cap"] = json!(1_000_000.0);
    let conductor = Conductor::start("large-table", &config);
    conductor.dial().probe();
    let mut proxies: Vec<_> = (0..20).map(|_| (conductor.dial(), Table::default())).collect();
    proxies.iter_mut().zip(0..).for_each(|((proxy, _), number)| proxy.hello(number));
    for (proxy, table) in &mut proxies {
        proxy.follow(table, |table| table.lines.len() == NODES);
    }
    let log = conductor.stop();
    assert!(!log.contains("unread") && !log.contains("missed"), "{log}");
}
