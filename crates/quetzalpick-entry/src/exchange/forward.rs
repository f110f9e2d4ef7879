//! Requests to endpoints through other VMs, while this VM's own link to them is lost.

use std::time::Duration;

use quetzalpick_client::errors::{Error, Result as CallResult};
use quetzalpick_client::http::{Request, Response, Timeouts};
use quetzalpick_core::id::Endpoint;
use quetzalpick_node::peer::Transport;
use rand::random;

use crate::exchange::Client;
use crate::place::EngineControl;
use crate::sync::lock;

/// Maximum number of VMs that are tried for one request.
const VMS_MAX: usize = 4;

/// Time for which other VMs are preferred to one that could not be used.
const AVOIDANCE: Duration = Duration::from_secs(1);

/// Timeout for a connection to another VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// `Via` names the VM through which an answer came, in its extensions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Via(pub(crate) String);

impl<N: EngineControl, P: Transport> Client<N, P> {
    /// Sends a request to an endpoint through one of the other VMs.
    ///
    /// # Errors
    ///
    /// The error of the VM that could be used, with the verdict of the call to the endpoint; `Error::Busy` if none could.
    pub(super) async fn send_through_others(
        &self,
        endpoint: &Endpoint,
        request: Request,
        timeouts: Timeouts,
    ) -> CallResult<Response> {
        let timeouts = Timeouts {
            connect: CONNECT_TIMEOUT,
            ..timeouts
        };
        for vm in self.usable_vms() {
            let request = request.clone();
            let answer = self
                .transport
                .forward(&vm, endpoint.as_str(), request, timeouts)
                .await;
            match answer {
                Ok(mut answer) => {
                    answer.extensions_mut().insert(Via(vm));
                    return Ok(answer);
                }
                Err(Error::Busy { .. }) => self.avoid(vm),
                Err(error) => return Err(error),
            }
        }
        Err(Error::Busy {
            target: endpoint.to_string(),
            retry_after: AVOIDANCE,
        })
    }

    /// Returns some other VMs in random order, without those that could not be used recently. If there are only such, the one that
    /// could not be used the longest ago is returned: it may be used again.
    fn usable_vms(&self) -> Vec<String> {
        let now_ms = self.clock.now_ms();
        let mut vms = self.peer_addresses();
        {
            let mut avoided = lock(&self.avoided);
            avoided.retain(|_, until_ms| *until_ms > now_ms);
            let oldest = vms.iter().min_by_key(|vm| avoided.get(*vm)).cloned();
            vms.retain(|vm| !avoided.contains(vm));
            if vms.is_empty() {
                vms.extend(oldest);
            }
        }
        let start = usize::try_from(random::<u32>()).unwrap_or_default();
        let start = start % vms.len().max(1);
        vms.rotate_left(start);
        vms.truncate(VMS_MAX);
        vms
    }

    fn avoid(&self, vm: String) {
        log::debug!("exchange: vm={vm} reaches no endpoints either");
        let avoidance_ms = u64::try_from(AVOIDANCE.as_millis()).unwrap_or(u64::MAX);
        let until_ms = self.clock.now_ms() + avoidance_ms;
        lock(&self.avoided).insert(vm, until_ms);
    }
}
