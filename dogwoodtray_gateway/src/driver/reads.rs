//! Reads of jobs on behalf of gateways.

use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_platform::GetResult;
use dogwoodtray_wire::messages;
use dogwoodtray_wire::messages::JobReadStatus;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::Driver;
use super::JOBS_KIND;
use super::job::Job;
use crate::node::Node;

/// Maximum size of a page of results, apart from a single larger result.
const MAX_PAGE_BYTES: usize = 700 * 1024;

/// Result of the lookup of a job.
enum Lookup {
    Job(Rc<Job>),
    Missing,
    Unavailable,
}

impl Driver {
    /// Reads results from a position on. Waits for the next result if there is none yet.
    pub(crate) async fn read_results(
        &self,
        node: &Rc<Node>,
        read: messages::JobRead,
    ) -> messages::JobPage {
        let page = |status: JobReadStatus| messages::JobPage {
            call: read.call,
            status: status.into(),
            ..messages::JobPage::default()
        };
        let job = match self.find_job(node, &Name::from(read.job.as_str())).await {
            Lookup::Job(job) => job,
            Lookup::Missing => return page(JobReadStatus::Missing),
            Lookup::Unavailable => return page(JobReadStatus::Unavailable),
        };
        if read.probe {
            return messages::JobPage { total: job.spec.total, ..page(JobReadStatus::Found) };
        }
        let after = read.after as usize;
        // If the position is beyond the local results, another process has added more.
        let caller_is_ahead = after > job.results().len();
        let is_current = job.has_all_results() || job.is_caught_up() && !caller_is_ahead;
        if !is_current && job.load_new_segments(node).await.is_err() {
            return page(JobReadStatus::Unavailable);
        }
        let wait_until = Instant::now() + Duration::from_millis(read.wait_ms.into());
        loop {
            let changed = job.changed();
            if job.results().len() > after || job.is_terminal() {
                break;
            }
            if timeout_at(wait_until, changed).await.is_err() {
                break;
            }
        }
        let mut bytes = 0;
        let results = job.results();
        let fits = |result: &&super::spec::StoredResult| {
            let is_first = bytes == 0;
            bytes += result.output.len() + 1;
            is_first || bytes <= MAX_PAGE_BYTES
        };
        let results =
            results.iter().skip(after).take_while(fits).map(|result| messages::JobResult {
                item: result.item.to_string(),
                completed: result.completed,
                output: result.output.clone(),
            });
        messages::JobPage {
            call: read.call,
            status: JobReadStatus::Found.into(),
            total: job.spec.total,
            results: results.collect(),
        }
    }

    /// Reads the body of an item.
    pub(crate) async fn read_item(
        &self,
        node: &Rc<Node>,
        read: messages::JobItemRead,
    ) -> messages::JobItemBody {
        let reply = |status: JobReadStatus| messages::JobItemBody {
            call: read.call,
            status: status.into(),
            ..messages::JobItemBody::default()
        };
        let job = match self.find_job(node, &Name::from(read.job.as_str())).await {
            Lookup::Job(job) => job,
            Lookup::Missing => return reply(JobReadStatus::Missing),
            Lookup::Unavailable => return reply(JobReadStatus::Unavailable),
        };
        let Ok(items) = job.items(node).await else {
            return reply(JobReadStatus::Unavailable);
        };
        match items.iter().find(|item| *item.id == *read.item) {
            Some(item) if !job.is_cancelled() => {
                messages::JobItemBody { body: item.body.clone(), ..reply(JobReadStatus::Found) }
            }
            _ => messages::JobItemBody { job_found: true, ..reply(JobReadStatus::Missing) },
        }
    }

    /// Returns a job, which is read from the store if this process does not have it.
    async fn find_job(&self, node: &Node, id: &Name) -> Lookup {
        if let Some(job) = self.jobs.borrow().get(id) {
            return Lookup::Job(Rc::clone(job));
        }
        match node.read(JOBS_KIND, id).await {
            GetResult::Found(object) => {
                self.add_job(node, &object).map_or(Lookup::Unavailable, Lookup::Job)
            }
            GetResult::Missing => Lookup::Missing,
            GetResult::Unavailable => Lookup::Unavailable,
        }
    }
}
