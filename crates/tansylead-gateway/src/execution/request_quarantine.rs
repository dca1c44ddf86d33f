//! The refusal of a request of which no attempt was started because leafs end under it.

use super::call::Call;
use super::call_end::SharedProgress;
use super::outcome::Refusal;
use crate::leaf::OutgoingRequest;
use crate::quarantine::SendLimiter;
use crate::state::Gateway;
use std::rc::Rc;
use tansylead_route::RequestFingerprints;

/// What is known of leafs that end under one request.
pub(super) struct RequestQuarantine {
    gateway: Rc<Gateway>,
    fingerprints: RequestFingerprints,
    care: Rc<SendLimiter>,
}

impl RequestQuarantine {
    /// Of a request whose calls share this.
    pub(super) fn new(
        gateway: &Rc<Gateway>,
        request: &OutgoingRequest,
        shared: &SharedProgress,
    ) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            fingerprints: request.fingerprints,
            care: Rc::clone(&shared.care),
        }
    }

    /// The refusal, if an attempt was not started because the request is quarantined. It is true only if no
    /// other attempt was sent.
    pub(super) fn refusal(&self) -> Option<Refusal> {
        if !self.care.is_refused() {
            return None;
        }
        self.gateway.quarantine.refusal(&self.fingerprints)
    }
}

impl Call {
    /// What is known of leafs that end under the request.
    pub(super) fn quarantine(&self) -> RequestQuarantine {
        RequestQuarantine::new(&self.gateway, &self.request, &self.shared)
    }
}
