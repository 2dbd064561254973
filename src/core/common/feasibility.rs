//! Checks whether a job could ever run in this cluster.

use super::context::NodeContext;
use crate::model::{JobSpec, MachineType};
use thiserror::Error;

/// Why a job could never run. The text is returned to users.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum Infeasible {
    /// The team does not exist.
    #[error("unknown team {0}")]
    UnknownTeam(String),
    /// A single task exceeds the team's limit.
    #[error("a task needs more than the team's limit")]
    AboveTeamLimit,
    /// No machine type that the job allows can hold a task.
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
}

/// Checks whether the job could ever run; the error says why it could not.
pub(crate) fn check_feasibility(context: &NodeContext, spec: &JobSpec) -> Result<(), Infeasible> {
    let team = context.platform.cluster.teams.iter().find(|team| team.name == spec.team);
    let team = team.ok_or_else(|| Infeasible::UnknownTeam(spec.team.clone()))?;
    if spec.cpus > team.cpus_max || spec.gpus > team.gpus_max {
        return Err(Infeasible::AboveTeamLimit);
    }
    let demand = spec.demand();
    let fits = |machine_type: &MachineType| {
        spec.types.as_ref().is_none_or(|allowed| allowed.contains(&machine_type.name))
            && spec.zone.as_ref().is_none_or(|zone| machine_type.zones.contains(zone))
            && demand.fits_within(&machine_type.capacity)
    };
    if context.machine_types.iter().any(fits) { Ok(()) } else { Err(Infeasible::FitsNoMachineType) }
}
