//! Reasons of findings.

#![allow(missing_docs, reason = "quick_error! passes no documentation to fields of variants")]

use dogwoodtray_coord::Name;
use quick_error::quick_error;

use crate::objects::Kind;

quick_error! {
    /// What is wrong with a field.
    #[derive(Clone, Debug, PartialEq)]
    pub enum Reason {
        /// The name has a form that is not allowed.
        BadName {
            display("a name has 1 to 64 of the characters a-z, 0-9, '.', '_' and '-', \
                     and starts with a letter or a digit")
        }
        /// Several objects of the kind have the name.
        DuplicateName { count: usize } {
            display("{count} objects of this kind have this name")
        }
        /// The object that a field names does not exist.
        Missing { kind: Kind, name: Name } {
            display("{kind} {name} does not exist")
        }
        /// The version belongs to another model.
        VersionOfOtherModel { version: Name, owner: Name, model: Name } {
            display("version {version} belongs to model {owner}, not to {model}")
        }
        /// The adapter was trained for another version.
        AdapterForOtherBase { adapter: Name, base: Name, version: Name } {
            display("adapter {adapter} is for version {base}, not for {version}")
        }
        /// A value is outside its range.
        OutOfRange { value: String, allowed: &'static str } {
            display("{value} is out of range, allowed are {allowed}")
        }
        /// A value has a form that is not allowed.
        BadValue { value: Name, allowed: &'static str } {
            display("{value:?} is not {allowed}")
        }
        /// Exactly one of two fields has to be set.
        ExactlyOne { one: &'static str, other: &'static str } {
            display("exactly one of {one} and {other} has to be set")
        }
        /// A field needs another one.
        Needs { other: &'static str } {
            display("is set without {other}")
        }
        /// A field needs at least one entry.
        Empty {
            display("needs at least one entry")
        }
        /// An entry is listed twice.
        Repeated { entry: Name } {
            display("lists {entry} more than once")
        }
        /// Two fields contradict each other.
        Contradicts { other: &'static str } {
            display("contradicts {other}")
        }
        /// Two batch policies apply to one route or model.
        PolicyOverlap { kind: Kind, name: Name, other: Name } {
            display("{kind} {name} is also covered by batch_policy {other}")
        }
        /// Two plans retire the same model or route.
        PlanOverlap { kind: Kind, name: Name, other: Name } {
            display("{kind} {name} is also retired by retirement_plan {other}")
        }
        /// A model that a route leads to retires, and callers of the route are left nowhere.
        RetiredWithoutSuccessor { model: Name, plan: Name, last_day: String } {
            display("model {model} retires on {last_day} by retirement_plan {plan} without a \
                     successor, and the route has no plan that ends by then")
        }
        /// Results vanish before the last day.
        ResultsBeforeLastDay { results_until: String, last_day: String } {
            display("{results_until} is before last_day {last_day}")
        }
        /// Successors lead back to the object.
        SuccessorCycle { path: String } {
            display("the successors form a cycle: {path}")
        }
        /// The successor closes no later than the object that it succeeds.
        SuccessorClosesFirst { successor: Name, last_day: String } {
            display("successor {successor} itself retires on {last_day}, which is not later")
        }
    }
}
