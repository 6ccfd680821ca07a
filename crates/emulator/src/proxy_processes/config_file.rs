//! The files that a proxy is started with.

use std::fs;
use std::io;
use std::path::PathBuf;

use mosshead_simulate::proxy_settings;
use serde_json::json;

use crate::discovery::{ListScope, encode_list};
use crate::harness::Harness;
use crate::proxy_links::ProcessEvent;

/// Where the configuration of a proxy is.
pub(super) fn config_path(harness: &Harness, proxy: usize) -> PathBuf {
    harness.proxies.folder.join(format!("n{proxy}.json"))
}

/// Writes the configuration of a proxy; it is replaced completely or not at all.
pub(super) fn write_config(harness: &Harness, proxy: usize) -> io::Result<()> {
    let saved = harness.with_world(|world| world.saved_list(proxy));
    let (address, admin_address, discovery_address, incarnation) = {
        let process = &harness.proxies.processes.borrow()[proxy];
        (process.address, process.admin_address, process.discovery_address, process.incarnation)
    };
    let scenario = harness.with_world(|world| world.scenario().proxy.clone());
    let seed =
        harness.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (proxy as u64) << 32 ^ u64::from(incarnation);
    let mut config = json!({
        "name": format!("n{proxy}"),
        "listen": address.to_string(),
        "discovery": discovery_address.map(|address| address.to_string()),
        "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": scenario.memory_mb, "sockets": scenario.max_descriptors},
        "known": encode_list(harness, proxy, saved.version, ListScope::Full, &saved.entries),
        "settings": harness.with_world(|world| proxy_settings::to_json(world, proxy)),
    });
    if let Some(address) = admin_address {
        config["ops"] = address.to_string().into();
    }
    let path = config_path(harness, proxy);
    let new_path = path.with_extension("new");
    fs::write(&new_path, config.to_string())?;
    fs::rename(new_path, path)
}

/// Prepares a proxy's folder for stored state, and writes the operators' file that names it; `None` where the
/// scenario has no such folders.
pub(super) fn write_operators_file(harness: &Harness, proxy: usize) -> io::Result<Option<PathBuf>> {
    let Some(condition) = harness.with_world(|world| world.stored_state_condition(proxy)) else {
        return Ok(None);
    };
    let proxies = &harness.proxies;
    proxies.state_folders.prepare(proxy, condition)?;
    harness.links.on_process_event(proxy, ProcessEvent::StateFolderPrepared(condition));
    let state_folder = proxies.state_folders.path(proxy);
    let path = proxies.folder.join(format!("n{proxy}.operators.json"));
    fs::write(&path, json!({"state": {"folder": state_folder.to_string_lossy()}}).to_string())?;
    Ok(Some(path))
}
