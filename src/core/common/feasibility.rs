//! Whether a job could run in this cluster at all.

use super::model::Spec;
use super::shared::Shared;

/// Whether the job could ever run; if not, why.
pub fn can_run(shared: &Shared, spec: &Spec) -> Result<(), String> {
    let Some(team) = shared.cfg.cluster.teams.iter().find(|t| t.name == spec.team) else {
        return Err(format!("unknown team {}", spec.team));
    };
    if spec.cpus > team.cpus_max || spec.gpus > team.gpus_max {
        return Err("a task needs more than the team's limit".into());
    }
    let need = spec.need();
    let fits_within = shared.types.iter().any(|t| {
        spec.types.as_ref().is_none_or(|l| l.contains(&t.name))
            && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
            && need.fits_within(&t.room)
    });
    if !fits_within {
        return Err("a task fits no allowed machine type".into());
    }
    Ok(())
}
