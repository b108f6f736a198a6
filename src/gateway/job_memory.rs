//! Decides whether a submitted job fits into the memory of an instance, before it is decoded.
//!
//! Load pattern: several callers submit jobs of the largest size at once, of many small items, each
//! with many headers, or with large bodies. Decoded, such a job takes over ten times its bytes.

use std::cell::Cell;
use std::rc::Rc;

use crate::instance::interfaces::SubmissionSize;

/// Share of the memory that the items of one job may take, as a divisor. Each instance that
/// follows the log of jobs holds them.
const JOB_SHARE: usize = 8;
/// Share of the memory that the items of all jobs may take, as a divisor.
const JOBS_SHARE: usize = 4;
/// Share of the memory for jobs, in eighths: known ones, and those that are being submitted with
/// their bodies. The rest is for other requests, responses and connections.
const TOTAL_EIGHTHS: usize = 5;
/// Memory for the content of an item while it is written, as a multiple of its size: the content,
/// its record, and the pieces of the record.
const CONTENT_FACTOR: usize = 3;
/// Most headers of an item's request; the table of headers to send holds at most 24,576.
const HEADERS_MAX: usize = 4096;

/// Whether a submitted job fits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fit {
    /// It takes this memory until its submission is answered.
    Fits(Needs),
    /// It fits once other jobs are gone.
    Later,
    /// It never fits.
    Never,
}

/// Memory that a job takes while it is being submitted, in bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Needs {
    /// Its items.
    pub index: usize,
    /// Its body, its items, and the content that is being written.
    pub total: usize,
}

/// Memory for submitted jobs, in bytes.
#[derive(Debug)]
pub struct JobMemory {
    memory: usize,
    /// Taken by jobs that are being submitted.
    used: Cell<Needs>,
}

impl JobMemory {
    /// Creates the budget of a process with this much memory.
    #[must_use]
    pub fn new(memory: usize) -> Rc<Self> {
        Rc::new(Self {
            memory,
            used: Cell::default(),
        })
    }

    /// Memory taken by jobs that are being submitted.
    #[must_use]
    pub fn used(&self) -> Needs {
        self.used.get()
    }

    /// Decides on a job with a body of `body` bytes, beside known jobs whose items take `known`.
    #[must_use]
    pub fn fit(&self, size: &SubmissionSize, body: usize, known: usize) -> Fit {
        let total = self.memory / 8 * TOTAL_EIGHTHS;
        let content = size.content.saturating_mul(CONTENT_FACTOR);
        let index = size.index;
        let needed = body.saturating_add(index).saturating_add(content);
        if index > self.memory / JOB_SHARE || size.headers > HEADERS_MAX || needed > total {
            return Fit::Never;
        }
        let used = self.used.get();
        let jobs = known.saturating_add(used.index).saturating_add(index);
        let all = known.saturating_add(used.total).saturating_add(needed);
        if all > total || jobs > self.memory / JOBS_SHARE {
            return Fit::Later;
        }
        Fit::Fits(Needs {
            index,
            total: needed,
        })
    }

    /// Takes memory for a job that fits, until the guard is dropped.
    #[must_use]
    pub fn take(self: &Rc<Self>, needs: Needs) -> JobMemoryGuard {
        let used = self.used.get();
        self.used.set(Needs {
            index: used.index + needs.index,
            total: used.total + needs.total,
        });
        JobMemoryGuard {
            memory: Rc::clone(self),
            needs,
        }
    }
}

/// Memory taken by a job that is being submitted.
#[derive(Debug)]
pub struct JobMemoryGuard {
    memory: Rc<JobMemory>,
    needs: Needs,
}

impl Drop for JobMemoryGuard {
    fn drop(&mut self) {
        let used = self.memory.used.get();
        self.memory.used.set(Needs {
            index: used.index - self.needs.index,
            total: used.total - self.needs.total,
        });
    }
}
