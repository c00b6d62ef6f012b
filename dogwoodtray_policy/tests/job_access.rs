//! Model of the calls for batch jobs at two gateways, over all sequences of a few calls.
//!
//! Two organizations and a caller without a key use one job id. A batch route needs a key, needs none,
//! needs one again and is removed, in four configurations; the second one takes a key away. Each gateway
//! moves from one to the next by itself, and may lack the proof that its configuration is recent.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dogwoodtray_coord::Name;
use dogwoodtray_policy::JobAcceptance;
use dogwoodtray_policy::JobCaller;
use dogwoodtray_policy::JobOwner;
use dogwoodtray_policy::NoJob;
use quickcheck::quickcheck;

const ID: &str = "j1";
const GATEWAYS: usize = 2;

/// Number of calls and other steps in a sequence.
const DEPTH: usize = 5;

/// Key of a call. The first two belong to one organization; the first one is taken away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    None,
    FirstOfA,
    SecondOfA,
    OfB,
    Odd,
}

const KEYS: [Key; 5] = [Key::None, Key::FirstOfA, Key::SecondOfA, Key::OfB, Key::Odd];

/// Kind of the batch route in each configuration, if it is there.
const NEEDS_KEY: [Option<bool>; 4] = [Some(true), Some(false), Some(true), None];

#[derive(Clone, Copy, Debug)]
enum Step {
    Submit { gateway: usize, key: Key },
    Read { gateway: usize, key: Key },
    NextConfig { gateway: usize },
    LoseProof { gateway: usize },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Gateway {
    config: usize,
    proven: bool,
    has_seen_open: bool,
}

/// Stored job, with the caller that submitted it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Job {
    owner: JobOwner,
    sender: Option<Name>,
    content: Option<Name>,
}

/// Answer to a read.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Answer {
    Job(Job),
    Refused(NoJob),
}

#[derive(Clone)]
struct World {
    gateways: [Gateway; GATEWAYS],
    jobs: BTreeMap<Name, Job>,
    /// Owners of accepted jobs, by the organization of their callers.
    accepted: Vec<(Option<Name>, JobOwner)>,
    /// Organizations with a submission that was accepted on a route that needs a key.
    keyed: BTreeSet<Name>,
    /// What each organization has read since its first accepted submission.
    read: BTreeMap<Name, Job>,
    /// Whether a submission was of an order that the design does not cover.
    is_uncovered: bool,
}

fn organization_of(key: Key) -> Option<Name> {
    match key {
        Key::FirstOfA | Key::SecondOfA => Some(Name::from("a")),
        Key::OfB => Some(Name::from("b")),
        Key::None | Key::Odd => None,
    }
}

impl World {
    fn new() -> Self {
        let gateway = Gateway { config: 0, proven: true, has_seen_open: false };
        Self {
            gateways: [gateway; GATEWAYS],
            jobs: BTreeMap::new(),
            accepted: Vec::new(),
            keyed: BTreeSet::new(),
            read: BTreeMap::new(),
            is_uncovered: false,
        }
    }

    fn caller(&self, gateway: usize, key: Key) -> JobCaller {
        let Gateway { config, proven, .. } = self.gateways[gateway];
        let is_known = key != Key::FirstOfA || config < 2;
        let organization = organization_of(key).filter(|_| is_known);
        match (key, organization) {
            (Key::None, _) => JobCaller::Unkeyed,
            (_, organization) if !proven => JobCaller::Unproven(organization),
            (_, Some(organization)) => JobCaller::Member(organization),
            (_, None) => JobCaller::Unknown,
        }
    }

    /// Returns whether all batch routes of a gateway's configuration need a key.
    fn needs_key(&self, gateway: usize) -> bool {
        NEEDS_KEY[self.gateways[gateway].config] != Some(false)
    }

