use rand::Rng;

use super::{EndpointRequirements, Pool, PoolEndpoint, completion::typical_pace};

impl Pool {
    /// Returns the pace at the endpoint that a run would move to, or the typical one if it
    /// is not known, and `None` if no pace is.
    ///
    /// An endpoint that failed recently is none to move to.
    pub fn move_target_pace<R>(
        &self,
        now_ms: u64,
        requirements: &EndpointRequirements<'_>,
        rng: &mut R,
    ) -> Option<Option<f64>>
    where
        R: Rng,
    {
        let chosen = self.choose(now_ms, requirements, rng)?;
        let endpoint = self.get(&chosen)?;
        let all: Vec<&PoolEndpoint> = self.of_service(requirements.service).collect();
        let is_fit = endpoint.penalty_until_ms <= now_ms;
        is_fit.then(|| endpoint.pace.or_else(|| typical_pace(&all)))
    }
}
