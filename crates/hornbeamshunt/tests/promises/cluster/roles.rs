//! Finds the owners of partitions and workers.

use std::time::Duration;

use hs_ledger::partition_of;
use serde_json::Value;

use super::node::PARTITION_COUNT;
use super::{EntryNode, eventually, wait_until_owned};

/// Maximum time until a partition or worker has an owner.
const OWNER_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the index of the process that owns the ledger partition of a key of the customer `acme`.
pub async fn partition_owner(nodes: &[EntryNode], key: &str) -> usize {
    let number = partition_of("acme", key, PARTITION_COUNT as u32);
    let owns = move |status: &Value| status["partitions"][number as usize]["is_owned"] == true;
    find_owner(nodes, &format!("owner of partition {number}"), owns).await
}

/// Returns the index of the process that owns a worker.
pub async fn worker_owner(nodes: &[EntryNode], worker: &str) -> usize {
    let owns = |status: &Value| owned_workers(status).iter().any(|name| name == worker);
    find_owner(nodes, &format!("owner of worker {worker}"), owns).await
}

/// Returns the names of the workers that an entry process owns according to its status.
pub fn owned_workers(status: &Value) -> Vec<String> {
    let workers = status["workers"].as_array().into_iter().flatten();
    let names = workers.filter_map(|worker| worker["name"].as_str());
    names.map(str::to_owned).collect()
}

/// Returns a key with this prefix whose partition is owned by a process that satisfies `accepts`.
///
/// # Panics
///
/// Panics if no such key is found.
pub async fn key_owned_by(
    nodes: &[EntryNode],
    prefix: &str,
    accepts: impl Fn(usize) -> bool,
) -> String {
    let key = find_key_owned_by(nodes, prefix, accepts).await;
    key.unwrap_or_else(|| panic!("no key {prefix} has an accepted owner"))
}

/// Returns a key like [`key_owned_by`], or `None` if no accepted process owns a partition. On a busy
/// machine one process can acquire all partitions before the others have started.
pub async fn find_key_owned_by(
    nodes: &[EntryNode],
    prefix: &str,
    accepts: impl Fn(usize) -> bool,
) -> Option<String> {
    for number in 0..32 {
        let key = format!("{prefix}{number}");
        if accepts(partition_owner(nodes, &key).await) {
            return Some(key);
        }
    }
    None
}

/// Moves all partitions to one process by restarting the others.
pub async fn move_all_partitions_to(nodes: &mut [EntryNode], wanted: usize, workers: usize) {
    let others: Vec<usize> = (0..nodes.len()).filter(|node| *node != wanted).collect();
    for node in &others {
        assert!(nodes[*node].terminate().await, "end of process {node}");
    }
    wait_until_owned(&nodes[wanted..=wanted], workers).await;
    for node in others {
        nodes[node].spawn();
    }
    wait_until_owned(nodes, workers).await;
}

async fn find_owner(nodes: &[EntryNode], what: &str, owns: impl Fn(&Value) -> bool) -> usize {
    eventually(what, OWNER_TIMEOUT, async || {
        for (index, node) in nodes.iter().enumerate() {
            let Some(status) = node.status().await else {
                continue;
            };
            if owns(&status) {
                return Some(index);
            }
        }
        None
    })
    .await
}
