//! Whether a job could run in this cluster at all.

use super::context::NodeContext;
use crate::model::JobSpec;

/// Whether the job could ever run; if not, why.
pub fn can_run(context: &NodeContext, spec: &JobSpec) -> Result<(), String> {
    let Some(team) = context.platform.cluster.teams.iter().find(|t| t.name == spec.team) else {
        return Err(format!("unknown team {}", spec.team));
    };
    if spec.cpus > team.cpus_max || spec.gpus > team.gpus_max {
        return Err("a task needs more than the team's limit".into());
    }
    let demand = spec.demand();
    let fits_within = context.machine_types.iter().any(|t| {
        spec.types.as_ref().is_none_or(|l| l.contains(&t.name))
            && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
            && demand.fits_within(&t.capacity)
    });
    if !fits_within {
        return Err("a task fits no allowed machine type".into());
    }
    Ok(())
}