    fn read(&self, gateway: usize, key: Key) -> Answer {
        let caller = self.caller(gateway, key);
        for candidate in caller.candidates() {
            if let Some(job) = self.jobs.get(&candidate.owner.object_name(ID)) {
                return if candidate.may_use {
                    Answer::Job(job.clone())
                } else {
                    Answer::Refused(NoJob::Unproven)
                };
            }
        }
        Answer::Refused(caller.no_job(self.needs_key(gateway)))
    }

    fn submit(&mut self, gateway: usize, key: Key) {
        let Some(needs_key) = NEEDS_KEY[self.gateways[gateway].config] else { return };
        let Ok(acceptance) = self.caller(gateway, key).accept(needs_key) else { return };
        let looks_at_twin = !needs_key || self.gateways[gateway].has_seen_open;
        let organization = organization_of(key);
        self.keyed.extend(organization.clone().filter(|_| needs_key));
        let twin = acceptance.twin.clone().filter(|_| looks_at_twin);
        if let Some(twin) = twin
            && let Some(job) = self.jobs.get(&twin.object_name(ID))
            && acceptance.is_twin(job.sender.as_ref())
        {
            self.accepted.push((organization, twin));
            return;
        }
        let JobAcceptance { owner, sender, .. } = acceptance;
        self.is_uncovered |=
            needs_key && !looks_at_twin || owner == JobOwner::Everyone && sender != organization;
        let job = Job { owner: owner.clone(), sender, content: organization.clone() };
        self.jobs.entry(owner.object_name(ID)).or_insert(job);
        self.accepted.push((organization, owner));
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Submit { gateway, key } => self.submit(gateway, key),
            Step::Read { gateway, key } => self.check_read(gateway, key),
            Step::NextConfig { gateway } => {
                let gateway = &mut self.gateways[gateway];
                gateway.config = (gateway.config + 1).min(NEEDS_KEY.len() - 1);
                gateway.has_seen_open |= NEEDS_KEY[gateway.config] == Some(false);
            }
            Step::LoseProof { gateway } => self.gateways[gateway].proven = false,
        }
    }

    fn check_read(&mut self, gateway: usize, key: Key) {
        let answer = self.read(gateway, key);
        let caller = self.caller(gateway, key);
        self.check_isolation(gateway, key, &answer);
        // A job that was accepted is found by everyone who may read it.
        let may_read = |owner: &JobOwner| match (owner, &caller) {
            (JobOwner::Everyone, JobCaller::Unproven(_)) => false,
            (JobOwner::Everyone, _) => true,
            (JobOwner::Organization(name), JobCaller::Member(member)) => name == member,
            (JobOwner::Organization(_), _) => false,
        };
        if self.accepted.iter().any(|(_, owner)| may_read(owner)) {
            assert!(matches!(answer, Answer::Job(_)), "{caller:?}: {answer:?}");
        }
        // An open job needs no proof, unless the caller's organization has a job of that id.
        let is_open = self.jobs.contains_key(&JobOwner::Everyone.object_name(ID));
        let has_own = matches!(&caller, JobCaller::Unproven(Some(name))
            if self.jobs.contains_key(&JobOwner::Organization(Name::clone(name)).object_name(ID)));
        if is_open && !has_own {
            assert!(matches!(answer, Answer::Job(_)), "{caller:?}: {answer:?}");
        }
        // Nobody's job stands in for that of an organization.
        if let (JobCaller::Member(member), Answer::Job(job)) = (&caller, &answer)
            && self.keyed.contains(member)
        {
            assert!([&job.content, &job.sender].contains(&&Some(Name::clone(member))), "{job:?}");
        }
        // What an organization reads of its job stays the same.
        if let (JobCaller::Member(member), Answer::Job(job)) = (&caller, answer)
            && self.accepted.iter().any(|(organization, _)| organization.as_ref() == Some(member))
            && !self.is_uncovered
        {
            let before = self.read.insert(Name::clone(member), job.clone());
            assert!(before.is_none_or(|before| before == job), "{member}: {job:?}");
        }
    }

    /// Checks that a caller gets nothing of an organization's job without its key.
    fn check_isolation(&self, gateway: usize, key: Key, answer: &Answer) {
        if let Answer::Job(Job { owner: JobOwner::Organization(name), .. }) = answer {
            assert_eq!(self.caller(gateway, key), JobCaller::Member(Name::clone(name)));
        }
        let mut others_hidden = self.clone();
        let own = match self.caller(gateway, key) {
            JobCaller::Member(name) | JobCaller::Unproven(Some(name)) => Some(name),
            _ => None,
        };
        let own = own.map(JobOwner::Organization);
        let is_visible =
            |job: &Job| job.owner == JobOwner::Everyone || Some(&job.owner) == own.as_ref();
        others_hidden.jobs.retain(|_, job| is_visible(job));
        assert_eq!(
            *answer,
            others_hidden.read(gateway, key),
            "the answer tells of a job of others"
        );
    }
}

