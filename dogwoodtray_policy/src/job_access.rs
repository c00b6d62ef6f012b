//! Who may read, end and send again a batch job.
//!
//! A job belongs to everyone or to one organization, as its route says when it is accepted. Later calls
//! name no route: their key says which jobs they may mean, and the stored jobs say which of these exist.

use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Name;

/// Number of hexadecimal digits with which the names of an organization's jobs begin.
const SCOPE_DIGITS: usize = 16;

/// Prefix of a plain name that would otherwise look like one of an organization, or like an escaped one.
const ESCAPE: char = '~';

/// Who may read and end a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum JobOwner {
    /// All callers, with or without a key.
    Everyone,
    /// Callers with a key of this organization.
    Organization(Name),
}

impl JobOwner {
    /// Returns the name under which the job with this id is stored. Two owners share no name.
    ///
    /// # Examples
    ///
    /// ```
    /// use dogwoodtray_policy::JobOwner;
    ///
    /// assert_eq!(&*JobOwner::Everyone.object_name("j1"), "j1");
    /// assert_ne!(&*JobOwner::Organization("clinic".into()).object_name("j1"), "j1");
    /// ```
    #[must_use]
    pub fn object_name(&self, id: &str) -> Name {
        match self {
            Self::Everyone if id.starts_with(ESCAPE) || is_scoped(id) => {
                Name::from(format!("{ESCAPE}{id}"))
            }
            Self::Everyone => Name::from(id),
            Self::Organization(name) => {
                let scope = ContentHash::of(name.as_bytes()).0;
                Name::from(format!("{scope:0width$x}-{id}", width = SCOPE_DIGITS))
            }
        }
    }
}

fn is_scoped(name: &str) -> bool {
    let bytes = name.as_bytes();
    bytes.get(SCOPE_DIGITS) == Some(&b'-')
        && bytes[..SCOPE_DIGITS].iter().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}

/// What the key of a call says about its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobCaller {
    /// The call brings no key, or the configuration names no organizations.
    Unkeyed,
    /// The key is one of this organization.
    Member(Name),
    /// The key is one of this organization, or of none, by a configuration that may be outdated.
    Unproven(Option<Name>),
    /// The key is unknown or malformed.
    Unknown,
}

/// Job that a call may mean.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobCandidate {
    /// Owner of the job.
    pub owner: JobOwner,
    /// Whether the caller may use the job. Otherwise the call is refused if the job exists, as nobody
    /// knows whose key it brings.
    pub may_use: bool,
}

/// Answer to a call whose caller may mean no existing job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoJob {
    /// There is no such job.
    Missing,
    /// The call needs a valid key.
    Unauthorized,
    /// The call may be accepted once the configuration is proven to be recent.
    Unproven,
}

/// How the submission of a job is accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobAcceptance {
    /// Owner of the job.
    pub owner: JobOwner,
    /// Organization whose key the submission of a job of everyone brought.
    pub sender: Option<Name>,
    /// Other owner of the same job, if it was accepted while its route was of the other kind.
    pub twin: Option<JobOwner>,
}

impl JobAcceptance {
    /// Returns `true` if a job of the other owner is the one that is submitted. `sender` is the
    /// organization that is noted in it.
    #[must_use]
    pub fn is_twin(&self, sender: Option<&Name>) -> bool {
        match (&self.twin, &self.owner) {
            (Some(JobOwner::Organization(_)), _) => true,
            (Some(JobOwner::Everyone), JobOwner::Organization(name)) => sender == Some(name),
            _ => false,
        }
    }
}

impl JobCaller {
    /// Returns the jobs that a call may mean. The first one that exists is meant.
    #[must_use]
    pub fn candidates(&self) -> Vec<JobCandidate> {
        let everyone = JobCandidate { owner: JobOwner::Everyone, may_use: true };
        let own = |name: &Name, may_use| JobCandidate {
            owner: JobOwner::Organization(Name::clone(name)),
            may_use,
        };
        match self {
            // Before those of everyone, so that nobody can hide the job of an organization.
            Self::Member(name) => vec![own(name, true), everyone],
            Self::Unproven(Some(name)) => vec![own(name, false), everyone],
            Self::Unkeyed | Self::Unproven(None) | Self::Unknown => vec![everyone],
        }
    }

    /// Returns the answer to a call if none of its candidates exists. `needs_key` tells whether all
    /// batch routes of the host need a key.
    #[must_use]
    pub const fn no_job(&self, needs_key: bool) -> NoJob {
        match self {
            Self::Unproven(_) => NoJob::Unproven,
            Self::Unknown => NoJob::Unauthorized,
            Self::Unkeyed if needs_key => NoJob::Unauthorized,
            Self::Unkeyed | Self::Member(_) => NoJob::Missing,
        }
    }

    /// Returns the owners of jobs that an end concerns which arrives before its job.
    #[must_use]
    pub fn ends_ahead(&self, needs_key: bool) -> Vec<JobOwner> {
        if self.no_job(needs_key) != NoJob::Missing {
            return Vec::new();
        }
        let is_concerned = |owner: &JobOwner| *owner != JobOwner::Everyone || !needs_key;
        self.candidates()
            .into_iter()
            .map(|candidate| candidate.owner)
            .filter(is_concerned)
            .collect()
    }

    /// Returns how a submission is accepted on a route that needs a key, or on one that does not.
    ///
    /// # Errors
    ///
    /// Returns the reason if it needs a key and brings none that counts.
    pub fn accept(&self, needs_key: bool) -> Result<JobAcceptance, NoJob> {
        match self {
            Self::Member(name) => {
                let own = JobOwner::Organization(Name::clone(name));
                Ok(if needs_key {
                    JobAcceptance { owner: own, sender: None, twin: Some(JobOwner::Everyone) }
                } else {
                    let sender = Some(Name::clone(name));
                    JobAcceptance { owner: JobOwner::Everyone, sender, twin: Some(own) }
                })
            }
            _ if !needs_key => {
                Ok(JobAcceptance { owner: JobOwner::Everyone, sender: None, twin: None })
            }
            Self::Unproven(_) => Err(NoJob::Unproven),
            Self::Unkeyed | Self::Unknown => Err(NoJob::Unauthorized),
        }
    }
}
