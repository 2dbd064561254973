//! Shards: fixed parts of the machines of one zone.

use super::ShardIndex;

/// One block of machines: a part of one zone.
#[derive(Debug, Clone, PartialEq)]
pub struct Shard {
    /// Name of the block.
    pub name: String,
    /// Zone that all its machines are in.
    pub zone: String,
    /// The node that has it by preference.
    pub home: Option<String>,
    /// Which part of the zone's machines it has.
    pub part: u32,
    /// Number of blocks in the zone.
    pub parts: u32,
}

/// Every node derives the same blocks from the same settings: one for each
/// controller of a zone, and one for a zone without a controller.
pub fn shards_of(zones: &[String], nodes: &[(String, String)]) -> Vec<Shard> {
    let mut zones: Vec<String> = zones.to_vec();
    zones.extend(nodes.iter().map(|(_, z)| z.clone()));
    zones.sort();
    zones.dedup();
    let mut out = Vec::new();
    for zone in zones {
        let mut homes: Vec<&String> = nodes.iter().filter(|(_, z)| *z == zone).map(|(n, _)| n).collect();
        homes.sort();
        let parts = homes.len().max(1) as u32;
        for part in 0..parts {
            out.push(Shard {
                name: format!("{zone}.{part}"),
                zone: zone.clone(),
                home: homes.get(part as usize).map(|s| s.to_string()),
                part,
                parts,
            });
        }
    }
    out
}

/// Machine names end in digits that count up, which spreads them evenly.
pub fn shard_of(shards: &[Shard], zone: &str, machine: &str) -> Option<ShardIndex> {
    let digits: String = machine.chars().filter(char::is_ascii_digit).collect();
    let tail = &digits[digits.len().saturating_sub(9)..];
    let number: u32 = tail.parse().unwrap_or(0);
    shards.iter().position(|b| b.zone == zone && number % b.parts == b.part).map(ShardIndex::at)
}
