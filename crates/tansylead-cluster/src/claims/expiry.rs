//! The last check before a non-repeatable request is handed to a connection.

use super::settings::ClaimSettings;
use tansylead_types::WallTime;

/// The request must no longer be sent; its outcome is `not_run`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DispatchRefused {
    /// The expiry, minus the allowance for clock skew, has passed.
    #[error("the request's expiry has passed or is nearer than the allowance for clock skew")]
    Expired,
    /// The expiry is further away than a claim can last.
    #[error("the request's expiry is further away than the longest allowed")]
    ExpiryTooLong,
}

/// Checks that a non-repeatable request may still be sent. Call it after every wait, with a wall
/// clock read right before the bytes are handed to the connection: a root that was paused after
/// its claim was granted is stopped here, and by the leaf, which checks the same expiry.
pub fn check_before_dispatch(
    expires: WallTime,
    wall: WallTime,
    settings: &ClaimSettings,
) -> Result<(), DispatchRefused> {
    if add_millis(wall, settings.clock_skew) >= expires {
        return Err(DispatchRefused::Expired);
    }
    if is_expiry_too_long(expires, wall, settings) {
        return Err(DispatchRefused::ExpiryTooLong);
    }
    Ok(())
}

/// Whether the expiry is further away than allowed, even for a clock that is behind by the skew.
pub(super) fn is_expiry_too_long(
    expires: WallTime,
    wall: WallTime,
    settings: &ClaimSettings,
) -> bool {
    expires > add_millis(wall, settings.longest_expiry + settings.clock_skew)
}

/// A wall-clock time plus a duration, in whole milliseconds.
pub(super) fn add_millis(wall: WallTime, duration: std::time::Duration) -> WallTime {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    WallTime(wall.0.saturating_add(millis))
}
