//! How much of a pool's capacity one session may use.

/// Bytes of whole samples that one control daemon keeps for all its sessions.
pub const KEPT_BYTES: usize = 24 << 20;

/// What the decision weighs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Samples that this session is generating.
    pub own: usize,
    /// Samples that all sessions of this daemon are generating.
    pub total: usize,
    /// Sessions of this daemon.
    pub sessions: usize,
    /// Requests that the pool's servers run at a time.
    pub capacity: usize,
    /// Bytes of whole samples that this session keeps.
    pub bytes: usize,
}

/// Whether the session may start a further sample.
///
/// Each session has an equal part of the capacity, and may use what others leave idle.
#[must_use]
pub fn may_start(share: &Share) -> bool {
    let sessions = share.sessions.max(1);
    if share.bytes >= KEPT_BYTES / sessions {
        return false;
    }
    let part = share.capacity.div_ceil(sessions).max(1);
    share.own < part || share.total < share.capacity
}

#[cfg(test)]
mod tests {
    use super::*;

    const SHARE: Share = Share {
        own: 5,
        total: 12,
        sessions: 2,
        capacity: 16,
        bytes: 0,
    };

    #[test]
    fn may_start_uses_idle_capacity() {
        assert!(may_start(&Share { own: 11, ..SHARE }));
        assert!(!may_start(&Share {
            own: 11,
            total: 16,
            ..SHARE
        }));
    }

    #[test]
    fn may_start_keeps_own_part() {
        assert!(may_start(&Share { total: 30, ..SHARE }));
        assert!(!may_start(&Share {
            own: 8,
            total: 30,
            ..SHARE
        }));
    }

    #[test]
    fn may_start_is_bounded_by_memory() {
        let bytes = KEPT_BYTES / 2;
        assert!(!may_start(&Share { bytes, ..SHARE }));
    }

    #[test]
    fn may_start_works_without_known_servers() {
        let share = Share {
            sessions: 1,
            ..Share::default()
        };
        assert!(may_start(&share));
    }
}
