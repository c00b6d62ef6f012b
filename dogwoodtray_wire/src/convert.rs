//! Conversions of messages into frames.

use crate::messages;
use crate::messages::Frame;
use crate::messages::frame::Kind;

macro_rules! impl_from_message {
    ($($message:ident),* $(,)?) => {
        $(
            impl From<messages::$message> for Frame {
                fn from(message: messages::$message) -> Self {
                    Self { kind: Some(Kind::$message(message)) }
                }
            }
        )*
    };
}

impl_from_message!(
    Ack,
    BlockSet,
    Cancel,
    Chunk,
    ConfigCheck,
    ConfigFetch,
    ConfigProof,
    ConfigSet,
    CrashReport,
    Credit,
    Dispatch,
    Done,
    EndpointChanges,
    EndpointFetch,
    EndpointLeaving,
    EvidenceSet,
    EndpointSet,
    Heartbeat,
    Hello,
    ItemProgress,
    JobAccepted,
    JobAdmit,
    JobAdmitted,
    JobCancelled,
    JobItemBody,
    JobItemRead,
    JobPage,
    JobRead,
    LearnedCosts,
    PlaceAsk,
    PlaceGrant,
    PlacePreempt,
    PlaceQueued,
    PlaceRefused,
    PlaceReturn,
    PlaceSlow,
    PlacesHeld,
    Probe,
    ProbeReply,
    Reattach,
    SoundRunReport,
    Started,
    StoreCreate,
    StoreCreated,
    StoreObject,
    StoreRead,
    TokensHeld,
    TrialReport,
);
