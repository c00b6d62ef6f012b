//! Reasons for findings.

#![allow(missing_docs, reason = "quick_error! passes no documentation to fields of variants")]

use dogwoodtray_coord::Name;
use quick_error::quick_error;

use crate::objects::Kind;

quick_error! {
    /// Error in a field.
    #[derive(Clone, Debug, PartialEq)]
    pub enum Reason {
        /// The name is not well-formed.
        InvalidName {
            display("a name has 1 to 64 of the characters a-z, 0-9, '.', '_' and '-', \
                     and starts with a letter or a digit")
        }
        /// Several objects of the same kind share the name.
        DuplicateName { count: usize } {
            display("{count} objects of this kind have this name")
        }
        /// The field refers to an object that does not exist.
        MissingObject { kind: Kind, name: Name } {
            display("{kind} {name} does not exist")
        }
        /// The version belongs to another model.
        VersionModelMismatch { version: Name, owner: Name, model: Name } {
            display("version {version} belongs to model {owner}, not to {model}")
        }
        /// The adapter was trained for another version.
        AdapterVersionMismatch { adapter: Name, base: Name, version: Name } {
            display("adapter {adapter} is for version {base}, not for {version}")
        }
        /// The value is outside its allowed range.
        OutOfRange { value: String, allowed: &'static str } {
            display("{value} is out of range, allowed are {allowed}")
        }
        /// The value is not well-formed.
        InvalidValue { value: Name, allowed: &'static str } {
            display("{value:?} is not {allowed}")
        }
        /// Both or neither of two mutually exclusive fields are set.
        ExactlyOneRequired { one: &'static str, other: &'static str } {
            display("exactly one of {one} and {other} has to be set")
        }
        /// The field is set without another field that it requires.
        RequiresField { other: &'static str } {
            display("is set without {other}")
        }
        /// The list is empty.
        EmptyList {
            display("needs at least one entry")
        }
        /// The list contains an entry more than once.
        DuplicateEntry { entry: Name } {
            display("lists {entry} more than once")
        }
        /// The field contradicts another field.
        ConflictsWith { other: &'static str } {
            display("contradicts {other}")
        }
        /// Two batch policies apply to the same route or model.
        OverlappingPolicies { kind: Kind, name: Name, other: Name } {
            display("{kind} {name} is also covered by batch_policy {other}")
        }
        /// Two plans retire the same model or route.
        OverlappingPlans { kind: Kind, name: Name, other: Name } {
            display("{kind} {name} is also retired by retirement_plan {other}")
        }
        /// The model of a route retires, and callers of the route have no successor to move to.
        ModelWithoutSuccessor { model: Name, plan: Name, last_day: String } {
            display("model {model} retires on {last_day} by retirement_plan {plan} without a \
                     successor, and the route has no plan that ends by then")
        }
        /// Results expire before the last day.
        ResultsUntilBeforeLastDay { results_until: String, last_day: String } {
            display("{results_until} is before last_day {last_day}")
        }
        /// The chain of successors returns to the object.
        SuccessorCycle { path: String } {
            display("the successors form a cycle: {path}")
        }
        /// The successor retires no later than the object that it replaces.
        SuccessorRetiresFirst { successor: Name, last_day: String } {
            display("successor {successor} itself retires on {last_day}, which is not later")
        }
    }
}
