//! Reads of jobs for the processes that callers reach.

use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_platform::Read;
use dogwoodtray_wire::messages;
use dogwoodtray_wire::messages::JobReadStatus;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::Driver;
use super::JOBS_KIND;
use super::job::Job;
use crate::node::Node;

/// Largest page of results.
const MAX_PAGE_BYTES: usize = 700 * 1024;

/// Job that a read is about.
enum Found {
    Job(Rc<Job>),
    Missing,
    Unavailable,
}

impl Driver {
    /// Reads results from a position on, and waits for one if there is none yet.
    pub(crate) async fn read(&self, node: &Rc<Node>, read: messages::JobRead) -> messages::JobPage {
        let page = |status: JobReadStatus| messages::JobPage {
            call: read.call,
            status: status.into(),
            ..messages::JobPage::default()
        };
        let job = match self.find(node, &Name::from(read.job.as_str())).await {
            Found::Job(job) => job,
            Found::Missing => return page(JobReadStatus::Missing),
            Found::Unavailable => return page(JobReadStatus::Unavailable),
        };
        let after = read.after as usize;
        // A caller that is ahead has read results that another process added.
        let behind = after > job.results().len();
        let certain = job.all_listed() || job.is_caught_up() && !behind;
        if !certain && job.read_on(node).await.is_err() {
            return page(JobReadStatus::Unavailable);
        }
        let until = Instant::now() + Duration::from_millis(read.wait_ms.into());
        loop {
            let changed = job.changed();
            if job.results().len() > after || job.is_over() {
                break;
            }
            if timeout_at(until, changed).await.is_err() {
                break;
            }
        }
        let mut bytes = 0;
        let results = job.results();
        let fits = |result: &&super::spec::StoredResult| {
            let first = bytes == 0;
            bytes += result.output.len() + 1;
            first || bytes <= MAX_PAGE_BYTES
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
        let reply = |status: JobReadStatus, body: bytes::Bytes| messages::JobItemBody {
            call: read.call,
            status: status.into(),
            body,
        };
        let none = bytes::Bytes::new();
        let job = match self.find(node, &Name::from(read.job.as_str())).await {
            Found::Job(job) => job,
            Found::Missing => return reply(JobReadStatus::Missing, none),
            Found::Unavailable => return reply(JobReadStatus::Unavailable, none),
        };
        let Ok(items) = job.items(node).await else {
            return reply(JobReadStatus::Unavailable, none);
        };
        match items.iter().find(|item| *item.id == *read.item) {
            Some(item) if !job.is_ended() => reply(JobReadStatus::Found, item.body.clone()),
            _ => reply(JobReadStatus::Missing, none),
        }
    }

    async fn find(&self, node: &Node, id: &Name) -> Found {
        if let Some(job) = self.jobs.borrow().get(id) {
            return Found::Job(Rc::clone(job));
        }
        match node.read(JOBS_KIND, id).await {
            Read::Found(object) => self.add(&object).map_or(Found::Unavailable, Found::Job),
            Read::Missing => Found::Missing,
            Read::Unavailable => Found::Unavailable,
        }
    }
}
