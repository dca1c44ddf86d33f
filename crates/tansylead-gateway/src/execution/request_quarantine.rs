//! Refusal of a request that was not sent because it makes leaf processes end.

use super::call::Call;
use super::call_end::SharedProgress;
use super::outcome::Refusal;
use crate::leaf::OutgoingRequest;
use crate::quarantine::SendLimiter;
use crate::state::Gateway;
use std::rc::Rc;
use tansylead_route::RequestFingerprints;

/// Quarantine state of one request.
pub(super) struct RequestQuarantine {
    gateway: Rc<Gateway>,
    fingerprints: RequestFingerprints,
    limiter: Rc<SendLimiter>,
}

impl RequestQuarantine {
    /// Quarantine state of a request whose calls share this progress.
    pub(super) fn new(
        gateway: &Rc<Gateway>,
        request: &OutgoingRequest,
        shared: &SharedProgress,
    ) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            fingerprints: request.fingerprints,
            limiter: Rc::clone(&shared.limiter),
        }
    }

    /// The refusal, if an attempt was not started because the request is quarantined. It states that the request
    /// has not run, which is true only if no other attempt was sent.
    pub(super) fn refusal(&self) -> Option<Refusal> {
        if !self.limiter.is_refused() {
            return None;
        }
        self.gateway.quarantine.refusal(&self.fingerprints)
    }
}

impl Call {
    /// Quarantine state of the request.
    pub(super) fn quarantine(&self) -> RequestQuarantine {
        RequestQuarantine::new(&self.gateway, &self.request, &self.shared)
    }
}
