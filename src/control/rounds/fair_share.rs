//! Fair sharing of a pool's capacity among the sessions of a control daemon.

/// Maximum bytes of whole samples that one control daemon buffers for all its sessions.
pub const BUFFERED_BYTES_MAX: usize = 24 << 20;

/// Capacity and memory that a session and its daemon use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SessionUsage {
    /// Samples that this session is generating.
    pub own_running: usize,
    /// Samples that all sessions of this daemon are generating.
    pub total_running: usize,
    /// Open sessions of this daemon.
    pub sessions: usize,
    /// Requests that the pool's servers can run concurrently.
    pub capacity: usize,
    /// Bytes of whole samples that this session buffers.
    pub buffered_bytes: usize,
}

/// Whether the session may start another sample.
///
/// Each session has an equal share of the capacity and may use what others leave idle. A
/// session that buffers its share of the memory starts nothing.
#[must_use]
pub fn may_start(usage: &SessionUsage) -> bool {
    let sessions = usage.sessions.max(1);
    if usage.buffered_bytes >= BUFFERED_BYTES_MAX / sessions {
        return false;
    }
    let fair_share = usage.capacity.div_ceil(sessions).max(1);
    usage.own_running < fair_share || usage.total_running < usage.capacity
}

#[cfg(test)]
mod tests {
    use super::*;

    const USAGE: SessionUsage = SessionUsage {
        own_running: 5,
        total_running: 12,
        sessions: 2,
        capacity: 16,
        buffered_bytes: 0,
    };

    #[test]
    fn may_start_uses_idle_capacity() {
        assert!(may_start(&SessionUsage {
            own_running: 11,
            ..USAGE
        }));
        assert!(!may_start(&SessionUsage {
            own_running: 11,
            total_running: 16,
            ..USAGE
        }));
    }

    #[test]
    fn may_start_keeps_fair_share() {
        assert!(may_start(&SessionUsage {
            total_running: 30,
            ..USAGE
        }));
        assert!(!may_start(&SessionUsage {
            own_running: 8,
            total_running: 30,
            ..USAGE
        }));
    }

    #[test]
    fn may_start_is_bounded_by_memory() {
        let buffered_bytes = BUFFERED_BYTES_MAX / 2;
        assert!(!may_start(&SessionUsage {
            buffered_bytes,
            ..USAGE
        }));
    }

    #[test]
    fn may_start_works_without_known_servers() {
        let usage = SessionUsage {
            sessions: 1,
            ..SessionUsage::default()
        };
        assert!(may_start(&usage));
    }
}
