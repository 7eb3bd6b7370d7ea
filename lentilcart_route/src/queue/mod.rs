//! Requests that wait for a server, by priority and then by arrival.

use std::collections::VecDeque;

use crate::pool::Job;

/// Number of priorities; 9 is served first.
pub(crate) const PRIORITIES: usize = 10;

/// Waiting requests.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    levels: [VecDeque<Job>; PRIORITIES],
    len: usize,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn push(&mut self, job: Job) {
        self.len += 1;
        self.levels[usize::from(job.priority).min(PRIORITIES - 1)].push_back(job);
    }

    /// Returns how many requests are served before one of this priority.
    pub(crate) fn get_ahead(&self, priority: u8) -> usize {
        self.levels[usize::from(priority).min(PRIORITIES - 1)..]
            .iter()
            .map(VecDeque::len)
            .sum()
    }

    /// Removes and returns the first request, in serving order, that `is_wanted` accepts.
    pub(crate) fn pop(&mut self, mut is_wanted: impl FnMut(&Job) -> bool) -> Option<Job> {
        for level in self.levels.iter_mut().rev() {
            if let Some(at) = level.iter().position(&mut is_wanted) {
                self.len -= 1;
                return level.remove(at);
            }
        }
        None
    }

    /// Removes a request by its number.
    pub(crate) fn remove(&mut self, job: u64) -> bool {
        self.pop(|waiting| waiting.id == job).is_some()
    }
}