fn all_steps() -> Vec<Step> {
    let mut steps = Vec::new();
    for gateway in 0..GATEWAYS {
        steps.push(Step::NextConfig { gateway });
        steps.push(Step::LoseProof { gateway });
        for key in KEYS {
            steps.push(Step::Submit { gateway, key });
            steps.push(Step::Read { gateway, key });
        }
    }
    steps
}

/// Applies all sequences of steps, and reads with all keys at all gateways at the end of each.
fn explore(world: &World, steps: &[Step], depth: usize, sequences: &mut u64) {
    let mut last = world.clone();
    for gateway in 0..GATEWAYS {
        for key in KEYS {
            last.check_read(gateway, key);
        }
    }
    *sequences += 1;
    if depth == 0 {
        return;
    }
    for step in steps {
        let mut next = world.clone();
        next.apply(*step);
        explore(&next, steps, depth - 1, sequences);
    }
}

/// Guards against an accepted job that its caller cannot find, a job of an organization that others
/// read or learn of, and a job that turns into another one when it is sent again.
#[test]
fn accepted_jobs_are_found_by_their_callers_and_by_no_others() {
    let mut sequences = 0;
    explore(&World::new(), &all_steps(), DEPTH - 1, &mut sequences);
    println!("{sequences} sequences");
    // The kind of the route changes after two steps, so longer sequences start there.
    let mut world = World::new();
    world.apply(Step::NextConfig { gateway: 0 });
    world.apply(Step::NextConfig { gateway: 1 });
    explore(&world, &all_steps(), DEPTH - 1, &mut sequences);
    println!("{sequences} sequences");
}

/// Guards against an end that is confirmed and concerns none of the names under which its job arrives.
#[test]
fn an_end_ahead_of_its_job_concerns_each_owner_that_the_job_may_get() {
    let a = Name::from("a");
    let own = JobOwner::Organization(Name::clone(&a));
    let member = JobCaller::Member(a);
    assert_eq!(member.ends_ahead(true), std::slice::from_ref(&own));
    assert_eq!(member.ends_ahead(false), [own, JobOwner::Everyone]);
    assert_eq!(JobCaller::Unkeyed.ends_ahead(false), [JobOwner::Everyone]);
    assert_eq!(JobCaller::Unkeyed.ends_ahead(true), []);
    assert_eq!(JobCaller::Unknown.ends_ahead(false), []);
    assert_eq!(JobCaller::Unproven(None).ends_ahead(false), []);
}

quickcheck! {
    /// Guards against a caller that names the job of an organization by an id of its own choice.
    fn owners_share_no_name(organization: String, id: String, other: String, escapes: u8) -> bool {
        let owner = JobOwner::Organization(Name::from(organization.as_str()));
        let name = owner.object_name(&id);
        let escaped = format!("{}{name}", "~".repeat(usize::from(escapes % 3)));
        let plain = |id: &str| JobOwner::Everyone.object_name(id);
        [&*name, &*escaped, &*other].iter().all(|id| plain(id) != name)
            && (plain(&escaped) == plain(&other)) == (escaped == other)
            && plain(&name) != plain(&format!("~{name}"))
    }
}
